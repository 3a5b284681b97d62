package admission

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxSamples is the number of callers remembered per route: enough for a quantile,
	// few enough that a change of their timeouts shows within seconds.
	maxSamples = 64
	// minSamples is the number of callers needed before any counts as returned.
	minSamples = 8
	// quantileInterval is the number of callers after which the quantile is recomputed.
	quantileInterval = 8
	// maxRoutes bounds the routes remembered, as operators add and remove routes all
	// the time. When it is exceeded, all routes are learned again.
	maxRoutes = 4096
	// usualQuantile is the quantile of the timeouts that counts as usual. With up to
	// seven in ten callers returned, it is still the timeout of a new one, and a single
	// caller with a timeout of an hour does not change it.
	usualQuantile = 0.75
	// returnedFraction is the fraction of the usual timeout below which a caller counts
	// as returned. It is below the timeouts of new callers and above what is left after
	// waiting minRetryAfter.
	returnedFraction = 0.87
)

// RetryDetector learns the usual request timeout of each route's callers, and uses it to
// detect callers that retry after a refusal: they have less time left than others.
// The route's own timeout can't be used for this, since operators change it and
// callers do not follow. The zero value is ready to use; it is safe for concurrent use.
type RetryDetector struct {
	mu     sync.Mutex
	routes map[string]*timeoutSamples
}

// timeoutSamples holds the timeouts of a route's last callers.
type timeoutSamples struct {
	ring  []time.Duration // the last maxSamples timeouts
	seen  int
	usual time.Duration // quantile of the ring; 0 with too few samples
}

// IsRetry records the timeout of a caller of the route and reports whether the
// caller is retrying after a refusal. A caller without a timeout counts as new.
func (c *RetryDetector) IsRetry(route string, timeout time.Duration) bool {
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
