package sitesoak

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"comfreyrelay.example/platform/platformtest"
)

// Try is one attempt of a caller to send a request, as the caller observed it.
type Try struct {
	ID     string `json:"id"`
	Route  string `json:"route"`
	Entry  string `json:"entry"` // address
	Key    string `json:"key"`
	Kept   bool   `json:"kept"` // sent over a reused connection
	After  int    `json:"after,omitempty"`
	Status int    `json:"status"` // 0 if no answer began
	Whole  bool   `json:"whole"`  // the answer was complete
	Left   bool   `json:"left"`   // the caller closed the connection first
	Events int    `json:"events,omitempty"`
	// Sent, SentWhole and Ended are in Unix nanoseconds. SentWhole is when the last byte of the request was
	// sent, 0 if it was not. Deadline is the time the caller allowed.
	Sent      int64         `json:"sent"`
	SentWhole int64         `json:"sentWhole"`
	Ended     int64         `json:"ended"`
	Deadline  time.Duration `json:"deadline"`
	// Wrong describes a difference from the endpoint's answer, if any.
	Wrong string `json:"wrong,omitempty"`
	// Broken is the error that broke the connection, if any.
	Broken string `json:"broken,omitempty"`

	retryAfter time.Duration
	request    *request
}

// request is a request to send, with the behavior of its caller.
type request struct {
	route            *route
	work             platformtest.Work
	key              string
	tokens           int
	domain           string
	leavesEarly      bool          // its caller closes the connection early
	reusesConnection bool          // its caller prefers an open connection to any entry
	chunked          bool          // its body, if it has one, is sent in chunks
	bodyTime         time.Duration // how long it takes to send a body in chunks; at least minBodyTime
}

// callers sends the requests of one failure domain and records every try.
type callers struct {
	directories []string // addresses of the entries' directories, nearest first
	domain      string

	mu             sync.Mutex
	rng            *rand.Rand
	entryAddresses []string // entries to use
	entriesExpiry  time.Time
	idle           map[string][]*connection
	tries          []*Try
	lastID         int
}

// connection is a connection to an entry.
type connection struct {
	raw       net.Conn
	address   string
	reader    *bufio.Reader
	idleSince time.Time // when it became idle
	reused    bool
}

const (
	connectTimeout = time.Second
	resolveTimeout = time.Second
	// idleFraction is the fraction of the declared idle time for which callers keep an idle
	// connection.
	idleFraction = 0.8
	// maxRetries is how often a caller sends a request again.
	maxRetries = 1
)

func newCallers(domain string, directories []string, seed uint64) *callers {
	return &callers{domain: domain, directories: directories, rng: rand.New(rand.NewPCG(seed, 11)), idle: map[string][]*connection{}}
}

// serve sends a request until it is served or the caller gives up.
func (c *callers) serve(ctx context.Context, outgoing *request) {
	end := time.Now().Add(outgoing.route.deadline)
	after := 0
	for try := 0; try <= maxRetries; try++ {
		left := time.Until(end)
		if left <= 0 || ctx.Err() != nil {
			return
		}
		done := c.send(ctx, outgoing, left, after)
		if done == nil || done.Whole && done.Status < http.StatusBadRequest || !mayRetry(done) {
			return
		}
		after = max(after, done.After+done.Events)
		select {
		case <-ctx.Done():
		case <-time.After(min(done.retryAfter, time.Until(end)/3)):
		}
	}
}

// mayRetry reports whether a caller sends its request again after the try.
func mayRetry(done *Try) bool {
	switch done.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestEntityTooLarge:
		return false
	}
	return done.request.route.repeatable() && !done.Left
}

// send sends a request once. It returns nil if no connection could be made.
func (c *callers) send(ctx context.Context, outgoing *request, left time.Duration, after int) *Try {
	conn, err := c.connect(ctx, outgoing.reusesConnection)
	if err != nil {
		return nil
	}
	try := c.recordTry(outgoing, conn, left, after)
	end := time.Now().Add(left)
	if outgoing.leavesEarly {
		end = time.Now().Add(outgoing.route.target / 2)
	}
	_ = conn.raw.SetDeadline(end)
	if err := outgoing.write(conn.raw, try, left, after); err != nil {
		c.recordBreak(try, conn, err)
		return try
	}
	try.SentWhole = time.Now().UnixNano()
	resp, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		c.recordBreak(try, conn, err)
		return try
	}
	try.Status = resp.StatusCode
	if err := try.read(resp, conn, end); err != nil {
		c.recordBreak(try, conn, err)
		return try
	}
	try.Whole, try.Ended = true, time.Now().UnixNano()
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		try.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	if resp.Close {
		_ = conn.raw.Close()
	} else {
		c.putIdle(conn)
	}
	return try
}

