package orders

import (
	"comfreyrelay.example/agent/internal/gate"
	"comfreyrelay.example/relay/drain"
	"comfreyrelay.example/relay/fence"
)

// Action is a step that brings the engine or the gate closer to the plan. Its
// String is part of the name of the counter "action.<name>".
type Action int

// The actions.
const (
	// NoAction changes nothing in this step; its String is "stay".
	NoAction Action = iota
	// Serve opens the gate for the engine's actual content.
	Serve
	// Resume abandons a drain and reopens the gate; the engine is unchanged.
	Resume
	// CloseGate stops admitting attempts and cancels running ones at once,
	// because the engine's content is not what the gate is open for. Its String
	// is "shut".
	CloseGate
	// Drain stops admitting attempts and lets running ones finish.
	Drain
	// Load orders the engine to load the desired content.
	Load
	// Unload orders the engine to unload its content.
	Unload
	// SetRole orders the engine to take the desired role.
	SetRole
)

// String returns the action's name in metrics.
func (a Action) String() string {
	return [...]string{"stay", "serve", "resume", "shut", "drain", "load", "unload", "setRole"}[a]
}

// DecisionInputs holds everything that Decide depends on.
type DecisionInputs struct {
	// Desired is the content assigned to this host; empty if there is none.
	Desired gate.Loaded
	// Actual is the content that the engine reported; valid while ActualKnown.
	Actual      gate.Loaded
	ActualKnown bool
	// Pending is set while an order is issued but not confirmed.
	Pending bool
	// WeightsComplete is set once all chunks of Desired are verified and stored
	// on this host.
	WeightsComplete bool
	// MaySwitch is the result of the function MaySwitch: the rollout lets this
	// host stop serving its present version.
	MaySwitch bool
	// DrainedForDesired is set once a gate drain was started to load Desired.
	DrainedForDesired bool
	// Unassigned is set once the entries have answered and the host has had no
	// assignment for unassignedGrace.
	Unassigned bool
	// InBackoff is set for failureBackoff after a failed order.
	InBackoff bool
	// Verdict says whether an order from the plan in force may be issued.
	Verdict fence.Verdict
	// GatePhase is the gate's drain phase, and GateContent is what the gate was
	// last opened for.
	GatePhase   drain.Phase
	GateContent gate.Loaded
}

// Decide returns the next action. The engine's weights change only while the
// gate is drained, and the gate opens only for content that the engine
// confirmed.
func Decide(in DecisionInputs) Action {
	if !in.ActualKnown || in.Pending {
		return NoAction
	}
	if in.GatePhase == drain.Open && !in.GateContent.Equal(in.Actual) {
		return CloseGate
	}
	switch {
	case in.Desired.Empty():
		return decideUnassigned(in)
	case in.Actual.Equal(in.Desired):
		return decideUpToDate(in)
	}
	return decideSwitch(in)
}

// mayOrder reports whether an order may be issued now.
func (in DecisionInputs) mayOrder() bool { return in.Verdict == fence.Obey && !in.InBackoff }

// keepServing returns the action that keeps or resumes serving the engine's
// actual content.
func (in DecisionInputs) keepServing() Action {
	switch {
	case in.Actual.Empty():
		return NoAction
	case in.GatePhase == drain.Drained:
		return Serve
	case in.GatePhase == drain.Draining && in.GateContent.Equal(in.Actual):
		return Resume
	}
	return NoAction
}

// decideUnassigned handles a host without an assignment: once Unassigned is set,
// it drains the gate and unloads the engine.
func decideUnassigned(in DecisionInputs) Action {
	if in.Actual.Empty() || !in.Unassigned || !in.mayOrder() {
		return in.keepServing()
	}
	switch in.GatePhase {
	case drain.Open:
		return Drain
	case drain.Drained:
		return Unload
	case drain.Draining, drain.Cancelling:
	}
	return NoAction
}

// decideUpToDate handles an engine that has the desired weights: it opens the gate
// and sets the role where it differs.
func decideUpToDate(in DecisionInputs) Action {
	if in.GatePhase != drain.Open {
		return in.keepServing()
	}
	if in.Desired.Role != "" && in.Actual.Role != in.Desired.Role && in.mayOrder() {
		return SetRole
	}
	return NoAction
}

// decideSwitch handles an engine that has other weights than desired: once all
// chunks are on the host and the rollout permits it, it drains the gate and loads
// the desired content. Until then the host serves what it has.
//
// Rule WHOLE of spec/gate.pml.
func decideSwitch(in DecisionInputs) Action {
	if !in.WeightsComplete || !in.mayOrder() {
		return in.keepServing()
	}
	maySwitch := in.Actual.Empty() || in.MaySwitch || in.DrainedForDesired
	if !maySwitch {
		return in.keepServing()
	}
	switch in.GatePhase {
	case drain.Open:
		return Drain
	case drain.Drained:
		return Load
	case drain.Draining, drain.Cancelling:
	}
	return NoAction
}
