// Package attempt keeps an agent's record of the attempts delivered to it. It
// decides whether an attempt may begin, so that a late or duplicate delivery, or
// one that was cancelled before it arrived, is not executed.
//
// The rules below are enforced here; the names in capitals refer to the model in
// spec/once.pml:
//
//   - An attempt begins at most once (ONCEONLY).
//   - An attempt that was cancelled before it began never begins
//     (TOMBSTONE).
//   - Of a request that is not repeatable only one attempt begins, unless the
//     endpoint proved that it had not run that attempt (beginOnce).
//   - A refusal is remembered like a tombstone: a second delivery of an attempt
//     that was answered as not run is not run either (REFUSED).
//   - Memory is bounded in time and in size. When the size limit is reached, new
//     work is refused; nothing is forgotten early to make room.
//
// Time is counted only while the process is awake. A process that was paused for
// long finds late deliveries in its socket buffers when it resumes, and the
// tombstones that refuse them must not have expired in the meantime.
package attempt

import (
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/blake3"
)

// ID identifies a request: the UUID itself, or a hash of a request id that is not one.
type ID [16]byte

// ParseID returns the ID of a request id in any format.
func ParseID(text string) ID {
	if id, err := uuid.Parse(text); err == nil {
		return ID(id)
	}
	sum := blake3.Sum256([]byte(text))
	return ID(sum[:16])
}

// Verdict tells whether an attempt may begin and, if not, why.
type Verdict int

// The verdicts.
const (
	// Begin: run the attempt.
	Begin Verdict = iota
	// Duplicate: this attempt was delivered before, and runs or ran.
	Duplicate
	// RefusedBefore: this attempt was delivered before and proved not run.
	RefusedBefore
	// Tombstone: the attempt was cancelled before it arrived.
	Tombstone
	// BegunBefore: another attempt of the request is running, or may have run and the
	// request is not repeatable.
	BegunBefore
	// Full: the size limit is reached; the refusal is remembered.
	Full
	// Overfull: the size limit is reached and the refusal could not be remembered.
	// A second delivery may begin, so the attempt is not proved unrun.
	FullUnrecorded
)

// String returns the verdict's name.
func (v Verdict) String() string {
	return [...]string{"begin", "duplicate", "refusedBefore", "tombstone", "begunBefore", "full", "overfull"}[v]
}

// State is the recorded state of an attempt.
type State int

// The states of an attempt.
const (
	// Buried: cancelled before it began; it never will.
	Tombstoned State = iota
	// Running: begun and not ended.
	Running
	// Ended: begun, and ended or possibly ended.
	Ended
	// Refused: the endpoint proved that it did not run the attempt.
	Refused
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"buried", "running", "ended", "refused"}[s]
}

const (
	// maxAgeStep is the most by which one Step advances the memory's age, whatever
	// the clock says.
	maxAgeStep = 2 * time.Second
	// attemptsPerRequest bounds the attempts recorded for one request.
	attemptsPerRequest = 16
	// reserveDivisor sets the part of Limits.Requests, one in this many, that is
	// reserved for tombstones and refusals.
	reserveDivisor = 8
)

// Limits bounds the memory.
type Limits struct {
	// Retention is how long an attempt is remembered after its last event, counted
	// while the process is awake. It exceeds the longest deadline by a margin for
	// deliveries that are delayed in the network.
	Retention time.Duration
	// Requests bounds the number of requests remembered. The last eighth is reserved
	// for tombstones and refusals.
	Requests int
}

// record is the state of one attempt.
type record struct {
	number uint32
	state  State
	// nonRepeatable marks the request as not repeatable. If such an attempt is Running
	// or Ended, no other attempt of its request is.
	nonRepeatable bool
}

// request holds the attempts of one request.
type request struct {
	attempts []record      // at most attemptsPerRequest
	expires  time.Duration // in terms of the memory's age; moved on by each event
	running  int           // attempts in state Running; a request with any never expires
}

// expiry is an item of the expiry queue.
type expiry struct {
	id ID
	at time.Duration
}

// Memory remembers attempts. It is not safe for concurrent use.
type Memory struct {
	limits   Limits
	requests map[ID]*request
	expiries []expiry      // sorted by at; may contain outdated items
	age      time.Duration // time awake; never decreases
	lastStep time.Time
}

// NewMemory returns an empty Memory.
func NewMemory(limits Limits, now time.Time) *Memory {
	return &Memory{limits: limits, requests: map[ID]*request{}, lastStep: now}
}

// Len returns the number of requests remembered.
func (m *Memory) Len() int { return len(m.requests) }

// Step advances the memory's age and forgets attempts past their retention. It is
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

// expireRequest forgets a request if it is due, and otherwise queues it again.
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

// Begin decides on the delivery of an attempt and, if the verdict is Begin, records
// that it is running. The caller reports its end with End.
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
			return FullUnrecorded
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

// refuseFull refuses an attempt for lack of space and leaves a tombstone for it, if
// the reserve has space for one.
func (m *Memory) refuseFull(id ID, number uint32) Verdict {
	if _, stored := m.Cancel(id, number); !stored {
		return FullUnrecorded
	}
	return Full
}

// countStarted returns the number of attempts that may have run, and whether one of
// them was marked not repeatable.
func (r *request) countStarted() (count int, nonRepeatable bool) {
	for _, rec := range r.attempts {
		if rec.state == Running || rec.state == Ended {
			count++
			nonRepeatable = nonRepeatable || rec.nonRepeatable
		}
	}
	return count, nonRepeatable
}

// verdictFor returns the verdict on an attempt that was recorded before.
//
// Rule REFUSED of spec/once.pml.
func (r *request) verdictFor(number uint32) (Verdict, bool) {
	for _, rec := range r.attempts {
		if rec.number != number {
			continue
		}
		switch rec.state {
		case Tombstoned:
			return Tombstone, true
		case Refused:
			return RefusedBefore, true
		case Running, Ended:
		}
		return Duplicate, true
	}
	return Begin, false
}

// touch returns the request, created if necessary, with its expiry renewed.
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

// End records how a begun attempt ended. ran is false if the endpoint proved that it
// did not run the attempt, in which case another one may begin. End returns false if
// no such attempt is running, which is an error of the caller.
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

// Cancel leaves a tombstone for an attempt that has not begun, and returns the
// attempt's state. stored is false if there was no space; the attempt may then still
// begin, so the state says nothing.
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
			return Tombstoned, false
		}
	} else if len(m.requests) >= m.limits.Requests {
		return Tombstoned, false
	}
	req := m.touch(id)
	req.attempts = append(req.attempts, record{number: number, state: Tombstoned})
	return Tombstoned, true
}

// Check returns a description of a violated invariant, or "".
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
