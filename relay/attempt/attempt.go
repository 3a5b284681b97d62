// Package attempt is an agent's memory of the attempts it was given: it decides
// whether one may begin, so that a late or doubled delivery, or one that was
// cancelled before it arrived, is not run.
//
// Rules, of which some are in spec/once.pml too:
//
//   - An attempt begins at most once (ONCEONLY).
//   - An attempt that was cancelled before it began never begins
//     (TOMBSTONE).
//   - Of a request that is not repeatable one attempt begins, and another only
//     where the endpoint proved that it had not run the first (beginOnce).
//   - A refusal is remembered like a tombstone: a second delivery of an attempt
//     that was answered as not run is not run either (REFUSED).
//   - Memory is bounded in time and in count. Where the count is reached, new
//     work is refused; what is remembered is not forgotten early.
//
// Time is measured by the steps in which the process was awake: a process that
// was paused for long finds late deliveries in its socket buffers when it
// wakes, and the tombstones that answer them must not have lapsed meanwhile.
package attempt

import (
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/blake3"
)

// ID names a request in 16 bytes: the UUID itself, else a hash of the text.
type ID [16]byte

// ParseID returns the ID of a request id of any form.
func ParseID(text string) ID {
	if id, err := uuid.Parse(text); err == nil {
		return ID(id)
	}
	sum := blake3.Sum256([]byte(text))
	return ID(sum[:16])
}

// Verdict says whether an attempt may begin.
type Verdict int

// The verdicts.
const (
	// Begin: run it.
	Begin Verdict = iota
	// Duplicate: the same attempt was delivered before and runs or ran.
	Duplicate
	// RefusedBefore: the same attempt was delivered before and proved unrun.
	RefusedBefore
	// Tombstone: it was cancelled before it arrived.
	Tombstone
	// BegunBefore: another attempt of the request runs, or may have run while
	// the request is not repeatable.
	BegunBefore
	// Full: the memory holds as much as it may; the refusal is remembered.
	Full
	// Overfull: not even the refusal could be remembered, so that a second
	// delivery may begin: nothing is proved of this one.
	Overfull
)

// String returns the verdict's name.
func (v Verdict) String() string {
	return [...]string{"begin", "duplicate", "refusedBefore", "tombstone", "begunBefore", "full", "overfull"}[v]
}

// State is what the memory knows of one attempt.
type State int

// The states of an attempt.
const (
	// Buried: a tombstone; it never began and never will.
	Buried State = iota
	// Running: it began and has not ended.
	Running
	// Ended: it began and ended, or may have.
	Ended
	// Refused: the endpoint proved that it did not run it.
	Refused
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"buried", "running", "ended", "refused"}[s]
}

const (
	// maxStep is the most that the memory's age grows in one step, whatever the
	// clock says.
	maxAgeStep = 2 * time.Second
	// attemptsPerRequest bounds what one request may cost.
	attemptsPerRequest = 16
	// reserve is the share of Limits.Requests in which nothing begins.
	reserveDivisor = 8
)

// Limits bound the memory.
type Limits struct {
	// Retention is how long an attempt is remembered after its last event, in
	// time awake. It exceeds the longest deadline by a margin for deliveries
	// that hang in the network.
	Retention time.Duration
	// Requests bounds the requests remembered. The last eighth is kept for
	// tombstones and refusals.
	Requests int
}

type record struct {
	number uint32
	state  State
	// once marks the request as not repeatable. Where such an attempt is
	// Running or Ended, no other of its request is.
	nonRepeatable bool
}

type request struct {
	attempts []record      // at most attemptsPerRequest
	expires  time.Duration // by the memory's age; later with each event
	running  int           // attempts in state Running; such a request never expires
}

type expiry struct {
	id ID
	at time.Duration
}

// Memory remembers attempts. Its owner serialises the calls.
type Memory struct {
	limits   Limits
	requests map[ID]*request
	expiries []expiry      // sorted by at; may hold outdated items
	age      time.Duration // time awake; never falls
	lastStep time.Time     // of the last step
}

// NewMemory returns an empty Memory.
func NewMemory(limits Limits, now time.Time) *Memory {
	return &Memory{limits: limits, requests: map[ID]*request{}, lastStep: now}
}

// Len returns how many requests are remembered.
func (m *Memory) Len() int { return len(m.requests) }

// Step moves the memory's age on and forgets what is past its retention. It is
// called several times a second.
func (m *Memory) Step(now time.Time) {
	elapsed := now.Sub(m.lastStep)
	m.lastStep = now
	m.age += min(max(elapsed, 0), maxAgeStep)
	m.expire()
}

func (m *Memory) expire() {
	for len(m.expiries) > 0 && m.expiries[0].at <= m.age {
		due := m.expiries[0]
		m.expiries = m.expiries[1:]
		m.expireRequest(due.id)
	}
}

