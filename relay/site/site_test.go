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

// testSite is a State that follows a scripted store. Its clock stands still unless a
// test advances it.
type testSite struct {
	clock *clockwork.FakeClock
	begun time.Time
	state *site.State
	// mirror decodes the key "catalog" as a catalog whose version is the key's revision,
	// keys below "weights/" and "endpoint/" as declared weights and endpoints, and other
	// keys as entries of that name. The key "bad" cannot be decoded.
	mirror *site.Mirror
	fresh  *freshness.Tracker
	latest uint64     // the store's revision; if 0, it grows by ten with each full read
	listed []kv.Entry // also returned by a full read
}

func newTestSite() *testSite {
	clock := clockwork.NewFakeClock()
	w := &testSite{clock: clock, begun: clock.Now()}
	w.fresh = freshness.NewTracker(func() time.Duration { return clock.Now().Sub(w.begun) })
	w.state = site.NewState(clock.Now, fleet.New(clock.Now), w.fresh)
	w.mirror = site.NewMirror(w.state, decode, clock, slog.New(slog.DiscardHandler))
	return w
}

// loseStoreFor lets the store answer, be unavailable for the given time and answer again.
func (w *testSite) loseStoreFor(outage time.Duration) {
	contact := w.state.Contact()
	contact.Answered(contact.Now(), true)
	w.clock.Advance(outage)
	contact.Answered(contact.Now(), true)
}

// decode decodes the keys of the scripted store.
func decode(entry kv.Entry) (site.Record, error) {
	name, isWeights := strings.CutPrefix(entry.Key(), "weights/")
	id, isEndpoint := strings.CutPrefix(entry.Key(), "endpoint/")
	switch {
	case isEndpoint && string(entry.Value()) == "spoilt":
		return site.Record{Kind: site.EndpointRecord, ID: id, Removed: true, Withdrawn: true}, errors.New("unreadable")
	case isEndpoint:
		return site.Record{Kind: site.EndpointRecord, ID: id, Removed: entry.Deleted(),
			Endpoint: fleet.Registration{ID: id, Service: "app", Slots: 1}}, nil
	case entry.Key() == "bad":
		return site.Record{}, errors.New("unreadable")
	case entry.Key() == "catalog":
		return catalogOf(entry.Revision()), nil
	case isWeights:
		return site.Record{Kind: site.WeightsRecord, ID: name, Weights: uint64(len(entry.Value()))}, nil
	}
	return site.Record{Kind: site.EntryRecord, ID: entry.Key(), Removed: entry.Deleted()}, nil
}

// value returns a key of the store at a revision, and deletion returns its deletion.
func value(key string, revision uint64) kv.Entry    { return kv.NewEntry(key, nil, revision, false) }
func deletion(key string, revision uint64) kv.Entry { return kv.NewEntry(key, nil, revision, true) }

func catalogOf(version uint64) site.Record {
	return site.Record{Kind: site.CatalogRecord, Catalog: catalog.New(catalog.Spec{Version: version})}
}

