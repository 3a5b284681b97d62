// Package lease lets one process at a time be in charge of something, by a
// lease in the platform's key-value service.
//
// A holder counts the lease's time from before it asked for it, on its own
// clock, less a margin, and stops by itself; its fencing number is the revision
// of the lease key, which grows with every holder.
package lease

import (
	"time"

	"comfreyrelay.example/relay/failure"
)

// State is where a process stands with a lease.
type State string

// The states.
const (
	Idle    State = "idle"    // somebody else may hold it
	Asking  State = "asking"  // a lease is asked for, granted or settled
	Holding State = "holding" // in charge until the deadline
	Lapsed  State = "lapsed"  // no longer in charge; the lease is given back
)

// Fractions of the lease's time.
const (
	renewEvery   = 3  // a third passes before it is renewed
	retryFirst   = 20 // the first wait after a failed call
	retryAtMost  = 2  // the longest wait while nothing is held
	renewRetry   = 10 // the wait after a failed renewal
	takeoverPart = 10 // over which candidates spread when the key vanishes
	// callPart is when a call that hangs is given up, so that one more attempt
	// fits before the deadline.
	callPart = 4
)

// Options configure a lease.
type options struct {
	incarnation string        // of this process, new at each start
	ttl         time.Duration // what the service is asked for
	margin      time.Duration // covers the clocks' difference in rate
	jitter      func() float64
}

// term is the lease's time with the margin that belongs to it.
type term struct {
	ttl, margin time.Duration
}

// machine decides; it holds no clock and makes no calls. The runner asks next
// what to do, does it, and reports the result to done.
type machine struct {
	opts     options
	state    State
	asked    time.Time // when the present action began
	wakeAt   time.Time // nothing is done before; zero: at once
	failures int       // in a row, for the wait after the next one
	pace     pace      // of the service

	lease    string    // empty: none granted
	term     term      // of the lease granted or asked for last
	deadline time.Time // while a lease is granted: we stop trusting it then
	renewAt  time.Time // while holding
	fence    uint64    // of the present or last holding; grows
	settling bool      // while asking: read the key before writing it again

	located bool   // cursor is known
	cursor  uint64 // revision to watch after
	looked  bool   // while idle: the key was read since the cursor moved
}

func newMachine(opts options) *machine {
	return &machine{opts: opts, state: Idle, pace: newPace(opts.ttl)}
}

// expired reports whether the granted lease is not to be trusted any more. The
// monotonic clock may stand still while a machine is suspended; comparing the
// wall clock as well notices that.
func (m *machine) expired(now time.Time) bool {
	return expired(m.deadline, now)
}

func expired(deadline, now time.Time) bool {
	return !now.Before(deadline) || !now.Round(0).Before(deadline.Round(0))
}

// next returns what to do now. It ends a holding whose time is over.
func (m *machine) next(now time.Time) action {
	if (m.state == Asking || m.state == Holding) && m.lease != "" && m.expired(now) {
		m.state = Lapsed
		m.wakeAt = time.Time{}
	}
	m.asked = now
	if now.Before(m.wakeAt) {
		return action{step: stepSleep, until: m.earliest(m.wakeAt)}
	}
	act := m.choose(now)
	act.timeout = m.opts.ttl * m.pace.stretch / callPart
	return act
}

func (m *machine) choose(now time.Time) action {
	switch m.state {
	case Asking:
		return m.nextAsking()
	case Holding:
		return m.nextHolding(now)
	case Lapsed:
		return action{step: stepRevoke, lease: m.lease}
	default:
		return m.nextIdle()
	}
}

// earliest never lets a sleep go past the deadline of a granted lease.
func (m *machine) earliest(until time.Time) time.Time {
	if m.lease != "" && m.deadline.Before(until) {
		return m.deadline
	}
	return until
}

func (m *machine) nextIdle() action {
	if !m.located {
		return action{step: stepLatest}
	}
	if !m.looked {
		return action{step: stepGet}
	}
	return action{step: stepWatch, after: m.cursor}
}

func (m *machine) nextAsking() action {
	if m.lease == "" {
		m.term = term{ttl: m.opts.ttl * m.pace.stretch, margin: m.opts.margin * m.pace.stretch}
		return action{step: stepGrant, ttl: m.term.ttl}
	}
	if m.settling {
		return action{step: stepGet}
	}
	return action{step: stepSwap, lease: m.lease}
}

func (m *machine) nextHolding(now time.Time) action {
	if now.Before(m.renewAt) {
		return action{step: stepSleep, until: m.earliest(m.renewAt)}
	}
	return action{step: stepKeepAlive, lease: m.lease}
}

