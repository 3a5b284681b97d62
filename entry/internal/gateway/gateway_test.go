package gateway_test

import (
	"bufio"
	"expvar"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"comfreyrelay.example/entry/internal/gateway"
	"comfreyrelay.example/entry/internal/upstream"
	"comfreyrelay.example/platform"
	"comfreyrelay.example/relay/catalog"
	"comfreyrelay.example/relay/fleet"
	"comfreyrelay.example/relay/freshness"
	"comfreyrelay.example/relay/site"
)

func TestAnswerOfAnEndpointIsRelayed(t *testing.T) {
	ep := newEndpoint(t, "i-1", complete("hello"))
	h := newDeployment(t, ep)
	got := h.send(t, "/once/a?b=c", "key-1", "body")
	got.check(t, 200, "hello", true)
	if got, want := got.header.Get("X-Server-Stamp"), "s-hello"; got != want {
		t.Errorf("got signature %q, want %q", got, want)
	}
	req := ep.requests()[0]
	if req.RequestURI != "/once/a?b=c" || req.Header.Get("X-Tenant") != "mine" || req.Header.Get("X-Expect-Instance") != "i-1" {
		t.Errorf("got %s with %v, want it as sent with customer and endpoint", req.RequestURI, req.Header)
	}
}

// Guards against running a request twice that must not be repeated: the connection breaks while the
// endpoint runs it, and the entry or its HTTP library sends it again.
func TestNonRepeatableRequestIsSentOnce(t *testing.T) {
	one, two := newEndpoint(t, "i-1", nil, nil), newEndpoint(t, "i-2", nil, nil)
	h := newDeployment(t, one, two)
	for _, path := range []string{"/once/a", "/two/a"} {
		h.send(t, path, "key-1", "").check(t, 502, "", true)
	}
	if got, want := requestCount(one, two), 2; got != want {
		t.Errorf("got %d sends of two requests, want %d", got, want)
	}
}

// Guards against the same fault on a kept connection: the endpoint closes it just as the next
// request is sent, and HTTP libraries resend on a connection that turns out to be closed.
func TestNonRepeatableRequestIsNotResentOnBrokenKeepAlive(t *testing.T) {
	ep := newEndpoint(t, "i-1", complete("first"), nil, complete("never"))
	h := newDeployment(t, ep)
	h.send(t, "/once/a", "key-1", "").check(t, 200, "first", true)
	h.send(t, "/once/a", "key-1", "").check(t, 502, "", true)
	if got, want := requestCount(ep), 2; got != want {
		t.Errorf("got %d sends, want %d", got, want)
	}
}

func TestRequestProvenNotRunIsSentToAnotherEndpoint(t *testing.T) {
	one, two := newEndpoint(t, "i-1", notRun), newEndpoint(t, "i-2", notRun)
	h := newDeployment(t, one, two)
	h.send(t, "/two/a", "key-1", "").check(t, 503, "", true)
	if got, want := requestCount(one, two), 2; got != want {
		t.Errorf("got %d sends, want %d", got, want)
	}
	h.clock.Advance(time.Second)
	if got := h.send(t, "/two/a", "key-1", ""); got.status != 200 {
		t.Errorf("got %d once endpoints take requests, want 200", got.status)
	}
}

func TestRefusalCarriesRetryAfter(t *testing.T) {
	one, two, three := newEndpoint(t, "i-1", notRun), newEndpoint(t, "i-2", notRun), newEndpoint(t, "i-3", notRun)
	h := newDeployment(t, one, two, three)
	got := h.send(t, "/once/a", "key-1", "")
	got.check(t, 503, "", true)
	if got.header.Get("Retry-After") == "" {
		t.Errorf("got no Retry-After, want one")
	}
}

// Guards against closing callers' connections without an answer though the endpoints are healthy
// (rule LOST of the platform): a repeatable request fails at two endpoints, each with a complete
// answer. The second failure was written to the caller and then treated as a truncated answer.
func TestSecondFailureIsRelayed(t *testing.T) {
	one, two := newEndpoint(t, "i-1", failing(500)), newEndpoint(t, "i-2", failing(500))
	h := newDeployment(t, one, two)
	got := h.send(t, "/safe/a", "key-1", "")
	got.check(t, 500, "fail", true)
	if got, want := got.header.Get("X-Server-Stamp"), "f"; got != want {
		t.Errorf("got signature %q, want the endpoint's %q", got, want)
	}
}

