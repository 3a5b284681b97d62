package burst

import (
	"testing"
	"time"
)

// TestFleetWithoutFault checks the two figures that users measure: the completion time relative to
// the bound set by the links, and the copies sent by the origin.
func TestFleetWithoutFault(t *testing.T) {
	for _, hosts := range []int{18, 50} {
		s := newSim(simConfig{hosts: hosts, chunks: 256, copyWindow: 30 * time.Second, seed: 1})
		s.run()
		got := s.result()
		t.Logf("hosts=%d %v", hosts, got)
		if got.complete != hosts {
			t.Errorf("hosts=%d: got %d hosts complete, want all", hosts, got.complete)
		}
		if got.ratio > 1.25 {
			t.Errorf("hosts=%d: got ratio %.3f, want at most 1.25", hosts, got.ratio)
		}
		if got.copies > 1.05 {
			t.Errorf("hosts=%d: got %.3f copies, want at most 1.05", hosts, got.copies)
		}
	}
}
