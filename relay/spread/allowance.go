package spread

import "time"

// Allowance bounds the bytes of reports that a process sends in a second, over
// all receivers together: a token bucket. It is not safe for concurrent use.
type Allowance struct {
	perSecond float64 // bytes
	burst     float64 // bytes that may gather
	tokens    float64
	updatedAt time.Time
}

// NewAllowance returns a full bucket.
func NewAllowance(perSecond, burst float64, now time.Time) *Allowance {
	return &Allowance{perSecond: perSecond, burst: burst, tokens: burst, updatedAt: now}
}

// Left returns how many bytes may go now. A clock that jumps back adds none.
func (a *Allowance) Left(now time.Time) int {
	if elapsed := now.Sub(a.updatedAt); elapsed > 0 {
		a.tokens = min(a.burst, a.tokens+elapsed.Seconds()*a.perSecond)
	}
	a.updatedAt = now
	return max(0, int(a.tokens))
}

// Spend takes the bytes that went. What must not wait goes on credit, which is
// bounded: otherwise a region that leaves would silence all else for minutes.
func (a *Allowance) Spend(bytes int) { a.tokens = max(-a.burst, a.tokens-float64(bytes)) }
