package onsite

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// Guards against a delay that is measured from the start of a stream instead of the minimum ever
// seen. When a link was congested, the stream of the agent's states broke and was reopened, and
// its first message counted as undelayed. Engines behind such links kept getting requests, which
// waited there for a second and more.
func TestDelayIsTimeBeyondMinimum(t *testing.T) {
	m := newDelayMeter()
	for i, message := range []struct {
		agentStarted        int64
		arrived, sent, want time.Duration
	}{
		{1, 100, 7000, 0}, {1, 130, 7025, 5}, {1, 150, 7050, 0}, {1, 580, 7080, 400}, {1, 590, 7490, 0}, {1, 700, 7590, 10},
		// A new stream on the congested link, then a restarted agent, whose clock starts at zero.
		{1, 2400, 8290, 1009}, {2, 3000, 50, 0}, {2, 3300, 100, 250},
	} {
		if got, want := m.update(message.arrived*ms, messageTimes{agentStarted: message.agentStarted, sent: message.sent * ms}).Round(ms), message.want*ms; got != want {
			t.Errorf("message %d: got %v, want %v", i, got, want)
		}
	}
}

// Guards against a delay that covers only the way from the agent. New weights on their way to a
// host filled its narrow link in that direction alone, so requests reached the engine 1 to 2 s
// after they were sent, some after their callers left, while the state from the engine was 10 ms
// old.
func TestDelayIncludesWayToAgent(t *testing.T) {
	m := newDelayMeter()
	at := func(now, echo, held time.Duration) time.Duration {
		return m.update(now*ms, messageTimes{agentStarted: 1, sent: (now + 4000) * ms, echo: echo * ms, held: held * ms}).Round(ms)
	}
	m.recordSent(100 * ms)
	if got := at(108, 100, 5); got != 0 {
		t.Errorf("got %v, want no delay for the first echo", got)
	}
	m.recordSent(200 * ms)
	m.recordSent(230 * ms)
	if got := at(240, 100, 137); got != 0 {
		t.Errorf("got %v, want no delay while the agent may still hold the message", got)
	}
	// The agent held the last message for 5 ms.
	if got, want := at(700, 100, 597), 457*ms; got != want {
		t.Errorf("got %v, want %v for a message without an echo", got, want)
	}
	select {
	case <-m.changed:
	default:
		t.Error("got no signal that the delay grew, want one")
	}
	if got, want := m.delayToReport().Round(ms), 457*ms; got != want {
		t.Errorf("got %v to report, want %v", got, want)
	}
	if got, want := at(900, 200, 97), 600*ms; got != want {
		t.Errorf("got %v, want %v for a late echo", got, want)
	}
	if got, want := at(1000, 230, 757), 10*ms; got != want {
		t.Errorf("got %v, want %v after the last echo", got, want)
	}
	m.recordSent(1100 * ms)
	m.resetSent()
	if got := at(3000, 0, 0); got != 0 {
		t.Errorf("got %v, want no delay for messages sent on an earlier stream", got)
	}
}

// With clocks that drift apart by 1/10000, the apparent transit time grows by 8.64 s in a day.
func TestClockDriftIsNotDelay(t *testing.T) {
	m := newDelayMeter()
	for second := range 86400 {
		sent := time.Duration(second) * time.Second
		if got := m.update(sent+sent/10000, messageTimes{agentStarted: 1, sent: sent}); got > ms {
			t.Fatalf("after %v: got %v, want none", sent, got)
		}
	}
}
