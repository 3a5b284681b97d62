package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"comfreyrelay.example/relay/fleet"
	"comfreyrelay.example/relay/site"
)

// proofRoutes are the routes on which each answer is tried. All allow two attempts.
var proofRoutes = []struct {
	name, path string
	once       bool
}{
	{"once", "/two/a", true}, {"single stream", "/single/a", true}, {"repeatable", "/safe/a", false}, {"resumable stream", "/stream/a", false},
}

// proofAnswer is one answer of an endpoint, as a script describes it:
//
//	status=503  status of the answer
//	notRun      it states that nothing ran
//	signed      it has the signature of a run
//	id=none     it names no request; id=other: another one; else the request itself
//	from=i-2    it names this endpoint as its sender; the request was sent to i-1
//	used        it comes on a connection that returned an answer before
//	broken      the connection is closed within its body
//	closes      the connection is closed after it
//	large       its body exceeds what the gateway buffers
//	ran         the endpoint ran the request
type proofAnswer struct {
	status                                           int
	id, from                                         string
	notRun, signed, used, broken, closes, large, ran bool
}

func parseProofAnswer(t *testing.T, d *datadriven.TestData) proofAnswer {
	t.Helper()
	answer := proofAnswer{}
	flags := map[string]*bool{
		"notRun": &answer.notRun, "signed": &answer.signed, "used": &answer.used, "broken": &answer.broken,
		"closes": &answer.closes, "large": &answer.large, "ran": &answer.ran,
	}
	for _, arg := range d.CmdArgs {
		switch flag := flags[arg.Key]; {
		case flag != nil:
			*flag = true
		case arg.Key == "id":
			answer.id = arg.Vals[0]
		case arg.Key == "from":
			answer.from = arg.Vals[0]
		case arg.Key == "status":
			answer.status, _ = strconv.Atoi(arg.Vals[0])
		default:
			t.Fatalf("unknown argument %q", arg.Key)
		}
	}
	return answer
}

// text returns the answer to the request with the given ID.
func (a proofAnswer) text(id string) []byte {
	var out strings.Builder
	fmt.Fprintf(&out, "HTTP/1.1 %d X\r\n", a.status)
	switch a.id {
	case "none":
	case "other":
		out.WriteString("X-Attempt-Id: other\r\n")
	default:
		fmt.Fprintf(&out, "X-Attempt-Id: %s\r\n", id)
	}
	if a.from != "" {
		fmt.Fprintf(&out, "X-Instance-Id: %s\r\n", a.from)
	}
	if a.notRun {
		out.WriteString("X-Not-Executed: 1\r\n")
	}
	if a.signed {
		out.WriteString("X-Server-Stamp: s\r\n")
	}
	body := "said"
	if a.large {
		body = strings.Repeat("x", 300<<10)
	}
	fmt.Fprintf(&out, "Retry-After: 0\r\nContent-Length: %d\r\n\r\n", len(body))
	if a.broken {
		return []byte(out.String() + body[:len(body)/2] + cutOff)
	}
	if a.closes {
		body += cutOff
	}
	return []byte(out.String() + body)
}

// play sends a request to endpoint i-1, which gives the answer. Endpoint i-2 joins before that and would
// serve the request. It returns what the caller got and how many endpoints received the request.
func (a proofAnswer) play(t *testing.T, route, path string) (got answer, received int) {
	t.Helper()
	var h *deployment
	two := newEndpoint(t, "i-2")
	if strings.HasSuffix(route, "stream") {
		two.answers = append(two.answers, events(1, 2, false))
	}
	answers := []func(id string) []byte{func(id string) []byte {
		h.state.Apply([]site.Record{{Kind: site.EndpointRecord, ID: two.id, Endpoint: fleet.Registration{ID: two.id, Service: "app", Address: two.address, Slots: 4}}}, 2)
		return a.text(id)
	}}
	if a.used {
		answers = slices.Insert(answers, 0, complete("first"))
	}
	one := newEndpoint(t, "i-1", answers...)
	h = newDeployment(t, one)
	if a.used {
		h.send(t, "/safe/first", "key-1", "").check(t, http.StatusOK, "first", true)
	}
	got = h.send(t, path, "key-1", "")
	return got, requestCount(one, two) - requestCountOf("/safe/first", one)
}

// requestCountOf returns the number of requests with a path that an endpoint received.
func requestCountOf(path string, ep *endpoint) int {
	count := 0
	for _, req := range ep.requests() {
		if req.URL.Path == path {
			count++
		}
	}
	return count
}

// promisesNotRun reports whether a status tells the caller that the request did not run.
func promisesNotRun(status int) bool {
	return slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, status)
}

// Guards against taking an answer for the proof that a request did not run though it does not say so, or
// contradicts itself: a request that must run once ran at two endpoints, or its caller was told that it
// did not run.
func TestOnlyProvenRejectionsAreSentAgainOrPromised(t *testing.T) {
	var violations []string // reported at the end, since an error within the script ends it
	datadriven.RunTest(t, "testdata/proofs/answers", func(t *testing.T, d *datadriven.TestData) string {
		tried := parseProofAnswer(t, d)
		var out strings.Builder
		for _, route := range proofRoutes {
			got, received := tried.play(t, route.name, route.path)
			fmt.Fprintf(&out, "%s: %s\n", route.name, describeAnswer(got, received))
			if tried.ran && route.once && (received > 1 || promisesNotRun(got.status)) {
				violations = append(violations, fmt.Sprintf("%s: %s: %d endpoints received the request, which ran, and the caller got %d", d.Pos, route.name, received, got.status))
			}
		}
		return out.String()
	})
	for _, violation := range violations {
		t.Error(violation)
	}
}

// describeAnswer returns what a caller got and whether its request was sent again.
func describeAnswer(got answer, received int) string {
	text := "broken off"
	if got.status != 0 && got.complete {
		text = strconv.Itoa(got.status)
	}
	if received > 1 {
		text += ", sent again"
	}
	if got.header.Get("X-Not-Executed") != "" {
		text += ", states that nothing ran"
	}
	return text
}

// Guards against leaving an endpoint out for a while because of a 421 that does not show that another
// endpoint has its address.
func TestEndpointWithUnprovenMisdirectionStaysInUse(t *testing.T) {
	bare := func(id string) []byte { return []byte(head(421, id, "Content-Length: 0\r\n\r\n")) }
	h := newDeployment(t, newEndpoint(t, "i-1", bare))
	h.stopClock()
	h.sendWithStoppedClock(t, "/once/a").check(t, http.StatusBadGateway, "", true)
	h.sendWithStoppedClock(t, "/once/a").check(t, http.StatusOK, "ok", true)
}
