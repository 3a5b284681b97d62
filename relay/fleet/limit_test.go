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

// The bound on requests to an endpoint that named a limit, and the times of the simulated fleet.
const (
	limitWindow = 4 * time.Second
	limitNotice = 3 * time.Second // the bound holds from then on
	limitKnown  = 500 * time.Millisecond
	limitFrom   = 2 * time.Second // the limit is named from then on
	limitLength = 60 * time.Second
	tick        = 5 * time.Millisecond
	answerMost  = 200 * time.Millisecond
	// learnMost is the longest until an entry learns of another one's start or end.
	learnMost = time.Second
)

// limitedFleet is entries before the endpoints of a service, of which the first names a limit.
type limitedFleet struct {
	service string
	random  *rand.Rand
	now     time.Time
	limit   float64 // 0: none is named
	named   bool
	entries []*limitedEntry
	started int
	calls   map[time.Time][]func()
	sent    []time.Duration // to the limited endpoint, by entries that knew of its limit
	served  int             // there, in all
	refused int
	reports int  // changes of the limit that entries reported to one another
	away    bool // the store, through which they do
}

type limitedEntry struct {
	id         string
	fleet      *fleet.Fleet
	reportedAt time.Time
	gone       bool
}

func newLimitedFleet(service string, entries, endpoints int, seed uint64) *limitedFleet {
	f := &limitedFleet{
		service: service, random: rand.New(rand.NewPCG(seed, 1)),
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), calls: map[time.Time][]func(){},
	}
	for range entries {
		f.start(endpoints)
	}
	f.share()
	return f
}

func (f *limitedFleet) start(endpoints int) *limitedEntry {
	e := &limitedEntry{id: fmt.Sprint("entry-", f.started), fleet: fleet.New(func() time.Time { return f.now })}
	f.started++
	f.entries = append(f.entries, e)
	e.fleet.SetRandom(f.random.Float64)
	e.fleet.Declare(catalog.New(catalog.Spec{Services: []catalog.Service{
		{Name: "llm", Engine: &catalog.Engine{Slots: 16, ReadPerSecond: 19100}}, {Name: "app"},
	}}))
	for i := range endpoints {
		e.fleet.Register(fleet.Registration{
			ID: fmt.Sprint("e-", i), Service: f.service, Address: address(i), FailureDomain: "d1",
			Slots: 16, Loaded: map[string]uint64{"m": 1},
		})
	}
	return e
}

// replace ends an entry and starts another one.
func (f *limitedFleet) replace(at, endpoints int) {
	f.entries[at].gone = true
	f.entries = slices.Delete(f.entries, at, at+1)
	f.start(endpoints)
	f.share()
}

// share lets every entry learn of the entries that there are now.
func (f *limitedFleet) share() {
	for _, e := range f.entries {
		var others []string
		var places []deal.Place
		for _, other := range f.entries {
			places = append(places, deal.Place{ID: other.id, Region: "r", FailureDomain: "d1"})
			if other != e {
				others = append(others, other.id)
			}
		}
		f.after(time.Duration(f.random.Int64N(int64(learnMost))), func() {
			e.fleet.SetEntries(e.id, others)
			var engines []deal.Place
			for _, eng := range e.fleet.Engines() {
				engines = append(engines, deal.Place{ID: eng.Address, Region: "r", FailureDomain: eng.FailureDomain})
			}
			e.fleet.SetParts(deal.New(deal.Place{ID: e.id, Region: "r", FailureDomain: "d1"}, places).Parts(engines))
		})
	}
}

func (f *limitedFleet) after(wait time.Duration, do func()) {
	at := f.now.Add(max(tick, wait.Round(tick)))
	f.calls[at] = append(f.calls[at], do)
}

// ask brings a request to an entry.
func (f *limitedFleet) ask(e *limitedEntry) {
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
		f.served++
		if !e.reportedAt.IsZero() && f.now.Sub(e.reportedAt) >= limitKnown {
			f.sent = append(f.sent, f.now.Sub(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)))
		}
	}
	f.after(time.Duration(f.random.Int64N(int64(answerMost))), func() {
		if e.gone {
			return
		}
		if limited {
			if grant.Limited(f.limit, f.named) == fleet.LimitChanged {
				f.report(fleet.LimitReport{Incarnation: grant.Incarnation(), PerSecond: f.limit})
			}
			if f.named && e.reportedAt.IsZero() {
				e.reportedAt = f.now
			}
		}
		grant.Done(fleet.Served)
	})
}

