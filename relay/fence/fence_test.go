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

// Symptom: a host goes back to an older plan. Sequence: orders of several
// planners, among them woken ones, arrive in any order, mixed with restarts of
// the agent and lagging statuses of an engine that keeps the number. Cause: a
// guard that forgets or compares numbers wrongly.
func TestGuardNeverObeysOlderNumber(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		guard := NewGuard()
		engineFence := uint64(0) // fence that the engine keeps over restarts
		obeyed := Number{}       // highest obeyed in this incarnation
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"order", "order", "learn", "lag", "restart"}).Draw(t, "event") {
			case "order":
				order := NewNumber(rapid.Uint64Range(0, 5).Draw(t, "fence"), rapid.Uint32Range(0, 5).Draw(t, "plan"))
				if guard.Admit(order) != Obey {
					continue
				}
				if order.Less(obeyed) || order.Fence() < engineFence {
					t.Fatalf("obeyed %v after %v, engine at %d", order, obeyed, engineFence)
				}
				obeyed, engineFence = order, order.Fence()
			case "learn":
				guard.Learn(engineFence)
			case "lag":
				guard.Learn(rapid.Uint64Range(0, engineFence).Draw(t, "old"))
				// A first status that is older than the engine's last order is
				// what the engine itself guards against, not this package.
				engineFence = max(guard.Highest().Fence(), obeyed.Fence())
			case "restart":
				guard, obeyed = NewGuard(), Number{}
			}
		}
	})
}
