package dispatch

import "testing"

// Symptom: a small customer waits in an engine's queue behind a large one's
// requests of the same priority, or passes one of a higher priority.
func TestEnginePriority(t *testing.T) {
	ordered := []Request{
		{Priority: 0, Large: true}, {Priority: 0}, {Priority: 1, Large: true}, {Priority: 1}, {Priority: maxPriority},
	}
	for i := range ordered[1:] {
		low, high := enginePriority(&ordered[i]), enginePriority(&ordered[i+1])
		if low >= high {
			t.Errorf("got %d before %d at %d, want them in order", low, high, i)
		}
	}
}
