// Package drain decides when work that runs may end and new work may begin
// while a host takes its endpoint out of service: before an order that changes
// weights, and before the process exits.
//
// Work that was let in is finished. Only past the deadline is it cancelled, and
// only when the last of it is gone does a Lane say Drained.
package drain

import "time"

// Phase is the state of a Lane.
type Phase int

// The phases, in the order in which a drain goes through them.
const (
	// Open lets work in.
	Open Phase = iota
	// Draining lets none in and waits for what runs.
	Draining
	// Cancelling is past the deadline: what runs was asked to stop.
	Cancelling
	// Drained has nothing running and lets none in.
	Drained
)

// String returns the phase's name.
func (p Phase) String() string {
	return [...]string{"open", "draining", "cancelling", "drained"}[p]
}

// Lane counts work that runs. Its owner serialises the calls.
type Lane struct {
	phase    Phase
	running  int       // never negative; 0 in phase Drained
	deadline time.Time // set in phases Draining and Cancelling
}

// NewLane returns a Lane in the given phase, Open or Drained.
func NewLane(phase Phase) *Lane { return &Lane{phase: phase} }

// Phase returns the phase.
func (l *Lane) Phase() Phase { return l.phase }

// Running returns how much work runs.
func (l *Lane) Running() int { return l.running }

// Deadline returns when running work is cancelled; zero outside a drain.
func (l *Lane) Deadline() time.Time { return l.deadline }

// Enter counts one more piece of work, or refuses it.
func (l *Lane) Enter() bool {
	if l.phase != Open {
		return false
	}
	l.running++
	return true
}

// Leave counts one piece of work less. It reports false where none ran, which
// is an error of the caller.
func (l *Lane) Leave() bool {
	if l.running == 0 {
		return false
	}
	l.running--
	l.drainIfIdle()
	return true
}

// Begin starts a drain that cancels what still runs after limit. A drain that
// is under way keeps the earlier of the two deadlines.
func (l *Lane) Begin(now time.Time, limit time.Duration) {
	until := now.Add(limit)
	switch l.phase {
	case Open:
		l.phase, l.deadline = Draining, until
	case Draining:
		if until.Before(l.deadline) {
			l.deadline = until
		}
	case Cancelling, Drained:
		return
	}
	l.drainIfIdle()
}

// Tick reports whether the owner must cancel what runs now; it says so once a
// drain.
func (l *Lane) Tick(now time.Time) (cancel bool) {
	if l.phase != Draining || now.Before(l.deadline) {
		return false
	}
	l.phase = Cancelling
	return true
}

// Reopen lets work in again. It reports false while work of before still runs
// under a drain that was not given up: mixing the two would let old work run on
// new weights.
func (l *Lane) Reopen() bool {
	if l.phase == Cancelling {
		return false
	}
	if l.phase == Draining && l.running > 0 {
		return false
	}
	l.phase, l.deadline = Open, time.Time{}
	return true
}

// Abandon ends a drain whose reason is gone before anything was changed: what
// runs goes on and new work is let in. It reports false once running work was
// asked to stop.
func (l *Lane) Abandon() bool {
	if l.phase == Cancelling {
		return false
	}
	l.phase, l.deadline = Open, time.Time{}
	return true
}

func (l *Lane) drainIfIdle() {
	if l.running > 0 || l.phase == Open {
		return
	}
	l.phase, l.deadline = Drained, time.Time{}
}
