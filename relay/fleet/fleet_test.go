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

// fixture is a fleet of engines with a clock that tests advance.
type fixture struct {
	now   time.Time
	fleet *fleet.Fleet
}

func newFixture() *fixture {
	w := &fixture{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	w.fleet = fleet.New(func() time.Time { return w.now })
	w.fleet.Configure(catalog.New(catalog.Spec{Services: []catalog.Service{
		{Name: "llm", Engine: &catalog.Engine{Slots: 16, PromptTokensPerSecond: 19100}},
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

// assignAll makes this entry the home of all known engines.
func (w *fixture) assignAll() { w.assign("d1", "self", "self") }

// assign divides the known engines among the entries of a failure domain.
func (w *fixture) assign(domain, self string, entries ...string) {
	place := func(id string) deal.Place { return deal.Place{ID: id, Region: domain, FailureDomain: domain} }
	var others, engines []deal.Place
	for _, id := range entries {
		others = append(others, place(id))
	}
	for _, eng := range w.fleet.Engines() {
		engines = append(engines, deal.Place{ID: eng.Address, Region: eng.FailureDomain, FailureDomain: eng.FailureDomain})
	}
	w.fleet.SetAssignments(deal.New(place(self), others).Assignments(engines))
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

// Guards against first events that take half a second while no engine is full. Nine entries see the
// same engine state and receive prompts within the age of one state. If all choose the engine that
// looks best, their prompts wait for one another there.
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
	w.observeState(0, fleet.EngineState{Alive: true, Running: 1, PendingPrefill: 6000})
	w.observeState(1, fleet.EngineState{Alive: true, Running: 8})
	if got, want := w.pick(t, need).ID(), "e-1"; got != want {
		t.Errorf("got %s, want %s, where no prompt tokens wait", got, want)
	}
}

// Guards against requests that wait a second at an engine and miss their deadline: prompts arrive
// faster than the engines process them, and every engine with a free slot accepts more.
func TestPromptsThatCannotBeReadInTimeWait(t *testing.T) {
	w := newFixture()
	w.registerEngine(0, 1)
	w.assignAll()
	w.observeState(0, fleet.EngineState{Alive: true, Running: 1, PendingPrefill: 3000})
	tight := need
	tight.MaxPendingPrefill = 3500
	if _, verdict := w.fleet.Group("llm").Pick(tight); verdict != fleet.Full {
		t.Errorf("got verdict %v, want full", verdict)
	}
	tight.MaxPendingPrefill = 4000
	grant := w.pick(t, tight)
	if got, want := w.fleet.PendingPrefill("llm", address(0)), 1000; got != want {
		t.Errorf("got %d prompt tokens waiting, want %d", got, want)
	}
	grant.Began()
	if got := w.fleet.PendingPrefill("llm", address(0)); got != 0 {
		t.Errorf("got %d prompt tokens waiting after the first event, want none", got)
	}
	w.observeState(0, fleet.EngineState{Alive: true})
	huge := need
	huge.Prompt, huge.MaxPendingPrefill = 9000, 2000
	w.pick(t, huge) // an engine with no prompt tokens waiting takes any prompt
}

func TestOccupancyAddsRequestsSentSinceAgentReport(t *testing.T) {
	w := newFixture()
	w.registerEngine(0, 1)
	w.assignAll()
	w.observeState(0, fleet.EngineState{Alive: true, Running: 15})
	w.now = w.now.Add(50 * time.Millisecond)
	grant := w.pick(t, need)
	if _, verdict := w.fleet.Group("llm").Pick(need); verdict != fleet.Full {
		t.Errorf("got verdict %v with 15 requests running and one sent, want full", verdict)
	}
	grant.Done(fleet.Served)
	w.pick(t, need)
}

// Guards against prompts that wait for a slot at an engine chosen for its free slot: its home entry
// and another entry send within the age of one state, and both count the same free slot.
func TestEngineReservesASlotForItsHomeEntry(t *testing.T) {
	w := newFixture()
	w.registerEngine(0, 1)
	w.observeState(0, fleet.EngineState{Alive: true, Running: 15})
	if _, verdict := w.fleet.Group("llm").Pick(need); verdict != fleet.Full {
		t.Errorf("got verdict %v at an engine of another home entry, want full", verdict)
	}
	w.assignAll()
	w.pick(t, need).Done(fleet.Served)
	w.assign("d1", "self", "a", "self")
	resumed := need
	resumed.Resumed = true
	w.pick(t, resumed) // a resumed request ignores the slots reserved for other entries
}

func TestDeadAndBusyEnginesGetNoRequests(t *testing.T) {
	for name, state := range map[string]fleet.EngineState{
		"dead": {}, "ordered": {Alive: true, Busy: true}, "empty": {Alive: true, Loaded: map[string]uint64{}},
	} {
		w := newFixture()
		w.registerEngine(0, 1)
		w.observeState(0, state)
		if _, verdict := w.fleet.Group("llm").Pick(need); verdict != fleet.NoEndpoint {
			t.Errorf("%s: got verdict %v, want nobody", name, verdict)
		}
	}
}

// Guards against a request that starts on a version that has ended (VERSION of the platform's
// rules). It is sent to an engine half a second before the end and waits there behind others, if
// the entry considers only the time of sending.
func TestEngineWithEndingVersionGetsOnlyRequestsItStartsAtOnce(t *testing.T) {
	w := newFixture()
	w.registerEngine(0, 1)
	w.assignAll()
	ending := need
	ending.SoonFloor, ending.MaxPendingPrefill = 2, 9000
	w.observeState(0, fleet.EngineState{Alive: true, Running: 3, PendingPrefill: 1200})
	if _, verdict := w.fleet.Group("llm").Pick(ending); verdict != fleet.Full {
		t.Errorf("got verdict %v with 1200 prompt tokens waiting, want full", verdict)
	}
	w.observeState(0, fleet.EngineState{Alive: true, Running: 3})
	w.pick(t, ending)
	ending.Floor = 2
	if _, verdict := w.fleet.Group("llm").Pick(ending); verdict != fleet.NoEndpoint {
		t.Errorf("got verdict %v after the version ended, want nobody", verdict)
	}
}

// Guards against a request that starts on a version 13.4 s after a newer one was acknowledged, with
// 13.4 s allowed. While 88 engines load a new version, a few still have the old
// one. 35 entries see the same engine idle, 20 to 250 ms ago, and each sends a request that the
// engine would start at once. The last of them waits 1.2 s, because each entry calculated as if it
// were the only sender.
func TestEngineWithEndingVersionGetsRequestsFromOneEntry(t *testing.T) {
	ending := need
	ending.SoonFloor, ending.MaxPendingPrefill = 2, 9000
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
	resumed.Wanted, resumed.Resumed = 2, true
	if got, want := w.pick(t, resumed).ID(), "e-1"; got != want {
		t.Errorf("got %s, want %s, which has the wanted version", got, want)
	}
}

// Guards against a stream that is cut off again, this time for good, because it resumed at the
// engine that was next to load.
func TestResumedRequestPrefersEngineLateInRollout(t *testing.T) {
	for name, turns := range map[string][]float64{"next and later": {0.1, 0.6}, "later and waiting for its requests to end": {0.6, 0.8}} {
		w := newFixture()
		positions := map[string]float64{}
		for i, turn := range turns {
			w.registerEngine(i, 1)
			positions[address(i)] = turn
		}
		w.observeState(0, fleet.EngineState{Alive: true, Running: 2})
		w.observeState(1, fleet.EngineState{Alive: true, Running: 14})
		w.fleet.SetRolloutPositions(positions)
		resumed := need
		resumed.Wanted, resumed.Resumed = 2, true
		if got, want := w.pick(t, resumed).ID(), "e-1"; got != want {
			t.Errorf("%s: got %s, want %s", name, got, want)
		}
	}
}

func TestFinalAttemptsAreCounted(t *testing.T) {
	w := newFixture()
	w.registerEngine(0, 1)
	final := need
	final.FinalAttempt = true
	one, two, other := w.pick(t, final), w.pick(t, final), w.pick(t, need)
	if got, want := w.fleet.FinalAttempts("llm", address(0)), 2; got != want {
		t.Errorf("got %d, want %d", got, want)
	}
	for i, grant := range []*fleet.Grant{one, other, two} {
		grant.Done(fleet.Served)
		grant.Done(fleet.Served)
		if got, want := w.fleet.FinalAttempts("llm", address(0)), []int{1, 1, 0}[i]; got != want {
			t.Errorf("got %d after %d ended, want %d", got, i+1, want)
		}
	}
}

// Guards against losing all endpoints for two seconds after an outage of the store: registrations
// lapse while it is down, it comes back, and the owners write them again. Missing registrations
// must not count as removed at once.
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
	if _, verdict := w.fleet.Group("llm").Pick(need); verdict != fleet.NoEndpoint {
		t.Errorf("got verdict %v after the removal, want nobody", verdict)
	}
}

func TestLeavingEndpointsGetNoRequests(t *testing.T) {
	w := newFixture()
	w.fleet.Register(fleet.Registration{ID: "a-1", Service: "app", Slots: 4, Leaving: true})
	if _, verdict := w.fleet.Group("app").Pick(fleet.Need{}); verdict != fleet.NoEndpoint {
		t.Errorf("got verdict %v, want nobody", verdict)
	}
}

// Guards against a plain endpoint, one of three, that fails half of its requests and still gets a
// third of them: it answers quickly with errors and so looks idle if only its load counts.
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
		t.Errorf("got %d of 300 requests at the failing endpoint, want at most 30", got)
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
	grant.ApplyLoad(&call.Load{Running: 2, Waiting: 3, Slots: 2})
	grant.Done(fleet.Served)
	if _, verdict := w.fleet.Group("app").Pick(fleet.Need{Entries: 3}); verdict != fleet.Full {
		t.Errorf("got verdict %v, want full", verdict)
	}
	w.now = w.now.Add(2 * time.Second)
	if _, verdict := w.fleet.Group("app").Pick(fleet.Need{Entries: 3}); verdict != fleet.Granted {
		t.Errorf("got verdict %v after the reported load is stale, want a grant", verdict)
	}
}
