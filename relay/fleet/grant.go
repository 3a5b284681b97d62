package fleet

import (
	"time"

	"comfreyrelay.example/relay/call"
)

// Outcome is how a request ended at an endpoint.
type Outcome int

// The outcomes.
const (
	Served      Outcome = iota // an answer came, whole
	Failed                     // the endpoint answered that it failed
	Refused                    // it proved that it did not run the request
	Moved                      // another endpoint has the address
	Unreachable                // no connection came about: nothing was sent
	Broken                     // the connection or the answer broke off
	Silent                     // no answer came in time
	Abandoned                  // the caller left or its time was over
	Withheld                   // nothing was sent, as the endpoint wants nothing new any more
)

// String returns the name for logs.
func (o Outcome) String() string {
	return [...]string{"served", "failed", "refused", "moved", "unreachable", "broken", "silent", "abandoned", "withheld"}[o]
}

// Grant is one request's place at an endpoint.
type Grant struct {
	group          *Group
	endpoint       *endpoint
	incarnation    Incarnation
	address        string
	version        uint64
	prompt         int
	final          bool // no other endpoint may go on with the request
	occupancy      int
	pendingPrefill int  // prompt tokens before this request's, as known at the choice
	home           bool // the engine was home to this entry
	stateAge       time.Duration
	reportDelay    time.Duration // of the agent's report on its way
	promptRead     bool          // the first event came; guarded by the group's lock
	done           bool
}

// ID returns the endpoint's id.
func (g *Grant) ID() string { return g.incarnation.ID }

// Incarnation returns the incarnation of the endpoint that was chosen.
func (g *Grant) Incarnation() Incarnation { return g.incarnation }

// Over reports whether the endpoint started again since the choice: it knows
// nothing of what it was sent before, and no answer will come.
func (g *Grant) Over() bool {
	g.group.mu.Lock()
	defer g.group.mu.Unlock()
	return g.endpoint.superseded
}

// Address returns the endpoint's address, "IP:PORT".
func (g *Grant) Address() string { return g.address }

// Version returns the version of the model that was loaded at the choice.
func (g *Grant) Version() uint64 { return g.version }

// Occupied returns the requests that were counted there at the choice.
func (g *Grant) Occupied() int { return g.occupancy }

// Unread returns the prompt tokens that were to be read there before the request's.
func (g *Grant) Unread() int { return g.pendingPrefill }

// Home reports whether the engine was home to this entry.
func (g *Grant) Home() bool { return g.home }

// Delay returns how much longer than usual the agent's report was on its way.
func (g *Grant) Delay() time.Duration { return g.reportDelay }

// StateAge returns the age of the agent's report at the choice, -1 ms where none came.
func (g *Grant) StateAge() time.Duration { return g.stateAge }

// Alive reports whether the endpoint is not known to be dead: the agent on its
// host says at once that it does not answer, or that it started again.
func (g *Grant) Alive() bool {
	g.group.mu.Lock()
	defer g.group.mu.Unlock()
	if g.endpoint.superseded {
		return false
	}
	return !g.endpoint.hasFreshReport(g.group.clock()) || g.endpoint.state.Alive
}

// Followed reports whether the agent on the endpoint's host reports, whatever it says.
func (g *Grant) Followed() bool {
	g.group.mu.Lock()
	defer g.group.mu.Unlock()
	return g.endpoint.hasFreshReport(g.group.clock())
}

// Answered takes over what the endpoint sent with its answer.
func (g *Grant) Answered(load *call.Load) {
	if load == nil {
		return
	}
	g.group.mu.Lock()
	defer g.group.mu.Unlock()
	g.endpoint.load, g.endpoint.loadAt = load.Running+load.Waiting, g.group.clock()
}

// Began notes the first event: the prompt is read.
func (g *Grant) Began() {
	g.group.mu.Lock()
	defer g.group.mu.Unlock()
	g.endpoint.refusals = 0
	g.markPromptRead()
}

func (g *Grant) markPromptRead() {
	if !g.promptRead {
		g.promptRead = true
		g.group.addPendingPrefill(g.endpoint, -g.prompt)
	}
}

// hadRoom reports whether the endpoint had room at the choice, by its agent's report.
func (g *Grant) hadFreeSlot() bool {
	return g.stateAge != noReport && g.stateAge < reportMaxAge && g.occupancy < g.endpoint.reg.Slots
}

// Done gives the place back and takes the outcome as evidence. Calls after the
// first do nothing.
func (g *Grant) Done(outcome Outcome) {
	g.group.mu.Lock()
	defer g.group.mu.Unlock()
	if g.done {
		return
	}
	g.done = true
	g.markPromptRead()
	now := g.group.clock()
	delete(g.endpoint.running, g)
	if g.final {
		g.endpoint.finalAttempts--
		g.group.notifyPrefillChanged(g.endpoint.reg.Address)
	}
	if !g.endpoint.stateAt.IsZero() {
		g.endpoint.ended = append(g.endpoint.ended, now)
	}
	g.endpoint.recordOutcome(now, outcome, g.hadFreeSlot())
	g.group.dropRemoved()
	g.group.notifyChanged()
}

// note takes an outcome as evidence of how the endpoint does. hadRoom: it had room by its agent's
// report.
func (e *endpoint) recordOutcome(now time.Time, outcome Outcome, hadFreeSlot bool) {
	failed := 0.0
	switch outcome {
	case Served:
		e.failures, e.refusals = 0, 0
		e.servedUnreported++
	case Failed, Broken:
		failed = 1
		e.servedUnreported = 0
	case Refused:
		e.recordRefusal(now, hadFreeSlot)
		return
	case Moved:
		e.ejectedUntil = now.Add(movedPause)
		return
	case Unreachable, Silent:
		e.eject(now)
		e.servedUnreported = 0
		failed = 1
	case Abandoned, Withheld:
		return
	}
	e.errorRate += errorWeight * (failed - e.errorRate)
}
