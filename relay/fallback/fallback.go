// Package fallback decides what a host serves that the plan leaves out while
// nobody can plan: the key-value service is down, hosts are replaced under new
// ids, and without it each replaced host would stay empty until the service is
// back, one replica fewer each time.
//
// Every agent decides for its own host alone, from the document and plan in
// force and the reports of its failure domain. Nothing is written and nobody is
// asked: hosts that see the same reports come to the same division of the
// missing places by rendezvous rank.
//
// Rules, which the random runs assert:
//
//   - A host that the plan names gets nothing from here: the plan goes first.
//   - A host takes a place only in an outage, and only one that has been empty
//     for longer than Limits say (emptyForLong).
//   - Hosts that see the same take no more places than are empty.
//   - A place that was taken is kept until enough other hosts serve the model
//     or the plan names this host, also after the outage: the planner needs
//     some time to see what is lost.
//
// While views differ, a place may be taken by every idle host that sees neither
// the others' reports nor who fills it, so that at most as many replicas too
// many come up as there are hosts the plan leaves out. It ends when the reports
// arrive: of those that fill one place the best rank stays.
package fallback

import (
	"time"

	"comfreyrelay.example/relay/placement"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

// Limits are the times after which a place counts as empty.
type Limits struct {
	// Outage is how long the document has to go unconfirmed: a watch of the
	// service lasts 10 seconds, and a new watcher needs its predecessor's lease
	// to lapse. Settle is how long this process has to see it so.
	Outage, Settle time.Duration
	// LeavingAfter and LostAfter are those of placement.Limits.
	LeavingAfter, LostAfter time.Duration
	// UnreportedAfter is for planned hosts without any report. Entries pass the
	// reports of lost hosts on too, but in a large failure domain it takes a new
	// agent a while to get all: without this time it would take the rest for
	// dead.
	UnreportedAfter time.Duration
	// Pause is the gap between two decisions that shows that the process stood
	// still: what it holds is old then, and proves no outage.
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

// Input is everything that a decision depends on.
type Input struct {
	Now      time.Time
	Document *wire.Document
	// Plan in force, or at least its part for the failure domain.
	Plan *wire.Plan
	// ConfirmedAt is when the service last confirmed the document to anyone;
	// zero: never.
	ConfirmedAt time.Time
	// Hosts are the newest reports known here, of any failure domain.
	Hosts []view.Host
	// Own is this host's present state; it goes before its report in Hosts.
	Own *wire.HostReport
}

// Core decides for one host. Its owner serialises the calls.
type Core struct {
	limits Limits
	// since is when each host that is leaving, lost or unheard became so, as
	// seen here.
	absentSince map[string]time.Time
	// stale is since when the document was seen unconfirmed for Limits.Outage;
	// zero: it is not.
	staleSince   time.Time
	lastDecision time.Time // last decision
	takenModel   string    // model whose place this host took; empty: none
}

// New returns a Core that holds no place.
func New(limits Limits) *Core {
	return &Core{limits: limits, absentSince: map[string]time.Time{}}
}

// Held returns the model whose place this host took; empty: none.
func (c *Core) Held() string { return c.takenModel }

// Decide returns what this host should serve although the plan does not say so;
// nil: nothing.
func (c *Core) Decide(in Input) *wire.Assignment {
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

// look moves the times on. After a pause all that is held is old: without a
// new start of the outage's time, a process that wakes would take the whole
// deployment for cut off from the service until its next reply.
func (c *Core) trackTimes(in Input) {
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

func (c *Core) outage(now time.Time) bool {
	return !c.staleSince.IsZero() && now.Sub(c.staleSince) >= c.limits.Settle
}

// emptyForLong reports whether the host's place counts as empty: most hosts
// that fall silent are back soon, and a move costs a whole model's bytes.
func (c *Core) isVacant(id string, host view.Host, reported bool, now time.Time) bool {
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

// forget bounds since to the hosts that reported or are planned.
func (c *Core) pruneAbsences(present map[string]bool) {
	for id := range c.absentSince {
		if !present[id] {
			delete(c.absentSince, id)
		}
	}
}

func isPlanned(plan *wire.Plan, id string) bool {
	for _, assignment := range plan.GetAssignments() {
		if assignment.GetHost() == id {
			return true
		}
	}
	return false
}
