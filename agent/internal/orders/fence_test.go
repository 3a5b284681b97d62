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

// newSyncedRunner returns a Runner of an agent that has just started and been
// answered by the entries. Its engine reports no fencing number.
func newSyncedRunner(clock clockwork.Clock, actual, desired gate.Loaded) *Runner {
	r := New(Config{Clock: clock, Self: &wire.Node{Id: "h1"}})
	r.guard.Learn(0)
	r.syncedAt, r.actual, r.actualKnown, r.desired = clock.Now(), actual, true, desired
	return r
}

// snapshotWithVersion returns a snapshot whose document names the given version.
func snapshotWithVersion(version string) *view.Snapshot {
	return &view.Snapshot{
		Plan:     &wire.Plan{PlanRevision: 4, Fence: 9},
		Document: &wire.Document{Models: []*wire.Model{{Name: "parcel", Version: version}}},
	}
}

// Guards against a host that briefly returns to an older version because its agent
// obeys the first plan it receives. This happens when the agent restarts, its
// engine reports no fencing number, and the entries that it asks lag, so that the
// newer plan arrives a little later.
func TestStartedAgentWaitsForNewerPlan(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := newSyncedRunner(clock, parseContent("v2"), parseContent("v1"))
	lagging := snapshotWithVersion("v1")
	clock.Advance(newerPlanWait - time.Millisecond)
	if got, want := r.fenceVerdict(lagging), fence.Wait; got != want {
		t.Errorf("got %v before newerPlanWait passed, want %v", got, want)
	}
	clock.Advance(time.Millisecond)
	if got, want := r.fenceVerdict(lagging), fence.Obey; got != want {
		t.Errorf("got %v after newerPlanWait without a newer plan, want %v", got, want)
	}
	if got, want := newSyncedRunner(clock, gate.Loaded{}, parseContent("v1")).fenceVerdict(lagging), fence.Obey; got != want {
		t.Errorf("got %v with an empty engine, want %v", got, want)
	}
	r = newSyncedRunner(clock, parseContent("v2"), parseContent("v1"))
	r.guard.Admit(fence.NewNumber(9, 3))
	if got, want := r.fenceVerdict(lagging), fence.Obey; got != want {
		t.Errorf("got %v from an agent that has already obeyed a plan, want %v", got, want)
	}
}

// Guards against a host that returns to an older version because plans are
// compared by their numbers alone. This happens when the agent receives an older
// plan than its engine obeyed, together with an up-to-date document.
func TestPlanOlderThanDocumentIsRefused(t *testing.T) {
	for _, tc := range []struct {
		have, want, document string
		verdict              fence.Verdict
	}{
		{"v2", "v1", "v2", fence.Refuse},
		{"v1", "v2", "v2", fence.Obey},
		{"v1", "v2", "v3", fence.Obey}, // The document already names a version after v2.
		{"v2", "v2", "v2", fence.Obey},
		{"v2+a1", "v1", "v2", fence.Obey}, // The engine has an adapter that the document does not name.
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
