package orders

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"comfreyrelay.example/agent/internal/gate"
	"comfreyrelay.example/relay/drain"
	"comfreyrelay.example/relay/fence"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

func TestDecide(t *testing.T) {
	datadriven.RunTest(t, "testdata/decide.txt", func(t *testing.T, d *datadriven.TestData) string {
		in := DecisionInputs{ActualKnown: true, Verdict: fence.Obey, GatePhase: drain.Drained}
		var desired, actual, gateContent, phase string
		d.MaybeScanArgs(t, "want", &desired)
		d.MaybeScanArgs(t, "have", &actual)
		d.MaybeScanArgs(t, "open", &gateContent)
		d.MaybeScanArgs(t, "phase", &phase)
		in.Desired, in.Actual, in.GateContent = parseContent(desired), parseContent(actual), parseContent(gateContent)
		in.GatePhase = parsePhase(phase)
		in.ActualKnown = !d.HasArg("blind")
		in.Pending = d.HasArg("pending")
		in.WeightsComplete = d.HasArg("whole")
		in.MaySwitch = d.HasArg("may")
		in.DrainedForDesired = d.HasArg("switching")
		in.Unassigned = d.HasArg("unwanted")
		in.InBackoff = d.HasArg("backoff")
		if d.HasArg("stale") {
			in.Verdict = fence.Refuse
		}
		return fmt.Sprintln(Decide(in))
	})
}

// parseContent reads "v1" or "v1+a1".
func parseContent(text string) gate.Loaded {
	if text == "" {
		return gate.Loaded{}
	}
	version, adapter, _ := strings.Cut(text, "+")
	content := gate.Loaded{Model: "parcel", Version: version, Adapters: map[string]string{}}
	if adapter != "" {
		content.Adapters["at"] = adapter
	}
	return content
}

func parsePhase(name string) drain.Phase {
	for _, phase := range []drain.Phase{drain.Open, drain.Draining, drain.Cancelling} {
		if phase.String() == name {
			return phase
		}
	}
	return drain.Drained
}

// Symptom: an answer from mixed or unwanted weights. Sequence: any situation
// whatever. Cause: an order with the gate open, for bytes that are not whole, or
// in the name of an old plan; a gate opened for what was not confirmed.
func TestDecideSafety(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pick := func(name string) gate.Loaded {
			return parseContent(rapid.SampledFrom([]string{"", "v1", "v2", "v2+a1"}).Draw(t, name))
		}
		flag := func(name string) bool { return rapid.Bool().Draw(t, name) }
		in := DecisionInputs{
			Desired: pick("want"), Actual: pick("have"), GateContent: pick("open"),
			ActualKnown: flag("known"), Pending: flag("pending"), WeightsComplete: flag("whole"),
			MaySwitch: flag("may"), DrainedForDesired: flag("switching"), Unassigned: flag("unwanted"), InBackoff: flag("backoff"),
			Verdict:   rapid.SampledFrom([]fence.Verdict{fence.Wait, fence.Obey, fence.Refuse}).Draw(t, "verdict"),
			GatePhase: rapid.SampledFrom([]drain.Phase{drain.Open, drain.Draining, drain.Cancelling, drain.Drained}).Draw(t, "phase"),
		}
		action := Decide(in)
		if (in.Pending || !in.ActualKnown) && action != NoAction {
			t.Fatalf("%v while nothing is known", action)
		}
		switch action {
		case Load, Unload:
			if in.GatePhase != drain.Drained || in.Verdict != fence.Obey {
				t.Fatalf("%v in phase %v with verdict %v", action, in.GatePhase, in.Verdict)
			}
			if action == Load && !in.WeightsComplete {
				t.Fatal("load of a version that is not whole")
			}
		case Serve:
			if in.Actual.Empty() || in.GatePhase != drain.Drained {
				t.Fatalf("serves %q in phase %v", in.Actual.Version, in.GatePhase)
			}
		case Resume:
			if !in.GateContent.Equal(in.Actual) {
				t.Fatalf("resumes %q while the engine has %q", in.GateContent.Version, in.Actual.Version)
			}
		case Drain:
			if !in.WeightsComplete && !in.Unassigned {
				t.Fatal("drains for a version that is not whole")
			}
		case NoAction, CloseGate, SetRole:
		}
	})
}

