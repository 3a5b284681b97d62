package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	plainSlots = 6
	plainWork  = 15 * time.Millisecond
	plainIdle  = 10 * time.Second
	// extraShare is x of garble (extra) in caq-rezago.toml.
	extraShare = 0.0288
)

// shed is the answer of a worker that rejects a request, as the users' page of messages shows it.
const shed = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// plainWorker is a stand-in of a worker of a plain service. A faulty one sends an extra answer
// after some of its answers, late: when the next request has arrived on the connection.
type plainWorker struct {
	id, address, zone string
	rec               *record

	mu      sync.Mutex
	faulty  bool
	trouble string
	running int
	beats   uint64
	ran     map[string]int // runs by request
	extras  int            // extra answers sent
}

func newPlainWorker(id, address, zone string, rec *record) *plainWorker {
	return &plainWorker{id: id, address: address, zone: zone, rec: rec, ran: map[string]int{}}
}

func (p *plainWorker) registration() map[string]any {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beats++
	return map[string]any{
		"service": plainService, "address": p.address, "zone": p.zone, "version": "v1", "slots": plainSlots, "state": "ready",
		"cold_remaining_ms": 0, "seq": p.beats,
	}
}

// setFaulty makes the worker send extra answers, of the kind that the trouble names.
func (p *plainWorker) setFaulty(trouble string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faulty, p.trouble = true, trouble
}

func (p *plainWorker) serve(lis net.Listener) {
	for {
		conn, err := lis.Accept()
		if err != nil {
			return
		}
		go p.serveConn(conn)
	}
}

func (p *plainWorker) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var extra []byte
	for {
		_ = conn.SetReadDeadline(time.Now().Add(plainIdle))
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if extra != nil {
			p.noteExtra(req)
			if _, err := conn.Write(extra); err != nil {
				return
			}
		}
		answer, ran := p.answer(req)
		if _, err := conn.Write(answer); err != nil {
			return
		}
		extra = nil
		if ran {
			extra = p.extraAfter(answer, req)
		}
	}
}

func (p *plainWorker) noteExtra(req *http.Request) {
	p.mu.Lock()
	p.extras++
	p.mu.Unlock()
	p.rec.add("worker %s: an extra answer goes out before that of %s", p.id, req.Header.Get("X-Attempt-Id"))
}

// answer runs a request or rejects it.
func (p *plainWorker) answer(req *http.Request) (answer []byte, ran bool) {
	id := req.Header.Get("X-Attempt-Id")
	if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != p.id {
		return fmt.Appendf(nil, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", p.id), false
	}
	if req.URL.Path == "/health" {
		return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", p.id), false
	}
	p.mu.Lock()
	if p.running >= plainSlots {
		p.mu.Unlock()
		return []byte(shed), false
	}
	p.running++
	p.ran[id]++
	p.mu.Unlock()
	p.rec.add("worker %s: request %s runs", p.id, id)
	time.Sleep(plainWork/2 + rand.N(plainWork))
	p.mu.Lock()
	load := fmt.Sprintf("%d,0,%d", p.running, plainSlots)
	p.running--
	p.mu.Unlock()
	body := bodyFor(id)
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: stamp-%s\r\nX-Instance-Load: %s\r\nKeep-Alive: timeout=%d\r\nContent-Length: %d\r\n\r\n%s",
		id, p.id, load, int(plainIdle.Seconds()), len(body), body), true
}

// bodyFor is the worker's whole body of a request.
func bodyFor(id string) []byte { return bytes.Repeat([]byte("answer to "+id+"\n"), 30) }

// extraAfter returns what a faulty worker sends late after an answer, nil for nothing.
func (p *plainWorker) extraAfter(answer []byte, req *http.Request) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.faulty || rand.Float64() >= extraShare {
		return nil
	}
	switch p.trouble {
	case "named":
		return answer
	case "copy":
		line := fmt.Appendf(nil, "X-Attempt-Id: %s\r\n", req.Header.Get("X-Attempt-Id"))
		return bytes.Replace(answer, line, nil, 1)
	}
	return []byte(shed)
}
