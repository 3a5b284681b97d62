package orders

import (
	"comfreyrelay.example/agent/internal/gate"
	"comfreyrelay.example/relay/drain"
	"comfreyrelay.example/relay/fence"
)

// Action is the next thing to do at the engine or the gate.
type Action int

// The actions.
const (
	// NoAction: nothing for now.
	NoAction Action = iota
	// Serve: open the gate for what the engine has.
	Serve
	// Resume: give up a drain that has changed nothing yet.
	Resume
	// CloseGate: stop letting attempts in at once, the engine has something else.
	CloseGate
	// Drain: let nothing in and finish what runs.
	Drain
	// Load: order the wanted version.
	Load
	// Unload: order the engine to give up what it has.
	Unload
	// SetRole: order the wanted role.
	SetRole
)

// String returns the action's name.
func (a Action) String() string {
	return [...]string{"stay", "serve", "resume", "shut", "drain", "load", "unload", "setRole"}[a]
}

// DecisionInputs is everything that the decision depends on.
type DecisionInputs struct {
	// Desired is what the plan assigns to this host; empty: nothing.
	Desired gate.Loaded
	// Actual is what the engine said it has; it counts while HaveKnown is set.
	Actual      gate.Loaded
	ActualKnown bool
	// Pending: an order was given and not confirmed yet.
	Pending bool
	// WeightsComplete: all bytes of Want are verified and on this host.
	WeightsComplete bool
	// MaySwitch is the answer of MaySwitch.
	MaySwitch bool
	// DrainedForDesired: the gate was drained in order to load Want.
	DrainedForDesired bool
	// Unassigned: the plan has assigned nothing for long enough.
	Unassigned bool
	// InBackoff: the last order failed a moment ago.
	InBackoff bool
	// Verdict is what the fence says to an order of the plan in force.
	Verdict fence.Verdict
	// GatePhase and Open are the gate's.
	GatePhase   drain.Phase
	GateContent gate.Loaded
}

// Decide returns the next action. Weights change only behind a gate that is
// drained, and the gate opens only for what the engine confirmed.
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

func (in DecisionInputs) mayOrder() bool { return in.Verdict == fence.Obey && !in.InBackoff }

// keepServing goes on serving what the engine has.
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

func decideUpToDate(in DecisionInputs) Action {
	if in.GatePhase != drain.Open {
		return in.keepServing()
	}
	if in.Desired.Role != "" && in.Actual.Role != in.Desired.Role && in.mayOrder() {
		return SetRole
	}
	return NoAction
}

// decideSwitch goes to the wanted version, once all of it is there.
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
