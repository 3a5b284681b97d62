package gateway_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"comfreyrelay.example/relay/fleet"
	"comfreyrelay.example/relay/site"
)

// drawnAnswer is what a faulty endpoint does with one request. It may do anything but claim that a
// request did not run in a way that proves it although the request ran.
type drawnAnswer struct {
	Runs      bool
	Early     bool          // it answers before it has read the body
	Status    int           // of the answer
	Statement bool          // it states that nothing ran
	Signed    bool          // it has the signature of a run
	ID        string        // which request it names: own, earlier, none or twice (an earlier one as well)
	From      string        // which endpoint it names: own, other or none
	Framing   string        // length, chunked, unframed, short (less than announced) or none (no answer at all)
	Interim   int           // status of an interim response before it, 0 for none
	Split     int           // bytes sent before a pause, 0 for no pause
	Extra     string        // an additional answer: none, copy, unnamed or rejection (neither names a request), garbage
	ExtraLate bool          // it is sent when the next request has arrived, else at once
	Then      string        // keep, header (closes and says so), close or reset
	Delay     time.Duration // before the answer
	Events    int           // of a stream that it sends before it ends; streamEvents or more: all
}

var drawAnswer = rapid.Custom(func(t *rapid.T) drawnAnswer {
	answer := drawnAnswer{
		Runs: rapid.Bool().Draw(t, "runs"), Early: rapid.IntRange(0, 3).Draw(t, "early") == 0,
		Status:    rapid.SampledFrom([]int{200, 200, 200, 503, 503, 503, 429, 421, 408, 400, 500, 504, 404, 302, 204}).Draw(t, "status"),
		Statement: rapid.Bool().Draw(t, "statement"), Signed: rapid.Bool().Draw(t, "signed"),
		ID:        rapid.SampledFrom([]string{"own", "own", "own", "none", "earlier", "twice"}).Draw(t, "id"),
		From:      rapid.SampledFrom([]string{"own", "none", "other"}).Draw(t, "from"),
		Framing:   rapid.SampledFrom([]string{"length", "length", "chunked", "unframed", "short", "none"}).Draw(t, "framing"),
		Interim:   rapid.SampledFrom([]int{0, 0, 0, 100, 103}).Draw(t, "interim"),
		Split:     rapid.SampledFrom([]int{0, 0, 5, 40, 90}).Draw(t, "split"),
		Extra:     rapid.SampledFrom([]string{"none", "none", "none", "copy", "unnamed", "rejection", "garbage"}).Draw(t, "extra"),
		ExtraLate: rapid.Bool().Draw(t, "extraLate"),
		Then:      rapid.SampledFrom([]string{"keep", "keep", "keep", "header", "close", "reset"}).Draw(t, "then"),
		Delay:     time.Duration(rapid.SampledFrom([]int{0, 0, 0, 2, 20, 150}).Draw(t, "delay")) * time.Millisecond,
		Events:    rapid.IntRange(0, 2*streamEvents).Draw(t, "events"),
	}
	if answer.Status == http.StatusOK && answer.Runs {
		answer.Signed = true
	}
	if !answer.Runs && answer.Status == http.StatusOK {
		answer.Status = http.StatusServiceUnavailable
	}
	if answer.Runs && answer.claimsNotRun() {
		answer.Signed = true
	}
	if !answer.Runs {
		answer.Signed = false
	}
	return answer
})

// streamEvents is the number of events of a complete stream.
const streamEvents = 3

// streamBody returns the events of a request's stream after the given one, up to another.
func streamBody(id string, after, last int) string {
	var out strings.Builder
	for i := after + 1; i <= min(last, streamEvents); i++ {
		fmt.Fprintf(&out, "id: %d\ndata: event %d of %s\n\n", i, i, id)
	}
	return out.String()
}

// claimsNotRun reports whether the platform allows to take the answer for proof that the request did
// not run.
func (a drawnAnswer) claimsNotRun() bool {
	rejection := promisesNotRun(a.Status) || a.Status == http.StatusBadRequest
	return rejection && !a.Signed && (a.Statement || a.Status == http.StatusMisdirectedRequest && a.From == "other")
}

// misdirected returns the answer to a request that was sent for another endpoint: one that did not run it
// and says so.
func (a drawnAnswer) misdirected() drawnAnswer {
	a.Runs, a.Signed, a.Status, a.From = false, false, http.StatusMisdirectedRequest, "own"
	return a
}

