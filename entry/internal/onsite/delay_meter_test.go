package onsite

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// Symptom: engines behind squeezed links get requests all the time, which wait
// there for a second and more. Sequence: a link is squeezed, the stream of its
// agent's reports breaks and is begun anew. Cause: the first message of a stream was
// taken to have come in the usual time.
func TestDelayIsTimeBeyondMinimum(t *testing.T) {
	m := newDelayMeter()
	for i, one := range []struct {
		agentStarted        int64
		arrived, sent, want time.Duration
	}{
		{1, 100, 7000, 0}, {1, 130, 7025, 5}, {1, 150, 7050, 0}, {1, 580, 7080, 400}, {1, 590, 7490, 0}, {1, 700, 7590, 10},
		// Another stream, behind the queue; then another agent, whose clock counts
		// from its own start.
		{1, 2400, 8290, 1009}, {2, 3000, 50, 0}, {2, 3300, 100, 250},
	} {
		if got, want := m.update(one.arrived*ms, messageTimes{agentStarted: one.agentStarted, sent: one.sent * ms}).Round(ms), one.want*ms; got != want {
			t.Errorf("message %d: got %v, want %v", i, got, want)
		}
	}
}

// Symptom: requests reach an engine 1 to 2 s after they were sent, some after their
// callers left, while its state is 10 ms old. Sequence: new weights on their way to
// the host fill its narrow link in that direction alone. Cause: the delay of the
// agent's reports says nothing of the way there.
func TestDelayIncludesWayToAgent(t *testing.T) {
	m := newDelayMeter()
	at := func(now, echo, held time.Duration) time.Duration {
		return m.update(now*ms, messageTimes{agentStarted: 1, sent: (now + 4000) * ms, echo: echo * ms, held: held * ms}).Round(ms)
	}
	m.recordSent(100 * ms)
	if got := at(108, 100, 5); got != 0 {
		t.Errorf("got %v, want no delay of the first that comes back", got)
	}
	m.recordSent(200 * ms)
	m.recordSent(230 * ms)
	if got := at(240, 100, 137); got != 0 {
		t.Errorf("got %v, want none while an answer may still be held", got)
	}
	// It kept messages for 5 ms lately.
	if got, want := at(700, 100, 597), 457*ms; got != want {
		t.Errorf("got %v, want %v of a message that does not come back", got, want)
	}
	select {
	case <-m.changed:
	default:
		t.Error("got no sign that the delay grew, want one")
	}
	if got, want := m.delayToReport().Round(ms), 457*ms; got != want {
		t.Errorf("got %v to report, want %v", got, want)
	}
	if got, want := at(900, 200, 97), 600*ms; got != want {
		t.Errorf("got %v, want %v of one that came back late", got, want)
	}
	if got, want := at(1000, 230, 757), 10*ms; got != want {
		t.Errorf("got %v, want %v once all came back", got, want)
	}
	m.recordSent(1100 * ms)
	m.resetSent()
	if got := at(3000, 0, 0); got != 0 {
		t.Errorf("got %v, want nothing awaited from another stream", got)
	}
}

// Clocks run apart: what a message takes by them grows by 8 s in a day.
func TestClockDriftIsNotDelay(t *testing.T) {
	m := newDelayMeter()
	for second := range 86400 {
		sent := time.Duration(second) * time.Second
		if got := m.update(sent+sent/10000, messageTimes{agentStarted: 1, sent: sent}); got > ms {
			t.Fatalf("after %v: got %v, want none", sent, got)
		}
	}
}
