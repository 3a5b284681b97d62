package site_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/catalog"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/fleet"
	"comfreyrelay.example/relay/freshness"
	"comfreyrelay.example/relay/kv"
	"comfreyrelay.example/relay/site"
)

// testSite is a State that follows a scripted store; the clock stands still unless
// a call moves it.
type testSite struct {
	clock *clockwork.FakeClock
	begun time.Time
	state *site.State
	// mirror reads the key "catalog" as a catalog of the version of its revision,
	// those below "weights/" and "endpoint/" as their names say, and others as
	// entries of that name; "bad" can't be read.
	mirror *site.Mirror
	fresh  *freshness.Tracker
	latest uint64 // the store's revision; 0: ten more with each reading
}

func newTestSite() *testSite {
	clock := clockwork.NewFakeClock()
	w := &testSite{clock: clock, begun: clock.Now()}
	w.fresh = freshness.NewTracker(func() time.Duration { return clock.Now().Sub(w.begun) })
	w.state = site.NewState(clock.Now, fleet.New(clock.Now), w.fresh)
	w.mirror = site.NewMirror(w.state, decode, clock, slog.New(slog.DiscardHandler))
	return w
}

func decode(entry kv.Entry) (site.Record, error) {
	name, isWeights := strings.CutPrefix(entry.Key(), "weights/")
	id, isEndpoint := strings.CutPrefix(entry.Key(), "endpoint/")
	switch {
	case isEndpoint && string(entry.Value()) == "spoilt":
		return site.Record{Kind: site.EndpointRecord, ID: id, Gone: true, Withdrawn: true}, errors.New("unreadable")
	case isEndpoint:
		return site.Record{Kind: site.EndpointRecord, ID: id, Gone: entry.Deleted(),
			Endpoint: fleet.Registration{ID: id, Service: "app", Slots: 1}}, nil
	case entry.Key() == "bad":
		return site.Record{}, errors.New("unreadable")
	case entry.Key() == "catalog":
		return catalogOf(entry.Revision()), nil
	case isWeights:
		return site.Record{Kind: site.WeightsRecord, ID: name, Weights: uint64(len(entry.Value()))}, nil
	}
	return site.Record{Kind: site.EntryRecord, ID: entry.Key(), Gone: entry.Deleted()}, nil
}

// value is a key of the store at a revision, and gone its deletion.
func value(key string, revision uint64) kv.Entry    { return kv.NewEntry(key, nil, revision, false) }
func deletion(key string, revision uint64) kv.Entry { return kv.NewEntry(key, nil, revision, true) }

func catalogOf(version uint64) site.Record {
	return site.Record{Kind: site.CatalogRecord, Catalog: catalog.New(catalog.Spec{Version: version})}
}

// Symptom: a machine handles requests as an older configuration says. Sequence: a
// list that began before a change ends after it, or history is read again from a
// store that lags. Cause: what came last was taken for newest.
func TestOlderRevisionsAreIgnored(t *testing.T) {
	w := newTestSite()
	w.mirror.Apply(0, []kv.Entry{value("catalog", 7)}, 10, true)
	w.mirror.Apply(0, []kv.Entry{value("catalog", 5)}, 9, true)
	w.mirror.Reset([]kv.Entry{value("catalog", 6)}, 8)
	if got, want := w.state.Catalog().Version(), uint64(7); got != want {
		t.Errorf("got version %d, want %d", got, want)
	}
	if got, want := w.state.Revision(), uint64(10); got != want {
		t.Errorf("got revision %d, want %d", got, want)
	}
	w.state.Apply([]site.Record{{Kind: site.WeightsRecord, ID: "m", Weights: 3}}, 11)
	w.state.Apply([]site.Record{{Kind: site.WeightsRecord, ID: "m", Weights: 2}}, 12)
	if want, _ := w.state.WantedOf("m"); want.Version != 3 || want.Revision != 11 {
		t.Errorf("got %+v, want version 3 of revision 11", want)
	}
}

