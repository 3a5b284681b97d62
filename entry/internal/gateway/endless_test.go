package gateway_test

import (
	"net/http"
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
