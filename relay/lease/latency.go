package lease

import "time"

const (
	// maxTTLFactor limits how much the ttl is extended while the service is
	// slow. After a holder dies, the other candidates wait at most this many
	// times the configured ttl.
	maxTTLFactor = 8
	// A call is slow if it takes at least 1/slowDivisor of the current ttl, and
	// fast if it takes at most 1/fastDivisor of the configured ttl.
	slowDivisor = 8
	fastDivisor = 16
	// fastCallsToReset is the number of consecutive fast calls after which the
	// ttl returns to the configured one.
	fastCallsToReset = 2
)

// latencyTracker scales the ttl with the latency of the service. If a call
// takes seconds, a lease with the configured ttl expires before its key is
// written, and no process ever holds it; a longer lease avoids that.
type latencyTracker struct {
	ttl       time.Duration // configured ttl
	ttlFactor time.Duration // multiplies ttl; 1 to maxTTLFactor
	fastCalls int           // consecutive
}

func newLatencyTracker(ttl time.Duration) latencyTracker {
	return latencyTracker{ttl: ttl, ttlFactor: 1}
}

// observe records the duration of a call, failed calls included.
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
