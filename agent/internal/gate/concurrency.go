package gate

import "sync"

const (
	// initialLimit is the limit before the endpoint has reported its slots.
	initialLimit = 32
	// maxConcurrency is the upper bound for every endpoint.
	maxConcurrency = 512
	// overloadBackoff is the factor applied to the number of running attempts
	// to get the new limit after the endpoint was overloaded.
	overloadBackoff = 0.9
)

// concurrencyLimiter limits the attempts that run at the endpoint at once. It
// starts from the slots that the engine reports, shrinks when the endpoint
// refuses an attempt or misses a deadline, and grows by one for every limit
// attempts that finish without overload (additive increase, multiplicative
// decrease).
type concurrencyLimiter struct {
	mu      sync.Mutex
	limit   float64 // at least 1, at most ceiling
	ceiling float64
	running int
}

func newConcurrencyLimiter() *concurrencyLimiter {
	return &concurrencyLimiter{limit: initialLimit, ceiling: maxConcurrency}
}

// setSlots sets the limit to the number of requests that the engine runs at once;
// 0 means that the number is unknown. Attempts beyond it are refused, not queued:
// entries do not see one another's latest routing decisions, so a request queued
// here would wait on a full host while another host is idle. A refused request
// is retried on another host at once.
func (c *concurrencyLimiter) setSlots(slots int) {
	if slots <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	ceiling := float64(min(slots, maxConcurrency))
	if c.ceiling == ceiling {
		return
	}
	c.ceiling, c.limit = ceiling, ceiling
}

// acquire takes a slot. It reports false if none is free.
func (c *concurrencyLimiter) acquire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if float64(c.running) >= c.limit {
		return false
	}
	c.running++
	return true
}

// release returns a slot and adjusts the limit.
func (c *concurrencyLimiter) release(overloaded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if overloaded {
		c.limit = max(1, min(c.limit, float64(c.running)*overloadBackoff))
	} else {
		c.limit = min(c.limit+1/c.limit, c.ceiling)
	}
	c.running--
}

// inUse returns the number of running attempts and the current limit.
func (c *concurrencyLimiter) inUse() (running, limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running, int(c.limit)
}
