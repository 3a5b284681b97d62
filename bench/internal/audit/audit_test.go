package audit

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"comfreyrelay.example/bench/internal/house"
)

// TestCompare replays records of callers and back ends: an audit that cannot
// fail is no audit, so each breach has a script that provokes it.
func TestCompare(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		runs := NewRuns()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "engine":
				runs.AddEngine("host", engineLedger(d.Input))
			case "service":
				runs.AddService(house.ServiceLedger{RunsByID: counts(d.Input)})
			case "callers":
				return describe(t, d.Input, runs)
			default:
				t.Fatalf("unknown command %q", d.Cmd)
			}
			return ""
		})
	})
}

// engineLedger reads lines "id begun" and "violation kind id".
func engineLedger(input string) house.EngineLedger {
	ledger := house.EngineLedger{RunsByID: map[string]house.Account{}}
	for line := range strings.Lines(input) {
		fields := strings.Fields(line)
		if fields[0] == "violation" {
			ledger.Violations = append(ledger.Violations, house.Violation{Kind: fields[1], RequestID: fields[2], Detail: "seen"})
			continue
		}
		ledger.RunsByID[fields[0]] = house.Account{Begun: len(fields[1])}
	}
	return ledger
}

// counts reads lines "id |||", one stroke a run.
func counts(input string) map[string]int {
	out := map[string]int{}
	for line := range strings.Lines(input) {
		fields := strings.Fields(line)
		out[fields[0]] = len(fields[1])
	}
	return out
}

func describe(t *testing.T, input string, runs *Runs) string {
	t.Helper()
	found, err := Compare(strings.NewReader(input), runs)
	if err != nil {
		return "error: " + err.Error()
	}
	var out strings.Builder
	for _, breach := range found.Examples {
		out.WriteString(breach.Kind + " " + breach.RequestID + ": " + breach.Detail + "\n")
	}
	if out.Len() == 0 {
		return "none"
	}
	return out.String()
}
