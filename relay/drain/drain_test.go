package drain

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		lane := NewWorkTracker(Open)
		now := time.Unix(0, 0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var seconds int
			d.MaybeScanArgs(t, "seconds", &seconds)
			length := time.Duration(seconds) * time.Second
			result := ""
			switch d.Cmd {
			case "new":
				lane = NewWorkTracker(Open)
			case "enter":
				result = fmt.Sprintf("%v, ", lane.Enter())
			case "leave":
				result = fmt.Sprintf("%v, ", lane.Leave())
			case "begin":
				lane.Begin(now, length)
			case "pass":
				now = now.Add(length)
				result = fmt.Sprintf("cancel %v, ", lane.Tick(now))
			case "reopen":
				result = fmt.Sprintf("%v, ", lane.Reopen())
			case "abandon":
				result = fmt.Sprintf("%v, ", lane.Abandon())
			default:
				t.Fatalf("unknown command %s", d.Cmd)
			}
			return fmt.Sprintf("%s%v, running %d\n", result, lane.Phase(), lane.Running())
		})
	})
}

// TestNeverMixes guards against work admitted before a weight change running on
// the new weights. That happens if any order of calls makes a WorkTracker
// drained or reopened while work runs.
func TestNeverMixes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lane := NewWorkTracker(Open)
		now := time.Unix(0, 0)
		running := 0
		cancelled := false // in this drain
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			before := lane.Phase()
			switch rapid.SampledFrom([]string{"enter", "enter", "leave", "begin", "tick", "reopen", "abandon"}).Draw(t, "event") {
			case "enter":
				if lane.Enter() {
					running++
				}
			case "leave":
				if lane.Leave() {
					running--
				}
			case "begin":
				lane.Begin(now, time.Duration(rapid.IntRange(0, 5).Draw(t, "limit"))*time.Second)
			case "tick":
				now = now.Add(time.Second)
				if lane.Tick(now) {
					if cancelled {
						t.Fatalf("cancelled twice in one drain")
					}
					cancelled = true
				}
			case "reopen":
				if lane.Reopen() && before != Open && running > 0 {
					t.Fatalf("reopened from %v with %d running", before, running)
				}
			case "abandon":
				if lane.Abandon() && before == Cancelling {
					t.Fatalf("abandoned a drain that had cancelled work")
				}
			}
			if lane.Phase() == Open || lane.Phase() == Drained {
				cancelled = false
			}
			if got, want := lane.Running(), running; got != want {
				t.Fatalf("got %d running, want %d", got, want)
			}
			if lane.Phase() == Drained && running > 0 {
				t.Fatalf("drained with %d running", running)
			}
		}
	})
}
