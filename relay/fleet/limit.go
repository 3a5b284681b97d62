package fleet

import (
	"time"

	"comfreyrelay.example/relay/deal"
	"comfreyrelay.example/relay/limit"
	"comfreyrelay.example/relay/rendezvous"
)

const (
	// minRate is the least rate, in requests per second, sent to an endpoint whose limit is lower
	// or 0: only an answer shows that the limit was removed.
	minRate = 0.2
	// minShare is the smallest share of a limit for one entry, in requests per second. A limit is
	// divided among as many entries as can have that much.
	minShare = 1.0
	// probeTime sets how often an entry without a share of the limit sends one request to learn
	// whether the limit still holds. The interval is probeTime times the number of entries divided
	// by the limit in requests per second, so that all these probes together are a quarter of the
	// limit. maxProbeRate caps the limit in this formula, since the limit may have become lower.
	probeTime    = 4 * time.Second
	maxProbeRate = 4.0
	// ownAnswerPrecedence is how long an answer to this entry takes precedence over a higher limit
	// that another entry reports: that report may be older.
	ownAnswerPrecedence = time.Second
	// minReportInterval is the least time between two changes of one limit that an entry reports.
	minReportInterval = time.Second
)

// rateLimit is the limit that an endpoint advertised for all entries together, and this entry's
// share of it.
type rateLimit struct {
	perSecond    float64
	advertisedAt time.Time // arrival of the latest answer with the limit; zero: no limit
	share        float64   // of this entry, in requests per second; 0: only other entries send
	bucket       limit.Bucket
	probeAt      time.Time // time of the next probe if share is 0
	// reported is the limit that the entries last reported to each other, and reportedAt the time
	// at which this entry last reported it.
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

// take counts a request that is sent now. interval is the time to the next probe.
func (l *rateLimit) take(now time.Time, interval time.Duration) {
	switch {
	case !l.active():
	case l.share == 0:
		l.probeAt = now.Add(interval)
	default:
		l.bucket.Take(now, l.share, 1)
	}
}

// setShare changes this entry's share. An entry that had none starts without saved-up tokens: the
// entry that held the share before may have used its own.
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

// LimitChange tells how an answer changed an endpoint's rate limit.
type LimitChange int

// Changes of a rate limit.
const (
	LimitKept    LimitChange = iota // nothing changed that others need to know
	LimitAdded                      // the endpoint advertised its first limit
	LimitChanged                    // the limit is another one, which the other entries should learn
	LimitRemoved                    // the limit was removed
)

// ApplyLimit applies the rate limit in the endpoint's answer; ok is false if the answer has none.
func (g *Grant) ApplyLimit(perSecond float64, ok bool) LimitChange {
	g.group.mu.Lock()
	defer g.group.mu.Unlock()
	current := &g.endpoint.limit
	now := g.group.clock()
	if !ok {
		// Answers may arrive out of order: an answer to a request that was sent before the limit
		// was advertised does not remove it.
		if !current.active() || !g.endpoint.running[g].After(current.advertisedAt) {
			return LimitKept
		}
		g.group.clearLimit(g.endpoint)
		return LimitRemoved
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
		return LimitAdded
	case current.reported != perSecond && now.Sub(current.reportedAt) >= minReportInterval:
		current.reported, current.reportedAt = perSecond, now
		return LimitChanged
	}
	return LimitKept
}

// TightenLimit applies a rate limit of an answer whose age is unknown, unless a lower one is in force.
func (g *Grant) TightenLimit(perSecond float64) LimitChange {
	g.group.mu.Lock()
	current := &g.endpoint.limit
	tighter := !current.active() || perSecond < current.perSecond
	g.group.mu.Unlock()
	if !tighter {
		return LimitKept
	}
	return g.ApplyLimit(perSecond, true)
}

// LimitReport is a changed limit of an endpoint, as one entry reports it to the others.
type LimitReport struct {
	Incarnation
	PerSecond float64 `json:"perSecond"`
}

// ObserveLimit applies a limit that another entry reports. It has no effect if no answer to this
// entry advertised a limit.
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

// RemoveLimit records that another entry saw an endpoint without a limit. An entry that does not send
// requests there would learn it late.
func (f *Fleet) RemoveLimit(incarnation Incarnation) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if service, ok := f.serviceByID[incarnation.ID]; ok {
		f.groups[service].liftLimit(incarnation)
	}
}

func (g *Group) liftLimit(incarnation Incarnation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ep := g.endpoints[incarnation.ID]; ep != nil && ep.incarnation().matches(incarnation) {
		g.clearLimit(ep)
	}
}

// clearLimit removes the limit of an endpoint. g.mu is held.
func (g *Group) clearLimit(ep *endpoint) {
	ep.limit = rateLimit{}
	g.notifyChanged()
}

// SetEntries sets the ids of the entries that share the endpoints' limits: this entry and the
// others. peak is the number of entries that may send requests, including those whose registrations
// have lapsed; they share the endpoints' connections.
func (f *Fleet) SetEntries(self string, others []string, peak int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.self, f.others, f.peakEntries = self, others, peak
	for _, grp := range f.groups {
		grp.setEntries(self, others, peak)
	}
}

func (g *Group) setEntries(self string, others []string, peak int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.self, g.others, g.peakEntries = self, others, peak
	g.updateLimitShares()
}

// updateLimitShares recomputes this entry's share of every limit. g.mu is held.
func (g *Group) updateLimitShares() {
	for _, ep := range g.sorted {
		if ep.limit.active() {
			g.updateLimitShare(ep)
		}
	}
}

// updateLimitShare recomputes this entry's share of one limit. Entries that know the same
// deployment agree without messages, and their shares add up to the limit. g.mu is held.
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

// probeInterval returns how long an entry without a share of a limit waits before its next probe.
// Jitter keeps entries that learned of the limit together from probing together.
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