// Symptom: callers get an empty list of entries after an outage of the store. Sequence:
// leases run out while it is down; it comes back and reports the deletions; the
// entries register again a second later. Cause: what is missing was taken for
// gone at once.
func TestEntriesThatLapsedInAnOutageAreKept(t *testing.T) {
	w := newTestSite()
	w.state.Apply([]site.Record{{Kind: site.EntryRecord, ID: "e-1", Entry: site.Entry{CallersAddress: "10.0.0.1:1"}}}, 1)
	w.state.Lost()
	w.clock.Advance(10 * time.Second)
	w.state.Regained()
	w.state.Apply([]site.Record{{Kind: site.EntryRecord, ID: "e-1", Gone: true}}, 5)
	if got, want := len(w.state.Entries()), 1; got != want {
		t.Errorf("got %d entries right after the outage, want %d", got, want)
	}
	w.clock.Advance(3 * time.Second)
	if got := len(w.state.Entries()); got != 0 {
		t.Errorf("got %d entries 3 s after it, want none", got)
	}
}

func TestDeregisteredEntryIsDroppedAtOnce(t *testing.T) {
	w := newTestSite()
	w.state.Apply([]site.Record{{Kind: site.EntryRecord, ID: "e-1"}}, 1)
	w.state.Apply([]site.Record{{Kind: site.EntryRecord, ID: "e-1", Gone: true}}, 2)
	if got := len(w.state.Entries()); got != 0 {
		t.Errorf("got %d entries, want none", got)
	}
}

func TestResetDropsKeysMissingFromTheStore(t *testing.T) {
	w := newTestSite()
	w.mirror.Reset([]kv.Entry{value("e-1", 1), value("e-3", 2), value("endpoint/i-1", 3)}, 3)
	w.mirror.Reset([]kv.Entry{value("e-2", 4), value("e-3", 2)}, 5)
	if _, ok := w.state.Entries()["e-1"]; ok || len(w.state.Entries()) != 2 {
		t.Errorf("got %v, want e-2 and e-3 alone", w.state.Entries())
	}
	if _, verdict := w.state.Fleet().Group("app").Pick(fleet.Need{}); verdict != fleet.Nobody {
		t.Errorf("got verdict %v, want nobody", verdict)
	}
}

func TestFloorFollowsEachDeclaration(t *testing.T) {
	w := newTestSite()
	w.state.Apply([]site.Record{{Kind: site.WeightsRecord, ID: "m", Weights: 2}}, 1)
	w.clock.Advance(2 * time.Second)
	w.state.Apply([]site.Record{{Kind: site.WeightsRecord, ID: "m", Weights: 4}}, 2)
	w.clock.Advance(6 * time.Second)
	if got, want := w.state.Floor("m", 8*time.Second), uint64(2); got != want {
		t.Errorf("got floor %d 8 s after the first, want %d", got, want)
	}
	w.clock.Advance(2 * time.Second)
	if got, want := w.state.Floor("m", 8*time.Second), uint64(4); got != want {
		t.Errorf("got floor %d, want %d", got, want)
	}
}

// Guards against old weights that are used for too long by an entry that started after newer ones
// were declared and counts their time from its own start.
func TestVersionAgeIsTakenFromHostReports(t *testing.T) {
	for name, hostFirst := range map[string]bool{"host first": true, "store first": false} {
		t.Run(name, func(t *testing.T) {
			w := newTestSite()
			learn := func() { w.state.Apply([]site.Record{{Kind: site.WeightsRecord, ID: "m", Weights: 2}}, 1) }
			if !hostFirst {
				learn()
			}
			w.state.DeclaredFor("m", 2, 5*time.Second)
			w.state.DeclaredFor("m", 2, time.Second)
			w.state.DeclaredFor("other", 2, time.Hour)
			if hostFirst {
				learn()
			}
			if want, _ := w.state.WantedOf("m"); w.clock.Since(want.Since) != 5*time.Second {
				t.Errorf("got the version declared %v ago, want 5s", w.clock.Since(want.Since))
			}
			w.clock.Advance(3 * time.Second)
			if got, want := w.state.Floor("m", 8*time.Second), uint64(2); got != want {
				t.Errorf("got floor %d, want %d: the time of the version before is over", got, want)
			}
		})
	}
}

