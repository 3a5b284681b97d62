package fleet

import (
	"time"

	"comfreyrelay.example/relay/call"
)

// Outcome tells how a request ended at an endpoint.
type Outcome int

// Outcomes of a request.
const (
	Served      Outcome = iota // a complete answer arrived
	Failed                     // the endpoint answered with an error
	Refused                    // the endpoint proved that it did not run the request
	Moved                      // another endpoint has the address
	Unreachable                // no connection was established: nothing was sent
	Broken                     // the connection or the answer was cut off
	Silent                     // no answer arrived in time
	Abandoned                  // the caller disconnected or its deadline passed
	Withheld                   // nothing was sent, because the endpoint accepts no new requests any more
	Unproven                   // an answer arrived that does not show which request it belongs to
)

// String returns the name used in logs.
func (o Outcome) String() string {
	return [...]string{"served", "failed", "refused", "moved", "unreachable", "broken", "silent", "abandoned", "withheld", "unproven"}[o]
}

// Grant is the place of one request at the endpoint chosen for it.
type Grant struct {
	group          *Group
	endpoint       *endpoint
	incarnation    Incarnation
	address        string
	version        uint64
	prompt         int
	final          bool // no other endpoint may resume the request
	occupancy      int
	pendingPrefill int  // prompt tokens ahead of this request's, as known when it was chosen
	home           bool // this entry was the engine's home
	stateAge       time.Duration
	reportDelay    time.Duration // extra transit time of the agent's report
	promptRead     bool          // the first event arrived; guarded by the group's lock
	done           bool
}

// ID returns the endpoint's id.
func (g *Grant) ID() string { return g.incarnation.ID }

// Incarnation returns the incarnation of the endpoint that was chosen.
func (g *Grant) Incarnation() Incarnation { return g.incarnation }

// Restarted reports whether the endpoint has restarted since it was chosen. It does not know the request
// any more, and no answer will arrive.
func (g *Grant) Restarted() bool {
	g.group.mu.Lock()
	defer g.group.mu.Unlock()
	return g.endpoint.superseded
}

// Address returns the endpoint's address, "IP:PORT".
func (g *Grant) Address() string { return g.address }

// Version returns the version of the model that was loaded when the endpoint was chosen.
func (g *Grant) Version() uint64 { return g.version }

// Occupied returns the requests counted at the endpoint when it was chosen.
func (g *Grant) Occupied() int { return g.occupancy }

// PendingPrefill returns the prompt tokens that waited for prefill ahead of the request's.
func (g *Grant) PendingPrefill() int { return g.pendingPrefill }

// Home reports whether this entry was the engine's home.
func (g *Grant) Home() bool { return g.home }

// Delay returns how much longer than usual the agent's report was in transit.
func (g *Grant) Delay() time.Duration { return g.reportDelay }

// StateAge returns the age of the agent's report when the endpoint was chosen, -1 ms if none had
// arrived.
func (g *Grant) StateAge() time.Duration { return g.stateAge }

// Alive reports whether the endpoint is not known to be dead. The agent on its host reports at once
// if the endpoint does not answer or has restarted.
func (g *Grant) Alive() bool {
	g.group.mu.Lock()
	defer g.group.mu.Unlock()
	if g.endpoint.superseded {
		return false
	}
	return !g.endpoint.hasFreshReport(g.group.clock()) || g.endpoint.state.Alive
}

// AgentReports reports whether the agent on the endpoint's host sends reports, whatever they contain.
func (g *Grant) AgentReports() bool {
	g.group.mu.Lock()
	defer g.group.mu.Unlock()
	return g.endpoint.hasFreshReport(g.group.clock())
}

// ApplyLoad applies the load that the endpoint sent with its answer.
func (g *Grant) ApplyLoad(load *call.Load) {
	if load == nil {
		return
	}
	g.group.mu.Lock()
	defer g.group.mu.Unlock()
	g.endpoint.load, g.endpoint.loadAt = load.Running+load.Waiting, g.group.clock()
}

// unnamedMemory is how long an endpoint counts as one whose answers may name no request.
const unnamedMemory = 30 * time.Second

// NoteUnnamedAnswer records that the endpoint answered a request without naming it.
func (g *Grant) NoteUnnamedAnswer() {
	g.group.mu.Lock()
	defer g.group.mu.Unlock()
	g.endpoint.unnamedAt = g.group.clock()
}

// AnswersUnnamed reports whether the endpoint recently answered a request without naming it.
func (g *Grant) AnswersUnnamed() bool {
	g.group.mu.Lock()
	defer g.group.mu.Unlock()
	at := g.endpoint.unnamedAt
	return !at.IsZero() && g.group.clock().Sub(at) < unnamedMemory
}

// Began records the first event: the prompt has been processed.
func (g *Grant) Began() {
	g.group.mu.Lock()
	defer g.group.mu.Unlock()
	g.endpoint.refusals = 0
	g.markPromptRead()
}

// markPromptRead releases the prompt tokens of the request, once. The group's lock is held.
func (g *Grant) markPromptRead() {
	if !g.promptRead {
		g.promptRead = true
		g.group.addPendingPrefill(g.endpoint, -g.prompt)
	}
}

// hadFreeSlot reports whether, by its agent's report, the endpoint had a free slot when it was
// chosen.
func (g *Grant) hadFreeSlot() bool {
	return g.stateAge != noReport && g.stateAge < reportMaxAge && g.occupancy < g.endpoint.reg.Slots
}

// Done releases the place and records the outcome. Calls after the first do nothing.
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

// recordOutcome updates the endpoint's failure statistics and ejection. hadFreeSlot tells whether
// the endpoint had a free slot by its agent's report.
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
	case Abandoned, Withheld, Unproven:
		return
	}
	e.errorRate += errorWeight * (failed - e.errorRate)
}
