package follow

import (
	"testing"
	"time"
)

// TestObserve checks the recorded times of a node that applies revisions late,
// several at once, and before the submitter has the reply that accepts them.
func TestObserve(t *testing.T) {
	start := time.Now()
	f := New(nil)
	f.Accepted(1, start)
	f.observe("a", 1, start.Add(time.Second))
	// The node has revision 2 before the submitter gets its reply.
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

// TestReverts guards against a run that passes although a node went back to an
// older revision. The step from 5 to 4 is a revert; the 0 of a restarted node,
// followed by 5, is not.
func TestReverts(t *testing.T) {
	f := New(nil)
	for _, revision := range []uint32{5, 4, 0, 5} {
		f.observe("a", revision, time.Now())
	}
	if got, want := f.Reverts(), 1; got != want {
		t.Errorf("Reverts: got %d, want %d", got, want)
	}
}