// Guards against weights that are used for too long by an entry that started after two newer ones
// were declared: the store names the newest alone, and the time of old ones ends by the first.
func TestVersionsNoLongerInTheStoreCount(t *testing.T) {
	for name, hostFirst := range map[string]bool{"host first": true, "store first": false} {
		t.Run(name, func(t *testing.T) {
			w := newTestSite()
			learn := func() { w.state.Apply([]site.Record{{Kind: site.WeightsRecord, ID: "m", Weights: 4}}, 1) }
			if !hostFirst {
				learn()
			}
			for version, age := range map[uint64]time.Duration{2: 9 * time.Second, 3: 7 * time.Second, 4: time.Second} {
				w.state.DeclaredFor("m", version, age)
			}
			if hostFirst {
				learn()
			}
			if got, want := w.state.Floor("m", 8*time.Second), uint64(2); got != want {
				t.Errorf("got floor %d, want %d", got, want)
			}
			w.clock.Advance(2 * time.Second)
			if got, want := w.state.Floor("m", 8*time.Second), uint64(3); got != want {
				t.Errorf("got floor %d two seconds later, want %d", got, want)
			}
			if want, _ := w.state.WantedOf("m"); want.Version != 4 {
				t.Errorf("got version %d wanted, want 4", want.Version)
			}
		})
	}
}

// storeScript answers the calls of a follower one after the other; the last answer
// ends the run.
type storeScript struct {
	site    *testSite
	watches []func() ([]kv.Entry, uint64, error)
	lists   int
	cancel  context.CancelFunc
}

func (s *storeScript) store() *kv.Store {
	return &kv.Store{
		List: func(context.Context, string) ([]kv.Entry, error) {
			s.lists++
			return []kv.Entry{kv.NewEntry("catalog", nil, uint64(s.lists), false)}, nil
		},
		Watch: func(ctx context.Context, _ string, after uint64, _ time.Duration) ([]kv.Entry, uint64, error) {
			if after == kv.Latest && s.site.latest > 0 {
				return nil, s.site.latest, nil
			}
			if after == kv.Latest {
				return nil, uint64(10 * (s.lists + 1)), nil
			}
			if len(s.watches) == 0 {
				s.cancel()
				return nil, after, ctx.Err()
			}
			next := s.watches[0]
			s.watches = s.watches[1:]
			return next()
		},
	}
}

func (w *testSite) follow(t *testing.T, watches ...func() ([]kv.Entry, uint64, error)) *storeScript {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	steps := &storeScript{site: w, watches: watches, cancel: cancel}
	done := make(chan struct{})
	go func() {
		// Pauses between calls end as soon as the follower waits for them.
		for {
			select {
			case <-done:
				return
			default:
				if w.clock.BlockUntilContext(ctx, 1) == nil {
					w.clock.Advance(300 * time.Millisecond)
				}
			}
		}
	}()
	follower := &site.Follower{
		Store: steps.store(), State: w.state, Mirror: w.mirror, Clock: w.clock, Log: slog.New(slog.DiscardHandler),
	}
	follower.Run(ctx)
	close(done)
	return steps
}

// Guards against entries that read a large store over a narrow link again and again from its first
// key, since each page that fails drops those before.
func TestReadResumesAfterAFailedPage(t *testing.T) {
	w := newTestSite()
	pages := []string{"a", "b", "c"}
	var asked []string
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := &kv.Store{
		Page: func(_ context.Context, _, after string) ([]kv.Entry, bool, error) {
			asked = append(asked, after)
			if len(asked) == 3 {
				return nil, false, failure.New(failure.Unavailable, "no answer", "wait")
			}
			at := slices.Index(pages, after) + 1
			return []kv.Entry{value(pages[at], uint64(at+1))}, at+1 < len(pages), nil
		},
		Watch: func(_ context.Context, _ string, after uint64, _ time.Duration) ([]kv.Entry, uint64, error) {
			if after != kv.Latest {
				cancel()
			}
			return nil, 9, nil
		},
	}
	follower := &site.Follower{Store: store, State: w.state, Mirror: w.mirror, Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler)}
	follower.Run(ctx)
	if want := []string{"", "a", "b", "b"}; !slices.Equal(asked, want) {
		t.Errorf("got pages asked for after %q, want %q", asked, want)
	}
	if got := len(w.state.Entries()); got != len(pages) {
		t.Errorf("got %d entries, want %d", got, len(pages))
	}
}

