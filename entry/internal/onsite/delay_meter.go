package onsite

import (
	"sync"
	"time"
)

const (
	// clockDrift is how much two steady clocks may run apart, as a part of the
	// time: a few times what crystals do.
	maxClockDrift = 0.0005
	// echoTime is how long an agent may take to send a message back where that is
	// not known yet: the longest time between two of its states. Later it is
	// twice what it took lately and echoSlack more.
	maxEchoHold   = 250 * time.Millisecond
	echoHoldSlack = 30 * time.Millisecond
	// heldWeight is the part of a new time in what it took lately.
	holdSmoothing = 0.25
	// reportStep is the least change of the delay that an agent should learn of at once.
	minReportedChange = 80 * time.Millisecond
)

// delayMeter learns how long messages to and from an agent are on their way beyond the
// least time seen. It is kept over the streams to the agent: one that is begun
// behind a squeezed link has no message yet that came in the least time, and would
// take the link's queue for usual. Times are of steady clocks, which count from a
// moment of their own each. It is safe for concurrent use.
type delayMeter struct {
	mu sync.Mutex

	agentStarted int64         // when the agent started; another one has another clock
	minOffset    time.Duration // of arrival less sending, from the agent
	lastArrival  time.Duration // arrival of the newest message
	known        bool

	minRoundTrip   time.Duration // least time there and back; 0: none came back
	oldestUnechoed time.Duration // when the first message was sent that did not come back; 0: none
	lastSent       time.Duration // when the newest one was sent
	// echoed is the message that came back newest, and held the smoothed time for
	// which the agent keeps one; 0: none came back.
	lastEcho, smoothedHold time.Duration

	latest   time.Duration // delay found last
	reported time.Duration // delay that was sent to the agent last
	changed  chan struct{} // buffered by one: the delay changed much since
}

func newDelayMeter() *delayMeter { return &delayMeter{changed: make(chan struct{}, 1)} }

// report returns the delay that the agent should receive.
func (m *delayMeter) delayToReport() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reported = m.latest
	return m.reported
}

// ask notes that a message is sent.
func (m *delayMeter) recordSent(now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.oldestUnechoed == 0 {
		m.oldestUnechoed = now
	}
	m.lastSent = now
}

// restart forgets what was sent: with the stream it is lost.
func (m *delayMeter) resetSent() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.oldestUnechoed, m.lastSent = 0, 0
}

// messageTimes is the times of one message from an agent.
type messageTimes struct {
	agentStarted int64         // when the agent started
	sent         time.Duration // by the agent's clock
	echo, held   time.Duration // the newest message that it had, by this entry's clock, and for how long; 0: none
}

// delay takes a message's times and returns what the way there or back takes beyond
// the least.
func (m *delayMeter) update(now time.Duration, msg messageTimes) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.latest = max(m.oneWayDelay(now, msg), m.roundTripDelay(now, msg))
	if (m.latest - m.reported).Abs() >= minReportedChange {
		select {
		case m.changed <- struct{}{}:
		default:
		}
	}
	return m.latest
}

// back returns the delay of the message alone.
func (m *delayMeter) oneWayDelay(now time.Duration, msg messageTimes) time.Duration {
	offset := now - msg.sent
	m.minOffset += time.Duration(maxClockDrift * float64(now-m.lastArrival))
	if !m.known || msg.agentStarted != m.agentStarted || offset < m.minOffset {
		m.minOffset = offset
	}
	m.agentStarted, m.lastArrival, m.known = msg.agentStarted, now, true
	return offset - m.minOffset
}

// round returns the delay of what came back or should have.
func (m *delayMeter) roundTripDelay(now time.Duration, msg messageTimes) time.Duration {
	delay := time.Duration(0)
	if msg.echo > 0 {
		roundTrip := now - msg.echo - msg.held
		if m.minRoundTrip == 0 || roundTrip < m.minRoundTrip {
			m.minRoundTrip = max(roundTrip, time.Nanosecond)
		}
		delay = roundTrip - m.minRoundTrip
		if msg.echo != m.lastEcho {
			// What comes back again says how long ago it came, not how long it was kept.
			if m.lastEcho == 0 {
				m.smoothedHold = msg.held
			}
			m.lastEcho = msg.echo
			m.smoothedHold += time.Duration(holdSmoothing * float64(msg.held-m.smoothedHold))
		}
		if msg.echo >= m.lastSent {
			m.oldestUnechoed = 0
		} else if msg.echo >= m.oldestUnechoed {
			m.oldestUnechoed = m.lastSent
		}
	}
	if m.oldestUnechoed > 0 {
		delay = max(delay, now-m.oldestUnechoed-m.minRoundTrip-m.expectedHold())
	}
	return delay
}

// keeps returns how long the agent may keep a message before it sends it back.
func (m *delayMeter) expectedHold() time.Duration {
	if m.lastEcho == 0 {
		return maxEchoHold
	}
	return min(maxEchoHold, 2*m.smoothedHold+echoHoldSlack)
}
