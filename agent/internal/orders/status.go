package orders

import (
	"context"
	"fmt"
	"strings"

	"comfreyrelay.example/agent/internal/engine"
	"comfreyrelay.example/agent/internal/gate"
	"comfreyrelay.example/agent/internal/weights"
	"comfreyrelay.example/relay/drain"
	"comfreyrelay.example/relay/wire"
)

// poll requests the engine's status and updates the actual content from it.
func (r *Runner) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	// If the reply to an order arrives during the status request, the status may
	// show the state before the order, so it must not settle the order.
	r.mu.Lock()
	pendingBefore := r.pending
	repliedBefore := pendingBefore != nil && !pendingBefore.repliedAt.IsZero()
	r.mu.Unlock()
	status, err := r.cfg.Engine.Status(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.recordPollFailure()
		return
	}
	r.failedPolls = 0
	r.status = status
	r.guard.Learn(status.Fence)
	r.cfg.Gate.SetSlots(int(status.Slots))
	if r.pending != pendingBefore || (pendingBefore != nil && !repliedBefore) {
		return
	}
	r.reconcileContent(contentOfStatus(status))
}

// recordPollFailure counts a failed poll. At failedPollLimit the engine's content
// counts as unknown.
func (r *Runner) recordPollFailure() {
	r.failedPolls++
	if r.failedPolls == failedPollLimit {
		r.cfg.Log.Warn("engine does not respond to status requests")
		r.actualKnown = false
		r.mismatchedPolls = 0
	}
}

// reconcileContent settles the pending order, if any, and updates the actual
// content from a status. A status that contradicts the confirmed content replaces
// it only after mismatchLimit consecutive polls.
func (r *Runner) reconcileContent(content gate.Loaded) {
	if r.pending != nil {
		if !r.settlePending(content, r.cfg.Clock.Now()) {
			return
		}
		r.actual, r.actualKnown, r.mismatchedPolls = content, true, 0
		return
	}
	if !r.actualKnown {
		r.actual, r.actualKnown, r.mismatchedPolls = content, true, 0
		return
	}
	if r.actual.Equal(content) {
		r.actual.Role = content.Role
		r.mismatchedPolls = 0
		return
	}
	r.mismatchedPolls++
	if r.mismatchedPolls < mismatchLimit {
		return
	}
	r.cfg.Counters.Add("contentLost", 1)
	r.cfg.Log.Warn("engine content differs from the confirmed content", "was", r.actual.Version, "is", content.Version)
	r.actual, r.mismatchedPolls = content, 0
}

// contentOfStatus returns the content that a status reports.
func contentOfStatus(status *engine.Status) gate.Loaded {
	content := gate.Loaded{
		Model:    status.Model,
		Version:  status.Version,
		Adapters: map[string]string{},
		Role:     status.Role,
	}
	for _, adapter := range status.Adapters {
		content.Adapters[adapter.Name] = adapter.Version
	}
	return content
}

// Status returns the engine's latest status; nil before the first.
func (r *Runner) Status() *engine.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

// Fence returns the highest fencing number that was obeyed or that the engine
// reported.
func (r *Runner) Fence() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.guard.Highest().Fence()
}

// EndpointResponds reports whether the endpoint responded to recent polls.
func (r *Runner) EndpointResponds() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cfg.Service != "" {
		return r.actualKnown
	}
	return r.status != nil && r.failedPolls < failedPollLimit
}

// States returns the version states for the host's report: first the version that
// the engine has, then the desired one if it differs.
func (r *Runner) States() []*wire.VersionState {
	state := r.cfg.Gate.State()
	r.mu.Lock()
	defer r.mu.Unlock()
	var states []*wire.VersionState
	if served := r.actualState(state); served != nil {
		states = append(states, served)
	}
	if !r.desired.Empty() && (len(states) == 0 || !r.actual.Equal(r.desired)) {
		states = append(states, r.desiredState())
	}
	return states
}

// actualState returns the state of the version that the engine has. It is nil if
// that is unknown or empty, or while an order changes the weights.
func (r *Runner) actualState(state gate.State) *wire.VersionState {
	if !r.actualKnown || r.actual.Empty() {
		return nil
	}
	out := r.versionState(r.actual)
	switch {
	case r.pending != nil && r.pending.action != SetRole:
		return nil
	case state.Phase() == drain.Open && state.Loaded().Equal(r.actual):
		out.State = stateServing
	case state.Phase() == drain.Draining || state.Phase() == drain.Cancelling:
		out.State = stateDraining
	default:
		out.State = stateWhole
	}
	return out
}

// desiredState returns the state of the desired version: how far its weights are
// fetched, whether it is loading, and what holds it up.
func (r *Runner) desiredState() *wire.VersionState {
	out := r.versionState(r.desired)
	loading := r.pending != nil && r.pending.action == Load
	switch {
	case loading && r.pending.content.Equal(r.desired):
		out.State = stateLoading
	case out.State == stateWhole && r.lastOrderError != "":
		out.State, out.HoldUp = stateFailed, r.lastOrderError
	case out.State == stateWhole:
		out.HoldUp = r.holdUp
	}
	return out
}

// versionState returns the fetch progress of a version, summed over the base and
// its adapters. Its state is that of the least complete of them.
func (r *Runner) versionState(content gate.Loaded) *wire.VersionState {
	out := &wire.VersionState{Model: content.Model, Version: content.Version, State: stateWhole}
	for _, name := range adapterNames(content) {
		out.Adapters = append(out.Adapters, &wire.Adapter{
			Name:        name,
			Version:     content.Adapters[name],
			BaseVersion: content.Version,
		})
	}
	for _, version := range versionsOf(content) {
		progress := r.cfg.Weights.State(version)
		out.ChunksHave += uint32(progress.Have)
		out.ChunksTotal += uint32(progress.Total)
		out.State = lessCompleteState(out.State, progress.Phase)
		if out.HoldUp == "" {
			out.HoldUp = progress.HoldUp
		}
	}
	return out
}

// lessCompleteState returns the state that is further from complete.
func lessCompleteState(state, other string) string {
	rank := map[string]int{
		stateWhole:       0,
		weights.Fetching: 1,
		weights.Absent:   2,
		weights.Failed:   3,
	}
	if rank[other] > rank[state] {
		return other
	}
	return state
}

// notifyChanges calls Changed if a version or its state changed since the last
// call.
func (r *Runner) notifyChanges() {
	var summary strings.Builder
	for _, state := range r.States() {
		fmt.Fprintf(&summary, "%s/%s;", state.GetVersion(), state.GetState())
	}
	r.mu.Lock()
	changed := summary.String() != r.lastReportedStates
	r.lastReportedStates = summary.String()
	r.mu.Unlock()
	if changed {
		r.cfg.Changed()
	}
}

// describeTargets returns the targets and policy as text, to detect changes.
func describeTargets(targets []weights.Target, policy weights.Policy) string {
	return fmt.Sprint(targets, policy)
}