// recordTry adds a new try to the record.
func (c *callers) recordTry(outgoing *request, conn *connection, left time.Duration, after int) *Try {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	try := &Try{
		ID: fmt.Sprintf("%s-%d", c.domain, c.lastID), Route: outgoing.route.name, Entry: conn.address, Key: outgoing.key, Kept: conn.reused,
		After: after, Sent: time.Now().UnixNano(), Deadline: left, request: outgoing,
	}
	c.tries = append(c.tries, try)
	return try
}

// recordBreak records that a try did not complete and closes the connection. A timeout counts
// as the caller leaving.
func (c *callers) recordBreak(try *Try, conn *connection, err error) {
	try.Ended = time.Now().UnixNano()
	_ = conn.raw.Close()
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		try.Left = true
		return
	}
	try.Broken = err.Error()
}

// write writes the HTTP request.
func (w *request) write(to io.Writer, try *Try, left time.Duration, after int) error {
	var body []byte
	if w.route.method == http.MethodPost {
		body, _ = json.Marshal(w.work) // plain values
	}
	req, err := http.NewRequest(w.route.method, "http://"+w.route.host+w.route.path+w.work.Subject, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("X-Attempt-Id", try.ID)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+w.key)
	if w.route.stream {
		req.Header.Set("X-Model", w.route.model)
		req.Header.Set("X-Token-Counts", fmt.Sprintf("%d,%d", w.tokens, w.work.Events*eventTokens))
		if after > 0 {
			req.Header.Set("Last-Event-Id", strconv.Itoa(after))
		}
	}
	if w.chunked && len(body) > 0 {
		return writeChunked(to, req, body, max(minBodyTime, w.bodyTime))
	}
	var text bytes.Buffer
	if err := req.Write(&text); err != nil {
		return err
	}
	_, err = to.Write(text.Bytes())
	return err
}

// minBodyTime is how long it takes at least to send a body in chunks.
const minBodyTime = 20 * time.Millisecond

// writeChunked writes the HTTP request with its body in chunks: the header, each half of the body and the
// end are sent one after the other, spread over a time.
func writeChunked(to io.Writer, req *http.Request, body []byte, spread time.Duration) error {
	req.Body, req.ContentLength = io.NopCloser(strings.NewReader("")), 0
	var head bytes.Buffer
	req.TransferEncoding = []string{"chunked"}
	if err := req.Write(&head); err != nil {
		return err
	}
	end := []byte("0\r\n\r\n")
	parts := [][]byte{bytes.TrimSuffix(head.Bytes(), end)}
	for _, half := range [][]byte{body[:len(body)/2], body[len(body)/2:]} {
		parts = append(parts, fmt.Appendf(nil, "%x\r\n%s\r\n", len(half), half))
	}
	parts = append(parts, end)
	for _, part := range parts {
		if _, err := to.Write(part); err != nil {
			return err
		}
		time.Sleep(spread / time.Duration(len(parts)))
	}
	return nil
}

// read reads a complete answer and compares it with the endpoint's expected answer.
func (t *Try) read(resp *http.Response, conn *connection, end time.Time) error {
	good := resp.StatusCode < http.StatusMultipleChoices
	if id := resp.Header.Get("X-Attempt-Id"); good && id != t.ID {
		t.Wrong = "response belongs to request " + id
	}
	if good && !strings.HasPrefix(resp.Header.Get("X-Server-Stamp"), "stamp.") {
		t.Wrong = "response has no signature"
	}
	if good && t.request.route.stream {
		return t.readStream(resp, conn, end)
	}
	body, err := io.ReadAll(resp.Body)
	if want := t.request.text(); err == nil && good && string(body) != want {
		t.Wrong = fmt.Sprintf("response body is %q, want %q", body, want)
	}
	return err
}

// text returns the expected answer of a plain endpoint.
func (w *request) text() string {
	work := w.work
	if w.route.method == http.MethodGet {
		work.Subject = w.route.path + work.Subject
	}
	return work.Text(0)
}

