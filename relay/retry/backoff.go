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
	backoff := firstBackoff
	for i := 2; i < attempt && backoff < maxBackoff; i++ {
		backoff *= 2
	}
	backoff = min(backoff, maxBackoff)
	return backoff/2 + time.Duration(random*float64(backoff/2))
}
