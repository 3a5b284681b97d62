package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"comfreyrelay.example/relay/endless"
)

// Guards against an entry that runs out of memory, or keeps a slot until the caller's deadline, under
// an endpoint that sends bytes without end where a header, a body or an event is due. The entry closes
// the connection, and the caller gets no answer that looks complete.
func TestEndlessAnswerIsCutOff(t *testing.T) {
	const (
		okHead     = "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n"
		chunked    = okHead + "Transfer-Encoding: chunked\r\n\r\n"
		notRunHead = "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\n\r\n"
	)
	for _, test := range []struct{ name, path, prefix, repeated string }{
		{"no answer", "/once/a", "", "garbage "},
		{"header line", "/once/a", okHead + "X-Pad: ", "a"},
		{"header lines", "/once/a", okHead, "X-Pad: a\r\n"},
		{"body without a length", "/once/a", okHead + "\r\n", "x"},
		{"chunked body", "/once/a", chunked, "1\r\nx\r\n"},
		{"error body", "/once/a", "HTTP/1.1 500 X\r\nX-Server-Stamp: s\r\n\r\n", "x"},
		{"rejection", "/once/a", notRunHead, "x"},
		{"event", "/stream/a", okHead + "\r\nid: 1\ndata: ", "x"},
		{"chunked event", "/stream/a", chunked, "1\r\nx\r\n"},
		{"empty events", "/stream/a", okHead + "\r\n", "\n"},
		{"events", "/stream/a", okHead + "\r\n", "id: 1\ndata: x\n\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			server, err := endless.Listen(test.prefix, test.repeated)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(server.Close)
			h := newDeployment(t, &endpoint{id: "i-1", address: server.Address()})
			if got := h.send(t, test.path, "key-1", "body"); got.status == http.StatusOK && got.complete {
				t.Errorf("got a complete 200 of %d bytes, want an answer that is not complete", len(got.body))
			}
			select {
			case closed := <-server.ClosedByPeer():
				if !closed {
					t.Error("got all bytes read that the endpoint would send, want the connection closed")
				}
			case <-time.After(20 * time.Second):
				t.Error("got the connection kept open, want it closed")
			}
			if got := h.gateway.InFlight(); got != 0 {
				t.Errorf("got %d requests in progress, want none", got)
			}
		})
	}
}

// maxHeapBytes is half of the memory of the smallest hosts that run an entry.
const maxHeapBytes = 92 << 20

// Guards against an entry that runs out of memory under many endless answers at once: the requests of
// other callers would end with it.
func TestManyEndlessAnswersLeaveOtherCallersAlone(t *testing.T) {
	const okHead = "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n"
	var endpoints []*endpoint
	for i, prefix := range []string{okHead + "X-Pad: ", okHead + "\r\n", "", okHead + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"} {
		server, err := endless.Listen(prefix, "a")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Close)
		endpoints = append(endpoints, &endpoint{id: fmt.Sprint("endless-", i), address: server.Address()})
	}
	sound := newEndpoint(t, "sound")
	h := newDeployment(t, append(endpoints, sound)...)
	ctx, stopSampling := context.WithCancel(t.Context())
	peak := make(chan uint64, 1)
	go func() { peak <- peakHeap(ctx) }()
	var callers sync.WaitGroup
	for i := range 40 {
		callers.Go(func() {
			for n := range 5 {
				h.sendAndDiscard(fmt.Sprintf("c%d-%d", i, n))
			}
		})
	}
	callers.Wait()
	stopSampling()
	got := <-peak
	t.Logf("the heap grew to %d MiB", got>>20)
	if got > maxHeapBytes {
		t.Errorf("got a heap of %d MiB, want at most %d", got>>20, maxHeapBytes>>20)
	}
	if got := h.gateway.InFlight(); got != 0 {
		t.Errorf("got %d requests in progress, want none", got)
	}
	if len(sound.requests()) == 0 {
		t.Error("got no request at the sound endpoint, want those of other callers served there")
	}
}

// sendAndDiscard sends a request and keeps nothing of its answer.
func (h *deployment) sendAndDiscard(id string) {
	conn, err := net.Dial("tcp", h.server.Listener.Addr().String())
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "POST /once/a HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\nAuthorization: Bearer key-1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", id)
	_, _ = io.Copy(io.Discard, conn)
}

// peakHeap returns the largest heap until ctx is done.
func peakHeap(ctx context.Context) uint64 {
	var peak uint64
	for ctx.Err() == nil {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		peak = max(peak, stats.HeapAlloc)
		time.Sleep(2 * time.Millisecond)
	}
	return peak
}
