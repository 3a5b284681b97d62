package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"comfreyrelay.example/relay/fleet"
	"comfreyrelay.example/relay/site"
)

// leaving answers and announces that the endpoint is leaving.
func leaving(id string) []byte {
	return []byte(head(200, id, "X-Server-Stamp: s\r\nServer-Leaving: 1\r\nContent-Length: 2\r\n\r\nok"))
}

// resting refuses a request and asks for a pause of the given seconds.
func resting(seconds string) func(id string) []byte {
	return func(id string) []byte {
		return []byte(head(503, id, "X-Not-Executed: 1\r\nRetry-After: "+seconds+"\r\nContent-Length: 0\r\n\r\n"))
	}
}

// sendWithStoppedClock sends a request to a gateway whose clock is stopped. The request fails the
// test if it waits, since it would wait forever.
func (h *deployment) sendWithStoppedClock(t *testing.T, path string) answer {
	t.Helper()
	answered := make(chan answer, 1)
	go func() { answered <- h.send(t, path, "key-1", "") }()
	return h.await(t, answered)
}

// await returns the answer to a request. If none arrives, it fails the test and runs the clock to
// the request's deadline, so that the server can shut down.
func (h *deployment) await(t *testing.T, answered <-chan answer) answer {
	t.Helper()
	select {
	case got := <-answered:
		return got
	case <-time.After(answerTimeout):
		t.Error("got no answer, want one without a wait")
	}
	go h.runClock(t.Context())
	return <-answered
}

// answerTimeout is the time after which a request counts as waiting for the stopped clock.
const answerTimeout = 10 * time.Second

// Guards against further requests to an endpoint that announced in an answer that it is leaving.
func TestLeavingEndpointGetsNoNewRequests(t *testing.T) {
	leaves, stays := newEndpoint(t, "i-1", leaving, leaving), newEndpoint(t, "i-2")
	h := newDeployment(t, leaves, stays)
	for requestCount(leaves) == 0 {
		h.send(t, "/safe/a", "key-1", "").check(t, http.StatusOK, "ok", true)
	}
	for range 20 {
		h.send(t, "/safe/a", "key-1", "").check(t, http.StatusOK, "ok", true)
	}
	if got, want := requestCount(leaves), 1; got != want {
		t.Errorf("got %d requests at the endpoint that leaves, want %d", got, want)
	}
}

// Guards against new requests to a leaving endpoint whose registration lapsed during an outage of
// the store and was then restored.
func TestLeavingEndpointStaysExcludedWhenRegisteredAgain(t *testing.T) {
	leaves := newEndpoint(t, "i-1", leaving, leaving)
	h := newDeployment(t, leaves)
	h.send(t, "/safe/a", "key-1", "").check(t, http.StatusOK, "ok", true)
	h.state.Apply([]site.Record{{Kind: site.EndpointRecord, ID: "i-1", Removed: true}}, 2)
	h.send(t, "/safe/a", "key-1", "").check(t, http.StatusServiceUnavailable, "no endpoint", true)
	h.state.Apply([]site.Record{{Kind: site.EndpointRecord, ID: "i-1", Endpoint: fleet.Registration{
		ID: "i-1", Service: "app", Address: leaves.address, Slots: 4,
	}}}, 3)
	h.send(t, "/safe/a", "key-1", "").check(t, http.StatusServiceUnavailable, "no endpoint", true)
	if got, want := requestCount(leaves), 1; got != want {
		t.Errorf("got %d requests at the endpoint that leaves, want %d", got, want)
	}
}

// Guards against requests to an endpoint during the pause that it asked for when it refused one.
func TestRestingEndpointGetsNoRequests(t *testing.T) {
	paused, other := newEndpoint(t, "i-1", resting("3"), resting("1")), newEndpoint(t, "i-2")
	h := newDeployment(t, paused, other)
	for requestCount(paused) == 0 {
		h.send(t, "/safe/a", "key-1", "").check(t, http.StatusOK, "ok", true)
	}
	h.stopClock()
	h.clock.Advance(2900 * time.Millisecond)
	for range 20 {
		h.sendWithStoppedClock(t, "/safe/a").check(t, http.StatusOK, "ok", true)
	}
	if got, want := requestCount(paused), 1; got != want {
		t.Errorf("got %d requests at the endpoint during its pause, want %d", got, want)
	}
}

// Guards against a request that waits although all its endpoints pause for longer than it may wait,
// and against a Retry-After that is too short.
func TestRequestIsRefusedAtOnceWhereAllEndpointsRest(t *testing.T) {
	h := newDeployment(t, newEndpoint(t, "i-1", resting("3")))
	h.stopClock()
	for _, when := range []string{"refused by the endpoint", "during its pause"} {
		got := h.sendWithStoppedClock(t, "/once/a")
		got.check(t, http.StatusServiceUnavailable, "endpoints ask for rest", true)
		if got, want := got.header.Get("Retry-After"), "3.000"; got != want {
			t.Errorf("%s: got Retry-After %q, want the %s s until the pause ends", when, got, want)
		}
	}
	h.clock.Advance(3 * time.Second)
	h.sendWithStoppedClock(t, "/once/a").check(t, http.StatusOK, "ok", true)
}

// Guards against a request that waits longer than the pause of its endpoint lasts. The pause ends
// with time only, so no event wakes the request.
func TestRequestIsSentWhenRestEnds(t *testing.T) {
	h := newDeployment(t, newEndpoint(t, "i-1", resting("0.4")))
	h.stopClock()
	h.sendWithStoppedClock(t, "/once/a").check(t, http.StatusServiceUnavailable, "endpoints ask for rest", true)
	if t.Failed() {
		return
	}
	answered := make(chan answer, 1)
	go func() { answered <- h.send(t, "/once/a", "key-1", "") }()
	// The timers for the deadline and for the end of the pause.
	if err := h.clock.BlockUntilContext(t.Context(), 2); err != nil {
		t.Fatal(err)
	}
	h.clock.Advance(400*time.Millisecond + time.Microsecond)
	h.await(t, answered).check(t, http.StatusOK, "ok", true)
}
