package fleet

import "math"

const (
	// connPart is the part of the connections that an endpoint takes which the entries use:
	// one that waits for its queue takes fewer.
	connPart = 0.8
	// spareConnEntries is how many entries may have started that are not known yet.
	spareConnEntries = 3
)

// connShare returns how many connections to one endpoint this entry may have; g.mu is held.
func (g *Group) connShare() int {
	if g.maxConns <= 0 {
		return math.MaxInt
	}
	return max(1, int(connPart*float64(g.maxConns)/float64(1+len(g.others)+spareConnEntries)))
}

// connsFull reports whether this entry has as many connections to an endpoint in use as it may.
// Engines are dealt to few entries, and their slots bound what is in use; g.mu is held.
func (g *Group) connsFull(end *endpoint) bool {
	return g.engine == nil && len(end.running) >= g.connShare()
}

// IdleRoom returns how many idle connections to the endpoint may be kept beside those in use,
// once this request's own is idle.
func (g *Grant) IdleRoom() int {
	g.group.mu.Lock()
	defer g.group.mu.Unlock()
	return max(0, g.group.connShare()-max(0, len(g.end.running)-1))
}
