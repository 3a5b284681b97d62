package fleet

import "math"

const (
	// connFraction is the fraction of an endpoint's maximum connections that the entries use: an
	// endpoint that is waiting for its queue accepts fewer than its maximum.
	connFraction = 0.8
	// undiscoveredEntries is the number of entries assumed to have started without being known yet.
	undiscoveredEntries = 3
)

// connLimit returns how many connections to one endpoint this entry may have. g.mu is held.
func (g *Group) connLimit() int {
	if g.maxConns <= 0 {
		return math.MaxInt
	}
	return max(1, int(connFraction*float64(g.maxConns)/float64(max(g.peakEntries, 1+len(g.others))+undiscoveredEntries)))
}

// connLimitReached reports whether this entry uses as many connections to an endpoint as it may.
// Engines are exempt: each is assigned to few entries, and its slots bound the connections in use.
// g.mu is held.
func (g *Group) connLimitReached(ep *endpoint) bool {
	return g.engine == nil && len(ep.running) >= g.connLimit()
}

// MaxIdleConns returns how many idle connections to the endpoint may be kept beside those in use, once
// the connection of this request is idle.
func (g *Grant) MaxIdleConns() int {
	g.group.mu.Lock()
	defer g.group.mu.Unlock()
	return max(0, g.group.connLimit()-max(0, len(g.endpoint.running)-1))
}