// text returns the answer to a request.
func (a drawnAnswer) text(endpoint, id, earlier, body string) string {
	var out strings.Builder
	if a.Interim != 0 {
		fmt.Fprintf(&out, "HTTP/1.1 %d I\r\nX-Not-Executed: 1\r\n\r\n", a.Interim)
	}
	fmt.Fprintf(&out, "HTTP/1.1 %d X\r\n", a.Status)
	names := map[string][]string{"own": {id}, "earlier": {earlier}, "twice": {earlier, id}}[a.ID]
	for _, name := range names {
		fmt.Fprintf(&out, "X-Attempt-Id: %s\r\n", name)
	}
	if from := map[string]string{"own": endpoint, "other": "i-other"}[a.From]; from != "" {
		fmt.Fprintf(&out, "X-Instance-Id: %s\r\n", from)
	}
	if a.Statement {
		out.WriteString("X-Not-Executed: 1\r\n")
	}
	if a.Signed {
		out.WriteString("X-Server-Stamp: s\r\n")
	}
	if a.Then == "header" {
		out.WriteString("Connection: close\r\n")
	}
	switch {
	case a.Status == http.StatusNoContent:
		out.WriteString("\r\n")
	case a.Framing == "chunked":
		fmt.Fprintf(&out, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	case a.Framing == "unframed":
		fmt.Fprintf(&out, "\r\n%s", body)
	case a.Framing == "short":
		fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n%s", len(body)+7, body)
	default:
		fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	return out.String()
}

// extra returns the additional answer that follows one.
func (a drawnAnswer) extra(text string) string {
	switch a.Extra {
	case "copy":
		return text
	case "unnamed":
		return string(withoutLines(text, "X-Attempt-Id:"))
	case "rejection":
		return "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	case "garbage":
		return "\x00\x01 this is no answer\r\n\r\n"
	}
	return ""
}

// withoutLines removes the lines with a prefix.
func withoutLines(text, prefix string) []byte {
	var kept []byte
	for line := range strings.Lines(text) {
		if !strings.HasPrefix(line, prefix) {
			kept = append(kept, line...)
		}
	}
	return kept
}

// ends reports whether the connection ends with the answer.
func (a drawnAnswer) ends() bool {
	return a.Then != "keep" || a.Framing == "unframed" && a.Status != http.StatusNoContent || a.Framing == "short" || a.Framing == "none"
}

// faultyEndpoint plays drawn answers, one after the other over all its connections, and records which
// requests it ran.
type faultyEndpoint struct {
	id, address string
	judge       *runJudge
	checksID    bool // it rejects requests that were sent for another endpoint
	// onRequest, if not nil, is called for each request with the ID of the endpoint that it was sent for.
	onRequest func(expected string)

	mu      sync.Mutex
	answers []drawnAnswer
	played  int
}

func newFaultyEndpoint(t *testing.T, id string, answers []drawnAnswer, judge *runJudge) *faultyEndpoint {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ep := &faultyEndpoint{id: id, address: lis.Addr().String(), answers: answers, judge: judge}
	judge.stop = append(judge.stop, func() { _ = lis.Close() })
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go ep.serve(conn)
		}
	}()
	return ep
}

// registration registers the endpoint under an ID.
func (e *faultyEndpoint) registration(id string) site.Record {
	return site.Record{Kind: site.EndpointRecord, ID: id, Endpoint: fleet.Registration{ID: id, Service: "app", Address: e.address, Slots: 4}}
}

func (e *faultyEndpoint) next() drawnAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	answer := e.answers[e.played%len(e.answers)]
	e.played++
	return answer
}

