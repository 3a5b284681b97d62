package onsite

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/wire"
)

const (
	// sendGap is the least time between two states to one entry.
	sendGap = 25 * time.Millisecond
	// sendAnyway is the longest such time: an entry that hears nothing for a
	// few of these takes the agent's word no longer.
	sendAnyway = 200 * time.Millisecond
)

// feed serves entries: wire.Feed.
type feed struct {
	watch *watch
	guide *guide
	clock clockwork.Clock
}

// Follow streams the engine's state until the entry goes.
func (f *feed) Follow(stream wire.DRPCFeed_FollowStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	go func() {
		defer cancel()
		for {
			told, err := stream.Recv()
			if err != nil {
				return
			}
			f.guide.hear(f.clock.Now(), told)
		}
	}()
	for {
		state, changed := f.watch.told()
		if err := stream.Send(state); err != nil {
			return err
		}
		if !f.pause(ctx, changed) {
			return nil
		}
	}
}

// pause waits for a change, not shorter than sendGap and not longer than
// sendAnyway; it returns false once ctx is done.
func (f *feed) pause(ctx context.Context, changed <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-f.clock.After(sendGap):
	}
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-f.clock.After(sendAnyway - sendGap):
	}
	return true
}
