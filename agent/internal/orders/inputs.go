package orders

import (
	"time"

	"comfreyrelay.example/agent/internal/gate"
	"comfreyrelay.example/agent/internal/weights"
	"comfreyrelay.example/relay/fence"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

// decisionInputs collects the inputs of Decide and updates holdUp.
func (r *Runner) decisionInputs(snap *view.Snapshot) DecisionInputs {
	state := r.cfg.Gate.State()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Now()
	maySwitch, holdUp := r.maySwitch(snap, now)
	verdict := r.fenceVerdict(snap)
	if verdict == fence.Refuse {
		holdUp = holdUpStalePlan
	}
	r.holdUp = holdUp
	return DecisionInputs{
		Desired:           r.desired,
		Actual:            r.actual,
		ActualKnown:       r.actualKnown,
		Pending:           r.pending != nil,
		WeightsComplete:   r.weightsComplete(r.desired),
		MaySwitch:         maySwitch,
		DrainedForDesired: !r.drainedFor.Empty() && r.drainedFor.Equal(r.desired),
		Unassigned:        !r.syncedAt.IsZero() && !r.unassignedSince.IsZero() && now.Sub(r.unassignedSince) >= unassignedGrace,
		InBackoff:         now.Before(r.backoffUntil),
		Verdict:           verdict,
		GatePhase:         state.Phase(),
		GateContent:       state.Loaded(),
	}
}

// fenceVerdict reports whether orders from the plan in force may be issued. It
// withholds them until the entries have answered, so that a starting agent does
// not obey the first plan it receives. Engines report at most the fence, never
// the plan's revision, so after a restart this process cannot tell from the
// number which of two plans of one planner the engine obeyed; see package fence.
func (r *Runner) fenceVerdict(snap *view.Snapshot) fence.Verdict {
	if r.syncedAt.IsZero() || snap.Plan == nil {
		return fence.Wait
	}
	if r.planOutdated(snap) {
		return fence.Refuse
	}
	obeyedNone := r.guard.Highest().PlanRevision() == 0
	if obeyedNone && !r.actual.Empty() && r.cfg.Clock.Since(r.syncedAt) < newerPlanWait {
		return fence.Wait
	}
	return r.guard.Check(fencingNumberOf(snap.Plan))
}

// planOutdated reports whether the engine already has the content that the
// document in force names while the plan assigns different content of the same
// model. Plans take their versions from the document only, so such a plan is
// older than the one that was obeyed.
func (r *Runner) planOutdated(snap *view.Snapshot) bool {
	if r.actual.Empty() || r.actual.Model != r.desired.Model || r.actual.Equal(r.desired) {
		return false
	}
	for _, model := range snap.Document.GetModels() {
		if model.GetName() == r.actual.Model {
			return r.actual.Equal(documentContent(model))
		}
	}
	return false
}

// documentContent returns the content that the document names for the model.
func documentContent(model *wire.Model) gate.Loaded {
	return contentOfAssignment(&wire.Assignment{Model: model.GetName(), Version: model.GetVersion(), Adapters: model.GetAdapters()})
}

// fencingNumberOf returns the fencing number of orders from the plan.
func fencingNumberOf(plan *wire.Plan) fence.Number {
	return fence.NewNumber(plan.GetFence(), plan.GetPlanRevision())
}

// maySwitch reports whether this host may stop serving its present version, or
// why not. It is always true while there is no version to leave.
func (r *Runner) maySwitch(snap *view.Snapshot, now time.Time) (bool, string) {
	if r.desiredAssignment == nil || r.actual.Empty() || r.actual.Equal(r.desired) {
		return true, ""
	}
	in := SwitchInputs{
		Plan:              snap.Plan,
		Self:              r.desiredAssignment,
		Hosts:             snap.Hosts,
		TreatAbsentAsLost: !r.syncedAt.IsZero() && now.Sub(r.syncedAt) >= absentLostAfter,
	}
	for _, model := range snap.Document.GetModels() {
		if model.GetName() == r.desired.Model {
			in.MaxUnavailable = int(model.GetMaxUnavailable())
			in.RequireComplete = model.GetShift() == "whenWhole"
		}
	}
	return MaySwitch(in)
}

// weightsComplete reports whether all chunks of the base version and its adapters
// are verified and stored on this host.
func (r *Runner) weightsComplete(content gate.Loaded) bool {
	for _, version := range versionsOf(content) {
		if r.cfg.Weights.State(version).Phase != weights.Whole {
			return false
		}
	}
	return true
}
