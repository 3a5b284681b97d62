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

// poll asks the engine for its status and takes what it says.
func (r *Runner) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	// An order that is replied to while the status is on its way makes that
	// status one of before: it must not settle the order.
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

func (r *Runner) recordPollFailure() {
	r.failedPolls++
	if r.failedPolls == failedPollLimit {
		r.cfg.Log.Warn("the engine does not answer")
		r.actualKnown = false
		r.mismatchedPolls = 0
	}
}

// reconcileContent judges what the engine says it has.
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
	r.cfg.Log.Warn("the engine has something else than it confirmed", "was", r.actual.Version, "is", content.Version)
	r.actual, r.mismatchedPolls = content, 0
}

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

// Status returns the engine's newest status; nil before the first.
func (r *Runner) Status() *engine.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

// Fence returns the highest fencing number obeyed.
func (r *Runner) Fence() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.guard.Highest().Fence()
}

// Answers reports whether the endpoint answered lately.
func (r *Runner) Answers() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cfg.Service != "" {
		return r.actualKnown
	}
	return r.status != nil && r.failedPolls < failedPollLimit
}

// States returns the versions of this host for its report: what is served or
// was, then what is wanted.
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

// actualState describes what the engine has; nil: nothing that is known.
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

// versionState sums the progress of the base and its adapters.
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

// lessCompleteState returns the state that is further from being whole.
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

// notifyChanges calls Changed where the states differ from those reported last.
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

func describeTargets(targets []weights.Target, policy weights.Policy) string {
	return fmt.Sprint(targets, policy)
}
