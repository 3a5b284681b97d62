package gateway_test

import (
	"fmt"
	"strings"
	"testing"
)

// Guards against a success with an empty or a short body that looks complete, from an endpoint that
// stops and closes its connection in the middle of the head of its answer, or after an interim one.
func TestAnswerWithBrokenHeadIsNoAnswer(t *testing.T) {
	const body = "hello"
	whole := func(id string) string {
		return head(200, id, fmt.Sprintf("X-Server-Stamp: s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n", len(body)))
	}
	stream := func(id string) string {
		return head(200, id, "X-Server-Stamp: s\r\nContent-Type: text/event-stream\r\n\r\n")
	}
	interim := func(id string) string {
		return fmt.Sprintf("HTTP/1.1 103 Early Hints\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: s\r\n\r\n", id)
	}
	for _, test := range []struct {
		path   string
		answer func(id string) string
		status int // without a second endpoint that may run the request
		body   string
	}{
		{"/once/a", whole, 502, ""},
		{"/safe/a", whole, 200, "ok"},
		{"/stream/a", stream, 200, "id: 1\ndata: a\n\n"},
		{"/once/a", interim, 502, ""},
		{"/safe/a", interim, 200, "ok"},
		{"/stream/a", interim, 200, "id: 1\ndata: a\n\n"},
	} {
		for _, cut := range headCuts(test.answer("id-1")) {
			sent := test.answer("id-1")[:cut]
			if strings.HasSuffix(sent, "\r\n\r\n") && test.answer("") != interim("") {
				continue // the head is complete
			}
			t.Run(fmt.Sprintf("%s after %q", test.path, sent), func(t *testing.T) {
				second := complete("ok")
				if test.path == "/stream/a" {
					second = unframed(test.body)
				}
				one, two := sharedAnswers(t, func(id string) []byte { return []byte(test.answer(id)[:cut] + cutOff) }, second)
				h := newDeployment(t, one, two)
				got := h.send(t, test.path, "key-1", "body")
				if got.status != test.status || !got.complete || got.status == 200 && got.body != test.body {
					t.Errorf("got %d %q complete %v, want %d %q", got.status, got.body, got.complete, test.status, test.body)
				}
			})
		}
	}
}

// headCuts returns the positions in a head after which it is broken off: around each end of a line,
// and within each line.
func headCuts(text string) []int {
	var cuts []int
	start := 0
	for start < len(text) {
		end := start + strings.Index(text[start:], "\r\n") + len("\r\n")
		for _, cut := range []int{start + 1, (start + end) / 2, end - 1, end} {
			if len(cuts) == 0 || cut > cuts[len(cuts)-1] {
				cuts = append(cuts, cut)
			}
		}
		start = end
	}
	return cuts
}

// Guards against an entry that ends, or an empty success, because of a status that no answer may have.
func TestAnswerWithStatusThatEndsNoRequestIsNoAnswer(t *testing.T) {
	for _, status := range []int{0, 7, 99, 101} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			invalid := func(id string) []byte {
				return fmt.Appendf(nil, "HTTP/1.1 %03d X\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: s\r\nContent-Length: 2\r\n\r\nhi", status, id)
			}
			h := newDeployment(t, newEndpoint(t, "i-1", invalid, invalid))
			h.send(t, "/once/a", "key-1", "body").check(t, 502, "", true)
		})
	}
}

func TestInterimAnswersAreSkipped(t *testing.T) {
	answer := func(id string) []byte {
		return append([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"), complete("hello")(id)...)
	}
	h := newDeployment(t, newEndpoint(t, "i-1", answer))
	h.send(t, "/once/a", "key-1", "body").check(t, 200, "hello", true)
	h.send(t, "/once/a", "key-1", "body").check(t, 200, "ok", true)
}
