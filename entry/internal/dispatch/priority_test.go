package dispatch

import "testing"

// Guards against engine priorities that place a small customer behind a large
// customer's requests of the same priority, or ahead of a higher priority.
func TestEnginePriority(t *testing.T) {
	ordered := []Request{
		{Priority: 0, Large: true}, {Priority: 0}, {Priority: 1, Large: true}, {Priority: 1}, {Priority: maxPriority},
	}
	for i := range ordered[1:] {
		low, high := enginePriority(&ordered[i]), enginePriority(&ordered[i+1])
		if low >= high {
			t.Errorf("got priority %d, then %d at index %d, want ascending order", low, high, i)
		}
	}
}
