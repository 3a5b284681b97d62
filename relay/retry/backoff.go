package retry

import "time"

// Bounds on retries.
const (
	firstBackoff = 10 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts = 5
)

// Backoff returns the wait before an attempt, of which 2 is the first retry. It doubles
// with each attempt. random, in [0,1), adds jitter within the upper half of the wait,
// so that callers which failed together do not retry together.
func Backoff(attempt int, random float64) time.Duration {
	backoff := firstBackoff
	for i := 2; i < attempt && backoff < maxBackoff; i++ {
		backoff *= 2
	}
	backoff = min(backoff, maxBackoff)
	return backoff/2 + time.Duration(random*float64(backoff/2))
}
