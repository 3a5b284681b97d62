// Package retry decides whether and when a request is tried again.
package retry

import "math"

// Constants of a Budget.
const (
	defaultRatio     = 0.1 // where the document states none
	maxAvailable     = 20  // retries that a customer can save up
	initialAvailable = 5   // retries before the first deposits
)

// Budget bounds the retries of one customer to a fraction of its requests, so
// that a fault cannot multiply the load that caused it. It is not safe for
// concurrent use.
type Budget struct {
	available float64 // retries available, at most maxSaved
}

// NewBudget returns a Budget with a few retries saved.
func NewBudget() *Budget { return &Budget{available: initialAvailable} }

// Deposit counts one new request. A ratio of 0 stands for 0.1.
func (b *Budget) Deposit(ratio float64) {
	if ratio <= 0 {
		ratio = defaultRatio
	}
	b.available = math.Min(maxAvailable, b.available+ratio)
}

// Withdraw takes one retry and reports whether there was one.
func (b *Budget) Withdraw() bool {
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
