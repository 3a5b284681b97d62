package orders

import (
	"time"

	"comfreyrelay.example/agent/internal/gate"
	"comfreyrelay.example/agent/internal/weights"
	"comfreyrelay.example/relay/fence"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

// situation gathers what the decision depends on.
func (r *Runner) situation(snap *view.Snapshot) Situation {
	state := r.cfg.Gate.State()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Now()
	may, holdUp := r.maySwitch(snap, now)
	verdict := r.verdict(snap)
	if verdict == fence.Refuse {
		holdUp = holdUpStale
	}
	r.holdUp = holdUp
	return Situation{
		Want:      r.want,
		Have:      r.have,
		HaveKnown: r.haveKnown,
		Pending:   r.pending != nil,
		Whole:     r.whole(r.want),
		MaySwitch: may,
		Switching: !r.switching.Empty() && r.switching.Equal(r.want),
		Unwanted:  !r.synced.IsZero() && !r.unwanted.IsZero() && now.Sub(r.unwanted) >= unwantedAfter,
		Backoff:   now.Before(r.backoff),
		Verdict:   verdict,
		Phase:     state.Phase(),
		Open:      state.Loaded(),
	}
}

// verdict keeps orders back until the entries answered: a process that starts
// must not obey the first plan that comes by. Engines report the fence at best,
// never the plan's revision, so that of two plans of one planner this process
// can't infer from the number which the engine obeyed before; see package fence.
func (r *Runner) verdict(snap *view.Snapshot) fence.Verdict {
	if r.synced.IsZero() || snap.Plan == nil {
		return fence.Wait
	}
	if r.outdated(snap) {
		return fence.Refuse
	}
	obeyedNone := r.guard.Highest().PlanRevision() == 0
	if obeyedNone && !r.have.Empty() && r.cfg.Clock.Since(r.synced) < settleAfter {
		return fence.Wait
	}
	return r.guard.Judge(numberOf(snap.Plan))
}

// outdated reports whether the engine has what the document in force names and
// the plan something else of the same model. Versions come into a plan from the
// document alone: the plan is older than the one that was obeyed.
func (r *Runner) outdated(snap *view.Snapshot) bool {
	if r.have.Empty() || r.have.Model != r.want.Model || r.have.Equal(r.want) {
		return false
	}
	for _, model := range snap.Document.GetModels() {
		if model.GetName() == r.have.Model {
			return r.have.Equal(intended(model))
		}
	}
	return false
}

// intended is what the document wants of a host that serves the model.
func intended(model *wire.Model) gate.Loaded {
	return loadedOf(&wire.Assignment{Model: model.GetName(), Version: model.GetVersion(), Adapters: model.GetAdapters()})
}

func numberOf(plan *wire.Plan) fence.Number {
	return fence.NewNumber(plan.GetFence(), plan.GetPlanRevision())
}

func (r *Runner) maySwitch(snap *view.Snapshot, now time.Time) (bool, string) {
	if r.wantPlan == nil || r.have.Empty() || r.have.Equal(r.want) {
		return true, ""
	}
	in := Waves{
		Plan:       snap.Plan,
		Self:       r.wantPlan,
		Hosts:      snap.Hosts,
		AbsentLost: !r.synced.IsZero() && now.Sub(r.synced) >= absentAfter,
	}
	for _, model := range snap.Document.GetModels() {
		if model.GetName() == r.want.Model {
			in.MaxUnavailable = int(model.GetMaxUnavailable())
			in.WhenWhole = model.GetShift() == "whenWhole"
		}
	}
	return MaySwitch(in)
}

func (r *Runner) whole(want gate.Loaded) bool {
	for _, version := range versionsOf(want) {
		if r.cfg.Weights.State(version).Phase != weights.Whole {
			return false
		}
	}
	return true
}
