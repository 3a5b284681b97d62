package fleet

import "math"

const (
	// connPart is the part of the connections that an endpoint takes which the entries use:
	// one that waits for its queue takes fewer.
	connFraction = 0.8
	// spareConnEntries is how many entries may have started that are not known yet.
	undiscoveredEntries = 3
)

// connShare returns how many connections to one endpoint this entry may have; g.mu is held.
func (g *Group) connLimit() int {
	if g.maxConns <= 0 {
		return math.MaxInt
	}
	return max(1, int(connFraction*float64(g.maxConns)/float64(1+len(g.others)+undiscoveredEntries)))
}

// connsFull reports whether this entry has as many connections to an endpoint in use as it may.
// Engines are dealt to few entries, and their slots bound what is in use; g.mu is held.
func (g *Group) connLimitReached(ep *endpoint) bool {
	return g.engine == nil && len(ep.running) >= g.connLimit()
}

// IdleRoom returns how many idle connections to the endpoint may be kept beside those in use,
// once this request's own is idle.
func (g *Grant) IdleRoom() int {
	g.group.mu.Lock()
	defer g.group.mu.Unlock()
	return max(0, g.group.connLimit()-max(0, len(g.endpoint.running)-1))
}
