package fleet_test

import (
	"testing"
	"time"

	"comfreyrelay.example/relay/fleet"
)

// registerPlain registers a plain endpoint.
func (w *fixture) registerPlain(id string, born int64) {
	w.fleet.Register(fleet.Registration{ID: id, Born: born, Service: "app", Address: id + ":80", FailureDomain: "d1", Slots: 4})
}

func (w *fixture) pickPlain() (*fleet.Grant, fleet.Verdict) {
	return w.fleet.Group("app").Pick(fleet.Need{Domain: "d1", Entries: 1})
}

// Guards against a back-off that is shortened by a later event: a shorter back-off, a refusal
// without one, or an earlier request that is served.
func TestBackOffIsNotShortened(t *testing.T) {
	w := newFixture()
	w.registerPlain("a", 0)
	var grants []*fleet.Grant
	for range 4 {
		grant, verdict := w.pickPlain()
		if verdict != fleet.Granted {
			t.Fatalf("got verdict %v, want a grant", verdict)
		}
		grants = append(grants, grant)
	}
	grants[0].BackOff(3 * time.Second)
	grants[0].Done(fleet.Refused)
	grants[1].BackOff(time.Second)
	grants[1].Done(fleet.Refused)
	grants[2].Done(fleet.Refused)
	grants[3].Done(fleet.Served)
	w.now = w.now.Add(3*time.Second - time.Millisecond)
	if _, verdict := w.pickPlain(); verdict == fleet.Granted {
		t.Errorf("got a grant during the back-off, want none")
	}
	w.now = w.now.Add(time.Millisecond)
	if _, verdict := w.pickPlain(); verdict != fleet.Granted {
		t.Errorf("got verdict %v after the back-off, want a grant", verdict)
	}
}

// Guards against a notice that is lost when a registration lapses and returns, and against one that
// applies to the endpoint's next incarnation.
func TestNoticeHoldsForItsIncarnation(t *testing.T) {
	for name, announce := range map[string]func(*fleet.Grant){
		"leaving": func(grant *fleet.Grant) { grant.NoteLeaving() },
		"rest":    func(grant *fleet.Grant) { grant.BackOff(time.Minute) },
	} {
		w := newFixture()
		w.registerPlain("a", 1)
		grant, _ := w.pickPlain()
		announce(grant)
		grant.Done(fleet.Served)
		w.fleet.Remove("a", w.now)
		w.now = w.now.Add(10 * time.Second)
		w.registerPlain("b", 1)
		w.fleet.Remove("b", w.now)
		w.registerPlain("a", 1)
		if _, verdict := w.pickPlain(); verdict == fleet.Granted {
			t.Errorf("%s: got a grant after the registration came back, want none", name)
		}
		w.registerPlain("a", 2)
		if _, verdict := w.pickPlain(); verdict != fleet.Granted {
			t.Errorf("%s: got verdict %v for the next incarnation, want a grant", name, verdict)
		}
	}
}

// Guards against a grant that remains valid after the endpoint declined new requests.
func TestGrantOfEndpointThatDeclinesRequests(t *testing.T) {
	w := newFixture()
	w.registerPlain("a", 0)
	first, _ := w.pickPlain()
	second, _ := w.pickPlain()
	if !second.AcceptsRequests() {
		t.Fatal("got a declined grant, want a good one")
	}
	first.BackOff(time.Second)
	if second.AcceptsRequests() {
		t.Errorf("got a good grant during a back-off, want a declined one")
	}
	w.now = w.now.Add(time.Second)
	if !second.AcceptsRequests() {
		t.Errorf("got a declined grant after the back-off, want a good one")
	}
	first.NoteLeaving()
	if second.AcceptsRequests() {
		t.Errorf("got a good grant at a leaving endpoint, want a declined one")
	}
}

// Guards against saved notices of removed endpoints that grow without bound.
func TestSavedNoticesAreBounded(t *testing.T) {
	w := newFixture()
	for i := range 5000 {
		id := address(i)
		w.registerPlain(id, 0)
		grant, verdict := w.pickPlain()
		if verdict != fleet.Granted {
			t.Fatalf("got verdict %v, want a grant", verdict)
		}
		grant.NoteLeaving()
		grant.Done(fleet.Served)
		w.fleet.Remove(id, w.now)
	}
	if got, want := w.fleet.Notices(), 1024; got > want {
		t.Errorf("got %d notices of removed endpoints, want at most %d", got, want)
	}
}

