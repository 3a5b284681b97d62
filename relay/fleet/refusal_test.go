package fleet_test

import (
	"testing"
	"time"

	"comfreyrelay.example/relay/fleet"
)

// refuseAll makes the first engine refuse all requests for the given time, while its agent reports
// reportedRunning requests, and returns how many requests it refused.
func (w *fixture) refuseAll(reportedRunning int, span time.Duration) int {
	refused := 0
	for until := w.now.Add(span); w.now.Before(until); w.now = w.now.Add(10 * time.Millisecond) {
		w.observeState(0, fleet.EngineState{Alive: true, Running: reportedRunning})
		if grant, verdict := w.fleet.Group("llm").Pick(need); verdict == fleet.Granted {
			refused++
			grant.Done(fleet.Refused)
		}
	}
	return refused
}

// Guards against an engine that refuses everything and attracts most requests, because its agent
// reports it idle.
func TestRefusingEngineWithFreeSlotsIsRetriedRarely(t *testing.T) {
	w := newFixture()
	w.registerEngine(0, 1)
	w.assignAll()
	if got, want := w.refuseAll(0, 4*time.Second), 10; got > want {
		t.Errorf("got %d requests in 4 s at an idle engine that refuses all, want %d at most", got, want)
	}
	w.now = w.now.Add(time.Second)
	w.observeState(0, fleet.EngineState{Alive: true})
	w.pick(t, need).Done(fleet.Served)
	if got, want := w.refuseAll(0, 400*time.Millisecond), 3; got < want {
		t.Errorf("got %d requests after one was served, want pauses to start over", got)
	}
}

// Guards against slots that stay free at an endpoint without agent reports, because refusals while
// it was full block requests for too long.
func TestRefusingEndpointWithoutReportsIsRetriedSoon(t *testing.T) {
	w := newFixture()
	w.registerPlain("a", 0)
	for i := range 20 {
		grant, verdict := w.pickPlain()
		if verdict != fleet.Granted {
			t.Fatalf("refusal %d: got verdict %v, want a grant after 40 ms", i, verdict)
		}
		grant.Done(fleet.Refused)
		w.now = w.now.Add(40 * time.Millisecond)
	}
}

// Guards against a request that keeps waiting after its endpoint's ejection ended, because no event
// wakes it then.
func TestAdmitsAtReturnsEndOfPause(t *testing.T) {
	w := newFixture()
	w.registerPlain("a", 0)
	grant, _ := w.pickPlain()
	grant.Done(fleet.Refused)
	if got, want := w.fleet.Group("app").AdmitsAt(), w.now.Add(40*time.Millisecond); !got.Equal(want) {
		t.Errorf("got %v as the end of the pause, want %v", got, want)
	}
}