func TestRepeatableRequestIsRetriedAtAnotherEndpoint(t *testing.T) {
	for name, first := range map[string]func(id string) []byte{
		"broken":    nil,
		"failing":   failing(500),
		"truncated": func(id string) []byte { return append(complete("hello")(id)[:60], cutOff...) },
		"unsigned":  func(id string) []byte { return []byte(head(200, id, "Content-Length: 2\r\n\r\nhi")) },
		"noise":     func(string) []byte { return []byte("\x01\x02\x03 noise\r\n\r\n" + cutOff) },
	} {
		t.Run(name, func(t *testing.T) {
			one, two := newEndpoint(t, "i-1", first), newEndpoint(t, "i-2", first)
			h := newDeployment(t, one, two)
			// Only endpoint one keeps its bad answer, so that a retry at the other succeeds.
			one.mu.Lock()
			two.mu.Lock()
			two.answers = nil
			one.mu.Unlock()
			two.mu.Unlock()
			h.send(t, "/safe/a", "key-1", "").check(t, 200, "ok", true)
		})
	}
}

// Guards against giving a caller another caller's answer: an endpoint sends an answer twice, and the
// second copy is still in the connection when the next request is sent. The next data read was
// taken for the answer to the latest request.
func TestAnswerToAnotherRequestIsDropped(t *testing.T) {
	extra := func(id string) []byte { return append(complete("first")(id), complete("extra")(id)...) }
	h := newDeployment(t, newEndpoint(t, "i-1", extra))
	h.send(t, "/once/a", "key-1", "").check(t, 200, "first", true)
	h.send(t, "/once/a", "key-1", "").check(t, 200, "ok", true)
	late := func(id string) []byte { return append(complete("late")("id-0"), complete("mine")(id)...) }
	h = newDeployment(t, newEndpoint(t, "i-1", late))
	h.send(t, "/once/a", "key-1", "").check(t, 200, "mine", true)
}

// Guards against a stream that lacks an event, repeats one, or ends early and looks complete: an
// endpoint fails in the middle of an event, and the entry relays bytes as they arrive or restarts
// the stream from the beginning.
func TestStreamResumesAtAnotherEndpointAfterLastCompleteEvent(t *testing.T) {
	one, two := newEndpoint(t, "i-1", events(1, 3, true)), newEndpoint(t, "i-2", events(1, 3, true))
	h := newDeployment(t, one, two)
	resumed := events(3, 5, false)
	for _, ep := range []*endpoint{one, two} {
		ep.mu.Lock()
		ep.answers = []func(string) []byte{func(id string) []byte {
			if requestCount(one, two) == 1 {
				return events(1, 3, true)(id)
			}
			return resumed(id)
		}}
		ep.mu.Unlock()
	}
	got := h.send(t, "/stream/a", "key-1", "")
	want := ""
	for i := 1; i <= 5; i++ {
		want += fmt.Sprintf("id: %d\ndata: token-%d\n\n", i, i)
	}
	got.check(t, 200, want, true)
	for _, req := range append(one.requests(), two.requests()...) {
		if id := req.Header.Get("Last-Event-Id"); id != "" && id != "2" {
			t.Errorf("got the stream resumed after %q, want 2", id)
		}
	}
}

func TestStreamThatCannotResumeIsCutOff(t *testing.T) {
	h := newDeployment(t, newEndpoint(t, "i-1", events(1, 3, true)))
	got := h.send(t, "/stream/a", "key-1", "")
	if got.complete {
		t.Errorf("got a complete answer %q, want one that was cut off", got.body)
	}
	if strings.Contains(got.body, "id: 3") {
		t.Errorf("got %q, want no part of the truncated event", got.body)
	}
}

func TestUnknownKeysAndRoutes(t *testing.T) {
	h := newDeployment(t, newEndpoint(t, "i-1"))
	h.send(t, "/once/a", "other", "").check(t, 401, "", true)
	h.send(t, "/once/a", "", "").check(t, 401, "", true)
	h.send(t, "/none/a", "key-1", "").check(t, 404, "", true)
	h.send(t, "/open/a", "", "").check(t, 200, "ok", true)
}

// Guards against accepting a revoked key (rule CONFIG of the platform) or refusing a valid one for
// good: an entry loses the store for some seconds and treats its last configuration as current.
func TestStaleConfigurationGivesNoFinalDecision(t *testing.T) {
	ep := newEndpoint(t, "i-1")
	h := newDeployment(t, ep)
	h.freshnessNow = 3500 * time.Millisecond
	h.send(t, "/once/a", "key-1", "").check(t, 200, "ok", true)
	h.send(t, "/once/a", "other", "").check(t, 503, "", true)
	h.send(t, "/none/a", "key-1", "").check(t, 503, "", true)
	h.freshnessNow = 4100 * time.Millisecond
	h.send(t, "/once/a", "key-1", "").check(t, 503, "", true)
	h.send(t, "/open/a", "", "").check(t, 200, "ok", true)
}