// readStream reads and compares events. If the pause between two events is too long, the
// caller leaves.
func (t *Try) readStream(resp *http.Response, conn *connection, end time.Time) error {
	lines := bufio.NewReader(resp.Body)
	for {
		pause := time.Now().Add(t.request.route.maxPause())
		if pause.After(end) {
			pause = end
		}
		_ = conn.raw.SetDeadline(pause)
		event, err := readEvent(lines)
		if errors.Is(err, io.EOF) && event == "" {
			break
		}
		if err != nil {
			return err
		}
		number := t.After + t.Events + 1
		if want := fmt.Sprintf("id: %d\ndata: %s\n", number, t.request.work.Text(number)); event != want {
			t.Wrong = fmt.Sprintf("event %d has unexpected content %q", number, event)
		}
		t.Events++
	}
	if got := t.After + t.Events; got != t.request.work.Events {
		t.Wrong = fmt.Sprintf("stream ended after %d of %d events", got, t.request.work.Events)
	}
	return nil
}

// readEvent reads up to a blank line. It returns io.EOF without text at the end of the stream.
func readEvent(lines *bufio.Reader) (string, error) {
	event := ""
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return event + line, err
		}
		if line == "\n" {
			return event, nil
		}
		event += line
	}
}

// connect returns an idle or a new connection to one of the entries in the directory. With
// stays set, it prefers an idle connection to any entry.
func (c *callers) connect(ctx context.Context, stays bool) (*connection, error) {
	if stays {
		for _, address := range c.idleEntries() {
			if conn := c.takeIdle(address); conn != nil {
				return conn, nil
			}
		}
	}
	named, err := c.entries(ctx)
	if err != nil {
		return nil, err
	}
	failed := map[string]bool{}
	for range named {
		address := c.chooseEntry(named, failed)
		if conn := c.takeIdle(address); conn != nil {
			return conn, nil
		}
		raw, err := (&net.Dialer{Timeout: connectTimeout}).DialContext(ctx, "tcp", address)
		if err == nil {
			return &connection{raw: raw, address: address, reader: bufio.NewReader(raw)}, nil
		}
		failed[address] = true
	}
	return nil, errors.New("no entry accepted a connection")
}

// chooseEntry picks a random address that has not failed.
func (c *callers) chooseEntry(named []string, failed map[string]bool) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		if address := named[c.rng.IntN(len(named))]; !failed[address] {
			return address
		}
	}
}

// idleEntries returns the addresses in the idle pool in random order.
func (c *callers) idleEntries() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := slices.Sorted(maps.Keys(c.idle))
	c.rng.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	return found
}

// takeIdle removes a connection from the idle pool and closes those idle for too long. It
// returns nil if none is left.
func (c *callers) takeIdle(address string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	for len(list) > 0 {
		conn := list[len(list)-1]
		list = list[:len(list)-1]
		if time.Since(conn.idleSince) < time.Duration(idleFraction*float64(idleTime)) {
			c.idle[address] = list
			return conn
		}
		_ = conn.raw.Close()
	}
	c.idle[address] = list
	return nil
}

// putIdle returns a connection to the idle pool.
func (c *callers) putIdle(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.idleSince, conn.reused = time.Now(), true
	c.idle[conn.address] = append(c.idle[conn.address], conn)
}

// entries returns the entries listed by the directory, refreshed when its TTL expires. If no
// directory answers, it returns the previous list.
func (c *callers) entries(ctx context.Context) ([]string, error) {
	c.mu.Lock()
	named, til := c.entryAddresses, c.entriesExpiry
	c.mu.Unlock()
	if time.Now().Before(til) {
		return named, nil
	}
	for _, address := range c.directories {
		found, keep, err := c.resolve(ctx, address)
		if err != nil {
			continue
		}
		c.mu.Lock()
		c.entryAddresses, c.entriesExpiry = found, time.Now().Add(keep)
		c.mu.Unlock()
		return found, nil
	}
	if len(named) > 0 {
		return named, nil
	}
	return nil, errors.New("no directory server answered")
}

// resolve asks one directory for the entries' addresses and their TTL.
func (c *callers) resolve(ctx context.Context, address string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	query := url.Values{"name": {"a.example"}, "region": {"region-" + c.domain}, "zone": {c.domain}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/resolve?"+query.Encode(), nil)
	if err != nil {
		return nil, 0, err
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var body struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl_s"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil || len(body.Addresses) == 0 {
		return nil, 0, errors.Join(errors.New("directory response contains no entry"), err)
	}
	return body.Addresses, time.Duration(body.TTL * float64(time.Second)), nil
}

// snapshot returns a copy of the list of tries.
func (c *callers) snapshot() []*Try {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Try(nil), c.tries...)
}
