package lease

import "time"

const (
	// maxStretch bounds the lease's time in a slow service: the longest that
	// the others wait after a holder died is this many times the usual one.
	maxTTLFactor = 8
	// slowPart and quickPart are the fractions of the lease's time from which a
	// call is slow, and up to which it is quick.
	slowDivisor = 8
	fastDivisor = 16
	// quickCalls in a row make the service quick again.
	fastCallsToReset = 2
)

// pace follows how long the service's calls take. In a service that takes
// seconds a call, a lease of the usual time lapses before its key is written,
// and nobody is ever in charge; a longer lease is held.
type latencyTracker struct {
	ttl       time.Duration // the usual one
	ttlFactor time.Duration // a factor: 1 to maxStretch
	fastCalls int           // calls in a row
}

func newLatencyTracker(ttl time.Duration) latencyTracker {
	return latencyTracker{ttl: ttl, ttlFactor: 1}
}

// observe takes in how long a call took, failed ones included.
func (l *latencyTracker) observe(took time.Duration) {
	if took >= l.ttl*l.ttlFactor/slowDivisor {
		l.ttlFactor = min(2*l.ttlFactor, maxTTLFactor)
	}
	if took > l.ttl/fastDivisor {
		l.fastCalls = 0
		return
	}
	l.fastCalls++
	if l.fastCalls >= fastCallsToReset {
		l.ttlFactor = 1
	}
}
