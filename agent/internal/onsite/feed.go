package onsite

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/wire"
)

const (
	// minGap is the least time between two states that an entry may ask for. defaultGap
	// applies until the entry asks for one.
	minGap     = 25 * time.Millisecond
	defaultGap = 250 * time.Millisecond
	// maxGap is the time after which an unchanged state is sent again: an entry that
	// receives nothing for a few times this long stops trusting the agent's last report.
	maxGap = 250 * time.Millisecond
)

// feed implements the wire.Feed service for entries. States are sent after polls of the
// engine and not by a timer per entry, since waking up costs an agent more than sending.
type feed struct {
	poller    *enginePoller
	guidance  *guidanceStore
	pacer     *pacer
	clock     clockwork.Clock
	startedAt time.Time // when the agent started

	mu        sync.Mutex
	followers map[*follower]bool
}

func newFeed(poller *enginePoller, guidance *guidanceStore, pacer *pacer, clock clockwork.Clock) *feed {
	f := &feed{poller: poller, guidance: guidance, pacer: pacer, clock: clock, startedAt: clock.Now(), followers: map[*follower]bool{}}
	poller.notify = f.notifyFollowers
	return f
}

// notifyFollowers triggers a state message to each follower that is due for one.
func (f *feed) notifyFollowers() {
	if !f.poller.known() {
		return
	}
	now := f.clock.Now()
	sequence := f.poller.currentSequence()
	f.mu.Lock()
	defer f.mu.Unlock()
	for entry := range f.followers {
		entry.notifyIfDue(now, sequence)
	}
}

// Follow streams the engine's state, as soon as it is known, until the entry disconnects.
func (f *feed) Follow(stream wire.DRPCFeed_FollowStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	entry := &follower{feed: f, gap: defaultGap, due: make(chan struct{}, 1)}
	if f.poller.known() {
		entry.due <- struct{}{}
	}
	f.add(entry)
	defer f.remove(entry)
	go func() {
		defer cancel()
		for {
			guidance, err := stream.Recv()
			if err != nil {
				return
			}
			entry.receive(guidance)
		}
	}()
	declared := f.guidance.declarationAges(f.clock.Now())
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-entry.due:
		}
		state := entry.state()
		state.Declared, declared = declared, nil
		if err := stream.Send(state); err != nil {
			return err
		}
	}
}

func (f *feed) add(entry *follower) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.followers[entry] = true
}

// remove deletes a follower, its delay report and its counts of pending work.
func (f *feed) remove(entry *follower) {
	f.mu.Lock()
	delete(f.followers, entry)
	f.mu.Unlock()
	f.pacer.forget(entry)
	entry.setPendingWork(0, 0)
}

// follower is an entry that receives the engine's state.
type follower struct {
	feed *feed
	due  chan struct{} // signals that a state is to be sent; buffered by one

	mu                sync.Mutex
	gap               time.Duration // least time between two states
	lastDue           time.Time     // when the last state became due
	sentSequence      uint64        // sequence number of the state that was due last
	unprocessedTokens int64         // prompt tokens of the entry that the engine has not processed yet
	pinnedRequests    int           // requests of the entry that no other engine can continue
	received          receipt
}

// receipt records the arrival of the entry's newest message. It is zero before the first.
type receipt struct {
	at   time.Time
	sent uint64 // when the message was sent, milliseconds of the entry's clock
}

// notifyIfDue triggers a state message if the state changed and the last message is at least
// gap old. An unchanged state is due again after maxGap.
func (f *follower) notifyIfDue(now time.Time, sequence uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := now.Sub(f.lastDue)
	if age < f.gap || sequence == f.sentSequence && age < maxGap {
		return
	}
	f.lastDue, f.sentSequence = now, sequence
	select {
	case f.due <- struct{}{}:
	default:
	}
}

// state returns the message to send to the entry now.
func (f *follower) state() *wire.EngineState {
	state := f.feed.poller.message()
	now := f.feed.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	state.ReadingYours = uint32(f.unprocessedTokens)
	state.SentMillis, state.AgentBorn = uint64(now.Sub(f.feed.startedAt).Milliseconds()), f.feed.startedAt.UnixMilli()
	state.LagMillis = uint32(f.feed.pacer.delay().Milliseconds())
	if !f.received.at.IsZero() {
		// Lets the entry compute how long its message and this state were in transit.
		state.EchoMillis = f.received.sent
		state.EchoHeldMillis = uint64(now.Sub(f.received.at).Milliseconds())
	}
	return state
}

// receive processes a message from the entry.
func (f *follower) receive(guidance *wire.Guidance) {
	now := f.feed.clock.Now()
	if guidance.GetSentMillis() > 0 {
		f.feed.pacer.observe(f, guidance.GetNear(), time.Duration(guidance.GetDelayMillis())*time.Millisecond)
	}
	f.recordReceipt(now, guidance)
	f.setPendingWork(int64(guidance.GetReading()), int(guidance.GetLast()))
	if !guidance.GetReadingOnly() {
		f.feed.guidance.receive(now, guidance)
	}
}

// recordReceipt records the arrival of the message and the gap that the entry asks for.
func (f *follower) recordReceipt(now time.Time, guidance *wire.Guidance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received = receipt{at: now, sent: guidance.GetSentMillis()}
	if gap := guidance.GetGapMillis(); gap > 0 {
		f.gap = max(minGap, time.Duration(gap)*time.Millisecond)
	}
}

// setPendingWork records the entry's unprocessed prompt tokens and the number of its
// requests that no other engine can continue, and updates the engine's totals.
func (f *follower) setPendingWork(tokens int64, pinned int) {
	f.mu.Lock()
	oldTokens, oldPinned := f.unprocessedTokens, f.pinnedRequests
	f.unprocessedTokens, f.pinnedRequests = tokens, pinned
	f.mu.Unlock()
	if oldTokens != tokens {
		f.feed.poller.addUnprocessedTokens(tokens - oldTokens)
	}
	if oldPinned != pinned {
		f.feed.poller.addPinnedRequests(pinned - oldPinned)
	}
}
