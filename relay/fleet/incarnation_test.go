package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"comfreyrelay.example/relay/fleet"
)

// TestEndpointRestart runs testdata/births: an engine restarts under its id.
//
// It guards against requests that go to an engine with nothing loaded, wait for answers that never
// arrive, or avoid a healthy engine. The engine dies and restarts under the same id; its
// registration, its agent's report and the outcomes of its earlier requests arrive in any order.
// What is known of the earlier incarnation must not be applied to the new one.
func TestEndpointRestart(t *testing.T) {
	w := newFixture()
	grants := map[string]*fleet.Grant{}
	datadriven.RunTest(t, "testdata/births", func(t *testing.T, td *datadriven.TestData) string {
		number := func(key string) int {
			var found int
			td.ScanArgs(t, key, &found)
			return found
		}
		name := func(key string) string {
			var found string
			td.ScanArgs(t, key, &found)
			return found
		}
		switch td.Cmd {
		case "new":
			w = newFixture()
		case "register":
			w.fleet.Register(fleet.Registration{
				ID: name("id"), Born: int64(number("born")), Service: "llm", Address: address(1), FailureDomain: "d1",
				Slots: 16, Loaded: map[string]uint64{"m": uint64(number("version"))},
			})
			w.assignAll()
		case "agent":
			w.fleet.Observe("llm", address(1), fleet.EngineState{
				Born: int64(number("born")), Alive: true, Running: number("running"), Loaded: map[string]uint64{"m": uint64(number("version"))},
			})
		case "wait":
			w.now = w.now.Add(time.Duration(number("millis")) * time.Millisecond)
		case "send":
			request := need
			if td.HasArg("after") {
				request.Exclude = []fleet.Incarnation{grants[name("after")].Incarnation()}
			}
			grant, verdict := w.fleet.Group("llm").Pick(request)
			if verdict != fleet.Granted {
				return map[fleet.Verdict]string{fleet.Full: "full", fleet.NoEndpoint: "nobody"}[verdict]
			}
			grants[name("as")] = grant
			return fmt.Sprintf("%s born=%d occupied=%d", grant.ID(), grant.Incarnation().Born, grant.Occupied())
		case "over":
			return fmt.Sprint(grants[name("of")].Restarted())
		case "end":
			grants[name("of")].Done(map[string]fleet.Outcome{"served": fleet.Served, "silent": fleet.Silent}[name("outcome")])
		case "unread":
			return fmt.Sprint(w.fleet.PendingPrefill("llm", address(1)))
		default:
			t.Fatalf("unknown command %q", td.Cmd)
		}
		return "ok"
	})
}

// Checks that reports may arrive in any order: once both sources have reported the newest
// incarnation, nothing of an earlier one counts, and no request of an earlier one is counted there.
func TestNewestIncarnationWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newFixture()
		births := rapid.SliceOfNDistinct(rapid.Int64Range(1, 1e6), 1, 4, rapid.ID[int64]).Draw(t, "births")
		registered, observed := 0, -1
		report := func() {
			w.fleet.Register(fleet.Registration{ID: "e-1", Born: births[registered], Service: "llm", Address: address(1),
				FailureDomain: "d1", Slots: 16, Loaded: map[string]uint64{"m": 1}})
		}
		report()
		w.assignAll()
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				registered = min(len(births)-1, registered+rapid.IntRange(0, 1).Draw(t, "next"))
				report()
			case 1:
				observed = min(len(births)-1, max(0, observed)+rapid.IntRange(0, 1).Draw(t, "seen"))
				w.observeState(1, fleet.EngineState{Born: births[observed], Alive: true})
			case 2:
				if grant, verdict := w.fleet.Group("llm").Pick(need); verdict == fleet.Granted && rapid.Bool().Draw(t, "ends") {
					grant.Done(fleet.Silent)
				}
			case 3:
				w.now = w.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "millis")) * time.Millisecond)
			}
		}
		newest := len(births) - 1
		behind := registered < newest
		registered = newest
		report()
		w.observeState(1, fleet.EngineState{Born: births[newest], Alive: true})
		w.now = w.now.Add(5 * time.Second)
		w.observeState(1, fleet.EngineState{Born: births[newest], Alive: true})
		grant, verdict := w.fleet.Group("llm").Pick(fleet.Need{Model: "m", Domain: "d1", Entries: 1, Extra: 100})
		if verdict != fleet.Granted {
			t.Fatalf("got verdict %v, want a grant", verdict)
		}
		if got, want := grant.Incarnation(), (fleet.Incarnation{ID: "e-1", Born: births[newest]}); got != want {
			t.Errorf("got incarnation %v, want %v", got, want)
		}
		if got, want := w.fleet.PendingPrefill("llm", address(1)), 0; behind && observed < newest && got != want {
			t.Errorf("got %d prompt tokens waiting in an incarnation that began now, want %d", got, want)
		}
	})
}
