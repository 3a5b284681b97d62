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
	Idle      State = "idle"    // somebody else may hold it
	Acquiring State = "asking"  // a lease is asked for, granted or settled
	Holding   State = "holding" // in charge until the deadline
	Lapsed    State = "lapsed"  // no longer in charge; the lease is given back
)

// Fractions of the lease's time.
const (
	renewDivisor      = 3  // a third passes before it is renewed
	firstRetryDivisor = 20 // the first wait after a failed call
	maxRetryDivisor   = 2  // the longest wait while nothing is held
	renewRetryDivisor = 10 // the wait after a failed renewal
	takeoverDivisor   = 10 // over which candidates spread when the key vanishes
	// callPart is when a call that hangs is given up, so that one more attempt
	// fits before the deadline.
	callTimeoutDivisor = 4
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
	opts        options
	state       State
	actionStart time.Time      // when the present action began
	wakeAt      time.Time      // nothing is done before; zero: at once
	failures    int            // in a row, for the wait after the next one
	latency     latencyTracker // of the service

	lease     string    // empty: none granted
	term      term      // of the lease granted or asked for last
	deadline  time.Time // while a lease is granted: we stop trusting it then
	renewAt   time.Time // while holding
	fence     uint64    // of the present or last holding; grows
	rereadKey bool      // while asking: read the key before writing it again

	cursorKnown bool   // cursor is known
	cursor      uint64 // revision to watch after
	keyRead     bool   // while idle: the key was read since the cursor moved
}

func newMachine(opts options) *machine {
	return &machine{opts: opts, state: Idle, latency: newLatencyTracker(opts.ttl)}
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
	if (m.state == Acquiring || m.state == Holding) && m.lease != "" && m.expired(now) {
		m.state = Lapsed
		m.wakeAt = time.Time{}
	}
	m.actionStart = now
	if now.Before(m.wakeAt) {
		return action{step: stepSleep, until: m.capAtDeadline(m.wakeAt)}
	}
	act := m.nextForState(now)
	act.timeout = m.opts.ttl * m.latency.ttlFactor / callTimeoutDivisor
	return act
}

func (m *machine) nextForState(now time.Time) action {
	switch m.state {
	case Acquiring:
		return m.nextAcquiring()
	case Holding:
		return m.nextHolding(now)
	case Lapsed:
		return action{step: stepRevoke, lease: m.lease}
	default:
		return m.nextIdle()
	}
}

// earliest never lets a sleep go past the deadline of a granted lease.
func (m *machine) capAtDeadline(until time.Time) time.Time {
	if m.lease != "" && m.deadline.Before(until) {
		return m.deadline
	}
	return until
}

func (m *machine) nextIdle() action {
	if !m.cursorKnown {
		return action{step: stepLatest}
	}
	if !m.keyRead {
		return action{step: stepGet}
	}
	return action{step: stepWatch, after: m.cursor}
}

func (m *machine) nextAcquiring() action {
	if m.lease == "" {
		m.term = term{ttl: m.opts.ttl * m.latency.ttlFactor, margin: m.opts.margin * m.latency.ttlFactor}
		return action{step: stepGrant, ttl: m.term.ttl}
	}
	if m.rereadKey {
		return action{step: stepGet}
	}
	return action{step: stepSwap, lease: m.lease}
}

func (m *machine) nextHolding(now time.Time) action {
	if now.Before(m.renewAt) {
		return action{step: stepSleep, until: m.capAtDeadline(m.renewAt)}
	}
	return action{step: stepKeepAlive, lease: m.lease}
}

// done takes in what came of the action that next returned last.
func (m *machine) handleResult(act action, res result, now time.Time) {
	if act.step == stepSleep {
		return
	}
	if act.step != stepWatch {
		m.latency.observe(now.Sub(m.actionStart))
	}
	if (m.state == Acquiring || m.state == Holding) && m.lease != "" && m.expired(now) {
		// The answer came after the time was over: whatever it says, somebody
		// else may be in charge already.
		m.state = Lapsed
		return
	}
	if m.state == Holding {
		m.handleRenewal(res, now)
		return
	}
	if m.state == Lapsed {
		m.handleRevoke(now)
		return
	}
	if res.err != nil && act.step != stepSwap {
		m.handleFailure(res.err, now)
		return
	}
	m.failures = resetOnSuccess(m.failures, res.err)
	switch act.step {
	case stepLatest:
		m.cursorKnown, m.keyRead, m.cursor = true, false, res.revision
	case stepGet:
		m.handleGet(res, now)
	case stepWatch:
		m.handleWatch(res, now)
	case stepGrant:
		m.lease = res.lease
		m.extendDeadline()
	case stepSwap:
		m.handleSwap(res, now)
	}
}

