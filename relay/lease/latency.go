package lease

import "time"

const (
	// maxStretch bounds the lease's time in a slow service: the longest that
	// the others wait after a holder died is this many times the usual one.
	maxStretch = 8
	// slowPart and quickPart are the fractions of the lease's time from which a
	// call is slow, and up to which it is quick.
	slowPart  = 8
	quickPart = 16
	// quickCalls in a row make the service quick again.
	quickCalls = 2
)

// pace follows how long the service's calls take. In a service that takes
// seconds a call, a lease of the usual time lapses before its key is written,
// and nobody is ever in charge; a longer lease is held.
type pace struct {
	ttl     time.Duration // the usual one
	stretch time.Duration // a factor: 1 to maxStretch
	quick   int           // calls in a row
}

func newPace(ttl time.Duration) pace { return pace{ttl: ttl, stretch: 1} }

// observe takes in how long a call took, failed ones included.
func (p *pace) observe(took time.Duration) {
	if took >= p.ttl*p.stretch/slowPart {
		p.stretch = min(2*p.stretch, maxStretch)
	}
	if took > p.ttl/quickPart {
		p.quick = 0
		return
	}
	p.quick++
	if p.quick >= quickCalls {
		p.stretch = 1
	}
}
