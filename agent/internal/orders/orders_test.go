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

// parseContent parses "v1" or "v1+a1" (version and adapter version); empty text
// means no content.
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

// parsePhase returns the phase of the given name, or Drained for any other text.
func parsePhase(name string) drain.Phase {
	for _, phase := range []drain.Phase{drain.Open, drain.Draining, drain.Cancelling} {
		if phase.String() == name {
			return phase
		}
	}
	return drain.Drained
}

// Guards against answers from mixed or unwanted weights, for arbitrary inputs. They
// would come from an order that is issued while the gate is open, for incomplete
// weights or from an outdated plan, or from a gate that opens for unconfirmed
// content.
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
			t.Fatalf("got %v while an order is pending or the content is unknown, want no action", action)
		}
		switch action {
		case Load, Unload:
			if in.GatePhase != drain.Drained || in.Verdict != fence.Obey {
				t.Fatalf("got %v in gate phase %v with verdict %v, want drained and obey", action, in.GatePhase, in.Verdict)
			}
			if action == Load && !in.WeightsComplete {
				t.Fatal("got a load of incomplete weights")
			}
		case Serve:
			if in.Actual.Empty() || in.GatePhase != drain.Drained {
				t.Fatalf("got serve for %q in gate phase %v, want content and a drained gate", in.Actual.Version, in.GatePhase)
			}
		case Resume:
			if !in.GateContent.Equal(in.Actual) {
				t.Fatalf("got resume for %q while the engine has %q", in.GateContent.Version, in.Actual.Version)
			}
		case Drain:
			if !in.WeightsComplete && !in.Unassigned {
				t.Fatal("got a drain for incomplete weights")
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

// parseHost parses "<id> <wave> <version>=<state>... [lost|leaving|absent]
// [domain=<name>]". Every host is assigned v2. The host is nil if it is absent,
// that is, without a report.
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

// Guards against more hosts of a failure domain being out of service than the
// document allows. Hosts decide one after another on the same reports, and two of
// one wave could both conclude that they may switch. Also checks that a rollout
// never stalls.
func TestMaySwitchKeepsMaxUnavailable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 8).Draw(t, "hosts")
		allowed := rapid.IntRange(1, 3).Draw(t, "max")
		plan := &wire.Plan{}
		hosts := make([]view.Host, count)
		states := make([]string, count) // progress of the switch to v2: old, out or new
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
			t.Fatalf("%d hosts may switch while %d are out of service, want at most %d", switching, unavailable, allowed)
		}
		pending := 0
		for _, state := range states {
			if state == "old" {
				pending++
			}
		}
		if pending > 0 && unavailable == 0 && switching == 0 {
			t.Fatalf("%d hosts have yet to switch, but none is switching and none may switch", pending)
		}
	})
}