func resetOnSuccess(failures int, err error) int {
	if err == nil {
		return 0
	}
	return failures
}

// failed waits longer with each failure in a row, by a random part, so that
// those who wait for a service to come back do not come back as one.
func (m *machine) handleFailure(err error, now time.Time) {
	if failure.KindOf(err) == failure.Stale {
		m.cursorKnown = false
	}
	m.keyRead = false
	if m.state == Acquiring && m.lease == "" {
		m.state = Idle
	}
	wait := m.opts.ttl / firstRetryDivisor << min(m.failures, 10)
	wait = min(wait, m.opts.ttl/maxRetryDivisor)
	m.failures++
	m.wakeAt = now.Add(wait/2 + m.random(wait/2))
}

func (m *machine) random(span time.Duration) time.Duration {
	return time.Duration(m.opts.jitter() * float64(span))
}

// read decides by the key: free, held by us after all, or held by another.
func (m *machine) handleGet(res result, now time.Time) {
	m.keyRead = true
	ours := m.lease != "" && res.found && res.holder == holderValue(m.opts.incarnation, m.lease)
	switch {
	case ours:
		m.hold(res.revision)
	case !res.found:
		m.state = Acquiring
		m.rereadKey = false
	case m.lease != "":
		m.state = Lapsed // somebody else came first; give the lease back
	default:
		m.state = Idle
	}
}

func (m *machine) handleWatch(res result, now time.Time) {
	m.cursor = res.revision
	m.keyRead = false
	if res.found {
		m.wakeAt = now.Add(m.random(m.opts.ttl / takeoverDivisor))
	}
}

func (m *machine) handleSwap(res result, now time.Time) {
	if res.err == nil {
		m.hold(res.revision)
		return
	}
	switch failure.KindOf(res.err) {
	case failure.NotFound: // the service ended the lease
		m.state = Lapsed
	case failure.Conflict: // another's, or our own earlier one that came late
		m.rereadKey = true
	case failure.Ambiguous:
		m.rereadKey = true
	default:
		m.handleFailure(res.err, now)
	}
}

func (m *machine) hold(revision uint64) {
	m.state = Holding
	m.rereadKey = false
	m.fence = revision
	m.renewAt = m.deadline.Add(m.term.margin - m.term.ttl + m.term.ttl/renewDivisor)
}

// trust moves the deadline after a grant or a renewal that succeeded: it counts
// from before the service was asked.
//
// Rule BEFORE of spec/lease.pml.
func (m *machine) extendDeadline() {
	m.deadline = m.actionStart.Add(m.term.ttl - m.term.margin)
}

func (m *machine) handleRenewal(res result, now time.Time) {
	if res.err == nil {
		m.extendDeadline()
		m.renewAt = m.actionStart.Add(m.term.ttl / renewDivisor)
		if m.term.ttl > m.opts.ttl && m.latency.ttlFactor == 1 {
			// The service is quick again. With the long lease kept, the others
			// would wait that long if this process died.
			m.state = Lapsed
		}
		return
	}
	if failure.KindOf(res.err) == failure.NotFound {
		m.state = Lapsed
		return
	}
	m.renewAt = now.Add(m.term.ttl / renewRetryDivisor)
}

// givenBack starts over, a random moment later: after an outage all former
// holders and candidates are in the same place.
func (m *machine) handleRevoke(now time.Time) {
	m.state = Idle
	m.lease = ""
	m.rereadKey = false
	m.keyRead = false
	m.wakeAt = now.Add(m.random(m.opts.ttl / takeoverDivisor))
}

// holding returns the fencing number and the deadline while in charge.
func (m *machine) holding() (fence uint64, deadline time.Time, ok bool) {
	return m.fence, m.deadline, m.state == Holding
}