// report lets every entry learn of a changed limit.
func (f *limitedFleet) report(report fleet.LimitReport) {
	f.reports++
	if f.away {
		return
	}
	for _, e := range f.entries {
		f.after(time.Duration(f.random.Int64N(int64(learnMost))), func() { e.fleet.ObserveLimit(report) })
	}
}

// run plays the time with so many requests a second and calls each, if not nil, at each tick.
func (f *limitedFleet) run(length time.Duration, rate float64, each func(at time.Duration)) {
	for at := time.Duration(0); at < length; at += tick {
		f.now = f.now.Add(tick)
		for _, do := range f.calls[f.now] {
			do()
		}
		delete(f.calls, f.now)
		if each != nil {
			each(at)
		}
		for due := rate * tick.Seconds(); due > 0; due-- {
			if f.random.Float64() >= due {
				continue
			}
			f.ask(f.entries[f.random.IntN(len(f.entries))])
		}
	}
}

// most returns the most requests that were sent within a window after the time given.
func (f *limitedFleet) most(after time.Duration) int {
	most, first := 0, 0
	for last, at := range f.sent {
		for f.sent[first] < after && first < last || at-f.sent[first] > limitWindow {
			first++
		}
		if at >= after {
			most = max(most, last-first+1)
		}
	}
	return most
}

// Guards against entries that together send an endpoint more than the limit that it names, also
// while some of them end and others start, and against a limit that leaves the endpoint idle.
func TestLimitOfAnEndpointIsSharedByAllEntries(t *testing.T) {
	for _, one := range []struct {
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
			f := newLimitedFleet(one.service, one.entries, one.endpoints, seed)
			f.run(limitFrom, one.rate, nil)
			f.limit, f.named = one.limit, true
			f.run(limitLength, one.rate, func(at time.Duration) {
				if one.churn && at%(5*time.Second) == 0 {
					f.replace(f.random.IntN(len(f.entries)), one.endpoints)
				}
			})
			allowed := int(1.5*one.limit*limitWindow.Seconds()) + 5
			if got := f.most(limitFrom + limitNotice); got > allowed {
				t.Errorf("%+v seed %d: got %d requests in %v, want %d at most", one, seed, got, limitWindow, allowed)
			}
			if got, want := f.served, int(0.5*one.limit*limitLength.Seconds()); got < want {
				t.Errorf("%+v seed %d: got %d requests there in %v, want %d of those it accepts", one, seed, got, limitLength, want)
			}
			t.Logf("%+v seed %d: most %d of %d, there %d, refused %d", one, seed, f.most(limitFrom+limitNotice), allowed, f.served, f.refused)
		}
	}
}

// Guards against entries that go by a limit which the endpoint has changed, because only its own
// answers show that and entries without a part of the limit ask seldom.
func TestChangedLimitOfAnEndpointIsSharedByAllEntries(t *testing.T) {
	const changedAt, window = 30 * time.Second, 30 * time.Second
	for _, one := range []struct {
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
			f := newLimitedFleet("app", one.entries, one.endpoints, seed)
			f.away = one.away
			churn := func(at time.Duration) {
				if one.churn && at%(4*time.Second) == 0 {
					f.replace(f.random.IntN(len(f.entries)), one.endpoints)
				}
			}
			f.run(limitFrom, one.rate, nil)
			f.limit, f.named = one.before, true
			f.run(changedAt-limitFrom, one.rate, churn)
			f.limit = one.after
			f.run(limitNotice+time.Second, one.rate, churn)
			before := f.served
			f.run(window, one.rate, churn)
			allowed := int(1.5*one.after*limitWindow.Seconds()) + 5
			if got := f.most(changedAt + limitNotice + time.Second + limitWindow); got > allowed {
				t.Errorf("%+v seed %d: got %d requests in %v, want %d at most", one, seed, got, limitWindow, allowed)
			}
			got, want := float64(f.served-before)/window.Seconds(), 0.8*one.after
			if got < want && !one.away {
				t.Errorf("%+v seed %d: got %.1f requests a second there, want %.1f", one, seed, got, want)
			}
			if most := 2 * one.entries; f.reports > most {
				t.Errorf("%+v seed %d: got the change reported %d times, want %d at most", one, seed, f.reports, most)
			}
			t.Logf("%+v seed %d: most %d of %d, there %.1f a second, reported %d", one, seed, f.most(changedAt+limitNotice+time.Second+limitWindow), allowed, got, f.reports)
		}
	}
}
