// Package lease implements leader election with leases in the platform's
// key-value service: at most one process holds a named lease at a time.
//
// A holder measures the lease's ttl on its own clock, starting before it sent
// the request, subtracts a safety margin, and stops acting when that time is
// over. Its fencing token is the revision of the lease key, which increases with
// every new holder.
package lease

import (
	"time"

	"comfreyrelay.example/relay/failure"
)

// State is the state of a process with regard to a lease.
type State string

// The states of a lease.
const (
	Idle      State = "idle"    // not held; another process may hold it
	Acquiring State = "asking"  // requesting a lease and creating its key
	Holding   State = "holding" // held until the deadline
	Lapsed    State = "lapsed"  // no longer held; the lease is being revoked
)

// Durations as fractions of the ttl: each is the ttl divided by the constant.
const (
	renewDivisor      = 3  // age at which a lease is renewed: a third of the ttl
	firstRetryDivisor = 20 // first backoff after a failed call
	maxRetryDivisor   = 2  // longest backoff while the lease is not held
	renewRetryDivisor = 10 // delay after a failed renewal
	takeoverDivisor   = 10 // longest random delay of a candidate after the key changed
	// callTimeoutDivisor sets the timeout of a call, short enough that another
	// attempt fits before the deadline.
	callTimeoutDivisor = 4
)

// options configures a lease.
type options struct {
	incarnation string         // of this process, new at each start
	ttl         time.Duration  // requested from the service
	margin      time.Duration  // covers the difference in clock rates
	jitter      func() float64 // random number in [0,1)
}

// term is the ttl of a lease with the corresponding margin.
type term struct {
	ttl, margin time.Duration
}

// machine is the state machine of a lease. It has no clock and makes no calls:
// the caller gets an action from next, executes it, and passes the result to
// handleResult.
type machine struct {
	opts        options
	state       State
	actionStart time.Time      // when the current action began
	wakeAt      time.Time      // no action other than sleep before this time; zero: no delay
	failures    int            // consecutive failed calls; determines the backoff
	latency     latencyTracker // latency of the service

	lease     string    // ID of the granted lease; empty if none
	term      term      // of the lease requested last
	deadline  time.Time // when the granted lease counts as expired
	renewAt   time.Time // while Holding: when to renew the lease
	fence     uint64    // fencing token of the current or last holding; only increases
	rereadKey bool      // while Acquiring: read the key before writing it again

	cursorKnown bool   // cursor is valid
	cursor      uint64 // watch for changes after this revision
	keyRead     bool   // while Idle: the key was read since the cursor changed
}

func newMachine(opts options) *machine {
	return &machine{opts: opts, state: Idle, latency: newLatencyTracker(opts.ttl)}
}

// expired reports whether the deadline of the granted lease has passed.
func (m *machine) expired(now time.Time) bool {
	return expired(m.deadline, now)
}

// expired reports whether the deadline has passed by the monotonic or the wall
// clock. The monotonic clock may stop while a host is suspended, so the wall
// clock is compared as well.
func expired(deadline, now time.Time) bool {
	return !now.Before(deadline) || !now.Round(0).Before(deadline.Round(0))
}

// next returns the action to execute now. It moves to Lapsed if the granted
// lease has expired.
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

// nextForState returns the action that the current state requires.
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

// capAtDeadline limits the end of a sleep to the deadline of a granted lease.
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

// handleResult updates the state with the result of the action that next
// returned last.
func (m *machine) handleResult(act action, res result, now time.Time) {
	if act.step == stepSleep {
		return
	}
	if act.step != stepWatch {
		m.latency.observe(now.Sub(m.actionStart))
	}
	if (m.state == Acquiring || m.state == Holding) && m.lease != "" && m.expired(now) {
		// The reply arrived after the lease expired. Whatever it says, another
		// process may already hold the lease.
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

// resetOnSuccess returns the number of consecutive failures after a call: 0 if
// it succeeded, else unchanged.
func resetOnSuccess(failures int, err error) int {
	if err == nil {
		return 0
	}
	return failures
}

// handleFailure schedules a retry with exponential backoff and jitter, so that
// the processes that wait for a service to recover do not all call it at once.
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

// random returns a random duration between 0 and span.
func (m *machine) random(span time.Duration) time.Duration {
	return time.Duration(m.opts.jitter() * float64(span))
}

// handleGet sets the state according to the key: held by this process, free, or
// held by another process.
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
		m.state = Lapsed // another process acquired the key; revoke our lease
	default:
		m.state = Idle
	}
}

// handleWatch advances the cursor. If the key changed, it delays the next read
// by a random time, so that the candidates do not all read it at once.
func (m *machine) handleWatch(res result, now time.Time) {
	m.cursor = res.revision
	m.keyRead = false
	if res.found {
		m.wakeAt = now.Add(m.random(m.opts.ttl / takeoverDivisor))
	}
}

// handleSwap starts the holding if the key was written. If the outcome is
// unknown, the key is read next.
func (m *machine) handleSwap(res result, now time.Time) {
	if res.err == nil {
		m.hold(res.revision)
		return
	}
	switch failure.KindOf(res.err) {
	case failure.NotFound: // the service ended the lease
		m.state = Lapsed
	case failure.Conflict: // written by another process, or by an earlier swap of ours that arrived late
		m.rereadKey = true
	case failure.Ambiguous:
		m.rereadKey = true
	default:
		m.handleFailure(res.err, now)
	}
}

// hold moves to Holding; the revision of the key becomes the fencing token.
func (m *machine) hold(revision uint64) {
	m.state = Holding
	m.rereadKey = false
	m.fence = revision
	m.renewAt = m.deadline.Add(m.term.margin - m.term.ttl + m.term.ttl/renewDivisor)
}

// extendDeadline sets the deadline after a successful grant or renewal. The ttl
// is counted from before the request was sent.
//
// Rule BEFORE of spec/lease.pml.
func (m *machine) extendDeadline() {
	m.deadline = m.actionStart.Add(m.term.ttl - m.term.margin)
}

// handleRenewal extends the deadline after a successful renewal. Otherwise it
// schedules a retry, or moves to Lapsed if the service has ended the lease.
func (m *machine) handleRenewal(res result, now time.Time) {
	if res.err == nil {
		m.extendDeadline()
		m.renewAt = m.actionStart.Add(m.term.ttl / renewDivisor)
		if m.term.ttl > m.opts.ttl && m.latency.ttlFactor == 1 {
			// The service is fast again. If this process kept the long lease and
			// died, the other candidates would wait for the long ttl.
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

// handleRevoke returns to Idle after a random delay: after an outage all former
// holders and candidates are in this state at the same time.
func (m *machine) handleRevoke(now time.Time) {
	m.state = Idle
	m.lease = ""
	m.rereadKey = false
	m.keyRead = false
	m.wakeAt = now.Add(m.random(m.opts.ttl / takeoverDivisor))
}

// holding returns the fencing token and the deadline; ok reports whether the
// state is Holding. The caller must check the deadline.
func (m *machine) holding() (fence uint64, deadline time.Time, ok bool) {
	return m.fence, m.deadline, m.state == Holding
}