func TestMaySwitch(t *testing.T) {
	datadriven.RunTest(t, "testdata/waves.txt", func(t *testing.T, d *datadriven.TestData) string {
		in := SwitchInputs{Plan: &wire.Plan{}, RequireComplete: d.HasArg("whenWhole"), TreatAbsentAsLost: d.HasArg("absentLost")}
		var self string
		d.ScanArgs(t, "self", &self)
		d.MaybeScanArgs(t, "max", &in.MaxUnavailable)
		for _, line := range strings.Split(d.Input, "\n") {
			assignment, host := parseHost(line)
			in.Plan.Assignments = append(in.Plan.Assignments, assignment)
			if host != nil {
				in.Hosts = append(in.Hosts, *host)
			}
			if assignment.GetHost() == self {
				in.Self = assignment
			}
		}
		may, holdUp := MaySwitch(in)
		if holdUp != "" {
			return fmt.Sprintf("%v: %s\n", may, holdUp)
		}
		return fmt.Sprintln(may)
	})
}

// parseHost reads "<id> <wave> <version>=<state>... [lost|leaving|absent]
// [domain=<name>]"; everyone is to turn to v2.
func parseHost(line string) (*wire.Assignment, *view.Host) {
	words := strings.Fields(line)
	assignment := &wire.Assignment{Host: words[0], Model: "parcel", Version: "v2", FailureDomain: "d1"}
	_, _ = fmt.Sscan(words[1], &assignment.Wave)
	report := &wire.HostReport{Node: &wire.Node{Id: words[0]}}
	var lost, leaving, absent bool
	for _, word := range words[2:] {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "lost":
			lost = true
		case "leaving":
			leaving = true
		case "absent":
			absent = true
		case "domain":
			assignment.FailureDomain = value
		default:
			report.Versions = append(report.Versions, &wire.VersionState{Model: "parcel", Version: name, State: value})
		}
	}
	if absent {
		return assignment, nil
	}
	host := view.NewHost(report, time.Time{}, leaving, lost)
	return assignment, &host
}

// Symptom: more hosts of a failure domain are out than the document allows.
// Sequence: hosts turn one after another, each deciding on the same reports.
// Cause: two hosts of one wave that both think it is their turn.
func TestMaySwitchKeepsMaxUnavailable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 8).Draw(t, "hosts")
		allowed := rapid.IntRange(1, 3).Draw(t, "max")
		plan := &wire.Plan{}
		hosts := make([]view.Host, count)
		states := make([]string, count) // of the roll to v2
		for i := range count {
			plan.Assignments = append(plan.Assignments, &wire.Assignment{
				Host: fmt.Sprintf("h%d", i), Model: "parcel", Version: "v2", FailureDomain: "d1",
				Wave: rapid.Uint32Range(0, 2).Draw(t, "wave"),
			})
			states[i] = rapid.SampledFrom([]string{"old", "old", "out", "new"}).Draw(t, "state")
			version := &wire.VersionState{Model: "parcel", Version: "v1", State: stateServing}
			switch states[i] {
			case "out":
				version = &wire.VersionState{Model: "parcel", Version: "v2", State: stateLoading}
			case "new":
				version = &wire.VersionState{Model: "parcel", Version: "v2", State: stateServing}
			}
			report := &wire.HostReport{Node: &wire.Node{Id: fmt.Sprintf("h%d", i)}, Versions: []*wire.VersionState{version}}
			hosts[i] = view.NewHost(report, time.Time{}, false, false)
		}
		unavailable, switching := 0, 0
		for i, self := range plan.GetAssignments() {
			if states[i] == "out" {
				unavailable++
			}
			if states[i] != "old" {
				continue
			}
			if may, _ := MaySwitch(SwitchInputs{Plan: plan, Self: self, Hosts: hosts, MaxUnavailable: allowed}); may {
				switching++
			}
		}
		if switching > 0 && unavailable+switching > max(allowed, unavailable) {
			t.Fatalf("%d hosts go while %d are out, want at most %d", switching, unavailable, allowed)
		}
		pending := 0
		for _, state := range states {
			if state == "old" {
				pending++
			}
		}
		if pending > 0 && unavailable == 0 && switching == 0 {
			t.Fatalf("%d hosts are still to turn, none is out and none may go", pending)
		}
	})
}
