package gateway_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"comfreyrelay.example/relay/fleet"
)

// Guards against cutting off a stream because its healthy endpoint was silent for a moment while no
// other endpoint had room.
func TestStreamOfSilentEndpointIsKeptWithoutRoomElsewhere(t *testing.T) {
	ep := newEndpoint(t, "i-1", pausingEvents(1, 5, 2))
	h := newDeployment(t, ep)
	h.stopClock()
	answered := make(chan answer)
	go func() { answered <- h.send(t, "/stream/a", "key-1", "") }()
	h.awaitEvents(t, 2)
	h.state.Fleet().Observe("app", ep.address, fleet.EngineState{})
	h.log.awaitLine(t, "endpoint=i-1", "silent")
	close(ep.resume)
	h.advanceUntilAnswered(answered, 2*time.Second).check(t, 200, "id: 1\n", true)
	if got := requestCount(ep); got != 1 {
		t.Errorf("got %d sends, want 1", got)
	}
}

// Guards against a stream that stays at a silent endpoint though another one has room, and against
// a log that does not tell why it moved.
func TestStreamOfSilentEndpointMovesWhenAnotherHasRoom(t *testing.T) {
	dead, alive := newEndpoint(t, "i-dead", pausingEvents(1, 5, 2)), newEndpoint(t, "i-alive", events(3, 5, false))
	h := newDeployment(t, dead)
	h.stopClock()
	answered := make(chan answer)
	go func() { answered <- h.send(t, "/stream/a", "key-1", "") }()
	h.awaitEvents(t, 2)
	h.state.Fleet().Observe("app", dead.address, fleet.EngineState{})
	h.log.awaitLine(t, `msg="silent endpoint kept"`, "endpoint=i-dead")
	h.register(alive, 0, 2)
	got := <-answered
	got.check(t, 200, "id: 1\n", true)
	h.log.awaitLine(t, "msg=attempt", "endpoint=i-dead", "outcome=silent", `gaveUp="endpoint reported dead"`)
	if requests := alive.requests(); len(requests) != 1 || requests[0].Header.Get("Last-Event-Id") != "2" {
		t.Errorf("got %v, want the stream resumed after its second event", requests)
	}
}

// Guards against abandoning a silent endpoint when the retry budget is used up: its answer may
// still arrive, and no other endpoint may be asked.
func TestStreamOfSilentEndpointIsKeptWithoutRetryBudget(t *testing.T) {
	silent, other := newEndpoint(t, "i-1", pausingEvents(1, 5, 2)), newEndpoint(t, "i-2")
	h := newDeployment(t, silent)
	h.retrySlack = 0
	h.stopClock()
	answered := make(chan answer)
	go func() { answered <- h.send(t, "/stream/a", "key-1", "") }()
	h.awaitEvents(t, 2)
	h.register(other, 0, 2)
	h.state.Fleet().Observe("app", silent.address, fleet.EngineState{})
	h.log.awaitLine(t, `msg="silent endpoint kept"`, "endpoint=i-1")
	close(silent.resume)
	h.advanceUntilAnswered(answered, 2*time.Second).check(t, 200, "id: 1\n", true)
	if got := requestCount(other); got != 0 {
		t.Errorf("got %d sends elsewhere, want none", got)
	}
}

// Guards against callers that time out on a stream from a suspended host and do not retry. Before
// that, a caller without an event gets an error answer, and one with events a closed connection.
func TestCallerOfSilentHostIsAnsweredBeforeItsTimeout(t *testing.T) {
	for name, test := range map[string]struct {
		script func(id string) []byte
		events int
		status int
	}{
		"no event":   {func(string) []byte { return []byte(pause) }, 0, 502},
		"two events": {pausingEvents(1, 5, 2), 2, 200},
	} {
		t.Run(name, func(t *testing.T) {
			ep := newEndpoint(t, "i-1", test.script)
			defer close(ep.resume)
			h := newDeployment(t, ep)
			h.stopClock()
			answered := make(chan answer)
			go func() { answered <- h.send(t, "/stream/a", "key-1", "") }()
			h.awaitEvents(t, test.events)
			for len(ep.requests()) == 0 {
				time.Sleep(time.Millisecond)
			}
			h.clock.Advance(3700 * time.Millisecond) // callers time out after 4 s here
			got := <-answered
			if got.status != test.status || got.complete != (test.events == 0) {
				t.Errorf("got %d complete %v, want %d complete %v", got.status, got.complete, test.status, test.events == 0)
			}
		})
	}
}

