package cmd

import (
	"slices"
	"strings"
	"testing"

	"comfreyrelay.example/relay/wire"
)

// awaitOlderPlanRefused waits until the version is completely downloaded and the
// report says that its plan is refused as older.
func (b *testBench) awaitOlderPlanRefused(version string) {
	b.t.Helper()
	b.eventually("the bytes are there and the plan is refused", func() bool {
		return slices.ContainsFunc(b.entry.last().GetVersions(), func(state *wire.VersionState) bool {
			return state.GetVersion() == version && state.GetState() == "whole" && strings.Contains(state.GetHoldUp(), "older")
		})
	})
}

// Guards against a host reverting to an older version. The agent followed plan 5
// and restarts with an engine that reports no fencing number. It then receives
// the document of plan 5 and plan 4 of the same planner. Comparing plans only by
// the number that the engine doesn't keep would accept plan 4.
func TestRestartedAgentComparesPlanWithDocument(t *testing.T) {
	t.Parallel()
	b := newTestBench(t)
	b.engine.hideFence = true
	first := b.publish("weights of the first version")
	second := b.publish("weights of the other version")
	b.assign(5, 9, second)
	b.start()
	b.eventually("v2 is served", func() bool { return b.entry.serves(second) })
	b.stop()
	b.entry.change(func() {
		b.entry.reports = nil
		b.entry.plan.PlanRevision, b.entry.plan.Revision = 4, 4
		b.entry.plan.Assignments[0].Version = first
	})
	b.start()
	defer b.stop()
	b.eventually("v2 is served again", func() bool { return b.entry.serves(second) })
	b.awaitOlderPlanRefused(first)
	if got, want := b.engine.obeyed(), []uint64{9}; !slices.Equal(got, want) {
		t.Errorf("got orders with fences %v, want %v", got, want)
	}
}