// Guards against requests that are handled by an older configuration: a list that began
// before a change ends after it, or history is read again from a store that lags, and the
// last value received is taken for the newest.
func TestOlderRevisionsAreIgnored(t *testing.T) {
	w := newTestSite()
	w.mirror.Apply(0, []kv.Entry{value("catalog", 7)}, 10, true)
	w.mirror.Apply(0, []kv.Entry{value("catalog", 5)}, 9, true)
	w.mirror.Reset([]kv.Entry{value("catalog", 6)}, 8, true)
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

// Guards against an empty list of entries after an outage of the store: leases expire while
// it is down, it reports the deletions once it recovers, and the entries register again only
// a second later.
func TestEntriesThatLapsedInAnOutageAreKept(t *testing.T) {
	w := newTestSite()
	w.state.Apply([]site.Record{{Kind: site.EntryRecord, ID: "e-1", Entry: site.Entry{CallersAddress: "10.0.0.1:1"}}}, 1)
	w.loseStoreFor(10 * time.Second)
	w.state.Apply([]site.Record{{Kind: site.EntryRecord, ID: "e-1", Removed: true}}, 5)
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
	w.state.Apply([]site.Record{{Kind: site.EntryRecord, ID: "e-1", Removed: true}}, 2)
	if got := len(w.state.Entries()); got != 0 {
		t.Errorf("got %d entries, want none", got)
	}
}

// Guards against entries that take themselves for few, because the store refuses the others' calls
// and their registrations lapse, and then exceed a limit that all share.
func TestPeakCountsEntriesWhoseRegistrationLapsed(t *testing.T) {
	const entries, peakMemory = 9, time.Hour
	w := newTestSite()
	check := func(when string, wantKnown, wantPeak int) {
		t.Helper()
		if got := w.state.EntryCount(); got != wantKnown {
			t.Errorf("%s: got %d known entries, want %d", when, got, wantKnown)
		}
		if got := w.state.PeakEntryCount(); got != wantPeak {
			t.Errorf("%s: got a peak of %d, want %d", when, got, wantPeak)
		}
	}
	check("at the start", 1, 1)
	for i := range entries {
		w.state.Apply([]site.Record{{Kind: site.EntryRecord, ID: fmt.Sprint("e-", i)}}, uint64(1+i))
	}
	check("with all entries", entries, entries)
	w.clock.Advance(2 * peakMemory)
	for i := 2; i < entries; i++ {
		w.state.Apply([]site.Record{{Kind: site.EntryRecord, ID: fmt.Sprint("e-", i), Removed: true}}, uint64(100+i))
	}
	check("after registrations lapsed", 2, entries)
	w.clock.Advance(peakMemory)
	check("an hour later", 2, entries)
	w.clock.Advance(time.Second)
	check("after that", 2, 2)
}

func TestResetDropsKeysMissingFromTheStore(t *testing.T) {
	w := newTestSite()
	w.mirror.Reset([]kv.Entry{value("e-1", 1), value("e-3", 2), value("endpoint/i-1", 3)}, 3, true)
	w.mirror.Reset([]kv.Entry{value("e-2", 4), value("e-3", 2)}, 5, true)
	if _, ok := w.state.Entries()["e-1"]; ok || len(w.state.Entries()) != 2 {
		t.Errorf("got %v, want e-2 and e-3 alone", w.state.Entries())
	}
	if _, verdict := w.state.Fleet().Group("app").Pick(fleet.Need{}); verdict != fleet.NoEndpoint {
		t.Errorf("got verdict %v, want fleet.Nobody", verdict)
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

// Guards against an entry that uses old weights for too long because it started after newer ones
// were declared and counts their age from its own start.
func TestVersionAgeIsTakenFromHostReports(t *testing.T) {
	for name, hostFirst := range map[string]bool{"host first": true, "store first": false} {
		t.Run(name, func(t *testing.T) {
			w := newTestSite()
			learn := func() { w.state.Apply([]site.Record{{Kind: site.WeightsRecord, ID: "m", Weights: 2}}, 1) }
			if !hostFirst {
				learn()
			}
			w.state.RecordDeclarationAge("m", 2, 5*time.Second)
			w.state.RecordDeclarationAge("m", 2, time.Second)
			w.state.RecordDeclarationAge("other", 2, time.Hour)
			if hostFirst {
				learn()
			}
			if want, _ := w.state.WantedOf("m"); w.clock.Since(want.Since) != 5*time.Second {
				t.Errorf("got the version declared %v ago, want 5s", w.clock.Since(want.Since))
			}
			w.clock.Advance(3 * time.Second)
			if got, want := w.state.Floor("m", 8*time.Second), uint64(2); got != want {
				t.Errorf("got floor %d, want %d: the time of the previous version is over", got, want)
			}
		})
	}
}

// Guards against an entry that uses old weights for too long because it started after two newer
// versions were declared: the store holds only the newest declaration, but the old weights must
// go out of use by the first.
func TestVersionsNoLongerInTheStoreCount(t *testing.T) {
	for name, hostFirst := range map[string]bool{"host first": true, "store first": false} {
		t.Run(name, func(t *testing.T) {
			w := newTestSite()
			learn := func() { w.state.Apply([]site.Record{{Kind: site.WeightsRecord, ID: "m", Weights: 4}}, 1) }
			if !hostFirst {
				learn()
			}
			for version, age := range map[uint64]time.Duration{2: 9 * time.Second, 3: 7 * time.Second, 4: time.Second} {
				w.state.RecordDeclarationAge("m", version, age)
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

// storeScript answers the watches of a follower one by one. It cancels the run after the
// last answer.
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
			return append([]kv.Entry{kv.NewEntry("catalog", nil, uint64(s.lists), false)}, s.site.listed...), nil
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

// follow runs a follower against a store that gives the scripted answers to watches.
func (w *testSite) follow(t *testing.T, watches ...func() ([]kv.Entry, uint64, error)) *storeScript {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	steps := &storeScript{site: w, watches: watches, cancel: cancel}
	done := make(chan struct{})
	go func() {
		// Advance the clock as soon as the follower waits between two calls.
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

// Guards against entries that read a large store over a slow link again and again from its first
// key, because a failed page discards the pages before it.
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
		t.Errorf("got pages requested after %q, want %q", asked, want)
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
		t.Errorf("got %d full reads, want %d", got, want)
	}
}

// Guards against an outage of the store after which no engine may serve, although no newer
// version is loaded yet: the store is down for 8 s, a version is declared once it recovers,
// and that change is taken to be as old as the outage, so that the time of older versions is
// over when it is received. While the store is down nothing can be declared.
func TestVersionDeclaredAfterAnOutageIsNew(t *testing.T) {
	w := newTestSite()
	w.follow(t, func() ([]kv.Entry, uint64, error) {
		w.loseStoreFor(8 * time.Second)
		return nil, 0, failure.New(failure.Unavailable, "the store is down", "wait")
	}, func() ([]kv.Entry, uint64, error) {
		return []kv.Entry{kv.NewEntry("weights/m", []byte("22"), 30, false)}, 30, nil
	})
	want, ok := w.state.WantedOf("m")
	if age := w.clock.Since(want.Since); !ok || age > 2*time.Second {
		t.Errorf("got a version declared %v ago, want it to count from when it was received", age)
	}
}

// Guards against requests that begin on an older version for too long, because a version that was
// declared while the store did not answer this process counts from when it was received, although
// the store was available all the while.
func TestVersionDeclaredDuringSilenceCountsFromLastProof(t *testing.T) {
	for name, test := range map[string]struct {
		silence time.Duration
		err     error
		lists   int
	}{
		"silent connection":          {1400 * time.Millisecond, site.ErrSilentConnection, 1},
		"time-out":                   {2 * time.Second, failure.New(failure.Unavailable, "no answer", "wait"), 1},
		"time-out, then a full read": {3 * time.Second, failure.New(failure.Unavailable, "no answer", "wait"), 2},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestSite()
			weights := kv.NewEntry("weights/m", []byte("22"), 30, false)
			contact := w.state.Contact()
			steps := w.follow(t, func() ([]kv.Entry, uint64, error) {
				contact.Answered(contact.Now(), true)
				w.latest = 30
				for range 4 { // other calls of this process
					w.clock.Advance(test.silence / 4)
					contact.Answered(contact.Now(), false)
				}
				w.listed = []kv.Entry{weights}
				return nil, 0, test.err
			}, func() ([]kv.Entry, uint64, error) {
				return []kv.Entry{weights}, 30, nil
			})
			want, ok := w.state.WantedOf("m")
			if age := w.clock.Since(want.Since); !ok || age < test.silence {
				t.Errorf("got a version declared %v ago, want at least the %v of silence", age, test.silence)
			}
			if got, want := steps.lists, test.lists; got != want {
				t.Errorf("got %d full reads, want %d", got, want)
			}
		})
	}
}

// Guards against entries that refuse requests because ended watches prove nothing about the age of
// their data.
func TestDataIsProvenAfterSilence(t *testing.T) {
	w := newTestSite()
	w.follow(t, func() ([]kv.Entry, uint64, error) {
		w.latest = w.mirror.Revision()
		w.clock.Advance(1400 * time.Millisecond)
		return nil, 0, site.ErrSilentConnection
	}, func() ([]kv.Entry, uint64, error) {
		if age, known := w.fresh.Age(); !known || age > 0 {
			t.Errorf("got data %v old, want fresh data: the store returned its revision", age)
		}
		if w.state.StoreLost() {
			t.Error("got a store that counts as lost, want one that answers")
		}
		return nil, w.mirror.Revision(), nil
	})
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

// Guards against requests to an address that its owner no longer registers: an endpoint's
// registration is overwritten by a value that cannot be decoded, and the previous one stays
// in use because such values are ignored. This also applies in the grace period after an
// outage, when lapsed registrations are kept. Other endpoints stay, and the endpoint returns
// once it is registered again.
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
	w.loseStoreFor(10 * time.Second)
	for step, test := range []struct {
		entries []kv.Entry
		want    fleet.Verdict
	}{
		{nil, fleet.Granted},
		{[]kv.Entry{kv.NewEntry("endpoint/a", []byte("spoilt"), 2, false)}, fleet.NoEndpoint},
		{[]kv.Entry{value("endpoint/b", 3)}, fleet.Granted},
		{[]kv.Entry{kv.NewEntry("endpoint/b", []byte("spoilt"), 4, false)}, fleet.NoEndpoint},
		{[]kv.Entry{value("endpoint/a", 5)}, fleet.Granted},
	} {
		w.mirror.Apply(uint64(step), test.entries, uint64(step+1), true)
		if got := pick(); got != test.want {
			t.Errorf("step %d: got verdict %v, want %v", step, got, test.want)
		}
	}
}

// Guards against a revoked key that opens a route for longer than its bound: a watch is cut
// short and reports no change, and that is taken to prove the data fresh up to the end of the
// watch's full timeout.
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
		t.Errorf("got data proven fresh at %v, want %v", got, began)
	}
}

// Guards against a truncated answer that is taken for all changes, so that old data counts as
// fresh as the start of the watch. An entry was cut off from the store for 15 s while 40
// configurations of 54 KB were written. Its first watch returned the first twenty and their
// revision, and it served by the twentieth: a route added 5 s earlier got a 404, and a request
// went where only an older configuration sends it.
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
			// The watch before proved the data fresh up to 1.8 s. The follower asks whether
			// there are more changes and reads nothing twice.
			age, _ := w.fresh.Age()
			if got, want := age < time.Second, newest != 999; got != want {
				t.Errorf("%s: got data %v old with the store at %d, want fresh data: %v", name, age, newest, want)
			}
			if got, want := steps.lists, 1; got != want {
				t.Errorf("%s: got %d full reads, want %d", name, got, want)
			}
		}
	}
}

// Guards against an entry that requests the whole history after a long outage, although only
// the last configuration counts. The store refused an entry for 13 s while 40 configurations
// were written. The history was 2 MB over a link on which other entries read the same, and the
// entry still routed requests by an older configuration 3 s after a newer one was acknowledged
// and 4 s after the store accepted its calls again.
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
			t.Errorf("got %d full reads after %v, want %d", got, test.away, want)
		}
	}
}

// Checks that an entry reads nothing after an outage during which nothing changed.
func TestOutageWithoutChangesCausesNoRead(t *testing.T) {
	w := newTestSite()
	steps := w.follow(t, func() ([]kv.Entry, uint64, error) {
		return []kv.Entry{value("e-1", 20)}, 20, nil
	}, func() ([]kv.Entry, uint64, error) {
		w.clock.Advance(13 * time.Second)
		return nil, 0, failure.New(failure.Unavailable, "the store is down", "wait")
	})
	if got, want := steps.lists, 1; got != want {
		t.Errorf("got %d full reads, want %d: the store's revision is still 20", got, want)
	}
	if age, _ := w.fresh.Age(); age > time.Second {
		t.Errorf("got data %v old, want fresh data: the store returned its revision", age)
	}
}
