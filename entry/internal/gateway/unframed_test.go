package gateway_test

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
)

// unframed answers 200 with a body that has neither a length nor chunks and ends with the connection.
func unframed(body string) func(id string) []byte {
	return func(id string) []byte { return []byte(head(200, id, "X-Server-Stamp: s\r\n\r\n") + body + cutOff) }
}

// Guards against answers that are taken for broken off, or for whole, because they have neither a
// length nor chunks: they end with their connection, and a stream that ends inside an event was broken
// off.
func TestAnswerWithoutFrameEndsWithItsConnection(t *testing.T) {
	const one, two, three = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	for _, test := range []struct {
		name, path string
		answers    []func(id string) []byte
		want       string
		status     int
		complete   bool
	}{
		{"whole body", "/once/a", []func(string) []byte{unframed("whole")}, "whole", 200, true},
		{"empty body", "/once/a", []func(string) []byte{unframed("")}, "", 200, true},
		{"whole stream", "/stream/a", []func(string) []byte{unframed(one + two)}, one + two, 200, true},
		{"stream that ends after a line of an event", "/stream/a",
			[]func(string) []byte{unframed(one + "id: 2\n"), unframed(two + three)}, one + two + three, 200, true},
		{"stream that ends before the blank line", "/stream/a",
			[]func(string) []byte{unframed(one + strings.TrimSuffix(two, "\n")), unframed(two + three)}, one + two + three, 200, true},
		{"stream that ends within a line", "/stream/a",
			[]func(string) []byte{unframed(one + "id: 2\nda"), unframed(two + three)}, one + two + three, 200, true},
		{"stream that ends within its first event", "/stream/a",
			[]func(string) []byte{unframed("id: 1\nda"), unframed(one + two)}, one + two, 200, true},
		{"stream that cannot go on", "/stream/a",
			[]func(string) []byte{unframed(one + "id: 2\nda"), unframed("id: 2\nda")}, one, 200, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			first, second := newEndpoint(t, "i-1", test.answers[0]), newEndpoint(t, "i-2", test.answers[0])
			if len(test.answers) > 1 {
				// Whichever endpoint comes second gives the second answer.
				first, second = sharedAnswers(t, test.answers...)
			}
			h := newDeployment(t, first, second)
			got := h.send(t, test.path, "key-1", "body")
			if got.status != test.status || got.body != test.want || got.complete != test.complete {
				t.Errorf("got %d %q complete %v, want %d %q complete %v", got.status, got.body, got.complete, test.status, test.want, test.complete)
			}
		})
	}
}

// sharedAnswers returns two endpoints of which the first to get a request gives the first answer.
func sharedAnswers(t *testing.T, answers ...func(id string) []byte) (one, two *endpoint) {
	t.Helper()
	next := make(chan func(id string) []byte, len(answers))
	for _, answer := range answers {
		next <- answer
	}
	give := func(id string) []byte { return (<-next)(id) }
	return newEndpoint(t, "i-1", give, give), newEndpoint(t, "i-2", give, give)
}

// Guards against a part of an answer that is taken for the whole: an answer without a frame whose
// connection is reset was cut off on the way.
func TestAnswerWithoutFrameThatIsResetIsNotComplete(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = conn.Write([]byte(head(200, req.Header.Get("X-Attempt-Id"), "X-Server-Stamp: s\r\n\r\n") + "part"))
			}
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	h := newDeployment(t, &endpoint{id: "i-1", address: lis.Addr().String()})
	if got := h.send(t, "/once/a", "key-1", "body"); got.status == http.StatusOK && got.complete {
		t.Errorf("got a complete 200 %q of an answer that was reset, want a failure", got.body)
	}
}
