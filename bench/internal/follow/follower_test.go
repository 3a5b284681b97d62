package follow

import (
	"testing"
	"time"
)

// TestObserve follows one node through changes that arrive late, together and
// before their acceptance is known.
func TestObserve(t *testing.T) {
	start := time.Now()
	f := New(nil)
	f.Accepted(1, start)
	f.observe("a", 1, start.Add(time.Second))
	// The node has revision 2 before the submitter's call comes back.
	f.observe("a", 2, start.Add(2*time.Second))
	f.Accepted(2, start.Add(3*time.Second))
	f.Accepted(3, start.Add(3*time.Second))
	f.Accepted(4, start.Add(3*time.Second))
	f.observe("a", 4, start.Add(5*time.Second))
	if got, want := f.inForce.TotalCount(), int64(4); got != want {
		t.Errorf("times: got %d, want %d", got, want)
	}
	if got, want := f.Seconds(100), 2.0; got < want*0.99 || got > want*1.01 {
		t.Errorf("longest: got %v, want about %v", got, want)
	}
}

// Symptom: a run passes although a node went back. Sequence: a node shows
// revision 5, then 4; another restarts and shows 0, then 5. Cause: only the
// first of the two is a revert.
func TestReverts(t *testing.T) {
	f := New(nil)
	for _, revision := range []uint32{5, 4, 0, 5} {
		f.observe("a", revision, time.Now())
	}
	if got, want := f.Reverts(), 1; got != want {
		t.Errorf("Reverts: got %d, want %d", got, want)
	}
}
