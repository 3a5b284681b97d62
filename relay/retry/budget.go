// Package retry decides whether and when a request is tried again.
package retry

import "math"

// Constants of a Budget.
const (
	defaultRatio     = 0.1 // retries per request if the document sets no ratio
	maxAvailable     = 20  // retries that a customer can accumulate
	initialAvailable = 5   // retries available before the first request
)

// Budget limits the retries of one customer to a fraction of its requests, so that a
// fault can't multiply the load that caused it. It is not safe for concurrent use.
type Budget struct {
	available float64 // retries left, at most maxAvailable
}

// NewBudget returns a Budget with initialAvailable retries.
func NewBudget() *Budget { return &Budget{available: initialAvailable} }

// Deposit counts a new request, which adds ratio retries. A ratio of 0 stands for 0.1.
func (b *Budget) Deposit(ratio float64) {
	if ratio <= 0 {
		ratio = defaultRatio
	}
	b.available = math.Min(maxAvailable, b.available+ratio)
}

// Withdraw uses one retry and reports whether one was available.
func (b *Budget) Withdraw() bool {
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