func TestCompactedHistoryCausesFullRead(t *testing.T) {
	w := newTestSite()
	steps := w.follow(t, func() ([]kv.Entry, uint64, error) {
		return nil, 0, failure.New(failure.Stale, "history is gone", "read again")
	})
	if got, want := steps.lists, 2; got != want {
		t.Errorf("got %d readings of everything, want %d", got, want)
	}
}

// Symptom: after an outage of the store no engine may serve, although nothing
// newer is loaded anywhere yet. Sequence: the store is down for 8 s; a version is
// declared once it is back. Cause: what came after silence was taken to be as old
// as the silence, and its time was over when it was learned. While the store is
// down nothing is declared.
func TestVersionDeclaredAfterAnOutageIsNew(t *testing.T) {
	w := newTestSite()
	w.follow(t, func() ([]kv.Entry, uint64, error) {
		w.clock.Advance(8 * time.Second)
		return nil, 0, failure.New(failure.Unavailable, "the store is down", "wait")
	}, func() ([]kv.Entry, uint64, error) {
		return []kv.Entry{kv.NewEntry("weights/m", []byte("22"), 30, false)}, 30, nil
	})
	want, ok := w.state.WantedOf("m")
	if age := w.clock.Since(want.Since); !ok || age > 2*time.Second {
		t.Errorf("got a version that counts from %v ago, want from when it was learned", age)
	}
}

func TestUnreadableValueKeepsTheLastGoodOne(t *testing.T) {
	w := newTestSite()
	w.follow(t, func() ([]kv.Entry, uint64, error) {
		return []kv.Entry{kv.NewEntry("bad", nil, 11, false)}, 11, nil
	})
	if got, want := w.state.Catalog().Version(), uint64(1); got != want {
		t.Errorf("got version %d, want %d", got, want)
	}
}

// Symptom: requests go to an address that its owner no longer names. Sequence: an
// endpoint's registration is overwritten by what can't be read, also while the
// store's return is not settled, when registrations that lapse are kept. Cause:
// what could not be read was left out, so what was known before held. The others
// hold, and the endpoint is back once it is written again.
func TestUnreadableRegistrationRemovesEndpoint(t *testing.T) {
	w := newTestSite()
	pick := func() fleet.Verdict {
		grant, verdict := w.state.Fleet().Group("app").Pick(fleet.Need{Entries: 1})
		if verdict == fleet.Granted {
			grant.Done(fleet.Served)
		}
		return verdict
	}
	w.mirror.Apply(0, []kv.Entry{value("endpoint/a", 1)}, 1, true)
	w.state.Lost()
	w.state.Regained()
	for step, test := range []struct {
		entries []kv.Entry
		want    fleet.Verdict
	}{
		{nil, fleet.Granted},
		{[]kv.Entry{kv.NewEntry("endpoint/a", []byte("spoilt"), 2, false)}, fleet.Nobody},
		{[]kv.Entry{value("endpoint/b", 3)}, fleet.Granted},
		{[]kv.Entry{kv.NewEntry("endpoint/b", []byte("spoilt"), 4, false)}, fleet.Nobody},
		{[]kv.Entry{value("endpoint/a", 5)}, fleet.Granted},
	} {
		w.mirror.Apply(uint64(step), test.entries, uint64(step+1), true)
		if got := pick(); got != test.want {
			t.Errorf("step %d: got verdict %v, want %v", step, got, test.want)
		}
	}
}

