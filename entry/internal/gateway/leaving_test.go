package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"comfreyrelay.example/relay/fleet"
	"comfreyrelay.example/relay/site"
)

// leaving answers that the endpoint leaves.
func leaving(id string) []byte {
	return []byte(head(200, id, "X-Server-Stamp: s\r\nServer-Leaving: 1\r\nContent-Length: 2\r\n\r\nok"))
}

// resting refuses a request and asks for so many seconds of rest.
func resting(seconds string) func(id string) []byte {
	return func(id string) []byte {
		return []byte(head(503, id, "X-Not-Executed: 1\r\nRetry-After: "+seconds+"\r\nContent-Length: 0\r\n\r\n"))
	}
}

// sendStopped sends a request to a gateway whose clock is stopped, where one that waits would wait
// for ever.
func (h *deployment) sendWithStoppedClock(t *testing.T, path string) answer {
	t.Helper()
	answered := make(chan answer, 1)
	go func() { answered <- h.send(t, path, "key-1", "") }()
	return h.await(t, answered)
}

// await returns the answer to a request. One that waits is brought to its deadline, so that the
// server can end.
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

// stuck is the time after which a request counts as waiting for a clock that is stopped.
const answerTimeout = 10 * time.Second

// Guards against further requests to an endpoint that said in an answer that it leaves.
func TestLeavingEndpointGetsNoNewRequests(t *testing.T) {
	gone, stays := newEndpoint(t, "i-1", leaving, leaving), newEndpoint(t, "i-2")
	h := newDeployment(t, gone, stays)
	for requestCount(gone) == 0 {
		h.send(t, "/safe/a", "key-1", "").check(t, http.StatusOK, "ok", true)
	}
	for range 20 {
		h.send(t, "/safe/a", "key-1", "").check(t, http.StatusOK, "ok", true)
	}
	if got, want := requestCount(gone), 1; got != want {
		t.Errorf("got %d requests at the endpoint that leaves, want %d", got, want)
	}
}

// Guards against an endpoint that counts as staying again once its registration, which lapsed while
// the store was away, is back.
func TestLeavingEndpointStaysExcludedWhenRegisteredAgain(t *testing.T) {
	gone := newEndpoint(t, "i-1", leaving, leaving)
	h := newDeployment(t, gone)
	h.send(t, "/safe/a", "key-1", "").check(t, http.StatusOK, "ok", true)
	h.state.Apply([]site.Record{{Kind: site.EndpointRecord, ID: "i-1", Gone: true}}, 2)
	h.send(t, "/safe/a", "key-1", "").check(t, http.StatusServiceUnavailable, "no endpoint", true)
	h.state.Apply([]site.Record{{Kind: site.EndpointRecord, ID: "i-1", Endpoint: fleet.Registration{
		ID: "i-1", Service: "app", Address: gone.address, Slots: 4,
	}}}, 3)
	h.send(t, "/safe/a", "key-1", "").check(t, http.StatusServiceUnavailable, "no endpoint", true)
	if got, want := requestCount(gone), 1; got != want {
		t.Errorf("got %d requests at the endpoint that leaves, want %d", got, want)
	}
}

// Guards against requests to an endpoint that refused one and asked for rest, before the rest ends.
func TestRestingEndpointGetsNoRequests(t *testing.T) {
	tired, other := newEndpoint(t, "i-1", resting("3"), resting("1")), newEndpoint(t, "i-2")
	h := newDeployment(t, tired, other)
	for requestCount(tired) == 0 {
		h.send(t, "/safe/a", "key-1", "").check(t, http.StatusOK, "ok", true)
	}
	h.stopClock()
	h.clock.Advance(2900 * time.Millisecond)
	for range 20 {
		h.sendWithStoppedClock(t, "/safe/a").check(t, http.StatusOK, "ok", true)
	}
	if got, want := requestCount(tired), 1; got != want {
		t.Errorf("got %d requests at the endpoint within its rest, want %d", got, want)
	}
}

// Guards against a request that waits in vain while all its endpoints rest for longer than it may
// wait, and against a time to return that is too early.
func TestRequestIsRefusedAtOnceWhereAllEndpointsRest(t *testing.T) {
	h := newDeployment(t, newEndpoint(t, "i-1", resting("3")))
	h.stopClock()
	for _, when := range []string{"refused by the endpoint", "within its rest"} {
		got := h.sendWithStoppedClock(t, "/once/a")
		got.check(t, http.StatusServiceUnavailable, "endpoints ask for rest", true)
		if got, want := got.header.Get("Retry-After"), "3.000"; got != want {
			t.Errorf("%s: got Retry-After %q, want the %s s until the rest ends", when, got, want)
		}
	}
	h.clock.Advance(3 * time.Second)
	h.sendWithStoppedClock(t, "/once/a").check(t, http.StatusOK, "ok", true)
}

// Guards against a request that waits longer than the rest of its endpoint lasts: nothing but time
// ends a rest.
func TestRequestIsSentWhenRestEnds(t *testing.T) {
	h := newDeployment(t, newEndpoint(t, "i-1", resting("0.4")))
	h.stopClock()
	h.sendWithStoppedClock(t, "/once/a").check(t, http.StatusServiceUnavailable, "endpoints ask for rest", true)
	if t.Failed() {
		return
	}
	answered := make(chan answer, 1)
	go func() { answered <- h.send(t, "/once/a", "key-1", "") }()
	// The deadline and the wait for the rest's end.
	if err := h.clock.BlockUntilContext(t.Context(), 2); err != nil {
		t.Fatal(err)
	}
	h.clock.Advance(400*time.Millisecond + time.Microsecond)
	h.await(t, answered).check(t, http.StatusOK, "ok", true)
}
