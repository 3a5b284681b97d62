package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"comfreyrelay.example/relay/quarantine"
)

// fingerprintOf returns the fingerprint of a request that deployment.send sends.
func fingerprintOf(path, body string) quarantine.Fingerprint {
	return quarantine.NewFingerprint("mine", http.MethodPost, "h", path, []byte(body))
}

// reportEnds reports to the entry that count endpoints ended while they ran a request.
func (h *deployment) reportEnds(fingerprint quarantine.Fingerprint, count int) {
	for i := range count {
		h.state.Ledger().Observe(quarantine.Report{
			End: quarantine.End{Endpoint: fmt.Sprintf("gone-%d", i)}, Suspects: []quarantine.Fingerprint{fingerprint},
		})
	}
}

func TestQuarantinedRequestIsRefusedAtOnce(t *testing.T) {
	ep := newEndpoint(t, "i-1")
	h := newDeployment(t, ep)
	h.reportEnds(fingerprintOf("/safe/a", "deadly"), 3)
	got := h.send(t, "/safe/a", "key-1", "deadly")
	got.check(t, http.StatusServiceUnavailable, "endpoints ended under this request", true)
	wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if shortest, longest := (quarantine.HoldTime - time.Minute).Seconds(), quarantine.HoldTime.Seconds(); err != nil || wait < shortest || wait > longest {
		t.Errorf("got Retry-After %q, want the remaining quarantine time, at most %v s", got.header.Get("Retry-After"), longest)
	}
	if got := requestCount(ep); got != 0 {
		t.Errorf("got %d sends of a quarantined request, want none", got)
	}
	for _, other := range []struct{ path, body string }{{"/safe/a", "other"}, {"/safe/b", "deadly"}, {"/safe/a?n=1", "deadly"}} {
		h.send(t, other.path, "key-1", other.body).check(t, http.StatusOK, "ok", true)
	}
}

// Guards against a request that is sent to one more endpoint after it was quarantined: it waited
// for a slot when the third end was reported, and was checked on arrival only. It must be answered
// at once, so the clock is stopped here.
func TestQueuedRequestIsRefusedWhenQuarantined(t *testing.T) {
	h := newDeployment(t)
	h.stopClock()
	answered := make(chan answer)
	go func() { answered <- h.send(t, "/safe/a", "key-1", "deadly") }()
	// The timers for the deadline and for a free slot.
	if err := h.clock.BlockUntilContext(t.Context(), 2); err != nil {
		t.Fatal(err)
	}
	h.reportEnds(fingerprintOf("/safe/a", "deadly"), 3)
	got := <-answered
	got.check(t, http.StatusServiceUnavailable, "endpoints ended under this request", true)
}

// Guards against a request that crashes one more endpoint because it is in that endpoint's queue
// when the third end is reported.
func TestRequestInProgressIsCanceledWhenQuarantined(t *testing.T) {
	reached, release := make(chan struct{}), make(chan struct{})
	h := newDeployment(t, newEndpoint(t, "i-1", func(id string) []byte {
		close(reached)
		<-release
		return complete("late")(id)
	}))
	answered := make(chan answer)
	go func() { answered <- h.send(t, "/safe/a", "key-1", "deadly") }()
	<-reached
	h.reportEnds(fingerprintOf("/safe/a", "deadly"), 3)
	got := <-answered
	close(release)
	got.check(t, http.StatusBadGateway, "endpoints ended under this request", true)
}

