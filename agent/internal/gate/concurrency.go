package gate

import "sync"

const (
	// firstLimit is the concurrency before anything is known of the endpoint.
	initialLimit = 32
	// maxLimit is the concurrency that no endpoint is given more than.
	maxConcurrency = 512
	// overloadFactor is the share of the running work that is still let in
	// after the endpoint showed that it had too much.
	overloadBackoff = 0.9
)

// capacity bounds the attempts at the endpoint. It starts from the slots that
// the engine reports, shrinks when the endpoint refuses or is late, and grows
// again by one for each full round of good answers.
type concurrencyLimiter struct {
	mu      sync.Mutex
	limit   float64 // at least 1, at most ceiling
	ceiling float64
	running int
}

func newConcurrencyLimiter() *concurrencyLimiter {
	return &concurrencyLimiter{limit: initialLimit, ceiling: maxConcurrency}
}

// setSlots takes the engine's own count; 0 means that it is unknown. Nothing
// queues at the engine beyond it: entries do not see one another's newest
// choices, so a queue here makes a request wait on a full host while another
// host is idle. A refused one goes there at once.
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

func (c *concurrencyLimiter) acquire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if float64(c.running) >= c.limit {
		return false
	}
	c.running++
	return true
}

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

func (c *concurrencyLimiter) inUse() (running, limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running, int(c.limit)
}
