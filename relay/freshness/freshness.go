// Package freshness measures the time since a process last proved that it knows
// the newest declared state.
//
// The clock must keep running while the process or its machine is suspended, so
// that a process that resumes does not treat outdated state as fresh.
package freshness

import (
	"sync"
	"time"
)

// Tracker holds the time of the newest proof. It is safe for concurrent use.
type Tracker struct {
	clock func() time.Duration // keeps running during a suspension

	mu     sync.Mutex
	proven time.Duration // latest time at which the known state was the newest
	known  bool          // a proof has been recorded
}

// NewTracker returns a Tracker without a proof.
func NewTracker(clock func() time.Duration) *Tracker { return &Tracker{clock: clock} }

// Now returns the current time of the tracker's clock.
func (t *Tracker) Now() time.Duration { return t.clock() }

// Prove records that the process knows all state that existed at the given time.
// Proofs older than the newest one are ignored.
func (t *Tracker) Prove(at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.known || at > t.proven {
		t.proven, t.known = at, true
	}
}

// Age returns the time since the newest proof; ok is false if there was none.
func (t *Tracker) Age() (age time.Duration, ok bool) {
	now := t.clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	return now - t.proven, t.known
}
