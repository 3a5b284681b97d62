// Package fence decides whether an order that comes out of a plan may still be
// given, so that a planner whose lease lapsed does no harm when it wakes.
//
// A Number orders plans: first by the planner's lease, then by the plan's own
// revision. The highest Number obeyed wins; anything lower is refused.
//
// Engines that check fencing numbers refuse an old one by themselves. For those
// that ignore it, the agent's Guard is the refuser: the agent is the only
// process that speaks to its engine, so what the Guard refuses is never sent.
//
// An agent that restarted knows no number. Its Guard answers Wait until Learn
// was called with the number that the engine reports, and afterwards obeys
// nothing lower than that. None of this asks the key-value service: while it is
// down, the plan in force is obeyed from the entries' memory, and with no entry
// reachable the engine keeps what it has and no order is given.
//
// What the engine reports is the fence at best. An engine that ignores numbers
// may report 0, and none keeps the plan's revision, so that two plans of one
// planner look alike to a restarted agent. The agent therefore
//
//   - asks up to three entries and takes the highest plan among them (package
//     control),
//   - waits some seconds for a higher one before it orders anything beside an
//     engine that has weights loaded, and
//   - refuses a plan that would take the engine from what the document in force
//     names to another version of the same model: versions come into plans from
//     the document alone, so that plan is older (package orders).
//
// This cannot be excluded: all entries that the restarted agent asks in that
// time lag with document and plan alike, or the plans differ in the model of
// the host only. The host then turns to the older plan until it learns of the
// newer one. Its answers are whole and name their version all the same.
package fence

import "fmt"

// Number identifies the authority of an order. The zero Number is below all.
type Number struct {
	fence        uint64 // service revision of the planner's lease key
	planRevision uint32 // grows by one with each plan
}

// NewNumber returns the Number of a plan.
func NewNumber(fence uint64, planRevision uint32) Number {
	return Number{fence: fence, planRevision: planRevision}
}

// Fence returns the part that engines are given.
func (n Number) Fence() uint64 { return n.fence }

// PlanRevision returns the revision of the plan.
func (n Number) PlanRevision() uint32 { return n.planRevision }

// Less reports whether n's authority is older than other's.
func (n Number) Less(other Number) bool {
	if n.fence != other.fence {
		return n.fence < other.fence
	}
	return n.planRevision < other.planRevision
}

// String returns "fence/planRevision" for logs.
func (n Number) String() string { return fmt.Sprintf("%d/%d", n.fence, n.planRevision) }

// Verdict says what to do with an order.
type Verdict int

// The verdicts.
const (
	// Wait: the engine's own number is not known yet; ask it first.
	Wait Verdict = iota
	// Obey: give the order.
	Obey
	// Refuse: a newer authority was obeyed already.
	Refuse
)

// String returns the verdict's name.
func (v Verdict) String() string {
	return [...]string{"wait", "obey", "refuse"}[v]
}

// Guard remembers the highest Number obeyed. Its owner serialises the calls.
type Guard struct {
	learned bool   // the engine reported its number since this process started
	highest Number // never falls
}

// NewGuard returns a Guard that knows nothing yet.
func NewGuard() *Guard { return &Guard{} }

// Learn takes the number that the engine reports. It is called at the start and
// after every refusal by the engine; a lower report changes nothing, because
// reports lag.
//
// Rule RESTART of spec/lease.pml.
func (g *Guard) Learn(engineFence uint64) {
	g.learned = true
	if engineFence > g.highest.fence {
		g.highest = Number{fence: engineFence}
	}
}

// Judge says what Admit would.
func (g *Guard) Judge(order Number) Verdict {
	if !g.learned {
		return Wait
	}
	if order.Less(g.highest) {
		return Refuse
	}
	return Obey
}

// Admit judges an order of the given authority and remembers it if it is
// obeyed. The same Number is obeyed again: a lost load is repeated.
//
// Rule FENCE of spec/lease.pml.
func (g *Guard) Admit(order Number) Verdict {
	verdict := g.Judge(order)
	if verdict == Obey {
		g.highest = order
	}
	return verdict
}

// Highest returns the highest Number obeyed or learned.
func (g *Guard) Highest() Number { return g.highest }
