package onsite

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/wire"
)

const (
	// leastGap bounds how often an entry may ask for states; usualGap holds until it
	// says how often it wants them.
	minGap     = 25 * time.Millisecond
	defaultGap = 250 * time.Millisecond
	// sendAnyway is the longest time between two states where the entry wants them
	// more often: one that receives nothing for a few of these takes the agent's report no
	// longer.
	maxGap = 250 * time.Millisecond
)

// feed serves entries: wire.Feed. States go out on the beat of the looks at the engine and not
// by a timer for each entry, since waking up costs an agent more than what it sends.
type feed struct {
	poller    *enginePoller
	guidance  *guidanceStore
	pacer     *pacer
	clock     clockwork.Clock
	startedAt time.Time // of the agent

	mu        sync.Mutex
	followers map[*follower]bool
}

func newFeed(poller *enginePoller, guidance *guidanceStore, pacer *pacer, clock clockwork.Clock) *feed {
	f := &feed{poller: poller, guidance: guidance, pacer: pacer, clock: clock, startedAt: clock.Now(), followers: map[*follower]bool{}}
	poller.notify = f.notifyFollowers
	return f
}

// beat lets those followers send whose time has come.
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

// Follow streams the engine's state until the entry goes, from the first beat on at which it
// is known.
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

// remove forgets a follower and what it had not read.
func (f *feed) remove(entry *follower) {
	f.mu.Lock()
	delete(f.followers, entry)
	f.mu.Unlock()
	f.pacer.forget(entry)
	entry.setPendingWork(0, 0)
}

// follower is one entry that follows the engine.
type follower struct {
	feed *feed
	due  chan struct{} // buffered by one: a state is to be sent

	mu            sync.Mutex
	gap           time.Duration // least time between two states
	lastDue       time.Time     // when the last one was to be sent
	sentSequence  uint64        // version of the state sent last
	unreadTokens  int64         // prompt tokens of the entry that are not read yet
	finalRequests int           // requests of the entry that can't go on elsewhere
	received      receipt
}

// receipt is when the entry's newest message came; zero: none did.
type receipt struct {
	at   time.Time
	sent uint64 // when it was sent, by the entry's clock
}

// beat lets a state be sent if there is something new and the last one is old enough, or
// nothing was sent for long.
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

// state is what is sent to the entry now.
func (f *follower) state() *wire.EngineState {
	state := f.feed.poller.message()
	now := f.feed.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	state.ReadingYours = uint32(f.unreadTokens)
	state.SentMillis, state.AgentBorn = uint64(now.Sub(f.feed.startedAt).Milliseconds()), f.feed.startedAt.UnixMilli()
	state.LagMillis = uint32(f.feed.pacer.delay().Milliseconds())
	if !f.received.at.IsZero() {
		// The entry sees how long its message and this state were on their way.
		state.EchoMillis = f.received.sent
		state.EchoHeldMillis = uint64(now.Sub(f.received.at).Milliseconds())
	}
	return state
}

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

// note keeps what the entry says of itself.
func (f *follower) recordReceipt(now time.Time, guidance *wire.Guidance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received = receipt{at: now, sent: guidance.GetSentMillis()}
	if gap := guidance.GetGapMillis(); gap > 0 {
		f.gap = max(minGap, time.Duration(gap)*time.Millisecond)
	}
}

func (f *follower) setPendingWork(tokens int64, final int) {
	f.mu.Lock()
	oldTokens, oldFinal := f.unreadTokens, f.finalRequests
	f.unreadTokens, f.finalRequests = tokens, final
	f.mu.Unlock()
	if oldTokens != tokens {
		f.feed.poller.addUnreadTokens(tokens - oldTokens)
	}
	if oldFinal != final {
		f.feed.poller.addFinalRequests(final - oldFinal)
	}
}
