// Package fence decides whether an order derived from a plan may still be given to
// an engine, so that a planner whose lease expired while it was paused can't do harm
// when it resumes.
//
// A Number orders plans: first by the planner's lease, then by the revision of the
// plan. Orders with a Number lower than the highest one obeyed are refused.
//
// Engines that check fencing numbers refuse old ones themselves. For engines that
// ignore them, the agent's Guard enforces the order: only the agent talks to its
// engine, so an order that the Guard refuses is never sent.
//
// A restarted agent knows no number. Its Guard returns Wait until Learn is called
// with the number that the engine reports, and obeys nothing lower afterwards. None
// of this requires the key-value service. While that is down, the agent obeys the
// plan that the entries hold in memory; if no entry is reachable either, no order is
// given and the engine keeps its state.
//
// The engine reports at most the fence. An engine that ignores numbers may report
// 0, and no engine stores the plan's revision, so a restarted agent can't tell two
// plans of one planner apart. The agent therefore
//
//   - asks up to three entries and takes the highest plan among them (package
//     control),
//   - waits some seconds for a higher one before it gives any order to an engine that
//     has weights loaded, and
//   - refuses a plan that would switch the engine from the version that the document
//     in force names to another version of the same model. Plans get their versions
//     only from the document, so that plan is older (package orders).
//
// An older plan can still be obeyed in two cases: if all entries that the restarted
// agent asks in that time lag behind with both document and plan, or if the plans
// differ only in the host's model. The host then follows the older plan until it
// receives the newer one. Its answers are complete and name the correct version
// even then.
package fence

import "fmt"

// Number is the fencing number of an order. The zero Number is lower than all others.
type Number struct {
	fence        uint64 // service revision of the planner's lease key
	planRevision uint32 // increases by one with each plan
}

// NewNumber returns the Number of a plan.
func NewNumber(fence uint64, planRevision uint32) Number {
	return Number{fence: fence, planRevision: planRevision}
}

// Fence returns the part that is sent to engines.
func (n Number) Fence() uint64 { return n.fence }

// PlanRevision returns the revision of the plan.
func (n Number) PlanRevision() uint32 { return n.planRevision }

// Less reports whether n is older than other.
func (n Number) Less(other Number) bool {
	if n.fence != other.fence {
		return n.fence < other.fence
	}
	return n.planRevision < other.planRevision
}

// String returns "fence/planRevision" for logs.
func (n Number) String() string { return fmt.Sprintf("%d/%d", n.fence, n.planRevision) }

// Verdict is the decision on an order.
type Verdict int

// The verdicts.
const (
	// Wait: the engine's own number is not known yet and must be queried first.
	Wait Verdict = iota
	// Obey: give the order.
	Obey
	// Refuse: an order with a higher number was obeyed already.
	Refuse
)

// String returns the verdict's name.
func (v Verdict) String() string {
	return [...]string{"wait", "obey", "refuse"}[v]
}

// Guard remembers the highest Number obeyed. It is not safe for concurrent use.
type Guard struct {
	learned bool   // the engine has reported its number since this process started
	highest Number // never decreases
}

// NewGuard returns a Guard to which the engine's number is not known yet.
func NewGuard() *Guard { return &Guard{} }

// Learn records the number that the engine reports. It is called at startup and after
// every refusal by the engine. Since reports lag, a lower number changes nothing.
//
// Rule RESTART of spec/lease.pml.
func (g *Guard) Learn(engineFence uint64) {
	g.learned = true
	if engineFence > g.highest.fence {
		g.highest = Number{fence: engineFence}
	}
}

// Check returns the verdict on an order without recording it.
func (g *Guard) Check(number Number) Verdict {
	if !g.learned {
		return Wait
	}
	if number.Less(g.highest) {
		return Refuse
	}
	return Obey
}

// Admit returns the verdict on an order and records its Number if it is obeyed. An
// equal Number is obeyed again, so that a lost load order can be repeated.
//
// Rule FENCE of spec/lease.pml.
func (g *Guard) Admit(number Number) Verdict {
	verdict := g.Check(number)
	if verdict == Obey {
		g.highest = number
	}
	return verdict
}

// Highest returns the highest Number obeyed or learned.
func (g *Guard) Highest() Number { return g.highest }
