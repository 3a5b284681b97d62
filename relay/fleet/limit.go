package fleet

import (
	"time"

	"comfreyrelay.example/relay/deal"
	"comfreyrelay.example/relay/limit"
	"comfreyrelay.example/relay/rendezvous"
)

const (
	// leastRate is the requests a second that are sent at least to an endpoint that names a
	// lower limit, none included: only an answer shows that the limit was lifted.
	minRate = 0.2
	// senderRate is the least part of a limit for one entry, requests a second. A limit is
	// shared by as many entries as can have so much.
	minShare = 1.0
	// askTime is how long an entry without a part of the limit waits for each entry of the
	// deployment, and for one request a second of the limit, before it sends one request to
	// learn whether the limit still stands: all such requests are a quarter of the limit, and
	// of mostAsked where that is less, since the limit may have become lower.
	probeTime    = 4 * time.Second
	maxProbeRate = 4.0
	// ownWord is how long an answer to this entry goes before what another one reports of a
	// higher limit: that may be older.
	ownAnswerPrecedence = time.Second
	// reportGap is the least time between two changes of one limit that an entry reports.
	minReportInterval = time.Second
)

// rateLimit is the limit that an endpoint named for all entries together, and this entry's
// part of it.
type rateLimit struct {
	perSecond    float64
	advertisedAt time.Time // arrival of the newest answer that named it; zero: no limit
	share        float64   // of this entry, requests a second; 0: others send
	bucket       limit.Bucket
	probeAt      time.Time // of the next request where share is 0
	// reported is the limit that the entries last reported to one another, and reportedAt when this one
	// did.
	reported   float64
	reportedAt time.Time
}

func (l *rateLimit) active() bool { return !l.advertisedAt.IsZero() }

// admitsAt returns the earliest time at which one more request may be sent.
func (l *rateLimit) admitsAt(now time.Time) time.Time {
	if !l.active() {
		return now
	}
	if l.share == 0 {
		return l.probeAt
	}
	return now.Add(l.bucket.Wait(now, l.share, 1))
}

// take counts a request that is sent now.
func (l *rateLimit) take(now time.Time, interval time.Duration) {
	switch {
	case !l.active():
	case l.share == 0:
		l.probeAt = now.Add(interval)
	default:
		l.bucket.Take(now, l.share, 1)
	}
}

// setShare changes this entry's part. One that had none begins without credit: the entry that
// had it before may have used its own.
func (l *rateLimit) setShare(now time.Time, share float64, interval time.Duration) {
	if l.share == share {
		return
	}
	if l.share == 0 {
		l.bucket = limit.Drained(now)
	}
	if share == 0 {
		l.probeAt = now.Add(interval)
	}
	l.share = share
}

// LimitChange is what an answer changed about an endpoint's rate limit.
type LimitChange int

// The changes.
const (
	LimitKept    LimitChange = iota
	LimitNamed               // a limit is in force
	LimitChanged             // another one is, which the other entries should learn
	LimitLifted              // there is none any more
)

// Limited applies what the endpoint's answer said of its rate limit: it names one, or ok is
// false.
func (g *Grant) Limited(perSecond float64, ok bool) LimitChange {
	g.group.mu.Lock()
	defer g.group.mu.Unlock()
	current := &g.endpoint.limit
	now := g.group.clock()
	if !ok {
		// Answers overtake each other: one to a request that was sent before the limit was
		// named doesn't lift it.
		if !current.active() || !g.endpoint.running[g].After(current.advertisedAt) {
			return LimitKept
		}
		g.group.clearLimit(g.endpoint)
		return LimitLifted
	}
	first := !current.active()
	changed := first || current.perSecond != perSecond
	current.perSecond, current.advertisedAt = perSecond, now
	if first {
		current.reported = perSecond
		current.probeAt = now.Add(g.group.probeInterval(perSecond))
	}
	if changed {
		g.group.updateLimitShare(g.endpoint)
	}
	switch {
	case first:
		return LimitNamed
	case current.reported != perSecond && now.Sub(current.reportedAt) >= minReportInterval:
		current.reported, current.reportedAt = perSecond, now
		return LimitChanged
	}
	return LimitKept
}

