package retry

import (
	"testing"
	"time"
)

// A fault of one host must not double the load on the others. Here every request fails
// and is retried as often as the budget allows.
func TestBudgetBoundsTheRetries(t *testing.T) {
	budget := NewBudget()
	retries := 0
	const requests = 10_000
	for range requests {
		budget.Deposit(0.2)
		for budget.Withdraw() {
			retries++
		}
	}
	if most := 0.2*requests + initialAvailable; float64(retries) > most {
		t.Errorf("got %d retries, want at most %.0f", retries, most)
	}
}

func TestBackoffGrowsWithinBounds(t *testing.T) {
	previous := time.Duration(0)
	for attempt := 2; attempt < 12; attempt++ {
		low, high := Backoff(attempt, 0), Backoff(attempt, 0.999)
		if low < previous || high > maxBackoff || low > high {
			t.Errorf("attempt %d: got %v to %v, want growing up to %v", attempt, low, high, maxBackoff)
		}
		previous = low
	}
}
