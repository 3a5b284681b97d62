package orders

import (
	"time"

	"comfreyrelay.example/agent/internal/gate"
	"comfreyrelay.example/agent/internal/weights"
	"comfreyrelay.example/relay/fence"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

// decisionInputs gathers what the decision depends on.
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

// fenceVerdict keeps orders back until the entries answered: a process that starts
// must not obey the first plan that comes by. Engines report the fence at best,
// never the plan's revision, so that of two plans of one planner this process
// can't infer from the number which the engine obeyed before; see package fence.
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
	return r.guard.Judge(fencingNumberOf(snap.Plan))
}

// planOutdated reports whether the engine has what the document in force names and
// the plan something else of the same model. Versions come into a plan from the
// document alone: the plan is older than the one that was obeyed.
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

// documentContent is what the document wants of a host that serves the model.
func documentContent(model *wire.Model) gate.Loaded {
	return contentOfAssignment(&wire.Assignment{Model: model.GetName(), Version: model.GetVersion(), Adapters: model.GetAdapters()})
}

func fencingNumberOf(plan *wire.Plan) fence.Number {
	return fence.NewNumber(plan.GetFence(), plan.GetPlanRevision())
}

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

func (r *Runner) weightsComplete(content gate.Loaded) bool {
	for _, version := range versionsOf(content) {
		if r.cfg.Weights.State(version).Phase != weights.Whole {
			return false
		}
	}
	return true
}
