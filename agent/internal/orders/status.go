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
	asked := r.pending
	settled := asked != nil && !asked.replied.IsZero()
	r.mu.Unlock()
	status, err := r.cfg.Engine.Status(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.pollFailed()
		return
	}
	r.failures = 0
	r.status = status
	r.guard.Learn(status.Fence)
	r.cfg.Gate.SetSlots(int(status.Slots))
	if r.pending != asked || (asked != nil && !settled) {
		return
	}
	r.take(contentOf(status))
}

func (r *Runner) pollFailed() {
	r.failures++
	if r.failures == unreachableAfter {
		r.cfg.Log.Warn("the engine does not answer")
		r.haveKnown = false
		r.differing = 0
	}
}

// take judges what the engine says it has.
func (r *Runner) take(content gate.Loaded) {
	if r.pending != nil {
		if !r.confirm(content, r.cfg.Clock.Now()) {
			return
		}
		r.have, r.haveKnown, r.differing = content, true, 0
		return
	}
	if !r.haveKnown {
		r.have, r.haveKnown, r.differing = content, true, 0
		return
	}
	if r.have.Equal(content) {
		r.have.Role = content.Role
		r.differing = 0
		return
	}
	r.differing++
	if r.differing < differsAfter {
		return
	}
	r.cfg.Counters.Add("contentLost", 1)
	r.cfg.Log.Warn("the engine has something else than it confirmed", "was", r.have.Version, "is", content.Version)
	r.have, r.differing = content, 0
}

func contentOf(status *engine.Status) gate.Loaded {
	loaded := gate.Loaded{
		Model:    status.Model,
		Version:  status.Version,
		Adapters: map[string]string{},
		Role:     status.Role,
	}
	for _, adapter := range status.Adapters {
		loaded.Adapters[adapter.Name] = adapter.Version
	}
	return loaded
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
		return r.haveKnown
	}
	return r.status != nil && r.failures < unreachableAfter
}

// States returns the versions of this host for its report: what is served or
// was, then what is wanted.
func (r *Runner) States() []*wire.VersionState {
	state := r.cfg.Gate.State()
	r.mu.Lock()
	defer r.mu.Unlock()
	var states []*wire.VersionState
	if served := r.servedState(state); served != nil {
		states = append(states, served)
	}
	if !r.want.Empty() && (len(states) == 0 || !r.have.Equal(r.want)) {
		states = append(states, r.wantedState())
	}
	return states
}

// servedState describes what the engine has; nil: nothing that is known.
func (r *Runner) servedState(state gate.State) *wire.VersionState {
	if !r.haveKnown || r.have.Empty() {
		return nil
	}
	out := r.versionState(r.have)
	switch {
	case r.pending != nil && r.pending.action != SetRole:
		return nil
	case state.Phase() == drain.Open && state.Loaded().Equal(r.have):
		out.State = stateServing
	case state.Phase() == drain.Draining || state.Phase() == drain.Cancelling:
		out.State = stateDraining
	default:
		out.State = stateWhole
	}
	return out
}

func (r *Runner) wantedState() *wire.VersionState {
	out := r.versionState(r.want)
	loading := r.pending != nil && r.pending.action == Load
	switch {
	case loading && r.pending.loaded.Equal(r.want):
		out.State = stateLoading
	case out.State == stateWhole && r.failed != "":
		out.State, out.HoldUp = stateFailed, r.failed
	case out.State == stateWhole:
		out.HoldUp = r.holdUp
	}
	return out
}

// versionState sums the progress of the base and its adapters.
func (r *Runner) versionState(loaded gate.Loaded) *wire.VersionState {
	out := &wire.VersionState{Model: loaded.Model, Version: loaded.Version, State: stateWhole}
	for _, name := range adapterNames(loaded) {
		out.Adapters = append(out.Adapters, &wire.Adapter{
			Name:        name,
			Version:     loaded.Adapters[name],
			BaseVersion: loaded.Version,
		})
	}
	for _, version := range versionsOf(loaded) {
		progress := r.cfg.Weights.State(version)
		out.ChunksHave += uint32(progress.Have)
		out.ChunksTotal += uint32(progress.Total)
		out.State = lesserState(out.State, progress.Phase)
		if out.HoldUp == "" {
			out.HoldUp = progress.HoldUp
		}
	}
	return out
}

// lesserState returns the state that is further from being whole.
func lesserState(have, other string) string {
	rank := map[string]int{
		stateWhole:       0,
		weights.Fetching: 1,
		weights.Absent:   2,
		weights.Failed:   3,
	}
	if rank[other] > rank[have] {
		return other
	}
	return have
}

// notifyChanges calls Changed where the states differ from those reported last.
func (r *Runner) notifyChanges() {
	var text strings.Builder
	for _, state := range r.States() {
		fmt.Fprintf(&text, "%s/%s;", state.GetVersion(), state.GetState())
	}
	r.mu.Lock()
	changed := text.String() != r.reported
	r.reported = text.String()
	r.mu.Unlock()
	if changed {
		r.cfg.Changed()
	}
}

func targetsText(targets []weights.Target, policy weights.Policy) string {
	return fmt.Sprint(targets, policy)
}
