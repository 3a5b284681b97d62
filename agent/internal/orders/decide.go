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
	// Stay: nothing for now.
	Stay Action = iota
	// Serve: open the gate for what the engine has.
	Serve
	// Resume: give up a drain that has changed nothing yet.
	Resume
	// Shut: stop letting attempts in at once, the engine has something else.
	Shut
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

// Situation is everything that the decision depends on.
type Situation struct {
	// Want is what the plan assigns to this host; empty: nothing.
	Want gate.Loaded
	// Have is what the engine said it has; it counts while HaveKnown is set.
	Have      gate.Loaded
	HaveKnown bool
	// Pending: an order was given and not confirmed yet.
	Pending bool
	// Whole: all bytes of Want are verified and on this host.
	Whole bool
	// MaySwitch is the answer of MaySwitch.
	MaySwitch bool
	// Switching: the gate was drained in order to load Want.
	Switching bool
	// Unwanted: the plan has assigned nothing for long enough.
	Unwanted bool
	// Backoff: the last order failed a moment ago.
	Backoff bool
	// Verdict is what the fence says to an order of the plan in force.
	Verdict fence.Verdict
	// Phase and Open are the gate's.
	Phase drain.Phase
	Open  gate.Loaded
}

// Decide returns the next action. Weights change only behind a gate that is
// drained, and the gate opens only for what the engine confirmed.
func Decide(now Situation) Action {
	if !now.HaveKnown || now.Pending {
		return Stay
	}
	if now.Phase == drain.Open && !now.Open.Equal(now.Have) {
		return Shut
	}
	switch {
	case now.Want.Empty():
		return decideUnwanted(now)
	case now.Have.Equal(now.Want):
		return decideArrived(now)
	}
	return decideSwitch(now)
}

func (s Situation) mayOrder() bool { return s.Verdict == fence.Obey && !s.Backoff }

// keep goes on serving what the engine has.
func (s Situation) keep() Action {
	switch {
	case s.Have.Empty():
		return Stay
	case s.Phase == drain.Drained:
		return Serve
	case s.Phase == drain.Draining && s.Open.Equal(s.Have):
		return Resume
	}
	return Stay
}

func decideUnwanted(now Situation) Action {
	if now.Have.Empty() || !now.Unwanted || !now.mayOrder() {
		return now.keep()
	}
	switch now.Phase {
	case drain.Open:
		return Drain
	case drain.Drained:
		return Unload
	case drain.Draining, drain.Cancelling:
	}
	return Stay
}

func decideArrived(now Situation) Action {
	if now.Phase != drain.Open {
		return now.keep()
	}
	if now.Want.Role != "" && now.Have.Role != now.Want.Role && now.mayOrder() {
		return SetRole
	}
	return Stay
}

// decideSwitch goes to the wanted version, once all of it is there.
//
// Rule WHOLE of spec/gate.pml.
func decideSwitch(now Situation) Action {
	if !now.Whole || !now.mayOrder() {
		return now.keep()
	}
	mayGo := now.Have.Empty() || now.MaySwitch || now.Switching
	if !mayGo {
		return now.keep()
	}
	switch now.Phase {
	case drain.Open:
		return Drain
	case drain.Drained:
		return Load
	case drain.Draining, drain.Cancelling:
	}
	return Stay
}
