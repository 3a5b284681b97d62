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
