package site_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"comfreyrelay.example/relay/kv"
	"comfreyrelay.example/relay/site"
)

// slowSources is a follower whose sources reach the store and bring nothing newer.
type slowSources struct {
	site   *testSite
	newest uint64 // revision of the store
	// changes are answered to a watch of the endpoints.
	changes     []kv.Entry
	watches     []time.Duration // when the follower watched the whole store
	checks      int             // questions for the newest revision
	sourcesGone bool
}

// run runs the follower for the given time, or until it watches the whole store.
func (s *slowSources) run(t *testing.T, period time.Duration) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	clock := s.site.clock
	startedAt := clock.Now()
	store := &kv.Store{
		List: func(context.Context, string) ([]kv.Entry, error) { return nil, nil },
		Watch: func(_ context.Context, prefix string, after uint64, _ time.Duration) ([]kv.Entry, uint64, error) {
			switch {
			case after == kv.Latest:
				s.checks++
				return nil, s.newest, nil
			case prefix == "endpoint/":
				return s.changes, s.newest, nil
			}
			s.watches = append(s.watches, clock.Since(startedAt))
			cancel()
			return nil, after, ctx.Err()
		},
	}
	go func() {
		for clock.BlockUntilContext(ctx, 1) == nil && ctx.Err() == nil {
			if clock.Since(startedAt) >= period {
				cancel()
			}
			clock.Advance(100 * time.Millisecond)
		}
	}()
	follower := &site.Follower{
		Store: store, State: s.site.state, Mirror: s.site.mirror, Clock: clock, Log: slog.New(slog.DiscardHandler),
		EndpointsPrefix: "endpoint/", EntriesPrefix: "entry/", HasSources: func() bool { return true },
		SourceTrust:       func() time.Duration { return 0 },
		SourcesReachStore: func() bool { return !s.sourcesGone },
	}
	follower.Run(ctx)
}

func newSlowSources(newest uint64) *slowSources {
	w := newTestSite()
	w.mirror.Reset([]kv.Entry{value("catalog", 3), value("endpoint/i-1", 4)}, 5, true)
	return &slowSources{site: w, newest: newest}
}

// Guards against a change that is late at all entries of a region: its sources are still reading it
// over the link of the region, and the entries that follow them begin to read it over the same link.
func TestChangeIsLeftToSlowSources(t *testing.T) {
	s := newSlowSources(7)
	s.run(t, 3*time.Second)
	if len(s.watches) > 0 {
		t.Errorf("got watches of the whole store after %v, want none", s.watches)
	}
	if got, want := s.checks, 2; got < want {
		t.Errorf("got %d questions for the newest revision in 3 s, want %d at least", got, want)
	}
	if _, proven := s.site.fresh.Age(); proven {
		t.Errorf("got a proof from an entry that lacks a change, want none")
	}
}

// Guards against an entry that sends requests to an endpoint that left, because its sources are slow.
func TestEndpointThatLeavesIsReadBesideSlowSources(t *testing.T) {
	s := newSlowSources(7)
	s.changes = []kv.Entry{deletion("endpoint/i-1", 6)}
	s.run(t, time.Second)
	if got := s.site.state.Fleet().IDs(); len(got) > 0 {
		t.Errorf("got endpoints %v, want none", got)
	}
	if got, want := s.site.mirror.Revision(), uint64(5); got != want {
		t.Errorf("got revision %d, want %d: other changes are missing", got, want)
	}
}

// Guards against an entry that waits for its sources for ever.
func TestChangeThatSourcesDoNotBringIsRead(t *testing.T) {
	const earliest, latest = 4 * time.Second, 7 * time.Second
	s := newSlowSources(7)
	s.run(t, latest)
	if len(s.watches) != 1 || s.watches[0] < earliest || s.watches[0] >= latest {
		t.Errorf("got watches of the whole store after %v, want one from %v on and before %v", s.watches, earliest, latest)
	}
}

// Guards against an entry that waits for sources which have lost the store.
func TestChangeIsNotLeftToSourcesWithoutStore(t *testing.T) {
	s := newSlowSources(7)
	s.sourcesGone = true
	s.run(t, time.Second)
	if len(s.watches) != 1 {
		t.Errorf("got watches of the whole store after %v, want one within a second", s.watches)
	}
}

func TestUnchangedStoreIsConfirmedBesideSlowSources(t *testing.T) {
	s := newSlowSources(5)
	s.run(t, 200*time.Millisecond)
	if _, proven := s.site.fresh.Age(); !proven || len(s.watches) > 0 {
		t.Errorf("got proven %t and watches after %v, want a proof without a watch", proven, s.watches)
	}
}

// Guards against requests that are refused for a moment after each change: a watch that ends early
// proves only what held when it began, and the next one lasts until that proof is too old.
func TestWatchAfterAnEarlyEndIsShorter(t *testing.T) {
	const early = 1500 * time.Millisecond
	w := newTestSite()
	var ages []time.Duration
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	store := &kv.Store{
		List: func(context.Context, string) ([]kv.Entry, error) { return []kv.Entry{value("catalog", 3)}, nil },
		Watch: func(_ context.Context, _ string, after uint64, _ time.Duration) ([]kv.Entry, uint64, error) {
			if after == kv.Latest {
				return nil, 5, nil
			}
			if len(ages) == 2 {
				cancel()
				return nil, after, ctx.Err()
			}
			w.clock.Advance(early)
			return []kv.Entry{value("endpoint/i-1", after+1)}, after + 1, nil
		},
	}
	follower := &site.Follower{
		Store: store, State: w.state, Mirror: w.mirror, Clock: w.clock, Log: slog.New(slog.DiscardHandler),
		WatchTimeout: func(age, _ time.Duration) time.Duration { ages = append(ages, age); return 2 * time.Second },
	}
	follower.Run(ctx)
	if len(ages) != 2 || ages[1] < early {
		t.Errorf("got ages %v when watches began, want %v at the second at least", ages, early)
	}
}
