package site

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/kv"
)

const (
	// watchWait is how long one watch waits: the proof that nothing changed is
	// as old as that at most, and each watch is a call that is paid for.
	watchWait = 1800 * time.Millisecond
	// watchGap is the least time between two watches: changes that come close
	// together then cost one call. It is a part of the bounds for a change.
	watchGap = 250 * time.Millisecond
	// retryWait is the mean pause after a failed call.
	retryWait = 120 * time.Millisecond
)

// Follower keeps a State as new as the store.
type Follower struct {
	Store *kv.Store
	State *State
	Clock clockwork.Clock
	Log   *slog.Logger
	// Decode reads a key; the zero Record is of no concern.
	Decode func(kv.Entry) (Record, error)

	after uint64 // revision that the State knows
	down  bool   // the last call failed
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	whole := false
	for ctx.Err() == nil {
		var err error
		if whole {
			err = f.watch(ctx)
		} else {
			err = f.readAll(ctx)
			whole = err == nil
		}
		if err == nil {
			f.regained()
			continue
		}
		if failure.KindOf(err) == failure.Stale {
			f.Log.Info("history is gone, reading the store again", "after", f.after)
			whole = false
			continue
		}
		f.lost(ctx, err)
		f.sleep(ctx, retryWait/2+rand.N(retryWait))
	}
}

func (f *Follower) sleep(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-f.Clock.After(wait):
	}
}

func (f *Follower) lost(ctx context.Context, err error) {
	f.State.Lost()
	if !f.down && ctx.Err() == nil {
		f.Log.Warn("dependency lost", "dependency", "store", "revision", f.after, "error", err)
	}
	f.down = true
}

func (f *Follower) regained() {
	if !f.down {
		return
	}
	f.down = false
	f.State.Regained()
	f.Log.Info("dependency regained", "dependency", "store", "revision", f.after)
}

// readAll reads everything at one revision or a newer one; what changed
// meanwhile comes again with the first watch.
func (f *Follower) readAll(ctx context.Context) error {
	_, revision, err := f.Store.Watch(ctx, "", kv.Latest, 0)
	if err != nil {
		return err
	}
	began := f.State.Fresh().Now()
	entries, err := f.Store.List(ctx, "")
	if err != nil {
		return err
	}
	f.regained()
	f.State.Reset(f.decode(entries), revision)
	f.after = revision
	f.State.Fresh().Prove(began)
	return nil
}

func (f *Follower) watch(ctx context.Context) error {
	began := f.State.Fresh().Now()
	changes, now, err := f.Store.Watch(ctx, "", f.after, watchWait)
	if err != nil {
		return err
	}
	f.regained()
	f.State.Apply(f.decode(changes), now)
	f.after = now
	ended := f.State.Fresh().Now()
	if len(changes) == 0 && ended-began >= watchWait {
		// The store looked until the wait was over, on its own clock, which
		// began after ours. One that answered sooner was cut and proves less.
		f.State.Fresh().Prove(began + watchWait)
		return nil
	}
	f.State.Fresh().Prove(began)
	f.sleep(ctx, watchGap-(ended-began))
	return nil
}

func (f *Follower) decode(entries []kv.Entry) []Record {
	records := make([]Record, 0, len(entries))
	for _, entry := range entries {
		rec, err := f.Decode(entry)
		if err != nil {
			f.Log.Error("a value is left out", "key", entry.Key(), "revision", entry.Revision(), "error", err)
			continue
		}
		if rec.Kind == 0 {
			continue
		}
		f.Log.Info("learned", "key", entry.Key(), "revision", entry.Revision(), "gone", entry.Deleted(), "bytes", len(entry.Value()))
		records = append(records, rec)
	}
	return records
}