// Guards against requests that are routed by a configuration that was replaced longer ago than the
// bound for a change, while the newer one is still on its way to the entry.
func TestConfigurationThatMayBeReplacedRoutesNothing(t *testing.T) {
	ep := newEndpoint(t, "i-1")
	h := newDeployment(t, ep)
	h.freshnessNow = 1900 * time.Millisecond
	h.state.Contact().Answered(h.freshnessNow, false)
	h.send(t, "/once/a", "key-1", "").check(t, 200, "ok", true)
	h.send(t, "/open/a", "", "").check(t, 200, "ok", true)
	h.freshnessNow = 2100 * time.Millisecond
	for path, key := range map[string]string{"/once/a": "key-1", "/open/a": ""} {
		got := h.send(t, path, key, "")
		got.check(t, 503, "", true)
		if got.header.Get("Retry-After") == "" {
			t.Errorf("got no Retry-After for %s, want one", path)
		}
	}
	if got, want := requestCount(ep), 2; got != want {
		t.Errorf("got %d requests at the endpoint, want %d", got, want)
	}
	h.state.Freshness().Prove(h.freshnessNow)
	h.send(t, "/once/a", "key-1", "").check(t, 200, "ok", true)
}

// Guards against an entry that reconnects to the store and runs a request with a revoked key, or
// refuses a new route with 404. An update arrives and is confirmed while the request is being
// routed: if the configuration is read before its age, the old one counts as just confirmed.
func TestConfigurationIsNoNewerThanItsAge(t *testing.T) {
	ep := newEndpoint(t, "i-1")
	h := newDeployment(t, ep)
	newer := catalog.Spec{Version: 2, Services: []catalog.Service{{Name: "app"}}, Limits: catalog.Limits{BodyBytes: 100},
		Customers: []catalog.Customer{{Name: "mine", Keys: []string{"key-2"}}}}
	for _, route := range testRoutes {
		route.Shares = []catalog.Share{{Service: "app", Weight: 1}}
		newer.Routes = append(newer.Routes, route)
	}
	h.freshnessNow = time.Minute
	h.onAgeRead = func() {
		h.onAgeRead = nil
		h.state.Apply([]site.Record{{Kind: site.CatalogRecord, Catalog: catalog.New(newer)}}, 2)
		h.state.Freshness().Prove(h.freshnessNow)
	}
	h.send(t, "/once/a", "key-1", "").check(t, 401, "", true)
	if got, want := requestCount(ep), 0; got != want {
		t.Errorf("got %d requests run with a revoked key, want %d", got, want)
	}
}

