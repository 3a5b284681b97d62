package fleet

import "time"

// rateLimit is the limit that an endpoint named for all entries together.
type rateLimit struct {
	perSecond float64
	namedAt   time.Time // arrival of the newest answer that named it; zero: no limit
}

func (l *rateLimit) active() bool { return !l.namedAt.IsZero() }

// Limited applies what the endpoint's answer said of its rate limit: it names one, or ok is
// false. It returns whether that changes the limit.
func (g *Grant) Limited(perSecond float64, ok bool) bool {
	g.group.mu.Lock()
	defer g.group.mu.Unlock()
	limit := &g.end.limit
	if !ok {
		// Answers overtake each other: one to a request that was sent before the limit was
		// named doesn't lift it.
		if !limit.active() || !g.end.running[g].After(limit.namedAt) {
			return false
		}
		*limit = rateLimit{}
		return true
	}
	changed := !limit.active() || limit.perSecond != perSecond
	limit.perSecond, limit.namedAt = perSecond, g.group.clock()
	return changed
}

// LimitedEndpoints returns how many endpoints have a rate limit in force.
func (f *Fleet) LimitedEndpoints() int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	count := 0
	for _, grp := range f.groups {
		count += grp.limited()
	}
	return count
}

func (g *Group) limited() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	for _, end := range g.order {
		if end.limit.active() {
			count++
		}
	}
	return count
}
