// Package freshness measures how old the proof is that a process knows the newest
// declared state.
//
// Times are those of a clock that goes on while the process or its machine is
// suspended: a process that wakes must not take its old knowledge for new.
package freshness

import (
	"sync"
	"time"
)

// Tracker holds the newest proof. It is safe for concurrent use.
type Tracker struct {
	clock func() time.Duration // goes on during a suspension

	mu     sync.Mutex
	proven time.Duration // moment up to which nothing newer existed
	known  bool          // there was a proof
}

// NewTracker returns a Tracker without a proof.
func NewTracker(clock func() time.Duration) *Tracker { return &Tracker{clock: clock} }

// Now returns the moment on the tracker's clock.
func (t *Tracker) Now() time.Duration { return t.clock() }

// Prove notes that all that existed at a moment is known.
func (t *Tracker) Prove(at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.known || at > t.proven {
		t.proven, t.known = at, true
	}
}

// Age returns the time since the newest proof; ok is false where there was
// none.
func (t *Tracker) Age() (age time.Duration, ok bool) {
	now := t.clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	return now - t.proven, t.known
}