// A request that is already being answered is probably harmless and continues.
func TestStreamWithEventsContinuesWhenQuarantined(t *testing.T) {
	rest := make(chan struct{})
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Server-Stamp", "s")
		_, _ = io.WriteString(w, "id: 1\ndata: one\n\n")
		_ = http.NewResponseController(w).Flush()
		<-rest
		_, _ = io.WriteString(w, "id: 2\ndata: two\n\n")
	}))
	t.Cleanup(engine.Close)
	h := newDeployment(t, &endpoint{id: "i-1", address: engine.Listener.Addr().String()})
	req, err := http.NewRequest(http.MethodPost, h.server.URL+"/stream/a", strings.NewReader("long"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("X-Attempt-Id", "id-1")
	req.Header.Set("Authorization", "Bearer key-1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	first := make([]byte, len("id: 1\ndata: one\n\n"))
	if _, err := io.ReadFull(resp.Body, first); err != nil {
		t.Fatal(err)
	}
	h.reportEnds(fingerprintOf("/stream/a", "long"), 3)
	close(rest)
	text, err := io.ReadAll(resp.Body)
	if got, want := string(text), "id: 2\ndata: two\n\n"; got != want || err != nil {
		t.Errorf("got %q, %v after the first event, want %q", got, err, want)
	}
}

// A request with two known ends waits until the check of the endpoint is done. If the endpoint
// ended, the request is quarantined and not sent to another one.
func TestThirdEndQuarantinesRequest(t *testing.T) {
	one, two := newEndpoint(t, "i-1", nil), newEndpoint(t, "i-2", nil)
	for _, ep := range []*endpoint{one, two} {
		ep.mu.Lock()
		ep.onAccept = func() { _ = ep.listener.Close() }
		ep.mu.Unlock()
	}
	h := newDeployment(t, one, two)
	h.reportEnds(fingerprintOf("/safe/a", "deadly"), 2)
	h.send(t, "/safe/a", "key-1", "deadly").check(t, http.StatusBadGateway, "endpoints ended under this request", true)
	if got, want := requestCount(one, two), 1; got != want {
		t.Errorf("got %d sends, want %d", got, want)
	}
}

func TestEndIsPublishedToOtherEntries(t *testing.T) {
	ep := newEndpoint(t, "i-1", nil)
	ep.mu.Lock()
	ep.onAccept = func() { _ = ep.listener.Close() }
	ep.mu.Unlock()
	h := newDeployment(t, ep)
	h.send(t, "/once/a", "key-1", "deadly").check(t, http.StatusBadGateway, "", true)
	got := <-h.published
	if got.End.Endpoint != "i-1" || len(got.Suspects) != 1 || got.Suspects[0] != fingerprintOf("/once/a", "deadly") || len(got.Running) != 0 {
		t.Errorf("got %+v, want the end of i-1 with this request as suspect", got)
	}
}

// A partly answered request is reported as running, not as suspect: a request that crashes an
// endpoint does so before its first events.
func TestPartlyAnsweredRequestIsReportedAsRunning(t *testing.T) {
	ep := newEndpoint(t, "i-1", events(1, 5, true))
	ep.mu.Lock()
	ep.onAccept = func() { _ = ep.listener.Close() }
	ep.mu.Unlock()
	h := newDeployment(t, ep)
	h.send(t, "/stream/a", "key-1", "long")
	got := <-h.published
	if len(got.Suspects) != 0 || len(got.Running) != 1 || got.Running[0] != fingerprintOf("/stream/a", "long") {
		t.Errorf("got %+v, want the request among those that were running", got)
	}
}

// An error answer does not clear a request of suspicion: an endpoint that does not read the whole
// request answers a crashing one in the same way.
func TestErrorAnswerDoesNotClearRequest(t *testing.T) {
	h := newDeployment(t, newEndpoint(t, "i-1", failing(http.StatusBadRequest)))
	fingerprint := fingerprintOf("/safe/a", "deadly")
	h.reportEnds(fingerprint, 2)
	h.send(t, "/safe/a", "key-1", "deadly").check(t, http.StatusBadRequest, "fail", true)
	h.reportEnds(fingerprint, 3)
	h.send(t, "/safe/a", "key-1", "deadly").check(t, http.StatusServiceUnavailable, "endpoints ended under this request", true)
}

// Guards against refusing a harmless request that was in progress when endpoints ended because of
// another request or for another reason: two ends, then it is served, then a third end. The ends
// were added up though a successful answer shows that the request crashes nothing.
func TestServedRequestIsCleared(t *testing.T) {
	h := newDeployment(t, newEndpoint(t, "i-1"))
	fingerprint := fingerprintOf("/safe/a", "beside")
	h.reportEnds(fingerprint, 2)
	h.send(t, "/safe/a", "key-1", "beside").check(t, http.StatusOK, "ok", true)
	got := <-h.published
	if len(got.Served) != 1 || got.Served[0] != fingerprint {
		t.Errorf("got %+v published, want that it was served", got)
	}
	// Other entries that saw the two ends report them again, together with a third one.
	h.reportEnds(fingerprint, 3)
	h.send(t, "/safe/a", "key-1", "beside").check(t, http.StatusOK, "ok", true)
}

// Guards against an entry that, after some thousand refusals, refuses every request with a body as
// "too many request bodies in memory": the body of a quarantined request was counted and never
// subtracted.
func TestQuarantinedRequestReleasesBodyBytes(t *testing.T) {
	h := newDeployment(t, newEndpoint(t, "i-1"))
	h.reportEnds(fingerprintOf("/safe/a", "deadly"), 3)
	h.send(t, "/safe/a", "key-1", "deadly").check(t, http.StatusServiceUnavailable, "", true)
	h.send(t, "/safe/a", "key-1", "other").check(t, http.StatusOK, "", true)
	if got := h.gateway.Counters()["bodyBytes"]; got != 0 {
		t.Errorf("got %d bytes of bodies after all were answered, want 0", got)
	}
	if got, want := h.gateway.Counters()["held"], int64(1); got != want {
		t.Errorf("got %d quarantined requests, want %d", got, want)
	}
}
