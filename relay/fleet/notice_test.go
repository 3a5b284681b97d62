package fleet_test

import (
	"testing"
	"time"

	"comfreyrelay.example/relay/fleet"
)

// plain registers a plain endpoint.
func (w *fixture) registerPlain(id string, born int64) {
	w.fleet.Register(fleet.Registration{ID: id, Born: born, Service: "app", Address: id + ":80", FailureDomain: "d1", Slots: 4})
}

func (w *fixture) pickPlain() (*fleet.Grant, fleet.Verdict) {
	return w.fleet.Group("app").Pick(fleet.Need{Domain: "d1", Entries: 1})
}

// Guards against a rest that is shortened by what comes after it: a shorter one, a refusal that
// names none, a request that was on its way and is served.
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
	grants[0].Rest(3 * time.Second)
	grants[0].Done(fleet.Refused)
	grants[1].Rest(time.Second)
	grants[1].Done(fleet.Refused)
	grants[2].Done(fleet.Refused)
	grants[3].Done(fleet.Served)
	w.now = w.now.Add(3*time.Second - time.Millisecond)
	if _, verdict := w.pickPlain(); verdict == fleet.Granted {
		t.Errorf("got a grant within the rest, want none")
	}
	w.now = w.now.Add(time.Millisecond)
	if _, verdict := w.pickPlain(); verdict != fleet.Granted {
		t.Errorf("got verdict %v after the rest, want a grant", verdict)
	}
}

// Guards against a notice that is lost with a registration that lapses and returns, and against one
// that binds the next incarnation of an endpoint.
func TestNoticeHoldsForItsIncarnation(t *testing.T) {
	for name, announce := range map[string]func(*fleet.Grant){
		"leaving": func(grant *fleet.Grant) { grant.NoteLeaving() },
		"rest":    func(grant *fleet.Grant) { grant.Rest(time.Minute) },
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
			t.Errorf("%s: got a grant once the registration is back, want none", name)
		}
		w.registerPlain("a", 2)
		if _, verdict := w.pickPlain(); verdict != fleet.Granted {
			t.Errorf("%s: got verdict %v for the next incarnation, want a grant", name, verdict)
		}
	}
}

// Guards against a choice that still stands once the endpoint wants nothing new.
func TestGrantOfEndpointThatDeclinesRequests(t *testing.T) {
	w := newFixture()
	w.registerPlain("a", 0)
	first, _ := w.pickPlain()
	second, _ := w.pickPlain()
	if !second.Good() {
		t.Fatal("got a grant that isn't good, want one that is")
	}
	first.Rest(time.Second)
	if second.Good() {
		t.Errorf("got a grant that is good within a rest, want one that isn't")
	}
	w.now = w.now.Add(time.Second)
	if !second.Good() {
		t.Errorf("got a grant that isn't good after the rest, want one that is")
	}
	first.NoteLeaving()
	if second.Good() {
		t.Errorf("got a grant that is good at an endpoint that leaves, want one that isn't")
	}
}

// Guards against endpoints kept out of notices that are remembered without bound.
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
		t.Errorf("got %d notices of endpoints that are gone, want at most %d", got, want)
	}
}

// Guards against an engine that is chosen though its agent reports that it leaves, and against one
// that is kept out for what its agent reported of another one before it at its address.
func TestEngineReportedLeavingByAgent(t *testing.T) {
	w := newFixture()
	w.registerEngine(0, 1)
	w.assignAll()
	w.observeState(0, fleet.EngineState{Alive: true, Leaving: true})
	if _, verdict := w.fleet.Group("llm").Pick(need); verdict != fleet.Nobody {
		t.Errorf("got verdict %v of an engine that leaves, want nobody", verdict)
	}
	w.observeState(0, fleet.EngineState{Alive: true})
	w.pick(t, need)
}

// Guards against a request that is refused though an endpoint may take it in time, and against one
// that waits though none will.
func TestBacklogOfBackOffs(t *testing.T) {
	const rest = 3 * time.Second
	for name, test := range map[string]struct {
		// give says what each endpoint did; tried are those that the request was at.
		events map[string]func(*fleet.Grant)
		tried  []string
		want   fleet.Backlog
		ok     bool
	}{
		"all rest": {
			events: map[string]func(*fleet.Grant){"a": backingOff(rest), "b": backingOff(2 * rest)},
			want:   fleet.Backlog{Wait: rest, Rest: true}, ok: true,
		},
		"the first to end was tried": {
			events: map[string]func(*fleet.Grant){"a": backingOff(rest), "b": backingOff(2 * rest)},
			tried:  []string{"a"},
			want:   fleet.Backlog{Wait: 2 * rest, Rest: true}, ok: true,
		},
		"all were tried": {
			events: map[string]func(*fleet.Grant){"a": backingOff(2 * rest), "b": backingOff(rest)},
			tried:  []string{"a", "b"},
			want:   fleet.Backlog{Wait: rest, Rest: true, Tried: true}, ok: true,
		},
		"one leaves": {
			events: map[string]func(*fleet.Grant){"a": backingOff(rest), "b": func(grant *fleet.Grant) { grant.NoteLeaving() }},
			want:   fleet.Backlog{Wait: rest, Rest: true}, ok: true,
		},
		"one is free":   {events: map[string]func(*fleet.Grant){"a": backingOff(rest)}},
		"one is paused": {events: map[string]func(*fleet.Grant){"a": backingOff(rest), "b": func(grant *fleet.Grant) { grant.Done(fleet.Unreachable) }}},
		"one is limited and has credit": {
			events: map[string]func(*fleet.Grant){"a": backingOff(rest), "b": func(grant *fleet.Grant) { grant.Limited(10, true) }},
			ok:     true,
		},
		"one is limited for longer than the rest": {
			events: map[string]func(*fleet.Grant){"a": backingOff(time.Second), "b": func(grant *fleet.Grant) { grant.Limited(0.25, true) }},
			want:   fleet.Backlog{Wait: time.Second, Rest: true}, ok: true,
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
	return func(grant *fleet.Grant) { grant.Rest(wait) }
}