// LimitReport is a limit that an endpoint changed, as an entry reports it to others.
type LimitReport struct {
	Incarnation
	PerSecond float64 `json:"perSecond"`
}

// ObserveLimit takes over a limit that another entry was named. An entry that was named none
// isn't bound by it.
func (f *Fleet) ObserveLimit(report LimitReport) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if service, ok := f.serviceByID[report.ID]; ok {
		f.groups[service].observeLimit(report)
	}
}

func (g *Group) observeLimit(report LimitReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ep := g.endpoints[report.ID]
	if ep == nil || !ep.incarnation().matches(report.Incarnation) || !ep.limit.active() {
		return
	}
	now, current := g.clock(), &ep.limit
	current.reported = report.PerSecond
	if current.perSecond == report.PerSecond || report.PerSecond > current.perSecond && now.Sub(current.advertisedAt) < ownAnswerPrecedence {
		return
	}
	current.perSecond = report.PerSecond
	if current.share == 0 {
		current.probeAt = now.Add(g.probeInterval(report.PerSecond))
	}
	g.updateLimitShare(ep)
	g.notifyChanged()
}

// LiftLimit notes that another entry saw that an endpoint has no limit any more. An entry that
// does not send there would learn of it late.
func (f *Fleet) LiftLimit(name Incarnation) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if service, ok := f.serviceByID[name.ID]; ok {
		f.groups[service].liftLimit(name)
	}
}

func (g *Group) liftLimit(name Incarnation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ep := g.endpoints[name.ID]; ep != nil && ep.incarnation().matches(name) {
		g.clearLimit(ep)
	}
}

// lift ends a limit; g.mu is held.
func (g *Group) clearLimit(ep *endpoint) {
	ep.limit = rateLimit{}
	g.notifyChanged()
}

// SetEntries takes over the ids of the entries that share the limits of endpoints: this one
// and the others.
func (f *Fleet) SetEntries(self string, others []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.self, f.others = self, others
	for _, grp := range f.groups {
		grp.setEntries(self, others)
	}
}

func (g *Group) setEntries(self string, others []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.self, g.others = self, others
	g.updateLimitShares()
}

// shareLimits computes this entry's part of each limit again; g.mu is held.
func (g *Group) updateLimitShares() {
	for _, ep := range g.sorted {
		if ep.limit.active() {
			g.updateLimitShare(ep)
		}
	}
}

// shareLimit computes this entry's part of a limit; g.mu is held. Entries that know the same
// agree without a message, and the parts add up to the limit.
func (g *Group) updateLimitShare(ep *endpoint) {
	rate := max(minRate, ep.limit.perSecond)
	share := 0.0
	if g.assigned && g.engine != nil {
		if ep.reach == deal.Home {
			share = rate
		}
	} else {
		senders := min(1+len(g.others), max(1, int(rate/minShare)))
		if rendezvous.Rank(ep.reg.ID, g.self, g.others) < senders {
			share = rate / float64(senders)
		}
	}
	ep.limit.setShare(g.clock(), share, g.probeInterval(ep.limit.perSecond))
}

// askInterval returns how long an entry without a part of a limit waits before it sends a
// request: spread by chance, so that entries which learned of the limit together ask one
// after the other.
func (g *Group) probeInterval(perSecond float64) time.Duration {
	jitter := 0.5 + g.random()
	return time.Duration(jitter * float64(1+len(g.others)) * float64(probeTime) / min(maxProbeRate, max(minRate, perSecond)))
}

// LimitedEndpoints returns how many endpoints have a rate limit in force.
func (f *Fleet) LimitedEndpoints() int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	count := 0
	for _, grp := range f.groups {
		count += grp.countLimited()
	}
	return count
}

func (g *Group) countLimited() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	for _, ep := range g.sorted {
		if ep.limit.active() {
			count++
		}
	}
	return count
}
