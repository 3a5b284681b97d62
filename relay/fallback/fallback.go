// Package fallback decides what a host outside the plan serves during an outage
// of the key-value service, when no new plan can be made. Hosts are replaced
// under new IDs in that time; without the fallback each replacement would stay
// empty until the service is back, with one replica fewer each time.
//
// Every agent decides for its own host only, from the current document, the
// current plan and the reports of its failure domain. It writes nothing and
// communicates with no other host: hosts that see the same reports assign the
// vacant replica slots identically, by rendezvous rank.
//
// Invariants, which the randomized tests check:
//
//   - A host that is in the plan gets nothing from this package: the plan takes
//     precedence.
//   - A host takes a replica slot only in an outage, and only a slot that has
//     been vacant for longer than the time in Limits (isVacant).
//   - Hosts that see the same reports take no more slots than are vacant.
//   - A host keeps a slot until enough other hosts serve the model or the plan
//     contains this host, also after the outage: the planner needs some time to
//     detect which hosts are lost.
//
// While the hosts' views differ, every idle host that sees neither the others'
// reports nor the host that fills a slot may take that slot. There are then at
// most as many excess replicas as hosts outside the plan. The excess ends when
// the reports arrive: of the hosts that fill one slot, the best-ranked one stays.
package fallback

import (
	"time"

	"comfreyrelay.example/relay/placement"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

// Limits contains the times after which an outage is assumed and a replica slot
// counts as vacant.
type Limits struct {
	// Outage is how long the document must be unconfirmed. It has to exceed a
	// watch of the service, which lasts 10 seconds, plus the time until the
	// previous watcher's lease expires and a new one takes over. Settle is how
	// long this process must have observed that state.
	Outage, Settle time.Duration
	// LeavingAfter and LostAfter are as in placement.Limits.
	LeavingAfter, LostAfter time.Duration
	// UnreportedAfter applies to planned hosts without any report. Entries also
	// forward the reports of lost hosts, but in a large failure domain a new
	// agent needs a while to receive all reports. Without this delay it would
	// treat the remaining hosts as dead.
	UnreportedAfter time.Duration
	// Pause is the gap between two decisions from which the process counts as
	// having been paused. Its data is then old, which does not indicate an outage.
	Pause time.Duration
}

// DefaultLimits returns the times used in production.
func DefaultLimits() Limits {
	placementLimits := placement.DefaultLimits()
	return Limits{
		Outage:          20 * time.Second,
		Settle:          10 * time.Second,
		LeavingAfter:    placementLimits.LeavingAfter,
		LostAfter:       placementLimits.LostAfter,
		UnreportedAfter: 2 * time.Minute,
		Pause:           5 * time.Second,
	}
}

// Input contains the data that a decision is based on.
type Input struct {
	Now      time.Time
	Document *wire.Document
	// Plan is the current plan, or at least its part for the failure domain.
	Plan *wire.Plan
	// ConfirmedAt is when the service last confirmed the document to any
	// process; zero if never.
	ConfirmedAt time.Time
	// Hosts contains the newest known reports, from any failure domain.
	Hosts []view.Host
	// Own is this host's current state; it replaces its report in Hosts.
	Own *wire.HostReport
}

// Decider makes the decisions for one host. It is not safe for concurrent use.
type Decider struct {
	limits Limits
	// absentSince is when this process first saw each absent host as leaving,
	// lost or unreported.
	absentSince map[string]time.Time
	// staleSince is when this process first saw that the document had been
	// unconfirmed for longer than Limits.Outage; zero if it is confirmed.
	staleSince   time.Time
	lastDecision time.Time // time of the last decision
	takenModel   string    // model whose replica slot this host took; empty if none
}

// New returns a Decider for a host that has not taken a replica slot.
func New(limits Limits) *Decider {
	return &Decider{limits: limits, absentSince: map[string]time.Time{}}
}

// TakenModel returns the model whose replica slot this host took; empty if none.
func (c *Decider) TakenModel() string { return c.takenModel }

// Decide returns an assignment for this host that is not in the plan; nil if the
// host should serve nothing beyond the plan.
func (c *Decider) Decide(in Input) *wire.Assignment {
	c.trackTimes(in)
	own := in.Own.GetNode()
	if in.Document == nil || in.Plan == nil || in.Own.GetLeaving() || isPlanned(in.Plan, own.GetId()) {
		c.takenModel = ""
		return nil
	}
	dom := c.newDomain(in)
	outage := c.outage(in.Now)
	if !outage && c.takenModel == "" {
		return nil
	}
	model := dom.keptModel(own.GetId())
	if model == nil && outage {
		model = dom.modelForIdleHost(own.GetId())
	}
	if model == nil {
		c.takenModel = ""
		return nil
	}
	c.takenModel = model.GetName()
	return &wire.Assignment{
		Host:          own.GetId(),
		Model:         model.GetName(),
		Version:       model.GetVersion(),
		Adapters:      model.GetAdapters(),
		FailureDomain: own.GetFailureDomain(),
		Role:          placement.RoleBoth,
	}
}

// trackTimes updates the times from which outages and absences are measured.
// After a pause of the process its data is old: if the outage time were not
// reset, a process that resumes would consider the whole deployment cut off from
// the service until the next reply arrives.
func (c *Decider) trackTimes(in Input) {
	gap := in.Now.Sub(c.lastDecision)
	if !c.lastDecision.IsZero() && (gap > c.limits.Pause || gap < 0) {
		c.staleSince = time.Time{}
		for id, absentFrom := range c.absentSince {
			c.absentSince[id] = absentFrom.Add(gap)
		}
	}
	c.lastDecision = in.Now
	switch {
	case in.Now.Sub(in.ConfirmedAt) <= c.limits.Outage:
		c.staleSince = time.Time{}
	case c.staleSince.IsZero():
		c.staleSince = in.Now
	}
}

// outage reports whether the document has been stale for at least Limits.Settle.
func (c *Decider) outage(now time.Time) bool {
	return !c.staleSince.IsZero() && now.Sub(c.staleSince) >= c.limits.Settle
}

// isVacant reports whether the host has been absent long enough for its replica
// slot to count as vacant. The wait is needed because most hosts that stop
// reporting are back soon, and a move costs a transfer of the whole model.
func (c *Decider) isVacant(id string, host view.Host, reported bool, now time.Time) bool {
	if reported && !host.Lost() && !host.Leaving() {
		delete(c.absentSince, id)
		return false
	}
	absentFrom, known := c.absentSince[id]
	if !known {
		absentFrom = now
		c.absentSince[id] = now
	}
	if reported && host.Lost() && host.SeenAt().Before(absentFrom) {
		absentFrom = host.SeenAt()
	}
	limit := c.limits.LostAfter
	switch {
	case !reported:
		limit = c.limits.UnreportedAfter
	case host.Leaving():
		limit = c.limits.LeavingAfter
	}
	return now.Sub(absentFrom) >= limit
}

// pruneAbsences removes from absentSince the hosts that are not present, that is
// neither reported nor in the plan, so that the map does not grow without bound.
func (c *Decider) pruneAbsences(present map[string]bool) {
	for id := range c.absentSince {
		if !present[id] {
			delete(c.absentSince, id)
		}
	}
}

// isPlanned reports whether the plan has an assignment for the host.
func isPlanned(plan *wire.Plan, id string) bool {
	for _, assignment := range plan.GetAssignments() {
		if assignment.GetHost() == id {
			return true
		}
	}
	return false
}
