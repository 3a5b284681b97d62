package burst

import (
	"testing"
	"time"
)

// Guards against a single host that never completes: its list of peers is empty from the start,
// and the empty list was taken for one already seen, so the host waited forever for its first
// list.
func TestSingleHostFetchesFromOrigin(t *testing.T) {
	s := newSim(simConfig{hosts: 1, chunks: 16, copyWindow: 4 * time.Second, seed: 1})
	s.run()
	if got := s.result(); got.complete != 1 || got.copies != 1 {
		t.Errorf("got %v, want the host complete with one copy", got)
	}
}
