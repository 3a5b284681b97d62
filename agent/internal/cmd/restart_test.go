package cmd

import (
	"slices"
	"strings"
	"testing"

	"comfreyrelay.example/relay/wire"
)

// awaitOlderPlanRefused waits until the bytes of the version are there and the report
// says that its plan is not obeyed.
func (b *testBench) awaitOlderPlanRefused(version string) {
	b.t.Helper()
	b.eventually("the bytes are there and the plan is refused", func() bool {
		return slices.ContainsFunc(b.entry.last().GetVersions(), func(state *wire.VersionState) bool {
			return state.GetVersion() == version && state.GetState() == "whole" && strings.Contains(state.GetHoldUp(), "older")
		})
	})
}

// Symptom: a host goes back to an older version. Sequence: the agent obeyed plan
// 5; it restarts beside an engine that reports no fencing number and learns of the
// document of plan 5 and of plan 4, of the same planner. Cause: plans compared
// by a number that the engine does not keep.
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
