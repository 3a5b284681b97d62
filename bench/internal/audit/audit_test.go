package audit

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"comfreyrelay.example/bench/internal/deployment"
)

// TestCompare runs the scripts in testdata, which hold records of callers and
// back ends. It guards against an audit that misses a breach: each kind of
// breach has a script that provokes it.
func TestCompare(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		runs := NewRuns()
		var excuses Excuses
		var millis int
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "engine":
				runs.AddEngine("host", engineLedger(d.Input))
			case "service":
				runs.AddService(serviceLedger(d.Input))
			case "killed":
				excuses.Deaths = append(excuses.Deaths, readDeath(t, d))
			case "deadline":
				d.ScanArgs(t, "millis", &millis)
				excuses.Deadline = time.Duration(millis) * time.Millisecond
			case "callers":
				return describe(t, d.Input, runs, excuses)
			default:
				t.Fatalf("unknown command %q", d.Cmd)
			}
			return ""
		})
	})
}

// engineLedger parses lines of the form "content |||", with one stroke per run,
// and "violation kind id".
func engineLedger(input string) deployment.EngineLedger {
	ledger := deployment.EngineLedger{RunsByID: map[string]deployment.Account{}}
	for line := range strings.Lines(input) {
		fields := strings.Fields(line)
		if fields[0] == "violation" {
			ledger.Violations = append(ledger.Violations, deployment.Violation{Kind: fields[1], RequestID: fields[2], Detail: "seen"})
			continue
		}
		ledger.RunsByID[fields[0]] = deployment.Account{Content: fields[0], Begun: len(fields[1])}
	}
	return ledger
}

// serviceLedger parses lines of the form "content |||", with one stroke per run.
// Each run gets its own id.
func serviceLedger(input string) deployment.ServiceLedger {
	ledger := deployment.ServiceLedger{RunsByID: map[string]int{}, Contents: map[string]string{}}
	for line := range strings.Lines(input) {
		fields := strings.Fields(line)
		for i := range len(fields[1]) {
			id := fmt.Sprintf("%s-%d", fields[0], i)
			ledger.RunsByID[id] = 1
			ledger.Contents[id] = fields[0]
		}
	}
	return ledger
}

// readDeath parses the arguments entry (its address) and at (Unix milliseconds).
func readDeath(t *testing.T, d *datadriven.TestData) Death {
	var death Death
	t.Helper()
	var at int
	d.MaybeScanArgs(t, "entry", &death.Address)
	d.MaybeScanArgs(t, "at", &at)
	death.At = time.UnixMilli(int64(at))
	return death
}

// describe compares the caller's record in input with runs and lists the
// breaches found, one per line.
func describe(t *testing.T, input string, runs *Runs, excuses Excuses) string {
	t.Helper()
	findings, err := Compare(strings.NewReader(input), runs, excuses)
	if err != nil {
		return "error: " + err.Error()
	}
	var out strings.Builder
	for _, breach := range findings.Examples {
		out.WriteString(breach.Kind + " " + breach.RequestID + ": " + breach.Detail + "\n")
	}
	if out.Len() == 0 {
		return "none"
	}
	return out.String()
}