// Symptom: a key that was taken away opens a route for longer than its bound.
// Sequence: a watch is cut after a moment and reports no change. Cause: the proof
// was taken to reach to the end of the time that it should have waited.
func TestWatchThatEndsEarlyProvesOnlyItsStart(t *testing.T) {
	w := newTestSite()
	var began time.Duration
	w.follow(t, func() ([]kv.Entry, uint64, error) {
		began = w.clock.Now().Sub(w.begun)
		w.clock.Advance(time.Second)
		return nil, 10, nil
	})
	age, known := w.fresh.Age()
	if got := w.clock.Now().Sub(w.begun) - age; !known || got != began {
		t.Errorf("got a proof of %v, want %v", got, began)
	}
}

// Symptom: a route that was added 5 s before is refused with 404, and a request goes where only
// an older configuration sends it. Sequence: an entry is cut off from the store for 15 s while
// 40 configurations of 54 KB are written; its first watch answers with the first twenty of them
// and their revision; it serves by the twentieth. Cause: the answer was taken for all there was,
// so what the entry knew counted as new as the watch's beginning.
func TestTruncatedHistoryProvesNothing(t *testing.T) {
	var configs, registrations []kv.Entry
	for revision := uint64(21); revision < 41; revision++ {
		configs = append(configs, kv.NewEntry("config", make([]byte, 54<<10), revision, false))
	}
	for revision := uint64(21); revision < 421; revision++ {
		registrations = append(registrations, value(fmt.Sprint("endpoint/i-", revision), revision))
	}
	for name, part := range map[string][]kv.Entry{"large": configs, "many": registrations} {
		for _, newest := range []uint64{part[len(part)-1].Revision(), 999} {
			w := newTestSite()
			steps := w.follow(t, func() ([]kv.Entry, uint64, error) {
				w.clock.Advance(5 * time.Second)
				return nil, 10, nil
			}, func() ([]kv.Entry, uint64, error) {
				w.latest = newest
				return part, part[len(part)-1].Revision(), nil
			})
			// The watch before proved what was known until 1.8 s. Whether there is more is asked,
			// and nothing is read twice.
			age, _ := w.fresh.Age()
			if got, want := age < time.Second, newest != 999; got != want {
				t.Errorf("%s: got knowledge %v old with the store at %d, want new knowledge: %v", name, age, newest, want)
			}
			if got, want := steps.lists, 1; got != want {
				t.Errorf("%s: got %d readings of everything, want %d", name, got, want)
			}
		}
	}
}

// Symptom: an entry sends requests where only an older configuration allows it, 3 s after a
// newer one was acknowledged and 4 s after the store takes its calls again. Sequence: the store
// turns an entry away for 13 s while 40 configurations are written, then answers it; what
// happened meanwhile is 2 MB and comes over a link that others use for the same. Cause: who
// had been away asked for the history, of which one configuration counts.
func TestLongOutageCausesFullRead(t *testing.T) {
	for _, test := range []struct {
		away  time.Duration
		lists int
	}{{13 * time.Second, 2}, {time.Second, 1}} {
		w := newTestSite()
		steps := w.follow(t, func() ([]kv.Entry, uint64, error) {
			w.clock.Advance(test.away)
			return nil, 0, failure.New(failure.Unavailable, "the store is down", "wait")
		})
		if got, want := steps.lists, test.lists; got != want {
			t.Errorf("got %d readings of everything after %v, want %d", got, test.away, want)
		}
	}
}

// Who was away while nothing changed reads nothing.
func TestOutageWithoutChangesCausesNoRead(t *testing.T) {
	w := newTestSite()
	steps := w.follow(t, func() ([]kv.Entry, uint64, error) {
		return []kv.Entry{value("e-1", 20)}, 20, nil
	}, func() ([]kv.Entry, uint64, error) {
		w.clock.Advance(13 * time.Second)
		return nil, 0, failure.New(failure.Unavailable, "the store is down", "wait")
	})
	if got, want := steps.lists, 1; got != want {
		t.Errorf("got %d readings of everything, want %d: the store's revision is still 20", got, want)
	}
	if age, _ := w.fresh.Age(); age > time.Second {
		t.Errorf("got knowledge %v old, want new: the store sent its revision", age)
	}
}