// Guards against ending a stream shortly before its caller's timeout though the answer may still
// arrive: the agent on the endpoint's host reports it alive, or the answer has begun.
func TestStreamOfSilentEndpointIsKeptWhileHostReports(t *testing.T) {
	for name, test := range map[string]struct {
		script func(id string) []byte
		events int
		alive  bool
	}{
		"no event, alive":           {func(id string) []byte { return append([]byte(pause), events(1, 5, false)(id)...) }, 0, true},
		"two events, alive":         {pausingEvents(1, 5, 2), 2, true},
		"two events, reported dead": {pausingEvents(1, 5, 2), 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			ep := newEndpoint(t, "i-1", test.script)
			h := newDeployment(t, ep)
			h.stopClock()
			answered := make(chan answer)
			go func() { answered <- h.send(t, "/stream/a", "key-1", "") }()
			h.awaitEvents(t, test.events)
			for len(ep.requests()) == 0 {
				time.Sleep(time.Millisecond)
			}
			h.clock.Advance(3700 * time.Millisecond) // callers time out after 4 s here
			h.state.Fleet().Observe("app", ep.address, fleet.EngineState{Alive: test.alive})
			h.log.awaitLine(t, "endpoint=i-1", "silent")
			close(ep.resume)
			h.advanceUntilAnswered(answered, 200*time.Millisecond).check(t, 200, "id: 1\n", true)
		})
	}
}

// interruptStream requests a stream whose only endpoint fails after two events, and returns once
// the request waits for another endpoint.
func (h *deployment) interruptStream(t *testing.T) <-chan answer {
	t.Helper()
	h.stopClock()
	answered := make(chan answer, 1)
	go func() { answered <- h.send(t, "/stream/a", "key-1", "") }()
	h.log.awaitLine(t, "outcome=broken", "events=2")
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	// The timers for the deadline and for another endpoint.
	if err := h.clock.BlockUntilContext(ctx, 2); err != nil {
		t.Fatalf("got no wait for another endpoint: %v", err)
	}
	return answered
}

// Guards against cutting off a stream because no other endpoint had room for a second, though its
// caller waits for two.
func TestInterruptedStreamWaitsForRoom(t *testing.T) {
	for name, drain := range map[string]bool{"serving": false, "draining": true} {
		t.Run(name, func(t *testing.T) {
			h := newDeployment(t, newEndpoint(t, "i-1", events(1, 3, true)))
			answered := h.interruptStream(t)
			if drain {
				h.gateway.Drain()
			}
			h.clock.Advance(1800 * time.Millisecond)
			select {
			case got := <-answered:
				t.Fatalf("got %d %q complete %v, want the stream to wait", got.status, got.body, got.complete)
			case <-time.After(200 * time.Millisecond):
			}
			h.register(newEndpoint(t, "i-2", events(3, 5, false)), 0, 2)
			h.advanceUntilAnswered(answered, 2*time.Second).check(t, 200, "id: 1\n", true)
		})
	}
}

// Guards against cutting off a stream because the retry budget was used up when its endpoint
// failed: further requests add to the budget.
func TestInterruptedStreamWaitsForRetryBudget(t *testing.T) {
	const requests = 12 // earn one repeat, at half of the ratio
	h := newDeployment(t, newEndpoint(t, "i-1", events(1, 3, true)))
	h.retrySlack = 0
	answered := h.interruptStream(t)
	scripts := append(slices.Repeat([]func(string) []byte{complete("a")}, requests), events(3, 5, false))
	h.register(newEndpoint(t, "i-2", scripts...), 0, 2)
	for range requests {
		h.send(t, "/once/a", "key-1", "").check(t, 200, "", true)
	}
	h.advanceUntilAnswered(answered, 2*time.Second).check(t, 200, "id: 1\n", true)
}

// advanceUntilAnswered advances the stopped clock in steps, up to span, until a request is answered.
func (h *deployment) advanceUntilAnswered(answered <-chan answer, span time.Duration) answer {
	const step = 100 * time.Millisecond
	for passed := time.Duration(0); passed < span; passed += step {
		select {
		case got := <-answered:
			return got
		case <-time.After(5 * time.Millisecond):
			h.clock.Advance(step)
		}
	}
	return <-answered
}