// Guards against choosing an engine that its agent reports as leaving, and against excluding an
// engine because of what its agent reported of an earlier one at its address.
func TestEngineReportedLeavingByAgent(t *testing.T) {
	w := newFixture()
	w.registerEngine(0, 1)
	w.assignAll()
	w.observeState(0, fleet.EngineState{Alive: true, Leaving: true})
	if _, verdict := w.fleet.Group("llm").Pick(need); verdict != fleet.NoEndpoint {
		t.Errorf("got verdict %v for a leaving engine, want nobody", verdict)
	}
	w.observeState(0, fleet.EngineState{Alive: true})
	w.pick(t, need)
}

// Guards against refusing a request that an endpoint may take in time, and against letting one wait
// that no endpoint will take.
func TestBacklogOfBackOffs(t *testing.T) {
	const backOff = 3 * time.Second
	for name, test := range map[string]struct {
		// events holds what each endpoint did; tried lists the endpoints that got the request
		// already.
		events map[string]func(*fleet.Grant)
		tried  []string
		want   fleet.Backlog
		ok     bool
	}{
		"all back off": {
			events: map[string]func(*fleet.Grant){"a": backingOff(backOff), "b": backingOff(2 * backOff)},
			want:   fleet.Backlog{Wait: backOff, BackOff: true}, ok: true,
		},
		"the first to end was tried": {
			events: map[string]func(*fleet.Grant){"a": backingOff(backOff), "b": backingOff(2 * backOff)},
			tried:  []string{"a"},
			want:   fleet.Backlog{Wait: 2 * backOff, BackOff: true}, ok: true,
		},
		"all were tried": {
			events: map[string]func(*fleet.Grant){"a": backingOff(2 * backOff), "b": backingOff(backOff)},
			tried:  []string{"a", "b"},
			want:   fleet.Backlog{Wait: backOff, BackOff: true, AllTried: true}, ok: true,
		},
		"one leaves": {
			events: map[string]func(*fleet.Grant){"a": backingOff(backOff), "b": func(grant *fleet.Grant) { grant.NoteLeaving() }},
			want:   fleet.Backlog{Wait: backOff, BackOff: true}, ok: true,
		},
		"one is free":   {events: map[string]func(*fleet.Grant){"a": backingOff(backOff)}},
		"one is paused": {events: map[string]func(*fleet.Grant){"a": backingOff(backOff), "b": func(grant *fleet.Grant) { grant.Done(fleet.Unreachable) }}},
		"one is limited and has credit": {
			events: map[string]func(*fleet.Grant){"a": backingOff(backOff), "b": func(grant *fleet.Grant) { grant.ApplyLimit(10, true) }},
			ok:     true,
		},
		"one is limited for longer than the back-off": {
			events: map[string]func(*fleet.Grant){"a": backingOff(time.Second), "b": func(grant *fleet.Grant) { grant.ApplyLimit(0.25, true) }},
			want:   fleet.Backlog{Wait: time.Second, BackOff: true}, ok: true,
		},
	} {
		w := newFixture()
		grants := map[string]*fleet.Grant{}
		for _, id := range []string{"a", "b"} {
			w.registerPlain(id, 0)
			for grants[id] == nil {
				grant, _ := w.pickPlain()
				grants[grant.ID()] = grant
			}
		}
		need := fleet.Need{Domain: "d1", Entries: 1}
		for id, events := range test.events {
			events(grants[id])
		}
		w.now = w.now.Add(100 * time.Millisecond)
		for _, id := range test.tried {
			need.Exclude = append(need.Exclude, grants[id].Incarnation())
		}
		if test.want.Wait > 0 {
			test.want.Wait -= 100 * time.Millisecond
		}
		if got, ok := w.fleet.Group("app").Backlog(need, 0); ok != test.ok || ok && got != test.want {
			t.Errorf("%s: got %+v, %v, want %+v, %v", name, got, ok, test.want, test.ok)
		}
	}
}

func backingOff(wait time.Duration) func(*fleet.Grant) {
	return func(grant *fleet.Grant) { grant.BackOff(wait) }
}