func (m *Memory) expireRequest(id ID) {
	req, ok := m.requests[id]
	if !ok {
		return
	}
	if req.running == 0 && req.expires <= m.age {
		delete(m.requests, id)
		return
	}
	if req.running > 0 {
		req.expires = m.age + m.limits.Retention
	}
	m.expiries = append(m.expiries, expiry{id: id, at: max(req.expires, m.lastExpiry())})
}

func (m *Memory) lastExpiry() time.Duration {
	if len(m.expiries) == 0 {
		return 0
	}
	return m.expiries[len(m.expiries)-1].at
}

// Begin judges the delivery of an attempt and, with verdict Begin, remembers
// that it runs. The caller reports the end with End.
//
// Rule ONCEONLY of spec/once.pml.
func (m *Memory) Begin(id ID, number uint32, repeatable bool) Verdict {
	req := m.requests[id]
	if req != nil {
		if verdict, seen := req.verdictFor(number); seen {
			return verdict
		}
		// A cancel at the endpoint names the request, not the attempt, so two
		// attempts of one request never run side by side on one host.
		if started, nonRepeatable := req.countStarted(); req.running > 0 || started > 0 && (nonRepeatable || !repeatable) {
			return BegunBefore
		}
		if len(req.attempts) >= attemptsPerRequest {
			return Overfull
		}
	}
	if req == nil && len(m.requests) >= m.limits.Requests-m.limits.Requests/reserveDivisor {
		return m.refuseFull(id, number)
	}
	req = m.touch(id)
	req.attempts = append(req.attempts, record{number: number, state: Running, nonRepeatable: !repeatable})
	req.running++
	return Begin
}

func (m *Memory) refuseFull(id ID, number uint32) Verdict {
	if _, stored := m.Cancel(id, number); !stored {
		return Overfull
	}
	return Full
}

// begun counts the attempts that may have run and reports whether one of them
// was marked not repeatable.
func (r *request) countStarted() (count int, nonRepeatable bool) {
	for _, rec := range r.attempts {
		if rec.state == Running || rec.state == Ended {
			count++
			nonRepeatable = nonRepeatable || rec.nonRepeatable
		}
	}
	return count, nonRepeatable
}

// known returns the verdict on an attempt that was seen before.
//
// Rule REFUSED of spec/once.pml.
func (r *request) verdictFor(number uint32) (Verdict, bool) {
	for _, rec := range r.attempts {
		if rec.number != number {
			continue
		}
		switch rec.state {
		case Buried:
			return Tombstone, true
		case Refused:
			return RefusedBefore, true
		case Running, Ended:
		}
		return Duplicate, true
	}
	return Begin, false
}

// touch returns the request and moves its expiry.
func (m *Memory) touch(id ID) *request {
	req, ok := m.requests[id]
	if !ok {
		req = &request{}
		m.requests[id] = req
		m.expiries = append(m.expiries, expiry{id: id, at: m.age + m.limits.Retention})
	}
	req.expires = m.age + m.limits.Retention
	return req
}

// End reports how a begun attempt ended. With ran false the endpoint proved
// that it did not run it, and another attempt may begin. End returns false
// where no such attempt runs, which is an error of the caller.
func (m *Memory) End(id ID, number uint32, ran bool) bool {
	req, ok := m.requests[id]
	if !ok {
		return false
	}
	for i := range req.attempts {
		rec := &req.attempts[i]
		if rec.number != number || rec.state != Running {
			continue
		}
		rec.state = Ended
		if !ran {
			rec.state = Refused
		}
		req.running--
		m.touch(id)
		return true
	}
	return false
}

// Cancel leaves a tombstone for an attempt that has not begun, and returns what
// is known of it. stored is false where the memory is full: then nothing may be
// concluded, because the attempt may still begin.
//
// Rule TOMBSTONE of spec/once.pml.
func (m *Memory) Cancel(id ID, number uint32) (state State, stored bool) {
	if req, ok := m.requests[id]; ok {
		for _, rec := range req.attempts {
			if rec.number == number {
				m.touch(id)
				return rec.state, true
			}
		}
		if len(req.attempts) >= attemptsPerRequest {
			return Buried, false
		}
	} else if len(m.requests) >= m.limits.Requests {
		return Buried, false
	}
	req := m.touch(id)
	req.attempts = append(req.attempts, record{number: number, state: Buried})
	return Buried, true
}

// Check returns a description of a broken invariant, or nothing.
func (m *Memory) Check(id ID) string {
	req, ok := m.requests[id]
	if !ok {
		return ""
	}
	if started, nonRepeatable := req.countStarted(); nonRepeatable && started > 1 {
		return "a request that is not repeatable began twice"
	}
	running := 0
	for i, rec := range req.attempts {
		if rec.state == Running {
			running++
		}
		for _, other := range req.attempts[:i] {
			if other.number == rec.number {
				return "one attempt is remembered twice"
			}
		}
	}
	if running != req.running {
		return "the count of running attempts is wrong"
	}
	return ""
}
