package retry

import "time"

// Bounds of the wait between attempts.
const (
	firstBackoff = 10 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts = 5
)

// Backoff returns the wait before the attempt (2 is the first retry). It
// doubles with each, and random (in [0,1)) picks the upper half of it: callers
// that failed together would otherwise return together.
func Backoff(attempt int, random float64) time.Duration {
	wait := firstBackoff
	for i := 2; i < attempt && wait < maxBackoff; i++ {
		wait *= 2
	}
	wait = min(wait, maxBackoff)
	return wait/2 + time.Duration(random*float64(wait/2))
}
