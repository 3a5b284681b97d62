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
	leastGap = 25 * time.Millisecond
	usualGap = 250 * time.Millisecond
	// sendAnyway is the longest time between two states where the entry wants them
	// more often: one that receives nothing for a few of these takes the agent's report no
	// longer.
	sendAnyway = 250 * time.Millisecond
)

// feed serves entries: wire.Feed. States go out on the beat of the looks at the engine and not
// by a timer for each entry, since waking up costs an agent more than what it sends.
type feed struct {
	watch *watch
	guide *guide
	pace  *pace
	clock clockwork.Clock
	began time.Time // of the agent

	mu        sync.Mutex
	followers map[*follower]bool
}

func newFeed(looks *watch, guide *guide, limit *pace, clock clockwork.Clock) *feed {
	f := &feed{watch: looks, guide: guide, pace: limit, clock: clock, began: clock.Now(), followers: map[*follower]bool{}}
	looks.beat = f.beat
	return f
}

// beat lets those followers send whose time has come.
func (f *feed) beat() {
	if !f.watch.known() {
		return
	}
	now := f.clock.Now()
	version := f.watch.version()
	f.mu.Lock()
	defer f.mu.Unlock()
	for one := range f.followers {
		one.beat(now, version)
	}
}

// Follow streams the engine's state until the entry goes, from the first beat on at which it
// is known.
func (f *feed) Follow(stream wire.DRPCFeed_FollowStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	listener := &follower{feed: f, gap: usualGap, due: make(chan struct{}, 1)}
	if f.watch.known() {
		listener.due <- struct{}{}
	}
	f.add(listener)
	defer f.remove(listener)
	go func() {
		defer cancel()
		for {
			guidance, err := stream.Recv()
			if err != nil {
				return
			}
			listener.receive(guidance)
		}
	}()
	declared := f.guide.ages(f.clock.Now())
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-listener.due:
		}
		state := listener.state()
		state.Declared, declared = declared, nil
		if err := stream.Send(state); err != nil {
			return err
		}
	}
}

func (f *feed) add(one *follower) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.followers[one] = true
}

// remove forgets a follower and what it had not read.
func (f *feed) remove(one *follower) {
	f.mu.Lock()
	delete(f.followers, one)
	f.mu.Unlock()
	f.pace.leave(one)
	one.observeReading(0, 0)
}

// follower is one entry that follows the engine.
type follower struct {
	feed *feed
	due  chan struct{} // buffered by one: a state is to be sent

	mu          sync.Mutex
	gap         time.Duration // least time between two states
	last        time.Time     // when the last one was to be sent
	sentVersion uint64        // version of the state sent last
	reading     int64         // prompt tokens of the entry that are not read yet
	final       int           // requests of the entry that can't go on elsewhere
	received    receipt
}

// receipt is when the entry's newest message came; zero: none did.
type receipt struct {
	at   time.Time
	sent uint64 // when it was sent, by the entry's clock
}

// beat lets a state be sent if there is something new and the last one is old enough, or
// nothing was sent for long.
func (f *follower) beat(now time.Time, version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := now.Sub(f.last)
	if age < f.gap || version == f.sentVersion && age < sendAnyway {
		return
	}
	f.last, f.sentVersion = now, version
	select {
	case f.due <- struct{}{}:
	default:
	}
}

// state is what is sent to the entry now.
func (f *follower) state() *wire.EngineState {
	state := f.feed.watch.message()
	now := f.feed.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	state.ReadingYours = uint32(f.reading)
	state.SentMillis, state.AgentBorn = uint64(now.Sub(f.feed.began).Milliseconds()), f.feed.began.UnixMilli()
	state.LagMillis = uint32(f.feed.pace.delay().Milliseconds())
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
		f.feed.pace.observe(f, guidance.GetNear(), time.Duration(guidance.GetDelayMillis())*time.Millisecond)
	}
	f.note(now, guidance)
	f.observeReading(int64(guidance.GetReading()), int(guidance.GetLast()))
	if !guidance.GetReadingOnly() {
		f.feed.guide.receive(now, guidance)
	}
}

// note keeps what the entry says of itself.
func (f *follower) note(now time.Time, guidance *wire.Guidance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received = receipt{at: now, sent: guidance.GetSentMillis()}
	if gap := guidance.GetGapMillis(); gap > 0 {
		f.gap = max(leastGap, time.Duration(gap)*time.Millisecond)
	}
}

func (f *follower) observeReading(tokens int64, final int) {
	f.mu.Lock()
	oldTokens, oldFinal := f.reading, f.final
	f.reading, f.final = tokens, final
	f.mu.Unlock()
	if oldTokens != tokens {
		f.feed.watch.addReading(tokens - oldTokens)
	}
	if oldFinal != final {
		f.feed.watch.addFinal(final - oldFinal)
	}
}