func (e *faultyEndpoint) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	earlier, pending := "", ""
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		answer := e.next()
		id, expected := req.Header.Get("X-Attempt-Id"), req.Header.Get("X-Expect-Instance")
		e.judge.arrived(id, conn)
		if e.onRequest != nil {
			e.onRequest(expected)
		}
		if e.checksID && expected != e.id {
			answer = answer.misdirected()
		}
		if answer.ID != "own" && answer.ID != "none" && earlier == "" {
			answer.ID = "own" // there is no earlier request that it could name
		}
		body := "answer to " + id
		if answer.Status == http.StatusOK && isStream(req.URL.Path) {
			after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
			body = streamBody(id, after, after+answer.Events)
			if answer.Events < streamEvents-after {
				answer.Framing = "short"
			}
		}
		if answer.Runs {
			e.judge.ran(id)
		}
		if !answer.Early {
			received, err := io.ReadAll(req.Body)
			if err != nil {
				return
			}
			e.judge.received(id, string(received))
		}
		time.Sleep(answer.Delay)
		text := answer.text(e.id, id, earlier, body)
		if answer.Framing == "none" {
			text = ""
		}
		if !e.write(conn, pending+text, answer.Split) {
			return
		}
		pending = ""
		if answer.Early {
			received, err := io.ReadAll(req.Body)
			if err != nil {
				return
			}
			e.judge.received(id, string(received))
		}
		if answer.Then == "reset" {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		if answer.ends() {
			return
		}
		if extra := answer.extra(text); answer.ExtraLate {
			pending = extra
		} else if _, err := io.WriteString(conn, extra); err != nil {
			return
		}
		earlier = id
	}
}

// write writes an answer, with a pause after the first split bytes if split is not 0.
func (e *faultyEndpoint) write(conn net.Conn, text string, split int) bool {
	if split > 0 && split < len(text) {
		if _, err := io.WriteString(conn, text[:split]); err != nil {
			return false
		}
		time.Sleep(2 * time.Millisecond)
		text = text[split:]
	}
	_, err := io.WriteString(conn, text)
	return err == nil
}

// runJudge compares what endpoints ran with what callers were told.
type runJudge struct {
	stop []func()

	mu     sync.Mutex
	runs   map[string]int
	conns  map[string][]net.Conn // that requests were sent on
	bodies map[string][]string   // received by endpoints
	wrong  []string
}

func newRunJudge() *runJudge {
	return &runJudge{runs: map[string]int{}, conns: map[string][]net.Conn{}, bodies: map[string][]string{}}
}

// arrived records on which connection a request was sent. An answer to the first send could be taken for
// that to a second one on the same connection, since both name the request.
func (j *runJudge) arrived(id string, conn net.Conn) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if slices.Contains(j.conns[id], conn) {
		j.wrong = append(j.wrong, fmt.Sprintf("%s: sent twice on one connection", id))
	}
	j.conns[id] = append(j.conns[id], conn)
}

// finish stops the endpoints.
func (j *runJudge) finish() {
	for _, stop := range j.stop {
		stop()
	}
}

func (j *runJudge) ran(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[id]++
}

func (j *runJudge) received(id, body string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.bodies[id] = append(j.bodies[id], body)
}

func (j *runJudge) report(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.wrong = append(j.wrong, fmt.Sprintf(format, args...))
}

// check judges one finished request.
func (j *runJudge) check(sent drawnRequest, got answer) {
	j.mu.Lock()
	runs, bodies := j.runs[sent.id], slices.Clone(j.bodies[sent.id])
	j.mu.Unlock()
	if sent.once() && runs > 1 {
		j.report("%s %s: ran %d times, must run once", sent.id, sent.Path, runs)
	}
	if runs > 2 {
		j.report("%s %s: ran %d times, its route allows 2 attempts", sent.id, sent.Path, runs)
	}
	if sent.once() && promisesNotRun(got.status) && runs > 0 {
		j.report("%s %s: ran, and the caller was told %d", sent.id, sent.Path, got.status)
	}
	want := "answer to " + sent.id
	if isStream(sent.Path) {
		want = streamBody(sent.id, 0, streamEvents)
	}
	if got.status == http.StatusOK && (got.complete && got.body != want || !strings.HasPrefix(want, got.body)) {
		j.report("%s %s: got the answer %q, complete: %v, want %q", sent.id, sent.Path, got.body, got.complete, want)
	}
	for _, body := range bodies {
		if body != sent.Body {
			j.report("%s: an endpoint got the body %q, want %q", sent.id, body, sent.Body)
		}
	}
}

// drawnRequest is one request of a caller.
type drawnRequest struct {
	Path    string
	Body    string
	Chunked bool // the body is sent in chunks, with pauses
	// Deadline is stated in the request. Leaves is when its caller closes the connection, 0 for never.
	Deadline, Leaves time.Duration

	id string
}

