package revision

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"comfreyrelay.example/relay/wire"
)

var start = time.Date(2026, 1, 7, 9, 0, 0, 0, time.UTC)

func root(revision uint32, content string) *wire.Root {
	return &wire.Root{Revision: revision, SubmissionId: content, Audit: &wire.Audit{ContentHash: content}}
}

// TestScripts runs the commands in testdata and compares their output.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		state, now := &State{}, start
		datadriven.RunTest(t, path, func(t *testing.T, cmd *datadriven.TestData) string {
			return run(t, cmd, state, &now)
		})
	})
}

func run(t *testing.T, cmd *datadriven.TestData, state *State, now *time.Time) string {
	number := func(key string) int {
		value := 0
		cmd.MaybeScanArgs(t, key, &value)
		return value
	}
	content := "x"
	cmd.MaybeScanArgs(t, "content", &content)
	var verdict Verdict
	switch cmd.Cmd {
	case "root":
		verdict = state.AdoptRoot(root(uint32(number("revision")), content))
	case "plan":
		verdict = state.AdoptPlan(&wire.Plan{PlanRevision: uint32(number("revision")), Fence: uint64(number("fence"))})
	case "drains":
		verdict = state.AdoptDrains(&wire.DrainMarks{Revision: uint64(number("revision"))})
	case "clock":
		*now = now.Add(time.Duration(number("seconds")) * time.Second)
		return show(state, *now)
	case "confirm":
		state.Confirm(uint32(number("revision")), now.Add(-time.Duration(number("ago"))*time.Second))
		return show(state, *now)
	case "hear":
		known := &wire.Known{Revision: uint32(number("revision")), AgeMillis: uint64(number("ageMillis"))}
		if cmd.HasArg("unknown") {
			known.AgeMillis = UnknownAge
		}
		state.ObserveKnown(known, *now)
		return fmt.Sprintf("offers news: %t\n%s", state.Offers(known), show(state, *now))
	default:
		t.Fatalf("unknown command %s", cmd.Cmd)
	}
	return verdict.String() + "\n" + show(state, *now)
}

func show(state *State, now time.Time) string {
	age := "unconfirmed"
	if since, known := state.Age(now); known {
		age = since.String()
	}
	return strings.TrimSpace(fmt.Sprintf("revision %d plan %d drains %d age %s", state.Root().GetRevision(),
		state.Plan().GetPlanRevision(), state.Drains().GetRevision(), age)) + "\n"
}

// TestNeverFalls guards against replacing a current version or confirmation by
// an older one when messages arrive in any order from sources that lag, repeat
// messages or were restored from an old backup.
func TestNeverFalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state, now := &State{}, start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			before, confirmed := state.Known(now), state.ConfirmedAt()
			offer := uint32(rapid.IntRange(0, 8).Draw(t, "offer"))
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				state.AdoptRoot(root(offer, rapid.SampledFrom([]string{"x", "y"}).Draw(t, "content")))
			case 1:
				state.AdoptPlan(&wire.Plan{PlanRevision: offer, Fence: uint64(offer)})
			case 2:
				state.AdoptDrains(&wire.DrainMarks{Revision: uint64(offer)})
			case 3:
				state.ObserveKnown(&wire.Known{Revision: offer, AgeMillis: rapid.Uint64().Draw(t, "age")}, now)
			default:
				now = now.Add(time.Duration(rapid.IntRange(-5, 5).Draw(t, "jump")) * time.Second)
			}
			after := state.Known(now)
			if after.GetRevision() < before.GetRevision() || after.GetPlanRevision() < before.GetPlanRevision() ||
				after.GetDrainRevision() < before.GetDrainRevision() {
				t.Fatalf("got %v after %v, want no older version", after, before)
			}
			if state.ConfirmedAt().Before(confirmed) {
				t.Fatalf("got the confirmation at %v after %v, want it not to go back", state.ConfirmedAt(), confirmed)
			}
			if age, known := state.Age(now); known && age < 0 {
				t.Fatalf("got age %v, want 0 or more", age)
			}
		}
	})
}
