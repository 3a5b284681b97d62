package gateway_test

import (
	"bufio"
	"bytes"
	"context"
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

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/entry/internal/gateway"
	"comfreyrelay.example/entry/internal/upstream"
	"comfreyrelay.example/platform"
	"comfreyrelay.example/relay/catalog"
	"comfreyrelay.example/relay/fleet"
	"comfreyrelay.example/relay/freshness"
	"comfreyrelay.example/relay/quarantine"
	"comfreyrelay.example/relay/site"
)

// endpoint answers each request that it reads with the next of its answers, byte
// for byte; a nil answer closes the connection. Further requests get a whole 200.
type endpoint struct {
	id      string
	address string
	// listener is closed where the endpoint ends.
	listener net.Listener
	mu       sync.Mutex
	answers  []func(id string) []byte
	seen     []*http.Request
	// accepted is called with mu held for each connection; may be nil.
	accepted func()
}

func newEndpoint(t *testing.T, id string, answers ...func(id string) []byte) *endpoint {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	end := &endpoint{id: id, address: lis.Addr().String(), answers: answers, listener: lis}
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go end.serve(conn)
		}
	}()
	return end
}

func (e *endpoint) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	e.mu.Lock()
	if e.accepted != nil {
		e.accepted()
	}
	e.mu.Unlock()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		req.Body = io.NopCloser(bytes.NewReader(body))
		answer := e.next(req)
		if answer == nil {
			return
		}
		if _, err := conn.Write(answer); err != nil || bytes.HasSuffix(answer, []byte(cutOff)) {
			return
		}
	}
}

// cutOff ends an answer after which the connection closes.
const cutOff = "\x00"

func (e *endpoint) next(req *http.Request) []byte {
	answer := e.take(req)
	if answer == nil {
		return nil
	}
	return answer(req.Header.Get("X-Attempt-Id"))
}

func (e *endpoint) take(req *http.Request) func(id string) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen = append(e.seen, req)
	if len(e.answers) == 0 {
		return whole("ok")
	}
	answer := e.answers[0]
	e.answers = e.answers[1:]
	return answer
}

func (e *endpoint) requests() []*http.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*http.Request(nil), e.seen...)
}

func head(status int, id string, more string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Attempt-Id: %s\r\n%s", status, id, more)
}

func whole(body string) func(id string) []byte {
	return func(id string) []byte {
		return []byte(head(200, id, fmt.Sprintf("X-Server-Stamp: s-%s\r\nContent-Length: %d\r\n\r\n%s", body, len(body), body)))
	}
}

func failing(status int) func(id string) []byte {
	return func(id string) []byte {
		return []byte(head(status, id, "X-Server-Stamp: f\r\nContent-Length: 4\r\n\r\nfail"))
	}
}

func notRun(id string) []byte {
	return []byte(head(503, id, "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"))
}

