package onsite

import (
	"context"
	"sync/atomic"
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
	// more often: one that hears nothing for a few of these takes the agent's word no
	// longer.
	sendAnyway = 250 * time.Millisecond
)

// feed serves entries: wire.Feed.
type feed struct {
	watch *watch
	guide *guide
	pace  *pace
	clock clockwork.Clock
	began time.Time // of the agent
}

// Follow streams the engine's state until the entry goes.
func (f *feed) Follow(stream wire.DRPCFeed_FollowStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	listener := &follower{feed: f}
	listener.gap.Store(int64(usualGap))
	defer listener.hearReading(0)
	go func() {
		defer cancel()
		for {
			told, err := stream.Recv()
			if err != nil {
				return
			}
			listener.hear(told)
		}
	}()
	for {
		state, changed := f.watch.told()
		state.ReadingYours = uint32(listener.reading.Load())
		state.SentMillis, state.AgentBorn = uint64(f.clock.Since(f.began).Milliseconds()), f.began.UnixMilli()
		state.LagMillis = uint32(f.pace.heard().Milliseconds())
		listener.echo(state)
		if err := stream.Send(state); err != nil {
			return err
		}
		if !f.pause(ctx, changed, time.Duration(listener.gap.Load())) {
			return nil
		}
	}
}

// follower is one entry that follows the engine.
type follower struct {
	feed    *feed
	gap     atomic.Int64 // least time between two states, nanoseconds
	reading atomic.Int64 // prompt tokens of the entry that are not read yet
	heard   atomic.Pointer[hearing]
}

// hearing is when the entry's newest message came.
type hearing struct {
	at   time.Time
	sent uint64 // when it was sent, as the entry told
}

// echo lets the entry see how long its message and this state were on their way.
func (f *follower) echo(state *wire.EngineState) {
	newest := f.heard.Load()
	if newest == nil {
		return
	}
	state.EchoMillis = newest.sent
	state.EchoHeldMillis = uint64(f.feed.clock.Since(newest.at).Milliseconds())
}

func (f *follower) hear(told *wire.Guidance) {
	f.feed.pace.hear(time.Duration(told.GetDelayMillis()) * time.Millisecond)
	f.heard.Store(&hearing{at: f.feed.clock.Now(), sent: told.GetSentMillis()})
	f.hearReading(int64(told.GetReading()))
	if gap := told.GetGapMillis(); gap > 0 {
		f.gap.Store(int64(max(leastGap, time.Duration(gap)*time.Millisecond)))
	}
	if told.GetReadingOnly() {
		return
	}
	f.feed.guide.hear(f.feed.clock.Now(), told)
}

func (f *follower) hearReading(tokens int64) {
	if old := f.reading.Swap(tokens); old != tokens {
		f.feed.watch.addReading(tokens - old)
	}
}

// pause waits for a change, not shorter than the gap and not longer than
// sendAnyway; it returns false once ctx is done.
func (f *feed) pause(ctx context.Context, changed <-chan struct{}, gap time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-f.clock.After(gap):
	}
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-f.clock.After(max(0, sendAnyway-gap)):
	}
	return true
}
