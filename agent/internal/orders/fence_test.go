package orders

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/agent/internal/gate"
	"comfreyrelay.example/relay/fence"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

// newSyncedRunner returns a runner whose agent started and was answered by the entries just now,
// beside an engine that reports no fencing number.
func newSyncedRunner(clock clockwork.Clock, actual, desired gate.Loaded) *Runner {
	r := New(Config{Clock: clock, Self: &wire.Node{Id: "h1"}})
	r.guard.Learn(0)
	r.syncedAt, r.actual, r.actualKnown, r.desired = clock.Now(), actual, true, desired
	return r
}

func snapshotWithVersion(version string) *view.Snapshot {
	return &view.Snapshot{
		Plan:     &wire.Plan{PlanRevision: 4, Fence: 9},
		Document: &wire.Document{Models: []*wire.Model{{Name: "parcel", Version: version}}},
	}
}

// Symptom: a host goes back to an older version for a moment. Sequence: the
// agent restarts beside an engine that reports no fencing number; the entries
// that it asks lag, and the newer plan comes a little later. Cause: an agent
// that obeys the first plan it meets.
func TestStartedAgentWaitsForNewerPlan(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := newSyncedRunner(clock, parseContent("v2"), parseContent("v1"))
	lagging := snapshotWithVersion("v1")
	clock.Advance(newerPlanWait - time.Millisecond)
	if got, want := r.fenceVerdict(lagging), fence.Wait; got != want {
		t.Errorf("got %v just after the start, want %v", got, want)
	}
	clock.Advance(time.Millisecond)
	if got, want := r.fenceVerdict(lagging), fence.Obey; got != want {
		t.Errorf("got %v once no newer plan came, want %v", got, want)
	}
	if got, want := newSyncedRunner(clock, gate.Loaded{}, parseContent("v1")).fenceVerdict(lagging), fence.Obey; got != want {
		t.Errorf("got %v beside an empty engine, want %v", got, want)
	}
	r = newSyncedRunner(clock, parseContent("v2"), parseContent("v1"))
	r.guard.Admit(fence.NewNumber(9, 3))
	if got, want := r.fenceVerdict(lagging), fence.Obey; got != want {
		t.Errorf("got %v from an agent that obeyed a plan itself, want %v", got, want)
	}
}

// Symptom: a host goes back to an older version. Sequence: the plan that an
// agent receives is older than the one that its engine obeyed; the document is
// not. Cause: plans compared by their numbers alone.
func TestPlanOlderThanDocumentIsRefused(t *testing.T) {
	for _, tc := range []struct {
		have, want, document string
		verdict              fence.Verdict
	}{
		{"v2", "v1", "v2", fence.Refuse},
		{"v1", "v2", "v2", fence.Obey},
		{"v1", "v2", "v3", fence.Obey}, // A roll that the next document overtook.
		{"v2", "v2", "v2", fence.Obey},
		{"v2+a1", "v1", "v2", fence.Obey}, // It has an adapter that the document lacks.
		{"", "v1", "v2", fence.Obey},
	} {
		clock := clockwork.NewFakeClock()
		r := newSyncedRunner(clock, parseContent(tc.have), parseContent(tc.want))
		clock.Advance(newerPlanWait)
		if got := r.fenceVerdict(snapshotWithVersion(tc.document)); got != tc.verdict {
			t.Errorf("have %q, plan %q, document %q: got %v, want %v", tc.have, tc.want, tc.document, got, tc.verdict)
		}
	}
}
