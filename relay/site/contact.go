package site

import (
	"errors"
	"sync"
	"time"
)

const (
	// defaultHeartbeat is the interval at which endpoints renew their registrations, unless the
	// settings give another one.
	defaultHeartbeat = 1200 * time.Millisecond
	// minOutageHeartbeats is the duration of the shortest outage of the store in which a
	// registration may lapse, in heartbeat intervals. The store removes a registration after
	// three intervals without a heartbeat, and the last heartbeat before the outage may be one
	// and a half intervals old.
	minOutageHeartbeats = 1.5
	// recoveryGrace is how long a registration may be missing after the store recovers
	// although its owner is alive: owners register again within two seconds.
	recoveryGrace = 2200 * time.Millisecond
	// answerMemory is for how long an answered call shows that the store is available: the time
	// between two renewals of a registration, and that for an answer.
	answerMemory = 1200 * time.Millisecond
	// receiptMemory is for how long a part of an answer, or a source that reaches the store, shows
	// it. Both arrive several times a second.
	receiptMemory = time.Second
	// transferMemory is for how long the transfer of a large answer is expected again, because
	// configurations are often changed several times.
	transferMemory = time.Minute
)

// ErrSilentConnection is the error of a call to the store that was ended because its connection went
// silent while the store answers calls on new ones.
var ErrSilentConnection = errors.New("the connection went silent")

// Contact records which calls to the store were answered. It tells an outage of the store, in which
// registrations of live owners may lapse, from connections that went silent while the store kept
// answering others. It is safe for concurrent use.
type Contact struct {
	clock func() time.Duration // keeps running during a suspension

	mu        sync.Mutex
	heartbeat time.Duration
	known     bool // a call was answered
	refused   bool // a call on a new connection has failed since the latest answer
	// availableSince and availableUntil limit the latest period in which the store was available.
	// An answered call shows that it was, from the start of the call to the answer.
	availableSince, availableUntil time.Duration
	// steadyUntil is the end of the latest such period that lasted for a heartbeat interval, so
	// that each owner could renew its registration.
	steadyUntil time.Duration
	// outageEndedAt is when the latest outage ended in which registrations may have lapsed.
	outageEndedAt time.Duration
	hadOutage     bool
	// receivedAt is when the latest part of an answer arrived, here or at a source.
	receivedAt time.Duration
	received   bool
	// transfer is the longest time that a large answer took to arrive, and transferredAt is when.
	transfer, transferredAt time.Duration
	// silence is for how long the latest call on an open connection waited in vain, and silentAt
	// is when it was given up. Both are zero if a call was answered since.
	silence, silentAt time.Duration
}

// NewContact returns a Contact without a call.
func NewContact(clock func() time.Duration) *Contact {
	return &Contact{clock: clock, heartbeat: defaultHeartbeat}
}

// SetHeartbeat sets the interval at which endpoints renew their registrations. Zero stands for the
// default.
func (c *Contact) SetHeartbeat(interval time.Duration) {
	if interval <= 0 {
		interval = defaultHeartbeat
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heartbeat = interval
}

// Heartbeat returns the interval at which endpoints renew their registrations.
func (c *Contact) Heartbeat() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heartbeat
}

// Now returns the current time of the clock.
func (c *Contact) Now() time.Duration { return c.clock() }

// Answer is what an answered call shows about the time before it.
type Answer struct {
	// Outage is how long the store may have been unavailable, if registrations may have lapsed
	// meanwhile, otherwise zero.
	Outage time.Duration
	// SilentBefore is set if the open connections are silent. Calls begun before it may never be
	// answered.
	SilentBefore time.Duration
}

// Answered records that the store answered a call which began at the given time. Fresh means that
// the call opened a new connection.
func (c *Contact) Answered(began time.Duration, fresh bool) Answer {
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	answer := Answer{}
	// The comparison excludes a store that is slow on all connections.
	if fresh && c.silence > 0 && began >= c.silentAt && now-began < c.silence/2 {
		answer.SilentBefore = c.silentAt
	}
	c.silence, c.silentAt = 0, 0
	answer.Outage = c.extendPeriod(began, now)
	return answer
}

// extendPeriod extends the period in which the store was available by an answered call, or starts
// another one after an outage. It returns the duration of the outage if registrations may have lapsed
// in it, otherwise zero. The caller holds c.mu.
func (c *Contact) extendPeriod(began, now time.Duration) time.Duration {
	if !c.known {
		c.known, c.availableSince, c.availableUntil, c.steadyUntil = true, began, now, now
		return 0
	}
	outage := time.Duration(0)
	minOutage := time.Duration(minOutageHeartbeats * float64(c.heartbeat))
	if c.refused || began-c.availableUntil >= minOutage {
		if away := began - c.steadyUntil; away >= minOutage {
			outage, c.outageEndedAt, c.hadOutage = away, now, true
		}
		c.refused, c.availableSince = false, began
	}
	c.availableUntil = max(c.availableUntil, now)
	if c.availableUntil-c.availableSince >= c.heartbeat {
		c.steadyUntil = c.availableUntil
	}
	return outage
}

// Unanswered records that a call which began at the given time was given up without an answer.
// Fresh means that the call opened a new connection or failed to open one.
func (c *Contact) Unanswered(began time.Duration, fresh bool) {
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if fresh {
		// An unavailable store explains the unanswered call too.
		c.refused, c.silence, c.silentAt = true, 0, 0
		return
	}
	c.silence, c.silentAt = now-began, now
}

// Received records that a part of an answer arrived, at this process or at an entry that it follows.
func (c *Contact) Received() {
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receivedAt, c.received = now, true
}

// Transferred records how long the body of a large answer took to arrive.
func (c *Contact) Transferred(took time.Duration) {
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if took >= c.transfer || now-c.transferredAt > transferMemory {
		c.transfer, c.transferredAt = took, now
	}
}

// Transfer returns how long a large answer may take to arrive, or 0 if none arrived recently.
func (c *Contact) Transfer() time.Duration {
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now-c.transferredAt > transferMemory {
		return 0
	}
	return c.transfer
}

// Available reports whether the store is known to be available, so that operators can change what it
// holds.
func (c *Contact) Available() bool {
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	answers := c.known && !c.refused && now-c.availableUntil <= answerMemory
	return answers || c.received && now-c.receivedAt <= receiptMemory
}

// GraceLeft returns for how much longer registrations that end are kept, because the store may just
// have been unavailable to their owners.
func (c *Contact) GraceLeft() time.Duration {
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hadOutage {
		return 0
	}
	return max(0, c.outageEndedAt+recoveryGrace-now)
}

// OutageWithin reports whether an outage in which registrations may have lapsed ended within the
// given time before now.
func (c *Contact) OutageWithin(ago time.Duration) bool {
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hadOutage && now-c.outageEndedAt <= ago
}
