package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"comfreyrelay.example/relay/call"
	"comfreyrelay.example/relay/catalog"
	"comfreyrelay.example/relay/deal"
	"comfreyrelay.example/relay/fleet"
)

// world is a fleet of engines with a clock that tests move.
type fixture struct {
	now   time.Time
	fleet *fleet.Fleet
}

func newFixture() *fixture {
	w := &fixture{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	w.fleet = fleet.New(func() time.Time { return w.now })
	w.fleet.Declare(catalog.New(catalog.Spec{Services: []catalog.Service{
		{Name: "llm", Engine: &catalog.Engine{Slots: 16, ReadPerSecond: 19100}},
		{Name: "app"},
	}}))
	return w
}

func (w *fixture) registerEngine(i int, version uint64) {
	w.fleet.Register(fleet.Registration{
		ID: fmt.Sprintf("e-%d", i), Service: "llm", Address: address(i), FailureDomain: "d1",
		Slots: 16, Loaded: map[string]uint64{"m": version},
	})
}

// own makes all engines known now home to this entry.
func (w *fixture) assignAll() { w.assign("d1", "self", "self") }

// deal shares the engines known now out among entries of a failure domain.
func (w *fixture) assign(domain, self string, entries ...string) {
	place := func(id string) deal.Place { return deal.Place{ID: id, Region: domain, FailureDomain: domain} }
	var others, engines []deal.Place
	for _, id := range entries {
		others = append(others, place(id))
	}
	for _, eng := range w.fleet.Engines() {
		engines = append(engines, deal.Place{ID: eng.Address, Region: eng.FailureDomain, FailureDomain: eng.FailureDomain})
	}
	w.fleet.SetParts(deal.New(place(self), others).Parts(engines))
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:80", i) }

func (w *fixture) observeState(i int, state fleet.EngineState) {
	if state.Loaded == nil {
		state.Loaded = map[string]uint64{"m": 1}
	}
	w.fleet.Observe("llm", address(i), state)
}

var need = fleet.Need{Model: "m", Prompt: 1000, Domain: "d1", Entries: 1}

func (w *fixture) pick(t *testing.T, need fleet.Need) *fleet.Grant {
	t.Helper()
	grant, verdict := w.fleet.Group("llm").Pick(need)
	if verdict != fleet.Granted {
		t.Fatalf("got verdict %v, want a grant", verdict)
	}
	return grant
}

// Symptom: first events take half a second though no engine is full. Sequence:
// nine entries know the same state of the engines and prompts arrive at several
// entries within one state's age. Cause: all choose the engine that looks best,
// and its prompts wait for one another.
func TestEntriesOfADomainPreferDifferentEngines(t *testing.T) {
	entries := []string{"entry-a", "entry-b", "entry-c"}
	chosen := map[string]string{}
	for _, self := range entries {
		w := newFixture()
		for i := range 6 {
			w.registerEngine(i, 1)
		}
		w.assign("d1", self, entries...)
		for i := range 6 {
			w.observeState(i, fleet.EngineState{Alive: true, Running: 4})
		}
		for range 2 {
			grant := w.pick(t, need)
			if other, ok := chosen[grant.ID()]; ok && other != self {
				t.Errorf("got %s chosen by %s and %s, want one of them", grant.ID(), other, self)
			}
			chosen[grant.ID()] = self
		}
	}
	if got, want := len(chosen), 6; got != want {
		t.Errorf("got %d engines chosen, want %d", got, want)
	}
}

func TestPromptsOfOtherEntriesCount(t *testing.T) {
	w := newFixture()
	w.registerEngine(0, 1)
	w.registerEngine(1, 1)
	w.observeState(0, fleet.EngineState{Alive: true, Running: 1, Reading: 6000})
	w.observeState(1, fleet.EngineState{Alive: true, Running: 8})
	if got, want := w.pick(t, need).ID(), "e-1"; got != want {
		t.Errorf("got %s, want %s, where nothing waits to be read", got, want)
	}
}

// Symptom: requests wait a second at an engine and are late. Sequence: prompts
// come faster than engines read. Cause: engines take what comes; each has free
// slots.
func TestPromptsThatCannotBeReadInTimeWait(t *testing.T) {
	w := newFixture()
	w.registerEngine(0, 1)
	w.assignAll()
	w.observeState(0, fleet.EngineState{Alive: true, Running: 1, Reading: 3000})
	tight := need
	tight.Unread = 3500
	if _, verdict := w.fleet.Group("llm").Pick(tight); verdict != fleet.Full {
		t.Errorf("got verdict %v, want full", verdict)
	}
	tight.Unread = 4000
	grant := w.pick(t, tight)
	if got, want := w.fleet.Reading("llm", address(0)), 1000; got != want {
		t.Errorf("got %d tokens unread, want %d", got, want)
	}
	grant.Began()
	if got := w.fleet.Reading("llm", address(0)); got != 0 {
		t.Errorf("got %d tokens unread after the first event, want none", got)
	}
	w.observeState(0, fleet.EngineState{Alive: true})
	huge := need
	huge.Prompt, huge.Unread = 9000, 2000
	w.pick(t, huge) // an engine that reads nothing takes any prompt
}

func TestOccupancyAddsRequestsSentSinceAgentReport(t *testing.T) {
	w := newFixture()
	w.registerEngine(0, 1)
	w.assignAll()
	w.observeState(0, fleet.EngineState{Alive: true, Running: 15})
	w.now = w.now.Add(50 * time.Millisecond)
	grant := w.pick(t, need)
	if _, verdict := w.fleet.Group("llm").Pick(need); verdict != fleet.Full {
		t.Errorf("got verdict %v beside 15 running and one sent, want full", verdict)
	}
	grant.Done(fleet.Served)
	w.pick(t, need)
}

// Symptom: prompts wait for a slot at an engine that was chosen because one was
// free. Sequence: its own entry and another one send within one state's age.
// Cause: both count the same free slot.
func TestEngineReservesASlotForItsHomeEntry(t *testing.T) {
	w := newFixture()
	w.registerEngine(0, 1)
	w.observeState(0, fleet.EngineState{Alive: true, Running: 15})
	if _, verdict := w.fleet.Group("llm").Pick(need); verdict != fleet.Full {
		t.Errorf("got verdict %v away from home, want full", verdict)
	}
	w.assignAll()
	w.pick(t, need).Done(fleet.Served)
	w.assign("d1", "self", "a", "self")
	resumed := need
	resumed.Again = true
	w.pick(t, resumed) // what was begun elsewhere waits for no slot of others
}

func TestDeadAndBusyEnginesGetNoRequests(t *testing.T) {
	for name, state := range map[string]fleet.EngineState{
		"dead": {}, "ordered": {Alive: true, Busy: true}, "empty": {Alive: true, Loaded: map[string]uint64{}},
	} {
		w := newFixture()
		w.registerEngine(0, 1)
		w.observeState(0, state)
		if _, verdict := w.fleet.Group("llm").Pick(need); verdict != fleet.Nobody {
			t.Errorf("%s: got verdict %v, want nobody", name, verdict)
		}
	}
}

// Symptom: a request begins on a version that ended (VERSION of the platform's
// rules). Sequence: it is sent to an engine half a second before the end and
// waits there behind others. Cause: only the moment of sending was looked at.
func TestEngineWithEndingVersionGetsOnlyRequestsItStartsAtOnce(t *testing.T) {
	w := newFixture()
	w.registerEngine(0, 1)
	w.assignAll()
	ending := need
	ending.SoonFloor, ending.Unread = 2, 9000
	w.observeState(0, fleet.EngineState{Alive: true, Running: 3, Reading: 1200})
	if _, verdict := w.fleet.Group("llm").Pick(ending); verdict != fleet.Full {
		t.Errorf("got verdict %v behind 1200 tokens, want full", verdict)
	}
	w.observeState(0, fleet.EngineState{Alive: true, Running: 3})
	w.pick(t, ending)
	ending.Floor = 2
	if _, verdict := w.fleet.Group("llm").Pick(ending); verdict != fleet.Nobody {
		t.Errorf("got verdict %v once the version ended, want nobody", verdict)
	}
}

// Symptom: a request begins on a version 13.4 s after a newer one was acknowledged,
// where 13.4 s were allowed. Sequence: 88 engines load a new version; a few are left
// with the old one; 35 entries see the same engine idle, 20 to 250 ms ago, and each
// sends what it would begin at once; the last of them waits 1.2 s there. Cause: each
// entry reckoned as if it were the only one.
func TestEngineWithEndingVersionGetsRequestsFromOneEntry(t *testing.T) {
	ending := need
	ending.SoonFloor, ending.Unread = 2, 9000
	senders := 0
	entries := []string{"a", "b", "c", "d"}
	for _, self := range entries {
		w := newFixture()
		w.registerEngine(0, 1)
		w.observeState(0, fleet.EngineState{Alive: true})
		w.assign("d1", self, entries...)
		if _, verdict := w.fleet.Group("llm").Pick(ending); verdict == fleet.Granted {
			senders++
		}
	}
	if senders != 1 {
		t.Errorf("got %d entries that send to an engine whose version ends, want one", senders)
	}
}

func TestResumedRequestPrefersEngineWithWantedVersion(t *testing.T) {
	w := newFixture()
	w.registerEngine(0, 1)
	w.registerEngine(1, 2)
	w.observeState(0, fleet.EngineState{Alive: true, Running: 2})
	w.observeState(1, fleet.EngineState{Alive: true, Running: 14, Loaded: map[string]uint64{"m": 2}})
	resumed := need
	resumed.Wanted, resumed.Again = 2, true
	if got, want := w.pick(t, resumed).ID(), "e-1"; got != want {
		t.Errorf("got %s, want %s, which will not be cut again", got, want)
	}
}

// Guards against a stream that is cut off again, for good, because it went on at the engine whose turn
// to load came next.
func TestResumedRequestPrefersEngineLateInRollout(t *testing.T) {
	for name, turns := range map[string][]float64{"next and later": {0.1, 0.6}, "later and waiting for what runs": {0.6, 0.8}} {
		w := newFixture()
		places := map[string]float64{}
		for i, turn := range turns {
			w.registerEngine(i, 1)
			places[address(i)] = turn
		}
		w.observeState(0, fleet.EngineState{Alive: true, Running: 2})
		w.observeState(1, fleet.EngineState{Alive: true, Running: 14})
		w.fleet.SetTurns(places)
		resumed := need
		resumed.Wanted, resumed.Again = 2, true
		if got, want := w.pick(t, resumed).ID(), "e-1"; got != want {
			t.Errorf("%s: got %s, want %s", name, got, want)
		}
	}
}

func TestFinalAttemptsAreCounted(t *testing.T) {
	w := newFixture()
	w.registerEngine(0, 1)
	final := need
	final.Last = true
	one, two, other := w.pick(t, final), w.pick(t, final), w.pick(t, need)
	if got, want := w.fleet.Last("llm", address(0)), 2; got != want {
		t.Errorf("got %d, want %d", got, want)
	}
	for i, grant := range []*fleet.Grant{one, other, two} {
		grant.Done(fleet.Served)
		grant.Done(fleet.Served)
		if got, want := w.fleet.Last("llm", address(0)), []int{1, 1, 0}[i]; got != want {
			t.Errorf("got %d after %d ended, want %d", got, i+1, want)
		}
	}
}

// Symptom: all endpoints are gone for two seconds after an outage. Sequence: the
// store is down, registrations lapse, it comes back, owners write again. Cause:
// what is missing was taken for gone at once.
func TestLapsedRegistrationsMayReturn(t *testing.T) {
	w := newFixture()
	w.registerEngine(0, 1)
	w.fleet.Remove("e-0", w.now.Add(2*time.Second))
	w.now = w.now.Add(time.Second)
	w.pick(t, need).Done(fleet.Served)
	w.registerEngine(0, 1)
	w.now = w.now.Add(2 * time.Second)
	w.pick(t, need).Done(fleet.Served)
	w.fleet.Remove("e-0", w.now)
	if _, verdict := w.fleet.Group("llm").Pick(need); verdict != fleet.Nobody {
		t.Errorf("got verdict %v after the removal, want nobody", verdict)
	}
}

func TestLeavingEndpointsGetNoRequests(t *testing.T) {
	w := newFixture()
	w.fleet.Register(fleet.Registration{ID: "a-1", Service: "app", Slots: 4, Leaving: true})
	if _, verdict := w.fleet.Group("app").Pick(fleet.Need{}); verdict != fleet.Nobody {
		t.Errorf("got verdict %v, want nobody", verdict)
	}
}

// Symptom: one plain endpoint in three fails half of its requests, and gets a
// third of them. Sequence: it answers fast with errors and so looks idle. Cause:
// only its load was looked at.
func TestFailingEndpointGetsFewerRequests(t *testing.T) {
	w := newFixture()
	for i := range 3 {
		w.fleet.Register(fleet.Registration{ID: fmt.Sprintf("a-%d", i), Service: "app", Address: address(i), Slots: 4})
	}
	counts := map[string]int{}
	for range 300 {
		grant, _ := w.fleet.Group("app").Pick(fleet.Need{})
		counts[grant.ID()]++
		outcome := fleet.Served
		if grant.ID() == "a-1" {
			outcome = fleet.Failed
		}
		grant.Done(outcome)
		w.now = w.now.Add(10 * time.Millisecond)
	}
	if got := counts["a-1"]; got > 30 {
		t.Errorf("got %d of 300 requests at the one that fails, want at most 30", got)
	}
}

func TestUnreachableEndpointsAreRetriedWithBackoff(t *testing.T) {
	w := newFixture()
	w.fleet.Register(fleet.Registration{ID: "a-1", Service: "app", Slots: 4})
	tries := 0
	for range 1000 {
		if grant, verdict := w.fleet.Group("app").Pick(fleet.Need{}); verdict == fleet.Granted {
			tries++
			grant.Done(fleet.Unreachable)
		}
		w.now = w.now.Add(10 * time.Millisecond)
	}
	if tries < 4 || tries > 8 {
		t.Errorf("got %d tries in 10 s, want 4 to 8", tries)
	}
	grant, _ := w.fleet.Group("app").Pick(fleet.Need{})
	if grant != nil {
		grant.Done(fleet.Served)
	}
}

func TestLoadReportedWithAnswersCounts(t *testing.T) {
	w := newFixture()
	w.fleet.Register(fleet.Registration{ID: "a-1", Service: "app", Slots: 2})
	grant, _ := w.fleet.Group("app").Pick(fleet.Need{Entries: 3})
	grant.Answered(&call.Load{Running: 2, Waiting: 3, Slots: 2})
	grant.Done(fleet.Served)
	if _, verdict := w.fleet.Group("app").Pick(fleet.Need{Entries: 3}); verdict != fleet.Full {
		t.Errorf("got verdict %v, want full", verdict)
	}
	w.now = w.now.Add(2 * time.Second)
	if _, verdict := w.fleet.Group("app").Pick(fleet.Need{Entries: 3}); verdict != fleet.Granted {
		t.Errorf("got verdict %v once the word is old, want a grant", verdict)
	}
}
