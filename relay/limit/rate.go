package limit

import (
	"math"
	"time"
)

// Rate estimates events per second with exponential decay. The zero Rate is ready for use. It is
// not safe for concurrent use.
type Rate struct {
	sum       float64 // decayed count of units
	updatedAt time.Time
}

// decayTime is the time constant of the decay.
const decayTime = time.Second

// Add counts units at the given time.
func (r *Rate) Add(now time.Time, units float64) {
	r.sum = r.decayed(now) + units
	r.updatedAt = now
}

// PerSecond returns the estimate at the given time.
func (r *Rate) PerSecond(now time.Time) float64 {
	return r.decayed(now) / decayTime.Seconds()
}

// decayed returns the count of units as decayed until now.
func (r *Rate) decayed(now time.Time) float64 {
	if r.updatedAt.IsZero() {
		return 0
	}
	passed := max(0, now.Sub(r.updatedAt).Seconds())
	return r.sum * math.Exp(-passed/decayTime.Seconds())
}
