package gateway_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// logBuffer collects the gateway's log.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *logBuffer) Write(text []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(text)
}

func (o *logBuffer) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// awaitLine waits for a line that contains all words and returns it.
func (o *logBuffer) awaitLine(t *testing.T, words ...string) string {
	t.Helper()
	for range 2000 {
		o.mu.Lock()
		text := o.text.String()
		o.mu.Unlock()
		for _, line := range strings.Split(text, "\n") {
			if hasAll(line, words) {
				return line
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("got no line with %q", words)
	return ""
}

func hasAll(line string, words []string) bool {
	for _, word := range words {
		if !strings.Contains(line, word) {
			return false
		}
	}
	return true
}

// A broken connection does not show whether the endpoint ended. The entry checks whether the
// endpoint still listens and logs the result.
func TestLogDistinguishesEndedEndpointFromBrokenConnection(t *testing.T) {
	ended, running := newEndpoint(t, "i-ended", nil), newEndpoint(t, "i-lives", nil)
	ended.mu.Lock()
	ended.onAccept = func() { _ = ended.listener.Close() }
	ended.mu.Unlock()
	for _, test := range []struct {
		ep   *endpoint
		want string
	}{{ended, "ended=true"}, {running, "ended=false"}} {
		h := newDeployment(t, test.ep)
		h.send(t, "/once/a", "key-1", "body").check(t, 502, "", true)
		h.log.awaitLine(t, `msg="endpoint looked at"`, "endpoint="+test.ep.id, test.want, "requests=[id-1]", "events=[0]")
	}
}

// Guards against quarantining requests because leaving endpoints ended while they ran them: a
// leaving endpoint exits on its own.
func TestEndOfLeavingEndpointCountsAgainstNoRequest(t *testing.T) {
	leaves := newEndpoint(t, "i-1", func(id string) []byte {
		return []byte(strings.Replace(string(events(1, 2, true)(id)), "\r\n", "\r\nServer-Leaving: 1\r\n", 1))
	})
	leaves.mu.Lock()
	leaves.onAccept = func() { _ = leaves.listener.Close() }
	leaves.mu.Unlock()
	h := newDeployment(t, leaves)
	h.send(t, "/stream/a", "key-1", "body")
	h.log.awaitLine(t, `msg="endpoint looked at"`, "endpoint=i-1", "ended=true", "left=true")
	if _, ends := h.state.Ledger().Size(); ends != 0 {
		t.Errorf("got %d ends that count, want none", ends)
	}
}

// A caller's two tries of a request have different IDs; the fingerprint in the log shows that they
// are the same request.
func TestLogShowsThatARequestCameAgain(t *testing.T) {
	ep := newEndpoint(t, "i-1")
	h := newDeployment(t, ep)
	h.send(t, "/safe/a", "key-1", "body")
	h.send(t, "/safe/a", "key-1", "body")
	h.send(t, "/safe/a", "key-1", "other")
	h.send(t, "/safe/a?n=1", "key-1", "body")
	prints := map[string]int{}
	for _, id := range []string{"id-1", "id-2", "id-3", "id-4"} {
		line := h.log.awaitLine(t, "msg=answered", "request="+id+" ")
		_, after, _ := strings.Cut(line, "print=")
		prints[after]++
	}
	if len(prints) != 3 {
		t.Errorf("got fingerprints %v, want one for the first two and two others", prints)
	}
}
