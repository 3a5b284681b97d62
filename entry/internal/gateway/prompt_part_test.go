package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"comfreyrelay.example/relay/quarantine"
	"comfreyrelay.example/relay/site"
)

// partFingerprints returns the fingerprints of the parts with these IDs.
func partFingerprints(ids ...string) []quarantine.Fingerprint {
	var fps []quarantine.Fingerprint
	for _, id := range ids {
		fps = append(fps, quarantine.NewPartFingerprint(id))
	}
	return fps
}

// reportPartEnds reports to the entry that count endpoints ended under requests with these parts.
func (h *deployment) reportPartEnds(count int, ids ...string) {
	for i := range count {
		h.state.Ledger().Observe(quarantine.Report{
			End: quarantine.End{Endpoint: fmt.Sprintf("gone-%d", i)}, Parts: partFingerprints(ids...),
		})
	}
}

// Guards against engines that crash one after another under requests that differ but share a part:
// four ends hold the part, in any place but the last one, which is the request's own.
func TestRequestWithHeldPartIsRefused(t *testing.T) {
	ep := newEndpoint(t, "i-1")
	h := newDeployment(t, ep)
	h.reportPartEnds(4, "dead")
	for _, prompt := range []string{"dead:40,1:5", "f1:40,DEAD:9,2:5"} {
		got := h.sendPrompt(t, "/safe/a", "key-1", prompt, prompt)
		got.check(t, http.StatusServiceUnavailable, "endpoints ended under requests with part dead", true)
		if got.header.Get("Retry-After") == "" {
			t.Errorf("got no Retry-After for %s, want the remaining quarantine time", prompt)
		}
	}
	if got := requestCount(ep); got != 0 {
		t.Errorf("got %d sends of requests with a held part, want none", got)
	}
	for _, prompt := range []string{"f1:40,3:5", "f1:40,dead:5", ""} {
		h.sendPrompt(t, "/safe/a", "key-1", prompt, prompt).check(t, http.StatusOK, "ok", true)
	}
}

// Guards against a request that crashes one more endpoint because it waited for a slot when its part
// was held.
func TestQueuedRequestIsRefusedWhenItsPartIsHeld(t *testing.T) {
	h := newDeployment(t)
	h.stopClock()
	answered := make(chan answer)
	go func() { answered <- h.sendPrompt(t, "/safe/a", "key-1", "body", "dead:40,1:5") }()
	// The timers for the deadline and for a free slot.
	if err := h.clock.BlockUntilContext(t.Context(), 2); err != nil {
		t.Fatal(err)
	}
	h.reportPartEnds(4, "dead")
	got := <-answered
	got.check(t, http.StatusServiceUnavailable, "endpoints ended under requests with part dead", true)
}

// Guards against one crash too many: a request whose part one more end would hold waits until the
// check of its endpoint is done.
func TestFourthEndHoldsPart(t *testing.T) {
	one, two := newEndpoint(t, "i-1", nil), newEndpoint(t, "i-2", nil)
	for _, ep := range []*endpoint{one, two} {
		ep.mu.Lock()
		ep.onAccept = func() { _ = ep.listener.Close() }
		ep.mu.Unlock()
	}
	h := newDeployment(t, one, two)
	h.reportPartEnds(3, "dead")
	h.sendPrompt(t, "/safe/a", "key-1", "body", "dead:40,1:5").check(t, http.StatusBadGateway, "endpoints ended under requests with part dead", true)
	if got, want := requestCount(one, two), 1; got != want {
		t.Errorf("got %d sends, want %d", got, want)
	}
}

// Guards against parts that are not counted: an end is reported with the shared parts of all requests
// that were in progress there and had not been answered for a while.
func TestEndIsPublishedWithSharedParts(t *testing.T) {
	for _, test := range []struct {
		name  string
		serve func(id string) []byte
		want  []quarantine.Fingerprint
	}{
		{"not begun", nil, partFingerprints("f1", "dead")},
		{"just begun", events(1, 3, true), partFingerprints("f1", "dead")},
	} {
		t.Run(test.name, func(t *testing.T) {
			ep := newEndpoint(t, "i-1", test.serve)
			ep.mu.Lock()
			ep.onAccept = func() { _ = ep.listener.Close() }
			ep.mu.Unlock()
			h := newDeployment(t, ep)
			h.sendPrompt(t, "/stream/a", "key-1", "body", "f1:40,dead:9,1:5")
			if got := <-h.published; got.End.Endpoint != "i-1" || !slices.Equal(got.Parts, test.want) {
				t.Errorf("got %+v, want the end of i-1 with parts %v", got, test.want)
			}
		})
	}
}

// awaitReport waits for a report to the other entries for which is returns true.
func (h *deployment) awaitReport(t *testing.T, is func(site.Report) bool) {
	t.Helper()
	for {
		select {
		case report := <-h.published:
			if is(report) {
				return
			}
		case <-time.After(10 * time.Second):
			t.Fatal("got no such report")
		}
	}
}

// Guards against sound requests that are refused for a part that they share with crashing ones: a
// stream that an endpoint keeps writing clears its parts, here and at the other entries.
func TestStreamInProgressClearsItsParts(t *testing.T) {
	ep := newEndpoint(t, "i-1", pausingEvents(1, 8, 2))
	h := newDeployment(t, ep)
	answered := make(chan answer)
	go func() { answered <- h.sendPrompt(t, "/stream/a", "key-1", "body", "f1:40,1:5") }()
	h.awaitEvents(t, 2)
	h.reportPartEnds(4, "f1")
	h.sendPrompt(t, "/safe/a", "key-1", "other", "f1:40,2:5").check(t, http.StatusServiceUnavailable, "", true)
	h.clock.Advance(300 * time.Millisecond)
	close(ep.resume)
	(<-answered).check(t, http.StatusOK, "id: 1", true)
	h.awaitReport(t, func(report site.Report) bool { return slices.Equal(report.SurvivedParts, partFingerprints("f1")) })
	h.sendPrompt(t, "/safe/a", "key-1", "other", "f1:40,3:5").check(t, http.StatusOK, "ok", true)
}

// Guards against entries that have just started and refuse sound requests: an entry that knows a part
// to be harmless tells the others before they may hold it.
func TestHarmlessPartIsReportedBeforeOthersHoldIt(t *testing.T) {
	h := newDeployment(t, newEndpoint(t, "i-1"))
	h.sendPrompt(t, "/safe/a", "key-1", "body", "f1:40,1:5").check(t, http.StatusOK, "ok", true)
	h.reportPartEnds(3, "f1", "dead")
	h.awaitReport(t, func(report site.Report) bool { return slices.Equal(report.ProvenParts, partFingerprints("f1")) })
	h.reportPartEnds(5, "f1", "dead")
	h.sendPrompt(t, "/safe/a", "key-1", "body", "dead:9,2:5").check(t, http.StatusServiceUnavailable, "", true)
	h.sendPrompt(t, "/safe/a", "key-1", "body", "f1:40,3:5").check(t, http.StatusOK, "ok", true)
}