// events streams events first to last; torn leaves the last one's end away and
// breaks off.
func events(first, last int, torn bool) func(id string) []byte {
	return func(id string) []byte {
		var out strings.Builder
		out.WriteString(head(200, id, "X-Server-Stamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
		for i := first; i <= last; i++ {
			event := fmt.Sprintf("id: %d\ndata: token-%d\n\n", i, i)
			if torn && i == last {
				event = event[:len(event)-4]
			}
			fmt.Fprintf(&out, "%x\r\n%s\r\n", len(event), event)
		}
		if torn {
			return []byte(out.String() + cutOff)
		}
		return []byte(out.String() + "0\r\n\r\n")
	}
}

// house is a gateway before endpoints.
type house struct {
	clock   *clockwork.FakeClock
	now     time.Duration // of the freshness clock
	state   *site.State
	gateway *gateway.Gateway
	log     *output
	server  *httptest.Server
	ids     int
	// freeze stops the clock: it moves on no more while requests wait for it.
	freeze context.CancelFunc
	told   chan quarantine.Report // what other entries are told
}

var testRoutes = []catalog.Route{
	{Name: "once", Host: "h", Prefix: "/once/", Kind: catalog.Once, MaxAttempts: 1},
	{Name: "once-two", Host: "h", Prefix: "/two/", Kind: catalog.Once, MaxAttempts: 2},
	{Name: "safe", Host: "h", Prefix: "/safe/", Kind: catalog.Idempotent, MaxAttempts: 2},
	{Name: "stream", Host: "h", Prefix: "/stream/", Kind: catalog.Stream, Resumable: true, MaxAttempts: 2},
	{Name: "open", Host: "h", Prefix: "/open/", Kind: catalog.Idempotent, MaxAttempts: 1, Public: true},
}

func newHouse(t *testing.T, endpoints ...*endpoint) *house {
	t.Helper()
	h := &house{clock: clockwork.NewFakeClock(), log: &output{}, told: make(chan quarantine.Report, 16)}
	fresh := freshness.NewTracker(func() time.Duration { return h.now })
	h.state = site.NewState(h.clock.Now, fleet.New(h.clock.Now), fresh)
	spec := catalog.Spec{Version: 1, Services: []catalog.Service{{Name: "app"}}, Limits: catalog.Limits{BodyBytes: 100},
		Customers: []catalog.Customer{{Name: "mine", Keys: []string{"key-1"}}}}
	for _, route := range testRoutes {
		route.Timeout, route.Target, route.Gap = 5*time.Second, 500*time.Millisecond, 500*time.Millisecond
		route.Shares = []catalog.Share{{Service: "app", Weight: 1}}
		spec.Routes = append(spec.Routes, route)
	}
	records := []site.Record{{Kind: site.CatalogRecord, Catalog: catalog.New(spec)}}
	for _, end := range endpoints {
		records = append(records, site.Record{Kind: site.EndpointRecord, ID: end.id, Endpoint: fleet.Registration{
			ID: end.id, Service: "app", Address: end.address, Slots: 4,
		}})
	}
	h.state.Apply(records, 1)
	fresh.Prove(0)
	h.gateway = gateway.New(gateway.Config{
		State: h.state, Pool: upstream.NewPool(time.Now), Wire: platform.Wire(), Clock: h.clock,
		Log: slog.New(slog.NewTextHandler(h.log, nil)),
		Bounds: func() gateway.Bounds {
			return gateway.Bounds{Revoke: 4 * time.Second, Apply: 2 * time.Second, Version: 8 * time.Second, Ratio: 0.2, Slack: 100, Window: 10 * time.Second}
		},
		Entries: func() int { return 1 },
		Tell:    func(report quarantine.Report) { h.told <- report },
	})
	h.server = httptest.NewServer(h.gateway)
	t.Cleanup(h.server.Close)
	ctx, freeze := context.WithCancel(t.Context())
	h.freeze = freeze
	go h.tick(ctx)
	return h
}

// tick moves the clock on while a request waits for it, five times as fast as the
// clock on the wall: nothing is decided by how long the network takes.
func (h *house) tick(ctx context.Context) {
	for h.clock.BlockUntilContext(ctx, 1) == nil {
		h.clock.Advance(5 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
}

// answer is what a caller got.
type answer struct {
	status int
	body   string
	header http.Header
	whole  bool // the answer came to its end
	close  bool // the connection is not to be used again
}

func (h *house) send(t *testing.T, path, key, body string) answer {
	t.Helper()
	h.ids++
	req, err := http.NewRequest(http.MethodPost, h.server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("X-Attempt-Id", fmt.Sprint("id-", h.ids))
	req.Header.Set("X-Deadline-Ms", "5000")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return answer{}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: string(text), header: resp.Header, whole: err == nil, close: resp.Close}
}

func (a answer) check(t *testing.T, status int, body string, isWhole bool) {
	t.Helper()
	if a.status != status || !strings.HasPrefix(a.body, body) || a.whole != isWhole {
		t.Errorf("got %d %q whole %v, want %d %q whole %v", a.status, a.body, a.whole, status, body, isWhole)
	}
}

func sum(endpoints ...*endpoint) int {
	total := 0
	for _, end := range endpoints {
		total += len(end.requests())
	}
	return total
}

func TestAnswerOfAnEndpointIsRelayed(t *testing.T) {
	end := newEndpoint(t, "i-1", whole("hello"))
	h := newHouse(t, end)
	got := h.send(t, "/once/a?b=c", "key-1", "body")
	got.check(t, 200, "hello", true)
	if got, want := got.header.Get("X-Server-Stamp"), "s-hello"; got != want {
		t.Errorf("got signature %q, want %q", got, want)
	}
	req := end.requests()[0]
	if req.RequestURI != "/once/a?b=c" || req.Header.Get("X-Tenant") != "mine" || req.Header.Get("X-Expect-Instance") != "i-1" {
		t.Errorf("got %s with %v, want it as sent with customer and endpoint", req.RequestURI, req.Header)
	}
}

// Symptom: two notices go out. Sequence: an endpoint runs a request that may run
// once and its connection breaks. Cause: the request is sent again, by this
// program or by the library under it.
func TestWhatRunsOnceIsSentOnce(t *testing.T) {
	one, two := newEndpoint(t, "i-1", nil, nil), newEndpoint(t, "i-2", nil, nil)
	h := newHouse(t, one, two)
	for _, path := range []string{"/once/a", "/two/a"} {
		h.send(t, path, "key-1", "").check(t, 502, "", true)
	}
	if got, want := sum(one, two), 2; got != want {
		t.Errorf("got %d sendings of two requests, want %d", got, want)
	}
}

// Symptom: as above, on a kept connection. Sequence: an endpoint closes a kept
// connection just as the next request goes out. Cause: libraries send again on a
// connection that turns out to be closed.
func TestKeptConnectionThatBreaksIsNoReasonToSendAgain(t *testing.T) {
	end := newEndpoint(t, "i-1", whole("first"), nil, whole("never"))
	h := newHouse(t, end)
	h.send(t, "/once/a", "key-1", "").check(t, 200, "first", true)
	h.send(t, "/once/a", "key-1", "").check(t, 502, "", true)
	if got, want := sum(end), 2; got != want {
		t.Errorf("got %d sendings, want %d", got, want)
	}
}

func TestRefusalThatProvesNotRunGoesElsewhere(t *testing.T) {
	one, two := newEndpoint(t, "i-1", notRun), newEndpoint(t, "i-2", notRun)
	h := newHouse(t, one, two)
	h.send(t, "/two/a", "key-1", "").check(t, 503, "", true)
	if got, want := sum(one, two), 2; got != want {
		t.Errorf("got %d sendings, want %d", got, want)
	}
	h.clock.Advance(time.Second)
	if got := h.send(t, "/two/a", "key-1", ""); got.status != 200 {
		t.Errorf("got %d once endpoints take requests, want 200", got.status)
	}
}

func TestRefusedCallerHearsWhenToComeBack(t *testing.T) {
	one, two, three := newEndpoint(t, "i-1", notRun), newEndpoint(t, "i-2", notRun), newEndpoint(t, "i-3", notRun)
	h := newHouse(t, one, two, three)
	got := h.send(t, "/once/a", "key-1", "")
	got.check(t, 503, "", true)
	if got.header.Get("Retry-After") == "" {
		t.Errorf("got no time to come back, want one")
	}
}

// Symptom: connections of callers close without an answer though endpoints are
// sound (LOST of the platform's rules). Sequence: a request that may be repeated
// fails at two endpoints, each with a whole answer. Cause: the second failure was
// written to the caller and then taken for an answer that broke off.
func TestSecondFailureIsAnswered(t *testing.T) {
	one, two := newEndpoint(t, "i-1", failing(500)), newEndpoint(t, "i-2", failing(500))
	h := newHouse(t, one, two)
	got := h.send(t, "/safe/a", "key-1", "")
	got.check(t, 500, "fail", true)
	if got, want := got.header.Get("X-Server-Stamp"), "f"; got != want {
		t.Errorf("got signature %q, want the endpoint's %q", got, want)
	}
}

func TestWhatMayBeRepeatedIsAskedElsewhere(t *testing.T) {
	for name, first := range map[string]func(id string) []byte{
		"broken":    nil,
		"failing":   failing(500),
		"truncated": func(id string) []byte { return append(whole("hello")(id)[:60], cutOff...) },
		"unsigned":  func(id string) []byte { return []byte(head(200, id, "Content-Length: 2\r\n\r\nhi")) },
		"noise":     func(string) []byte { return []byte("\x01\x02\x03 noise\r\n\r\n" + cutOff) },
	} {
		t.Run(name, func(t *testing.T) {
			one, two := newEndpoint(t, "i-1", first), newEndpoint(t, "i-2", first)
			h := newHouse(t, one, two)
			// One of the two is asked first and spoils its answer; the other's
			// first is spoilt too, so both are made sound for the second send.
			one.mu.Lock()
			two.mu.Lock()
			two.answers = nil
			one.mu.Unlock()
			two.mu.Unlock()
			h.send(t, "/safe/a", "key-1", "").check(t, 200, "ok", true)
		})
	}
}

// Symptom: a caller gets another caller's answer. Sequence: an endpoint sends an
// answer twice; the second lies in the connection when the next request goes out.
// Cause: what is read next is taken for the answer to what was sent last.
func TestAnswerToAnotherRequestReachesNobody(t *testing.T) {
	extra := func(id string) []byte { return append(whole("first")(id), whole("extra")(id)...) }
	h := newHouse(t, newEndpoint(t, "i-1", extra))
	h.send(t, "/once/a", "key-1", "").check(t, 200, "first", true)
	h.send(t, "/once/a", "key-1", "").check(t, 200, "ok", true)
	late := func(id string) []byte { return append(whole("late")("id-0"), whole("mine")(id)...) }
	h = newHouse(t, newEndpoint(t, "i-1", late))
	h.send(t, "/once/a", "key-1", "").check(t, 200, "mine", true)
}

// Symptom: a stream lacks a piece, has one twice or ends early and looks whole.
// Sequence: an endpoint breaks off in the middle of an event. Cause: bytes are
// passed on as they come, or the stream begins anew.
func TestStreamGoesOnElsewhereAfterTheLastWholeEvent(t *testing.T) {
	one, two := newEndpoint(t, "i-1", events(1, 3, true)), newEndpoint(t, "i-2", events(1, 3, true))
	h := newHouse(t, one, two)
	resumed := events(3, 5, false)
	for _, end := range []*endpoint{one, two} {
		end.mu.Lock()
		end.answers = []func(string) []byte{func(id string) []byte {
			if sum(one, two) == 1 {
				return events(1, 3, true)(id)
			}
			return resumed(id)
		}}
		end.mu.Unlock()
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

func TestStreamThatNobodyTakesOverDoesNotLookWhole(t *testing.T) {
	h := newHouse(t, newEndpoint(t, "i-1", events(1, 3, true)))
	got := h.send(t, "/stream/a", "key-1", "")
	if got.whole {
		t.Errorf("got a whole answer %q, want one that broke off", got.body)
	}
	if strings.Contains(got.body, "id: 3") {
		t.Errorf("got %q, want no part of the torn event", got.body)
	}
}

func TestUnknownKeysAndRoutes(t *testing.T) {
	h := newHouse(t, newEndpoint(t, "i-1"))
	h.send(t, "/once/a", "other", "").check(t, 401, "", true)
	h.send(t, "/once/a", "", "").check(t, 401, "", true)
	h.send(t, "/none/a", "key-1", "").check(t, 404, "", true)
	h.send(t, "/open/a", "", "").check(t, 200, "ok", true)
}

// Symptom: a key that was taken away opens a route (CONFIG of the platform's
// rules), or a good one is refused for good. Sequence: an entry is cut off from
// the store for seconds. Cause: what it knew last was taken for what is in force.
func TestOldKnowledgeOpensAndRefusesNothingForGood(t *testing.T) {
	end := newEndpoint(t, "i-1")
	h := newHouse(t, end)
	h.now = 3500 * time.Millisecond
	h.send(t, "/once/a", "key-1", "").check(t, 200, "ok", true)
	h.send(t, "/once/a", "other", "").check(t, 503, "", true)
	h.send(t, "/none/a", "key-1", "").check(t, 503, "", true)
	h.now = 4100 * time.Millisecond
	h.send(t, "/once/a", "key-1", "").check(t, 503, "", true)
	h.send(t, "/open/a", "", "").check(t, 200, "ok", true)
}

func TestBadInputReachesNoEndpoint(t *testing.T) {
	end := newEndpoint(t, "i-1")
	h := newHouse(t, end)
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
		t.Errorf("got %d without an id, want %d", got, want)
	}
	if got := sum(end); got != 0 {
		t.Errorf("got %d requests at the endpoint, want none", got)
	}
}

func TestDrainingEntryProvesThatNothingRan(t *testing.T) {
	end := newEndpoint(t, "i-1")
	h := newHouse(t, end)
	h.gateway.Drain()
	got := h.send(t, "/once/a", "key-1", "")
	got.check(t, 503, "", true)
	if !got.close {
		t.Errorf("got a connection that stays open, want it closed")
	}
	if got := sum(end); got != 0 {
		t.Errorf("got %d requests at the endpoint, want none", got)
	}
}

func TestEntryWithoutAConfigurationSaysSo(t *testing.T) {
	h := newHouse(t)
	empty := site.NewState(h.clock.Now, fleet.New(h.clock.Now), freshness.NewTracker(func() time.Duration { return 0 }))
	server := httptest.NewServer(gateway.New(gateway.Config{
		State: empty, Pool: upstream.NewPool(time.Now), Wire: platform.Wire(), Clock: h.clock, Log: slog.New(slog.DiscardHandler),
		Bounds: func() gateway.Bounds { return gateway.Bounds{} }, Entries: func() int { return 1 },
	}))
	defer server.Close()
	h.server = server
	h.send(t, "/once/a", "key-1", "").check(t, 503, "no configuration", true)
}

// Symptom: an endpoint goes on working for a caller who left. Sequence: a caller
// closes its connection while its request runs. Cause: nobody tells the endpoint.
func TestCallerWhoLeavesEndsTheWork(t *testing.T) {
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
		_, _ = reader.ReadByte() // ends when the entry closes
		close(ended)
	}()
	h := newHouse(t, &endpoint{id: "i-1", address: lis.Addr().String()})
	conn, err := net.Dial("tcp", h.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(conn, "GET /once/a HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\nAuthorization: Bearer key-1\r\n\r\n")
	<-got
	_ = conn.Close()
	<-ended
}

// Symptom: a caller is told that its request did not run though it did (REFUSED of
// the platform's rules), and sends it again: two notices go out. Sequence: an
// endpoint takes a request and never answers; the caller's time is over. Cause:
// that the request may have run was noted only once an attempt had come to an
// end of its own.
func TestRequestWithoutAnAnswerMayHaveRun(t *testing.T) {
	ended := make(chan struct{})
	silent := func(string) []byte { <-ended; return nil }
	h := newHouse(t, newEndpoint(t, "i-1", silent))
	got := h.send(t, "/once/a", "key-1", "")
	close(ended)
	got.check(t, 504, "", true)
}

// A refusal that proves not run is believed also where the caller's time is over
// right after it.
func TestRefusalIsStillProofWhenTheTimeIsOver(t *testing.T) {
	one := newEndpoint(t, "i-1", notRun)
	h := newHouse(t, one)
	h.send(t, "/two/a", "key-1", "").check(t, 503, "", true)
	if got, want := sum(one), 1; got != want {
		t.Errorf("got %d sendings, want %d", got, want)
	}
}

// Symptom: a whole request gets neither an answer nor a refusal while an entry
// stops (LOST of the platform's rules). Sequence: a stream begins, the entry is
// told to stop, the stream ends, its caller sends the next request on the same
// connection. Cause: the server closed that connection after the stream though
// nothing in the stream's head had said so.
func TestStoppingEntryKeepsConnectionsThatItDidNotGiveNotice(t *testing.T) {
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
			_, _ = conn.Write(whole("ok")("id-2"))
		}
	}()
	h := newHouse(t, &endpoint{id: "i-1", address: lis.Addr().String()})
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
		t.Fatalf("got %v, want a stream without notice", err)
	}
	h.gateway.Leave()
	close(left)
	if text, err := io.ReadAll(stream.Body); err != nil || !strings.Contains(string(text), "token-2") {
		t.Fatalf("got %q, %v, want the whole stream", text, err)
	}
	ask("/safe/a", "id-2")
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("got %v, want an answer on the connection that was not given notice", err)
	}
	if resp.StatusCode != 200 || !resp.Close {
		t.Errorf("got %d, notice %v, want 200 with notice", resp.StatusCode, resp.Close)
	}
}
