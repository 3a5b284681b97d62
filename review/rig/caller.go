package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"
)

// outcome is one attempt of a caller and how it ended.
type outcome struct {
	attempt, key, entry string
	sent, ended         time.Time
	status              int    // 0: no whole answer
	stamp               string // of the worker
	reason              string // body of a refusal, or the error
}

// callers send requests to entries on kept connections, one at a time on each.
type callers struct {
	world  *world
	record *record

	mu       sync.Mutex
	outcomes []outcome
	wg       sync.WaitGroup
}

// request is what one caller sends again and again.
type request struct {
	host, path, key string
	headers         map[string]string
	deadline        time.Duration
	gap             time.Duration // mean time between two requests
}

// run starts a caller of one entry, which goes on until stop is closed.
func (c *callers) run(entry int, req request, stop <-chan struct{}) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		one := &caller{callers: c, address: c.world.address(entryGroup, entry, callersPort), req: req}
		defer one.hangUp()
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(float64(req.gap) * (0.5 + rand.Float64()))):
			}
			c.keep(one.call())
		}
	}()
}

func (c *callers) keep(out outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, out)
}

// all returns the outcomes so far.
func (c *callers) all() []outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]outcome(nil), c.outcomes...)
}

// caller is one caller with its kept connection.
type caller struct {
	callers *callers
	address string
	req     request
	conn    net.Conn
	reader  *bufio.Reader
}

func (a *caller) hangUp() {
	if a.conn != nil {
		_ = a.conn.Close()
		a.conn = nil
	}
}

// call sends one request and reads its answer.
func (a *caller) call() outcome {
	attempt := fmt.Sprintf("%016x", rand.Uint64())
	out := outcome{attempt: attempt, key: a.req.key, entry: a.address}
	if a.conn == nil {
		conn, err := net.DialTimeout("tcp", a.address, time.Second)
		if err != nil {
			out.sent, out.ended, out.reason = time.Now(), time.Now(), err.Error()
			return out
		}
		a.conn, a.reader = conn, bufio.NewReader(conn)
	}
	req := a.request(attempt)
	out.sent = time.Now()
	a.callers.record.addAt(out.sent, "caller", "sends %s to %s with key %q", attempt, a.address, a.req.key)
	_ = a.conn.SetDeadline(out.sent.Add(a.req.deadline + time.Second))
	resp, err := a.exchange(req)
	out.ended = time.Now()
	if err != nil {
		out.reason = err.Error()
		a.callers.record.addAt(out.ended, "caller", "%s ends without a whole answer: %v", attempt, err)
		a.hangUp()
		return out
	}
	out.status, out.stamp = resp.status, resp.stamp
	if resp.stamp == "" {
		out.reason = resp.body
	}
	a.callers.record.addAt(out.ended, "caller", "%s gets %d stamp %q %s", attempt, out.status, out.stamp, out.reason)
	if resp.closes {
		a.hangUp()
	}
	return out
}

func (a *caller) request(attempt string) *http.Request {
	body := []byte("work " + attempt)
	header := http.Header{
		"X-Attempt-Id": {attempt}, "X-Deadline-Ms": {strconv.FormatInt(a.req.deadline.Milliseconds(), 10)},
		"User-Agent": {""}, "Content-Type": {"text/plain"},
	}
	if a.req.key != "" {
		header.Set("Authorization", "Bearer "+a.req.key)
	}
	for name, value := range a.req.headers {
		header.Set(name, value)
	}
	return &http.Request{
		Method: http.MethodPost, Host: a.req.host, URL: &url.URL{Scheme: "http", Host: a.req.host, Path: a.req.path},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: header,
		ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body)),
	}
}

// reply is a whole answer.
type reply struct {
	status int
	stamp  string
	body   string
	closes bool
}

func (a *caller) exchange(req *http.Request) (reply, error) {
	if err := req.Write(a.conn); err != nil {
		return reply{}, err
	}
	resp, err := http.ReadResponse(a.reader, req)
	if err != nil {
		return reply{}, err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{}, err
	}
	return reply{
		status: resp.StatusCode, stamp: resp.Header.Get("X-Server-Stamp"), body: string(bytes.TrimSpace(body)), closes: resp.Close,
	}, nil
}
