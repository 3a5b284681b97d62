package freshness

import "time"

// Proof is an observation that a process acts on later. What was observed may have changed since,
// and the process may have been suspended, so the action must check the age first.
type Proof struct {
	clock func() time.Duration // keeps running during a suspension
	at    time.Duration
}

// NewProof returns the proof of an observation that begins now.
func NewProof(clock func() time.Duration) Proof { return Proof{clock: clock, at: clock()} }

// Age returns the time since the observation began, including suspensions.
func (p Proof) Age() time.Duration { return p.clock() - p.at }

// Holds reports whether the observation began at most bound ago.
func (p Proof) Holds(bound time.Duration) bool { return p.Age() <= bound }