func TestBadInputReachesNoEndpoint(t *testing.T) {
	ep := newEndpoint(t, "i-1")
	h := newDeployment(t, ep)
	h.send(t, "/once/a", "key-1", strings.Repeat("x", 101)).check(t, 413, "", true)
	req, err := http.NewRequest(http.MethodGet, h.server.URL+"/once/a", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if got, want := resp.StatusCode, 400; got != want {
		t.Errorf("got %d without an ID, want %d", got, want)
	}
	if got := requestCount(ep); got != 0 {
		t.Errorf("got %d requests at the endpoint, want none", got)
	}
}

func TestDrainingEntryRefusesAsNotRun(t *testing.T) {
	ep := newEndpoint(t, "i-1")
	h := newDeployment(t, ep)
	h.gateway.Drain()
	got := h.send(t, "/once/a", "key-1", "")
	got.check(t, 503, "", true)
	if !got.close {
		t.Errorf("got a connection that stays open, want it closed")
	}
	if got := requestCount(ep); got != 0 {
		t.Errorf("got %d requests at the endpoint, want none", got)
	}
}

func TestEntryWithoutConfigurationRefuses(t *testing.T) {
	h := newDeployment(t)
	empty := site.NewState(h.clock.Now, fleet.New(h.clock.Now), freshness.NewTracker(func() time.Duration { return 0 }))
	server := httptest.NewServer(gateway.New(gateway.Config{
		State: empty, Pool: upstream.NewPool(time.Now), Wire: platform.Wire(), Clock: h.clock, BootClock: h.bootClock, Log: slog.New(slog.DiscardHandler),
		Bounds: func() gateway.Bounds { return gateway.Bounds{} }, Entries: func() int { return 1 }, PeakEntries: func() int { return 1 },
	}))
	defer server.Close()
	h.server = server
	h.send(t, "/once/a", "key-1", "").check(t, 503, "no configuration", true)
}

// Guards against an endpoint that continues to work for a caller who closed its connection, because
// the entry does not tell the endpoint.
func TestCallerDisconnectClosesEndpointConnection(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	got, ended := make(chan struct{}), make(chan struct{})
	go func() {
		conn, err := lis.Accept()
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err == nil {
			close(got)
		}
		_, _ = reader.ReadByte() // returns when the entry closes the connection
		close(ended)
	}()
	h := newDeployment(t, &endpoint{id: "i-1", address: lis.Addr().String()})
	conn, err := net.Dial("tcp", h.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(conn, "GET /once/a HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\nAuthorization: Bearer key-1\r\n\r\n")
	<-got
	_ = conn.Close()
	<-ended
}

// Guards against telling a caller that its request did not run though it did (rule REFUSED of the
// platform), so that it is sent again and runs twice: an endpoint takes a request and never
// answers, and the deadline passes. The entry recorded that the request may have run only when an
// attempt ended before the deadline.
func TestRequestWithoutAnAnswerMayHaveRun(t *testing.T) {
	ended := make(chan struct{})
	silent := func(string) []byte { <-ended; return nil }
	h := newDeployment(t, newEndpoint(t, "i-1", silent))
	got := h.send(t, "/once/a", "key-1", "")
	close(ended)
	got.check(t, 504, "", true)
}

// An answer that proves that the request did not run counts even if the deadline passes right
// afterwards.
func TestNotRunRefusalCountsAfterDeadline(t *testing.T) {
	one := newEndpoint(t, "i-1", notRun)
	h := newDeployment(t, one)
	h.send(t, "/two/a", "key-1", "").check(t, 503, "", true)
	if got, want := requestCount(one), 1; got != want {
		t.Errorf("got %d sends, want %d", got, want)
	}
}

// Guards against a request that gets neither an answer nor a refusal while an entry stops (rule
// LOST of the platform): a stream begins, the entry is asked to stop, the stream ends, and the
// caller sends the next request on the same connection. The server closed that connection after
// the stream though the stream's header had not announced it.
func TestStoppingEntryKeepsConnectionsWithoutCloseHeader(t *testing.T) {
	left := make(chan struct{})
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	go func() {
		conn, err := lis.Accept()
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		text := string(events(1, 2, false)("id-1"))
		half := strings.Index(text, "id: 2") - len("16\r\n")
		fmt.Fprint(conn, text[:half])
		<-left
		fmt.Fprint(conn, text[half:])
		if _, err := http.ReadRequest(reader); err == nil {
			_, _ = conn.Write(complete("ok")("id-2"))
		}
	}()
	h := newDeployment(t, &endpoint{id: "i-1", address: lis.Addr().String()})
	conn, err := net.Dial("tcp", h.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	ask := func(path, id string) {
		fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\nAuthorization: Bearer key-1\r\n\r\n", path, id)
	}
	ask("/stream/a", "id-1")
	stream, err := http.ReadResponse(reader, nil)
	if err != nil || stream.Close {
		t.Fatalf("got %v, want a stream without Connection: close", err)
	}
	h.gateway.DisableKeepAlives()
	close(left)
	if text, err := io.ReadAll(stream.Body); err != nil || !strings.Contains(string(text), "token-2") {
		t.Fatalf("got %q, %v, want the complete stream", text, err)
	}
	ask("/safe/a", "id-2")
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("got %v, want an answer on the connection that was not announced to close", err)
	}
	if resp.StatusCode != 200 || !resp.Close {
		t.Errorf("got %d, close %v, want 200 with Connection: close", resp.StatusCode, resp.Close)
	}
}

// Guards against a panic of a process that starts several gateways at the same moment: each found the
// name of the metrics free and published it.
func TestMetricsArePublishedOnce(t *testing.T) {
	const gateways = 64
	begin := make(chan struct{})
	var publishers sync.WaitGroup
	for range gateways {
		h := newDeployment(t)
		publishers.Go(func() {
			<-begin
			h.gateway.PublishMetrics()
		})
	}
	close(begin)
	publishers.Wait()
	if expvar.Get("gateway") == nil {
		t.Errorf("got no metrics of the gateways")
	}
}
