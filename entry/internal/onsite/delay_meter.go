package onsite

import (
	"sync"
	"time"
)

const (
	// maxClockDrift is the assumed maximum drift between two monotonic clocks, as a fraction of
	// elapsed time. It is a few times the drift of crystal oscillators.
	maxClockDrift = 0.0005
	// maxEchoHold is the longest time for which an agent holds a message before it echoes it: the
	// maximum time between two of its states. It is the estimate until the first echo; afterwards
	// the estimate is twice the smoothed recent hold time plus echoHoldSlack.
	maxEchoHold   = 250 * time.Millisecond
	echoHoldSlack = 30 * time.Millisecond
	// holdSmoothing is the weight of a new sample in the smoothed hold time.
	holdSmoothing = 0.25
	// minReportedChange is the smallest change of the delay that is sent to the agent at once.
	minReportedChange = 80 * time.Millisecond
)

// delayMeter measures how much longer messages to and from an agent take than the minimum seen so
// far. It is kept across streams to the agent: a stream that starts on a congested link has no
// message yet that took the minimum time, so the link's queueing delay would count as normal. All
// times are from monotonic clocks with different zero points. It is safe for concurrent use.
type delayMeter struct {
	mu sync.Mutex

	agentStarted int64         // start time of the agent, whose clock restarts with it
	minOffset    time.Duration // minimum of arrival minus send time for messages from the agent
	lastArrival  time.Duration // arrival of the latest message
	known        bool

	minRoundTrip   time.Duration // minimum round-trip time without the hold time; 0 before the first echo
	oldestUnechoed time.Duration // send time of the oldest message without an echo; 0 if there is none
	lastSent       time.Duration // send time of the latest message
	// lastEcho is the send time of the message that was echoed last, and smoothedHold the
	// smoothed time for which the agent holds messages; both are 0 before the first echo.
	lastEcho, smoothedHold time.Duration

	latest   time.Duration // latest measured delay
	reported time.Duration // delay last sent to the agent
	changed  chan struct{} // capacity 1; signals a change of at least minReportedChange since then
}

func newDelayMeter() *delayMeter { return &delayMeter{changed: make(chan struct{}, 1)} }

// delayToReport returns the delay to send to the agent and records it as reported.
func (m *delayMeter) delayToReport() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reported = m.latest
	return m.reported
}

// recordSent records that a message is sent.
func (m *delayMeter) recordSent(now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.oldestUnechoed == 0 {
		m.oldestUnechoed = now
	}
	m.lastSent = now
}

// resetSent discards the messages in flight, which are lost with their stream.
func (m *delayMeter) resetSent() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.oldestUnechoed, m.lastSent = 0, 0
}

// messageTimes holds the times in a message from an agent.
type messageTimes struct {
	agentStarted int64         // start time of the agent
	sent         time.Duration // on the agent's clock
	echo, held   time.Duration // send time of the latest message received from this entry, on this entry's clock, and how long ago it arrived; 0 if none
}

// update records a message's times and returns the delay beyond the minimum, in whichever
// direction it is larger.
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

// oneWayDelay returns the delay of the message itself, from the agent to this entry.
func (m *delayMeter) oneWayDelay(now time.Duration, msg messageTimes) time.Duration {
	offset := now - msg.sent
	m.minOffset += time.Duration(maxClockDrift * float64(now-m.lastArrival))
	if !m.known || msg.agentStarted != m.agentStarted || offset < m.minOffset {
		m.minOffset = offset
	}
	m.agentStarted, m.lastArrival, m.known = msg.agentStarted, now, true
	return offset - m.minOffset
}

// roundTripDelay returns the delay of the latest echo, or of an overdue echo if that is larger.
func (m *delayMeter) roundTripDelay(now time.Duration, msg messageTimes) time.Duration {
	delay := time.Duration(0)
	if msg.echo > 0 {
		roundTrip := now - msg.echo - msg.held
		if m.minRoundTrip == 0 || roundTrip < m.minRoundTrip {
			m.minRoundTrip = max(roundTrip, time.Nanosecond)
		}
		delay = roundTrip - m.minRoundTrip
		if msg.echo != m.lastEcho {
			// A repeated echo has the time since arrival as its hold time, so only the first one
			// is a sample.
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

// expectedHold returns how long the agent is expected to hold a message before it echoes it.
func (m *delayMeter) expectedHold() time.Duration {
	if m.lastEcho == 0 {
		return maxEchoHold
	}
	return min(maxEchoHold, 2*m.smoothedHold+echoHoldSlack)
}
