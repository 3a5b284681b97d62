package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/datadriven"

	"comfreyrelay.example/relay/fleet"
	"comfreyrelay.example/relay/site"
)

// unnamed returns an answer without the request's ID.
func unnamed(answer string) []byte { return []byte("HTTP/1.1 " + answer) }

// answerParts are the words of the scripts for what an endpoint sends.
var answerParts = map[string]func(id, body string) []byte{
	"whole": func(id, body string) []byte { return complete(body)(id) },
	"limited": func(id, body string) []byte {
		return []byte(head(200, id, fmt.Sprintf("X-Server-Stamp: s\r\nServer-Limit: 50\r\nContent-Length: %d\r\n\r\n%s", len(body), body)))
	},
	"rejection":          func(_, _ string) []byte { return unnamed("503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n") },
	"rejection-named":    func(id, _ string) []byte { return notRun(id) },
	"rejection-unframed": func(_, _ string) []byte { return unnamed("503 X\r\nX-Not-Executed: 1\r\n\r\n") },
	"misdirected":        func(_, _ string) []byte { return unnamed("421 X\r\nContent-Length: 0\r\n\r\n") },
	"failure": func(_, _ string) []byte {
		return unnamed("500 X\r\nX-Server-Stamp: f\r\nContent-Length: 4\r\n\r\nfail")
	},
	"copy": func(_, body string) []byte {
		return unnamed(fmt.Sprintf("200 X\r\nX-Server-Stamp: s\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	},
	"hang": func(_, _ string) []byte { return []byte(pause) },
}

// unnamedScript is the state of one script: a deployment with endpoint i-1, which i-2 joins.
type unnamedScript struct {
	one, two *endpoint
	join     sync.Once

	mu          sync.Mutex
	h           *deployment
	connections int // to i-1
}

// run executes one command of a script.
func (s *unnamedScript) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "answers":
		s.start(t, d.Input)
		return ""
	case "send":
		got := s.h.send(t, d.CmdArgs[0].Key, "key-1", "")
		if got.status == http.StatusBadGateway || got.status == http.StatusGatewayTimeout {
			return "may have run\n"
		}
		return fmt.Sprintf("%d %q\n", got.status, strings.TrimSpace(got.body))
	case "lifted":
		return fmt.Sprintln(strings.Count(s.h.log.String(), "limited=false"))
	case "counts":
		s.mu.Lock()
		connections := s.connections
		s.mu.Unlock()
		return fmt.Sprintf("i-1 %d on %d connections, i-2 %d\n", len(s.one.requests()), connections, len(s.two.requests()))
	}
	t.Fatalf("unknown command %q", d.Cmd)
	return ""
}

// start starts the deployment. Each line of the script is what i-1 sends for one request; the word
// join registers i-2 at that moment.
func (s *unnamedScript) start(t *testing.T, script string) {
	s.two = newEndpoint(t, "i-2")
	var answers []func(id string) []byte
	for line := range strings.Lines(script) {
		answers = append(answers, func(id string) []byte { return s.answer(id, strings.TrimSpace(line)) })
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.one = newEndpoint(t, "i-1", answers...)
	s.one.mu.Lock()
	defer s.one.mu.Unlock()
	s.one.onAccept = s.countConnection
	s.h = newDeployment(t, s.one)
	t.Cleanup(func() { close(s.one.resume) })
}

func (s *unnamedScript) countConnection() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections++
}

// register makes i-2 known to the gateway.
func (s *unnamedScript) register() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.h.state.Apply([]site.Record{{Kind: site.EndpointRecord, ID: s.two.id, Endpoint: fleet.Registration{
		ID: s.two.id, Service: "app", Address: s.two.address, Slots: 4,
	}}}, 2)
}

func (s *unnamedScript) answer(id, line string) []byte {
	var sent []byte
	for part := range strings.SplitSeq(line, ", ") {
		word, body, _ := strings.Cut(part, " ")
		if word == "join" {
			s.join.Do(s.register)
			continue
		}
		sent = append(sent, answerParts[word](id, body)...)
	}
	return sent
}

// Guards against taking an answer that names no request, left on a connection by an earlier one,
// for the answer to the request just sent: a request that must run once ran at two endpoints, or a
// caller got another caller's answer.
func TestAnswerThatNamesNoRequestProvesNothingOnReusedConnection(t *testing.T) {
	datadriven.Walk(t, "testdata/unnamed_answers", func(t *testing.T, path string) {
		script := &unnamedScript{}
		datadriven.RunTest(t, path, script.run)
	})
}
