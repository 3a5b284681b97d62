package onsite

import (
	"sync"
	"time"
)

const (
	// lagHigh is the delay on the way between entries and this host beyond which
	// weights leave it more of the link: a request that stands behind them for so
	// long is late, and may reach the engine after its caller left. Four chunks on
	// their way take 110 ms of a link that is as wide as told, which is no sign.
	lagHigh = 150 * time.Millisecond
	// lagLow is the delay below which they take more again.
	lagLow = 80 * time.Millisecond
	// lagStale is the age at which an entry's word of a delay is no longer taken.
	lagStale = 700 * time.Millisecond
	// paceStep is the time between two changes, a little more than such a word
	// takes to come.
	paceStep = 100 * time.Millisecond
	// leastPart is the part of the usual rate that is always taken, so that the
	// link's recovery is noticed and the version comes at all.
	leastPart = 0.06
	// partGain is added with each step while there is no delay: half a link in 0.6 s.
	partGain = 0.08
)

// pace decides which part of its usual share of the link the transfer of weights
// takes. The platform's word of the link's rate may be wrong for a while: 8 hosts of
// 100 whose links were squeezed to an eighth were sent weights at the full rate,
// which stood before the link and requests behind them, for 1 to 2 s. Entries
// measure that delay and tell it; the part is halved while it is high and grows
// slowly while it is low. It is safe for concurrent use.
type pace struct {
	now func() time.Time

	mu      sync.Mutex
	lag     time.Duration
	lagAt   time.Time
	part    float64
	stepped time.Time
}

func newPace(now func() time.Time) *pace { return &pace{now: now, part: 1} }

// hear takes an entry's word of the delay. Of several entries the one with the
// highest counts, since each link has two ends.
func (p *pace) hear(lag time.Duration) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if lag >= p.lag || now.Sub(p.lagAt) > lagStale/2 {
		p.lag, p.lagAt = lag, now
	}
}

// heard returns the delay that entries told lately; 0: none.
func (p *pace) heard() time.Duration {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lagAt) > lagStale {
		return 0
	}
	return p.lag
}

// share returns the part of the usual share that may be taken now.
func (p *pace) share() float64 {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.stepped) < paceStep {
		return p.part
	}
	p.stepped = now
	lag := p.lag
	if now.Sub(p.lagAt) > lagStale {
		lag = 0
	}
	switch {
	case lag > lagHigh:
		p.part = max(leastPart, p.part/2)
	case lag < lagLow:
		p.part = min(1, p.part+partGain)
	}
	return p.part
}
