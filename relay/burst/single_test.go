package burst

import (
	"testing"
	"time"
)

// Symptom: a lone host never becomes whole. Sequence: its list of peers is
// empty from the start. Cause: an empty list was taken for one already seen, so
// the host waited for its first list for ever.
func TestLoneHostDrawsEverything(t *testing.T) {
	s := newSim(simConfig{hosts: 1, chunks: 16, copyWindow: 4 * time.Second, seed: 1})
	s.run()
	if got := s.result(); got.complete != 1 || got.copies != 1 {
		t.Errorf("got %v, want it whole with one copy", got)
	}
}