// done takes in what came of the action that next returned last.
func (m *machine) done(did action, got result, now time.Time) {
	if did.step == stepSleep {
		return
	}
	if did.step != stepWatch {
		m.pace.observe(now.Sub(m.asked))
	}
	if (m.state == Asking || m.state == Holding) && m.lease != "" && m.expired(now) {
		// The answer came after the time was over: whatever it says, somebody
		// else may be in charge already.
		m.state = Lapsed
		return
	}
	if m.state == Holding {
		m.renewed(got, now)
		return
	}
	if m.state == Lapsed {
		m.givenBack(now)
		return
	}
	if got.err != nil && did.step != stepSwap {
		m.failed(got.err, now)
		return
	}
	m.failures = countFailure(m.failures, got.err)
	switch did.step {
	case stepLatest:
		m.located, m.looked, m.cursor = true, false, got.revision
	case stepGet:
		m.read(got, now)
	case stepWatch:
		m.watched(got, now)
	case stepGrant:
		m.lease = got.lease
		m.trust()
	case stepSwap:
		m.swapped(got, now)
	}
}

func countFailure(failures int, err error) int {
	if err == nil {
		return 0
	}
	return failures
}

// failed waits longer with each failure in a row, by a random part, so that
// those who wait for a service to come back do not come back as one.
func (m *machine) failed(err error, now time.Time) {
	if failure.KindOf(err) == failure.Stale {
		m.located = false
	}
	m.looked = false
	if m.state == Asking && m.lease == "" {
		m.state = Idle
	}
	wait := m.opts.ttl / retryFirst << min(m.failures, 10)
	wait = min(wait, m.opts.ttl/retryAtMost)
	m.failures++
	m.wakeAt = now.Add(wait/2 + m.random(wait/2))
}

func (m *machine) random(span time.Duration) time.Duration {
	return time.Duration(m.opts.jitter() * float64(span))
}

// read decides by the key: free, held by us after all, or held by another.
func (m *machine) read(got result, now time.Time) {
	m.looked = true
	ours := m.lease != "" && got.found && got.holder == holderValue(m.opts.incarnation, m.lease)
	switch {
	case ours:
		m.hold(got.revision)
	case !got.found:
		m.state = Asking
		m.settling = false
	case m.lease != "":
		m.state = Lapsed // somebody else came first; give the lease back
	default:
		m.state = Idle
	}
}

func (m *machine) watched(got result, now time.Time) {
	m.cursor = got.revision
	m.looked = false
	if got.found {
		m.wakeAt = now.Add(m.random(m.opts.ttl / takeoverPart))
	}
}

func (m *machine) swapped(got result, now time.Time) {
	if got.err == nil {
		m.hold(got.revision)
		return
	}
	switch failure.KindOf(got.err) {
	case failure.NotFound: // the service ended the lease
		m.state = Lapsed
	case failure.Conflict: // another's, or our own earlier one that came late
		m.settling = true
	case failure.Ambiguous:
		m.settling = true
	default:
		m.failed(got.err, now)
	}
}

func (m *machine) hold(revision uint64) {
	m.state = Holding
	m.settling = false
	m.fence = revision
	m.renewAt = m.deadline.Add(m.term.margin - m.term.ttl + m.term.ttl/renewEvery)
}

// trust moves the deadline after a grant or a renewal that succeeded: it counts
// from before the service was asked.
//
// Rule BEFORE of spec/lease.pml.
func (m *machine) trust() {
	m.deadline = m.asked.Add(m.term.ttl - m.term.margin)
}

func (m *machine) renewed(got result, now time.Time) {
	if got.err == nil {
		m.trust()
		m.renewAt = m.asked.Add(m.term.ttl / renewEvery)
		if m.term.ttl > m.opts.ttl && m.pace.stretch == 1 {
			// The service is quick again. With the long lease kept, the others
			// would wait that long if this process died.
			m.state = Lapsed
		}
		return
	}
	if failure.KindOf(got.err) == failure.NotFound {
		m.state = Lapsed
		return
	}
	m.renewAt = now.Add(m.term.ttl / renewRetry)
}

// givenBack starts over, a random moment later: after an outage all former
// holders and candidates are in the same place.
func (m *machine) givenBack(now time.Time) {
	m.state = Idle
	m.lease = ""
	m.settling = false
	m.looked = false
	m.wakeAt = now.Add(m.random(m.opts.ttl / takeoverPart))
}

// holding returns the fencing number and the deadline while in charge.
func (m *machine) holding() (fence uint64, deadline time.Time, ok bool) {
	return m.fence, m.deadline, m.state == Holding
}
