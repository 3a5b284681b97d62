// Package drain decides when new work is admitted and running work is cancelled
// while a host takes its endpoint out of service: before it changes weights, and
// before the process exits.
//
// Admitted work may finish until the deadline and is cancelled after it. A
// WorkTracker is Drained only once no work is running.
package drain

import "time"

// Phase is the state of a WorkTracker.
type Phase int

// The phases, in the order in which a drain goes through them.
const (
	// Open admits work.
	Open Phase = iota
	// Draining admits no work and waits for running work to finish.
	Draining
	// Cancelling is past the deadline: running work has been cancelled.
	Cancelling
	// Drained admits no work and has none running.
	Drained
)

// String returns the phase's name.
func (p Phase) String() string {
	return [...]string{"open", "draining", "cancelling", "drained"}[p]
}

// WorkTracker admits and counts running work. It is not safe for concurrent use.
type WorkTracker struct {
	phase    Phase
	running  int       // never negative; 0 in phase Drained
	deadline time.Time // set in phases Draining and Cancelling
}

// NewWorkTracker returns a WorkTracker in the given phase, Open or Drained.
func NewWorkTracker(phase Phase) *WorkTracker { return &WorkTracker{phase: phase} }

// Phase returns the phase.
func (l *WorkTracker) Phase() Phase { return l.phase }

// Running returns the number of pieces of work that are running.
func (l *WorkTracker) Running() int { return l.running }

// Deadline returns when running work is cancelled, or the zero time outside a
// drain.
func (l *WorkTracker) Deadline() time.Time { return l.deadline }

// Enter admits one piece of work. It reports false unless the tracker is Open.
func (l *WorkTracker) Enter() bool {
	if l.phase != Open {
		return false
	}
	l.running++
	return true
}

// Leave records that one piece of work ended. It reports false if none was
// running, which is an error of the caller.
func (l *WorkTracker) Leave() bool {
	if l.running == 0 {
		return false
	}
	l.running--
	l.drainIfIdle()
	return true
}

// Begin starts a drain that cancels work still running after limit. If the
// tracker is already draining, the earlier of the two deadlines applies.
func (l *WorkTracker) Begin(now time.Time, limit time.Duration) {
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

// Tick reports whether the caller must cancel running work now. It reports true
// once per drain.
func (l *WorkTracker) Tick(now time.Time) (cancel bool) {
	if l.phase != Draining || now.Before(l.deadline) {
		return false
	}
	l.phase = Cancelling
	return true
}

// Reopen admits work again after a drain. It reports false while work admitted
// before the drain still runs, because that work would continue on new weights.
func (l *WorkTracker) Reopen() bool {
	if l.phase == Cancelling {
		return false
	}
	if l.phase == Draining && l.running > 0 {
		return false
	}
	l.phase, l.deadline = Open, time.Time{}
	return true
}

// Abandon ends a drain that is no longer needed before anything was changed:
// running work continues and new work is admitted. It reports false if running
// work has already been cancelled.
func (l *WorkTracker) Abandon() bool {
	if l.phase == Cancelling {
		return false
	}
	l.phase, l.deadline = Open, time.Time{}
	return true
}

// drainIfIdle moves a draining tracker with no running work to Drained.
func (l *WorkTracker) drainIfIdle() {
	if l.running > 0 || l.phase == Open {
		return
	}
	l.phase, l.deadline = Drained, time.Time{}
}