func isStream(path string) bool {
	return strings.HasPrefix(path, "/single/") || strings.HasPrefix(path, "/stream/")
}

func (r drawnRequest) once() bool {
	return !strings.HasPrefix(r.Path, "/safe/") && !strings.HasPrefix(r.Path, "/stream/")
}

var drawRequest = rapid.Custom(func(t *rapid.T) drawnRequest {
	return drawnRequest{
		Path:     rapid.SampledFrom([]string{"/two/a", "/two/b", "/once/a", "/safe/a", "/single/a", "/stream/a"}).Draw(t, "path"),
		Body:     strings.Repeat("b", rapid.IntRange(0, 90).Draw(t, "body")),
		Chunked:  rapid.Bool().Draw(t, "chunked"),
		Deadline: rapid.SampledFrom([]time.Duration{5 * time.Second, 5 * time.Second, 300 * time.Millisecond}).Draw(t, "deadline"),
		Leaves:   rapid.SampledFrom([]time.Duration{0, 0, 0, 0, time.Millisecond, 30 * time.Millisecond}).Draw(t, "leaves"),
	}
})

// text returns the request as sent.
func (r drawnRequest) text() []string {
	var head bytes.Buffer
	fmt.Fprintf(&head, "POST %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer key-1\r\n", r.Path, r.id, r.Deadline.Milliseconds())
	if !r.Chunked {
		return []string{head.String() + "Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n\r\n" + r.Body}
	}
	parts := []string{head.String() + "Transfer-Encoding: chunked\r\n\r\n"}
	for _, half := range []string{r.Body[:len(r.Body)/2], r.Body[len(r.Body)/2:]} {
		if half != "" {
			parts = append(parts, fmt.Sprintf("%x\r\n%s\r\n", len(half), half))
		}
	}
	return append(parts, "0\r\n\r\n")
}

// caller sends requests one after the other, on one connection while the entry keeps it open.
type caller struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

func (c *caller) send(req drawnRequest) answer {
	if c.conn == nil {
		conn, err := net.Dial("tcp", c.address)
		if err != nil {
			return answer{}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	for i, part := range req.text() {
		if i > 0 {
			time.Sleep(time.Millisecond)
		}
		if _, err := io.WriteString(c.conn, part); err != nil {
			c.drop()
			return answer{}
		}
	}
	if req.Leaves > 0 {
		_ = c.conn.SetReadDeadline(time.Now().Add(req.Leaves))
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.drop()
		return answer{}
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.Close {
		c.drop()
	} else {
		_ = c.conn.SetReadDeadline(time.Time{})
	}
	return answer{status: resp.StatusCode, body: string(body), header: resp.Header, complete: err == nil, close: resp.Close}
}

func (c *caller) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Guards against any exchange with faulty endpoints after which a request that must run once has run
// twice, has run though its caller was told that it did not, or got another request's answer or body.
func TestDrawnExchangesRunOnceAndAreNotDenied(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		judge := newRunJudge()
		defer judge.finish()
		h := newDeployment(t)
		defer h.server.Close()
		var records []site.Record
		for i := range 3 {
			answers := rapid.SliceOfN(drawAnswer, 1, 6).Draw(draw, fmt.Sprintf("endpoint %d", i+1))
			ep := newFaultyEndpoint(t, fmt.Sprintf("i-%d", i+1), answers, judge)
			ep.checksID = true
			records = append(records, ep.registration(ep.id))
			if rapid.Bool().Draw(draw, "is registered under a former ID too") {
				records = append(records, ep.registration(ep.id+"-former"))
			}
		}
		h.state.Apply(records, 2)
		address := h.server.Listener.Addr().String()
		var wg sync.WaitGroup
		for i := range rapid.IntRange(1, 3).Draw(draw, "callers") {
			requests := rapid.SliceOfN(drawRequest, 1, 8).Draw(draw, fmt.Sprintf("requests of caller %d", i+1))
			wg.Go(func() {
				from := &caller{address: address}
				defer from.drop()
				for n, req := range requests {
					req.id = fmt.Sprintf("c%d-%d", i+1, n+1)
					judge.check(req, from.send(req))
				}
			})
		}
		wg.Wait()
		h.stopClock()
		for _, wrong := range judge.wrong {
			draw.Error(wrong)
		}
	})
}
