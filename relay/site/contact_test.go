package site_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"comfreyrelay.example/relay/site"
)

// Guards against registrations of live owners that are dropped after an outage of the store, and
// against removed ones that stay in use because a silent connection passes for an outage.
func TestAnswersShowOutagesAndSilentConnections(t *testing.T) {
	text, err := os.ReadFile("testdata/contact.txt")
	if err != nil {
		t.Fatal(err)
	}
	scenarios := strings.Split(string(text), "\nscenario ")[1:]
	for _, scenario := range scenarios {
		name, calls, _ := strings.Cut(scenario, "\n")
		t.Run(name, func(t *testing.T) { playCalls(t, calls) })
	}
}

// playCalls plays the calls of one scenario, a line each.
func playCalls(t *testing.T, calls string) {
	now := time.Duration(0)
	contact := site.NewContact(func() time.Duration { return now })
	for line := range strings.Lines(calls) {
		if strings.TrimSpace(line) == "" {
			continue
		}
		var endedMillis, beganMillis int64
		var connection, outcome string
		if _, err := fmt.Sscan(line, &endedMillis, &beganMillis, &connection, &outcome); err != nil {
			t.Fatalf("got %v from line %q", err, line)
		}
		now = time.Duration(endedMillis) * time.Millisecond
		began, fresh := time.Duration(beganMillis)*time.Millisecond, connection == "new"
		if outcome == "failed" {
			contact.Unanswered(began, fresh)
			continue
		}
		answer := contact.Answered(began, fresh)
		got := fmt.Sprintf("%s grace %d", describeAnswer(answer), contact.GraceLeft().Milliseconds())
		if want := strings.Join(strings.Fields(line)[4:], " "); got != want {
			t.Errorf("got %q after %q, want %q", got, strings.TrimSpace(line), want)
		}
	}
}

// describeAnswer returns what an answer shows, as in testdata/contact.txt.
func describeAnswer(answer site.Answer) string {
	var shown []string
	if answer.Outage > 0 {
		shown = append(shown, fmt.Sprint("outage ", answer.Outage.Milliseconds()))
	}
	if answer.SilentBefore > 0 {
		shown = append(shown, fmt.Sprint("silent ", answer.SilentBefore.Milliseconds()))
	}
	if len(shown) == 0 {
		return "-"
	}
	return strings.Join(shown, " ")
}

// Guards against requests that are refused throughout an outage of the store, in which nothing can be
// changed, and against a store that passes for unavailable while it sends a large answer.
func TestStoreIsAvailableWhileItAnswers(t *testing.T) {
	now := time.Duration(0)
	contact := site.NewContact(func() time.Duration { return now })
	check := func(when string, want bool) {
		t.Helper()
		if got := contact.Available(); got != want {
			t.Errorf("%s: got available %t, want %t", when, got, want)
		}
	}
	check("before the first call", false)
	contact.Answered(now, true)
	now += time.Second
	check("between two renewals", true)
	now += time.Second
	check("without an answer for two renewals", false)
	contact.Received()
	check("during a large answer", true)
	contact.Unanswered(now, true)
	check("while a large answer delays others", true)
	now += 1500 * time.Millisecond
	contact.Answered(now, true)
	contact.Unanswered(now, false)
	check("after a silent connection", true)
	contact.Unanswered(now, true)
	check("after a refused call", false)
}
