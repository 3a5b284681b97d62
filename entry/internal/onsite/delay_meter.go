package onsite

import (
	"sync"
	"time"
)

const (
	// clockDrift is how much two steady clocks may run apart, as a part of the
	// time: a few times what crystals do.
	clockDrift = 0.0005
	// echoTime is how long an agent may take to send a message back where that is
	// not known yet: the longest time between two of its states. Later it is
	// twice what it took lately and echoSlack more.
	echoTime  = 250 * time.Millisecond
	echoSlack = 30 * time.Millisecond
	// heldWeight is the part of a new time in what it took lately.
	heldWeight = 0.25
	// reportStep is the least change of the delay that an agent should learn of at once.
	reportStep = 80 * time.Millisecond
)

// delayMeter learns how long messages to and from an agent are on their way beyond the
// least time seen. It is kept over the streams to the agent: one that is begun
// behind a squeezed link has no message yet that came in the least time, and would
// take the link's queue for usual. Times are of steady clocks, which count from a
// moment of their own each. It is safe for concurrent use.
type delayMeter struct {
	mu sync.Mutex

	agent int64         // when the agent started; another one has another clock
	least time.Duration // of arrival less sending, from the agent
	at    time.Duration // arrival of the newest message
	known bool

	trip  time.Duration // least time there and back; 0: none came back
	asked time.Duration // when the first message was sent that did not come back; 0: none
	last  time.Duration // when the newest one was sent
	// echoed is the message that came back newest, and held the smoothed time for
	// which the agent keeps one; 0: none came back.
	echoed, held time.Duration

	newest   time.Duration // delay found last
	reported time.Duration // delay that was sent to the agent last
	moved    chan struct{} // buffered by one: the delay changed much since
}

func newDelayMeter() *delayMeter { return &delayMeter{moved: make(chan struct{}, 1)} }

// report returns the delay that the agent should receive.
func (m *delayMeter) report() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reported = m.newest
	return m.reported
}

// ask notes that a message is sent.
func (m *delayMeter) ask(now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.asked == 0 {
		m.asked = now
	}
	m.last = now
}

// restart forgets what was sent: with the stream it is lost.
func (m *delayMeter) restart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.asked, m.last = 0, 0
}

// messageTimes is the times of one message from an agent.
type messageTimes struct {
	agent      int64         // when the agent started
	sent       time.Duration // by the agent's clock
	echo, held time.Duration // the newest message that it had, by this entry's clock, and for how long; 0: none
}

// delay takes a message's times and returns what the way there or back takes beyond
// the least.
func (m *delayMeter) delay(now time.Duration, msg messageTimes) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.newest = max(m.back(now, msg), m.round(now, msg))
	if (m.newest - m.reported).Abs() >= reportStep {
		select {
		case m.moved <- struct{}{}:
		default:
		}
	}
	return m.newest
}

// back returns the delay of the message alone.
func (m *delayMeter) back(now time.Duration, msg messageTimes) time.Duration {
	took := now - msg.sent
	m.least += time.Duration(clockDrift * float64(now-m.at))
	if !m.known || msg.agent != m.agent || took < m.least {
		m.least = took
	}
	m.agent, m.at, m.known = msg.agent, now, true
	return took - m.least
}

// round returns the delay of what came back or should have.
func (m *delayMeter) round(now time.Duration, msg messageTimes) time.Duration {
	found := time.Duration(0)
	if msg.echo > 0 {
		took := now - msg.echo - msg.held
		if m.trip == 0 || took < m.trip {
			m.trip = max(took, time.Nanosecond)
		}
		found = took - m.trip
		if msg.echo != m.echoed {
			// What comes back again says how long ago it came, not how long it was kept.
			if m.echoed == 0 {
				m.held = msg.held
			}
			m.echoed = msg.echo
			m.held += time.Duration(heldWeight * float64(msg.held-m.held))
		}
		if msg.echo >= m.last {
			m.asked = 0
		} else if msg.echo >= m.asked {
			m.asked = m.last
		}
	}
	if m.asked > 0 {
		found = max(found, now-m.asked-m.trip-m.keeps())
	}
	return found
}

// keeps returns how long the agent may keep a message before it sends it back.
func (m *delayMeter) keeps() time.Duration {
	if m.echoed == 0 {
		return echoTime
	}
	return min(echoTime, 2*m.held+echoSlack)
}
