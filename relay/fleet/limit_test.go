package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"comfreyrelay.example/relay/catalog"
	"comfreyrelay.example/relay/deal"
	"comfreyrelay.example/relay/fleet"
)

// The bound on requests to an endpoint that advertises a limit, and the times of the simulation.
const (
	limitWindow      = 4 * time.Second
	limitGracePeriod = 3 * time.Second // the bound holds from then on
	limitKnownAfter  = 500 * time.Millisecond
	limitStart       = 2 * time.Second // the limit is advertised from then on
	limitDuration    = 60 * time.Second
	tick             = 5 * time.Millisecond
	maxAnswerTime    = 200 * time.Millisecond
	// maxPropagation is the longest time until an entry learns of another one's start or stop.
	maxPropagation = time.Second
)

// limitSimulation is a set of entries and the endpoints of a service, the first of which advertises
// a limit.
type limitSimulation struct {
	service     string
	random      *rand.Rand
	now         time.Time
	limit       float64 // 0: none is advertised
	advertised  bool
	entries     []*simulatedEntry
	started     int
	scheduled   map[time.Time][]func()
	sent        []time.Duration // to the limited endpoint, by entries that knew its limit
	servedThere int             // by the limited endpoint, in total
	refused     int
	reports     int  // changes of the limit that entries reported to each other
	storeDown   bool // the store, which carries these reports
}

type simulatedEntry struct {
	id         string
	fleet      *fleet.Fleet
	reportedAt time.Time
	stopped    bool
}

func newLimitSimulation(service string, entries, endpoints int, seed uint64) *limitSimulation {
	f := &limitSimulation{
		service: service, random: rand.New(rand.NewPCG(seed, 1)),
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), scheduled: map[time.Time][]func(){},
	}
	for range entries {
		f.startEntry(endpoints)
	}
	f.propagateEntries()
	return f
}

func (f *limitSimulation) startEntry(endpoints int) *simulatedEntry {
	e := &simulatedEntry{id: fmt.Sprint("entry-", f.started), fleet: fleet.New(func() time.Time { return f.now })}
	f.started++
	f.entries = append(f.entries, e)
	e.fleet.SetRandom(f.random.Float64)
	e.fleet.Configure(catalog.New(catalog.Spec{Services: []catalog.Service{
		{Name: "llm", Engine: &catalog.Engine{Slots: 16, PromptTokensPerSecond: 19100}}, {Name: "app"},
	}}))
	for i := range endpoints {
		e.fleet.Register(fleet.Registration{
			ID: fmt.Sprint("e-", i), Service: f.service, Address: address(i), FailureDomain: "d1",
			Slots: 16, Loaded: map[string]uint64{"m": 1},
		})
	}
	return e
}

// replaceEntry stops an entry and starts another one.
func (f *limitSimulation) replaceEntry(at, endpoints int) {
	f.entries[at].stopped = true
	f.entries = slices.Delete(f.entries, at, at+1)
	f.startEntry(endpoints)
	f.propagateEntries()
}

// propagateEntries lets every entry learn the current set of entries.
func (f *limitSimulation) propagateEntries() {
	for _, e := range f.entries {
		var others []string
		var places []deal.Place
		for _, other := range f.entries {
			places = append(places, deal.Place{ID: other.id, Region: "r", FailureDomain: "d1"})
			if other != e {
				others = append(others, other.id)
			}
		}
		f.schedule(time.Duration(f.random.Int64N(int64(maxPropagation))), func() {
			e.fleet.SetEntries(e.id, others, 1+len(others))
			var engines []deal.Place
			for _, eng := range e.fleet.Engines() {
				engines = append(engines, deal.Place{ID: eng.Address, Region: "r", FailureDomain: eng.FailureDomain})
			}
			e.fleet.SetAssignments(deal.New(deal.Place{ID: e.id, Region: "r", FailureDomain: "d1"}, places).Assignments(engines))
		})
	}
}

func (f *limitSimulation) schedule(wait time.Duration, do func()) {
	at := f.now.Add(max(tick, wait.Round(tick)))
	f.scheduled[at] = append(f.scheduled[at], do)
}

// sendRequest gives a request to an entry.
func (f *limitSimulation) sendRequest(e *simulatedEntry) {
	need := fleet.Need{Domain: "d1", Entries: len(f.entries)}
	if f.service == "llm" {
		need.Model, need.Prompt = "m", 900
	}
	grant, verdict := e.fleet.Group(f.service).Pick(need)
	if verdict != fleet.Granted {
		f.refused++
		return
	}
	limited := grant.Address() == address(0)
	if limited {
		f.servedThere++
		if !e.reportedAt.IsZero() && f.now.Sub(e.reportedAt) >= limitKnownAfter {
			f.sent = append(f.sent, f.now.Sub(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)))
		}
	}
	f.schedule(time.Duration(f.random.Int64N(int64(maxAnswerTime))), func() {
		if e.stopped {
			return
		}
		if limited {
			if grant.ApplyLimit(f.limit, f.advertised) == fleet.LimitChanged {
				f.propagateReport(fleet.LimitReport{Incarnation: grant.Incarnation(), PerSecond: f.limit})
			}
			if f.advertised && e.reportedAt.IsZero() {
				e.reportedAt = f.now
			}
		}
		grant.Done(fleet.Served)
	})
}

// propagateReport lets every entry learn of a changed limit.
func (f *limitSimulation) propagateReport(report fleet.LimitReport) {
	f.reports++
	if f.storeDown {
		return
	}
	for _, e := range f.entries {
		f.schedule(time.Duration(f.random.Int64N(int64(maxPropagation))), func() { e.fleet.ObserveLimit(report) })
	}
}

