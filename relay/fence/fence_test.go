package fence

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		guard := NewGuard()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var number, plan int
			d.MaybeScanArgs(t, "fence", &number)
			d.MaybeScanArgs(t, "plan", &plan)
			switch d.Cmd {
			case "restart":
				guard = NewGuard()
				return ""
			case "learn":
				guard.Learn(uint64(number))
				return fmt.Sprintf("highest %v\n", guard.Highest())
			case "order":
				verdict := guard.Admit(NewNumber(uint64(number), uint32(plan)))
				return fmt.Sprintf("%v, highest %v\n", verdict, guard.Highest())
			}
			t.Fatalf("unknown command %s", d.Cmd)
			return ""
		})
	})
}

// A host must not go back to an older plan when orders of several planners, some of
// them resumed after a pause, arrive in any order, mixed with agent restarts and with
// outdated reports of an engine that keeps its number. The guard could fail at this by
// forgetting a number or by comparing numbers wrongly.
func TestGuardNeverObeysOlderNumber(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		guard := NewGuard()
		engineFence := uint64(0) // fence that the engine keeps across agent restarts
		obeyed := Number{}       // highest obeyed in this incarnation
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"order", "order", "learn", "lag", "restart"}).Draw(t, "event") {
			case "order":
				number := NewNumber(rapid.Uint64Range(0, 5).Draw(t, "fence"), rapid.Uint32Range(0, 5).Draw(t, "plan"))
				if guard.Admit(number) != Obey {
					continue
				}
				if number.Less(obeyed) || number.Fence() < engineFence {
					t.Fatalf("obeyed %v after %v, engine at %d", number, obeyed, engineFence)
				}
				obeyed, engineFence = number, number.Fence()
			case "learn":
				guard.Learn(engineFence)
			case "lag":
				guard.Learn(rapid.Uint64Range(0, engineFence).Draw(t, "old"))
				// A first status report that is older than the engine's last order is
				// the engine's to detect, not this package's.
				engineFence = max(guard.Highest().Fence(), obeyed.Fence())
			case "restart":
				guard, obeyed = NewGuard(), Number{}
			}
		}
	})
}
