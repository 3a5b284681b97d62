package lease

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"comfreyrelay.example/relay/failure"
)

// TestMachine runs the scripts in testdata. The command "next" requests an
// action from the machine, "done" passes the action's result, and "advance"
// moves the clock.
func TestMachine(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		script := newScript()
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			return script.run(t, data)
		})
	})
}

type script struct {
	machine *machine
	now     time.Time
	act     action
}

func newScript() *script {
	return &script{
		machine: newMachine(options{
			incarnation: "me",
			ttl:         10 * time.Second,
			margin:      time.Second,
			jitter:      func() float64 { return 0.5 },
		}),
		now: time.Now(), // has a monotonic reading; the value does not matter
	}
}

func (s *script) run(t *testing.T, data *datadriven.TestData) string {
	t.Helper()
	switch data.Cmd {
	case "next":
		s.act = s.machine.next(s.now)
		return s.describe(s.act) + "\n"
	case "done":
		s.machine.handleResult(s.act, parseResult(t, data), s.now)
		return s.status() + "\n"
	case "advance":
		s.now = s.now.Add(parseDuration(t, data.CmdArgs[0].Key))
		return s.status() + "\n"
	default:
		t.Fatalf("unknown command %s", data.Cmd)
		return ""
	}
}

func (s *script) describe(act action) string {
	if act.step == stepSleep {
		return "sleep " + act.until.Sub(s.now).String()
	}
	return act.String()
}

func (s *script) status() string {
	fence, deadline, holding := s.machine.holding()
	if !holding {
		return string(s.machine.state)
	}
	if expired(deadline, s.now) {
		return "holding, but past its deadline"
	}
	return fmt.Sprintf("holding fence=%d for %s", fence, deadline.Sub(s.now))
}

func parseResult(t *testing.T, data *datadriven.TestData) result {
	t.Helper()
	var got result
	for _, arg := range data.CmdArgs {
		switch arg.Key {
		case "found":
			got.found = true
		case "holder":
			got.found = true
			got.holder = strings.ReplaceAll(arg.Vals[0], "/", " ")
		case "revision":
			arg.Scan(t, 0, &got.revision)
		case "lease":
			got.lease = arg.Vals[0]
		case "err":
			got.err = failure.New(failure.Kind(arg.Vals[0]), "scripted", "none")
		default:
			t.Fatalf("unknown argument %s", arg.Key)
		}
	}
	return got
}

func parseDuration(t *testing.T, text string) time.Duration {
	t.Helper()
	span, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return span
}