// run simulates the given time at rate requests per second and calls onTick, if not nil, at each
// tick.
func (f *limitSimulation) run(length time.Duration, rate float64, onTick func(at time.Duration)) {
	for at := time.Duration(0); at < length; at += tick {
		f.now = f.now.Add(tick)
		for _, do := range f.scheduled[f.now] {
			do()
		}
		delete(f.scheduled, f.now)
		if onTick != nil {
			onTick(at)
		}
		for expected := rate * tick.Seconds(); expected > 0; expected-- {
			if f.random.Float64() >= expected {
				continue
			}
			f.sendRequest(f.entries[f.random.IntN(len(f.entries))])
		}
	}
}

// maxInWindow returns the most requests sent within a window after the given time.
func (f *limitSimulation) maxInWindow(after time.Duration) int {
	highest, first := 0, 0
	for last, at := range f.sent {
		for f.sent[first] < after && first < last || at-f.sent[first] > limitWindow {
			first++
		}
		if at >= after {
			highest = max(highest, last-first+1)
		}
	}
	return highest
}

// Guards against entries that together exceed the limit that an endpoint advertises, also while
// entries stop and start, and against a limit that leaves the endpoint idle.
func TestLimitOfAnEndpointIsSharedByAllEntries(t *testing.T) {
	for _, tc := range []struct {
		service            string
		entries, endpoints int
		limit, rate        float64
		churn              bool
	}{
		{"app", 9, 3, 1, 150, false},
		{"app", 9, 3, 1, 150, true},
		{"app", 9, 1, 4, 60, false},
		{"app", 34, 3, 0.5, 300, true},
		{"app", 98, 5, 1, 600, true},
		{"app", 98, 5, 20, 600, true},
		{"app", 9, 3, 0, 150, false},
		{"llm", 9, 14, 1, 170, false},
		{"llm", 9, 14, 3.5, 170, true},
		{"llm", 34, 40, 1, 600, true},
	} {
		for seed := range uint64(3) {
			f := newLimitSimulation(tc.service, tc.entries, tc.endpoints, seed)
			f.run(limitStart, tc.rate, nil)
			f.limit, f.advertised = tc.limit, true
			f.run(limitDuration, tc.rate, func(at time.Duration) {
				if tc.churn && at%(5*time.Second) == 0 {
					f.replaceEntry(f.random.IntN(len(f.entries)), tc.endpoints)
				}
			})
			allowed := int(1.5*tc.limit*limitWindow.Seconds()) + 5
			if got := f.maxInWindow(limitStart + limitGracePeriod); got > allowed {
				t.Errorf("%+v seed %d: got %d requests in %v, want at most %d", tc, seed, got, limitWindow, allowed)
			}
			if got, want := f.servedThere, int(0.5*tc.limit*limitDuration.Seconds()); got < want {
				t.Errorf("%+v seed %d: got %d requests at the limited endpoint in %v, want at least %d", tc, seed, got, limitDuration, want)
			}
			t.Logf("%+v seed %d: highest %d of %d allowed, served %d, refused %d", tc, seed, f.maxInWindow(limitStart+limitGracePeriod), allowed, f.servedThere, f.refused)
		}
	}
}

// Guards against entries that use an outdated limit after the endpoint changed it: only its own
// answers show the change, and entries without a share of the limit rarely send there.
func TestChangedLimitOfAnEndpointIsSharedByAllEntries(t *testing.T) {
	const changedAt, window = 30 * time.Second, 30 * time.Second
	for _, tc := range []struct {
		entries, endpoints int
		rate               float64
		before, after      float64
		churn, away        bool
	}{
		{98, 3, 900, 20, 1, true, false},
		{98, 3, 900, 20, 1, false, true},
		{9, 3, 400, 1, 37.5, false, false},
		{9, 3, 400, 37.5, 1, false, false},
		{34, 3, 600, 0.5, 20, true, false},
		{34, 3, 600, 20, 0, true, false},
	} {
		for seed := range uint64(5) {
			f := newLimitSimulation("app", tc.entries, tc.endpoints, seed)
			f.storeDown = tc.away
			churn := func(at time.Duration) {
				if tc.churn && at%(4*time.Second) == 0 {
					f.replaceEntry(f.random.IntN(len(f.entries)), tc.endpoints)
				}
			}
			f.run(limitStart, tc.rate, nil)
			f.limit, f.advertised = tc.before, true
			f.run(changedAt-limitStart, tc.rate, churn)
			f.limit = tc.after
			f.run(limitGracePeriod+time.Second, tc.rate, churn)
			before := f.servedThere
			f.run(window, tc.rate, churn)
			allowed := int(1.5*tc.after*limitWindow.Seconds()) + 5
			if got := f.maxInWindow(changedAt + limitGracePeriod + time.Second + limitWindow); got > allowed {
				t.Errorf("%+v seed %d: got %d requests in %v, want at most %d", tc, seed, got, limitWindow, allowed)
			}
			got, want := float64(f.servedThere-before)/window.Seconds(), 0.8*tc.after
			if got < want && !tc.away {
				t.Errorf("%+v seed %d: got %.1f requests per second at the limited endpoint, want at least %.1f", tc, seed, got, want)
			}
			if most := 2 * tc.entries; f.reports > most {
				t.Errorf("%+v seed %d: got %d reports of the change, want at most %d", tc, seed, f.reports, most)
			}
			t.Logf("%+v seed %d: highest %d of %d allowed, served %.1f per second, reported %d", tc, seed, f.maxInWindow(changedAt+limitGracePeriod+time.Second+limitWindow), allowed, got, f.reports)
		}
	}
}
