package admission

import (
	"slices"
	"sync"
	"time"
)

const (
	// spansKept is how many callers of a route are remembered: enough for a
	// quantile, few enough that a change of their habits shows within seconds.
	maxSamples = 64
	// spansNeeded is how many must be known until anybody counts as returned.
	minSamples = 8
	// spansEvery is after how many callers the quantile is taken anew.
	quantileInterval = 8
	// maxRoutes bounds the routes remembered, of which operators add and remove
	// some all the time. Beyond it all are learned anew.
	maxRoutes = 4096
	// usualPart is the quantile of the times that counts as usual. Up to seven in
	// ten may have come back and it is still one of those who did not; one caller
	// who waits for an hour does not move it.
	usualQuantile = 0.75
	// returnedPart is the part of the usual time under which a caller counts as returned. It is
	// below what new callers give and above what is left after a wait of minReturn.
	returnedFraction = 0.87
)

// Callers learns how long the callers of each route give their requests, and by that finds the
// ones who came back after a refusal: they have less time left than others give. The route's own
// timeout is no measure, since operators change it and callers do not follow. The zero Callers is
// ready; it is safe for concurrent use.
type Callers struct {
	mu     sync.Mutex
	routes map[string]*timeoutSamples
}

// spans are the times given by a route's last callers.
type timeoutSamples struct {
	ring  []time.Duration // ring
	seen  int
	usual time.Duration // quantile; 0: too few are known
}

// Returned takes the time that a caller of the route gives and reports whether it
// came back. A caller that gives none did not.
func (c *Callers) Returned(route string, timeout time.Duration) bool {
	if timeout <= 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	samples := c.routes[route]
	if samples == nil {
		samples = &timeoutSamples{}
		if c.routes == nil || len(c.routes) >= maxRoutes {
			c.routes = map[string]*timeoutSamples{}
		}
		c.routes[route] = samples
	}
	samples.add(timeout)
	return float64(timeout) < returnedFraction*float64(samples.usual)
}

func (s *timeoutSamples) add(timeout time.Duration) {
	if len(s.ring) < maxSamples {
		s.ring = append(s.ring, timeout)
	} else {
		s.ring[s.seen%maxSamples] = timeout
	}
	s.seen++
	if len(s.ring) >= minSamples && s.seen%quantileInterval == 0 {
		sorted := slices.Sorted(slices.Values(s.ring))
		s.usual = sorted[int(usualQuantile*float64(len(sorted)))]
	}
}
