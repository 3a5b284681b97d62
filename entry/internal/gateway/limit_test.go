package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"comfreyrelay.example/relay/fleet"
)

// limiting answers with the given rate limit.
func limiting(perSecond string) func(id string) []byte {
	return func(id string) []byte {
		return []byte(head(200, id, "X-Server-Stamp: s\r\nServer-Limit: "+perSecond+"\r\nContent-Length: 2\r\n\r\nok"))
	}
}

// Guards against requests that wait for an endpoint whose rate limit cannot admit them in time, and
// against a Retry-After that is too short.
func TestRequestBeyondRateLimitIsRefusedAtOnce(t *testing.T) {
	h := newDeployment(t, newEndpoint(t, "i-1", limiting("0.25")))
	h.deadline = 3 * time.Second
	h.send(t, "/safe/a", "key-1", "").check(t, http.StatusOK, "ok", true)
	h.stopClock()
	got := h.sendWithStoppedClock(t, "/safe/a")
	got.check(t, http.StatusServiceUnavailable, "endpoints limit their requests", true)
	wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if err != nil || wait < 3.9 || wait > 4 {
		t.Errorf("got Retry-After %q, want the 4 s until the next request", got.header.Get("Retry-After"))
	}
}

// Guards against a request that waits longer than the rate limit of its endpoint requires. The
// next credit comes with time only, so no event wakes the request.
func TestRequestWaitsForCreditOfRateLimit(t *testing.T) {
	ep := newEndpoint(t, "i-1", limiting("2"), limiting("2"))
	h := newDeployment(t, ep)
	h.send(t, "/safe/a", "key-1", "").check(t, http.StatusOK, "ok", true)
	h.stopClock()
	answered := make(chan answer)
	go func() { answered <- h.send(t, "/safe/a", "key-1", "") }()
	// The timers for the deadline and for the next credit.
	if err := h.clock.BlockUntilContext(t.Context(), 2); err != nil {
		t.Fatal(err)
	}
	h.clock.Advance(500*time.Millisecond + time.Microsecond)
	got := <-answered
	got.check(t, http.StatusOK, "ok", true)
}

// Guards against an entry that has no share of a rate limit and keeps its callers' connections.
func TestEntryWithoutPartOfRateLimitSendsCallersElsewhere(t *testing.T) {
	h := newDeployment(t, newEndpoint(t, "i-1", limiting("1")))
	var others []string
	for i := range 98 {
		others = append(others, fmt.Sprint("other-", i))
	}
	h.state.Fleet().SetEntries("self", others, 1+len(others))
	h.send(t, "/safe/a", "key-1", "").check(t, http.StatusOK, "ok", true)
	h.stopClock()
	got := h.send(t, "/safe/a", "key-1", "")
	got.check(t, http.StatusServiceUnavailable, "endpoints limit their requests", true)
	if !got.close || got.header.Get("Retry-After") != "1.000" {
		t.Errorf("got close %v, Retry-After %q, want the connection closed and 1 s", got.close, got.header.Get("Retry-After"))
	}
}

// Guards against a limit that is lifted by the answer to a request that was sent before the
// endpoint first stated the limit.
func TestOldAnswerDoesNotLiftRateLimit(t *testing.T) {
	release := make(chan struct{})
	reached := make(chan struct{})
	ep := newEndpoint(t, "i-1", func(id string) []byte {
		close(reached)
		<-release
		return complete("old")(id)
	}, limiting("0.25"))
	h := newDeployment(t, ep)
	old := make(chan answer)
	go func() { old <- h.send(t, "/safe/old", "key-1", "") }()
	<-reached
	h.send(t, "/safe/a", "key-1", "").check(t, http.StatusOK, "ok", true)
	close(release)
	(<-old).check(t, http.StatusOK, "old", true)
	h.stopClock()
	h.deadline = 3 * time.Second
	h.sendWithStoppedClock(t, "/safe/a").check(t, http.StatusServiceUnavailable, "endpoints limit their requests", true)
}

// Guards against entries that apply an outdated rate limit: only an entry that sends requests to
// the endpoint sees the change.
func TestChangedRateLimitIsPublishedToOtherEntries(t *testing.T) {
	h := newDeployment(t, newEndpoint(t, "i-1", limiting("100"), limiting("100"), limiting("50"), limiting("50")))
	for range 4 {
		h.send(t, "/safe/a", "key-1", "").check(t, http.StatusOK, "ok", true)
	}
	want := fleet.LimitReport{Incarnation: fleet.Incarnation{ID: "i-1"}, PerSecond: 50}
	if got := (<-h.published).Limited; got != want {
		t.Errorf("got %+v published, want %+v", got, want)
	}
	if got := len(h.published); got != 0 {
		t.Errorf("got %d more reports, want none: the limit changed once", got)
	}
}
