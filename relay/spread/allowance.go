package spread

import "time"

// Allowance is a token bucket that limits the bytes of reports that a process sends per
// second to all receivers together. It is not safe for concurrent use.
type Allowance struct {
	perSecond float64 // bytes
	burst     float64 // most bytes that can accumulate
	tokens    float64
	updatedAt time.Time
}

// NewAllowance returns a full bucket.
func NewAllowance(perSecond, burst float64, now time.Time) *Allowance {
	return &Allowance{perSecond: perSecond, burst: burst, tokens: burst, updatedAt: now}
}

// Left returns how many bytes may be sent now. A clock that jumps back adds none.
func (a *Allowance) Left(now time.Time) int {
	if elapsed := now.Sub(a.updatedAt); elapsed > 0 {
		a.tokens = min(a.burst, a.tokens+elapsed.Seconds()*a.perSecond)
	}
	a.updatedAt = now
	return max(0, int(a.tokens))
}

// Spend subtracts the bytes that were sent. Urgent reports may overdraw the bucket by up to
// one burst; without that limit the reports of a region that leaves would hold back all
// others for minutes.
func (a *Allowance) Spend(bytes int) { a.tokens = max(-a.burst, a.tokens-float64(bytes)) }
