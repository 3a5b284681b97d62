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

func TestDecideScripts(t *testing.T) {
	datadriven.RunTest(t, "testdata/decide.txt", func(t *testing.T, d *datadriven.TestData) string {
		now := Situation{HaveKnown: true, Verdict: fence.Obey, Phase: drain.Drained}
		var want, have, open, phase string
		d.MaybeScanArgs(t, "want", &want)
		d.MaybeScanArgs(t, "have", &have)
		d.MaybeScanArgs(t, "open", &open)
		d.MaybeScanArgs(t, "phase", &phase)
		now.Want, now.Have, now.Open = loadedText(want), loadedText(have), loadedText(open)
		now.Phase = phaseNamed(phase)
		now.HaveKnown = !d.HasArg("blind")
		now.Pending = d.HasArg("pending")
		now.Whole = d.HasArg("whole")
		now.MaySwitch = d.HasArg("may")
		now.Switching = d.HasArg("switching")
		now.Unwanted = d.HasArg("unwanted")
		now.Backoff = d.HasArg("backoff")
		if d.HasArg("stale") {
			now.Verdict = fence.Refuse
		}
		return fmt.Sprintln(Decide(now))
	})
}

// loadedText reads "v1" or "v1+a1".
func loadedText(text string) gate.Loaded {
	if text == "" {
		return gate.Loaded{}
	}
	version, adapter, _ := strings.Cut(text, "+")
	loaded := gate.Loaded{Model: "parcel", Version: version, Adapters: map[string]string{}}
	if adapter != "" {
		loaded.Adapters["at"] = adapter
	}
	return loaded
}

func phaseNamed(name string) drain.Phase {
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
func TestDecideNeverHarms(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pick := func(name string) gate.Loaded {
			return loadedText(rapid.SampledFrom([]string{"", "v1", "v2", "v2+a1"}).Draw(t, name))
		}
		flag := func(name string) bool { return rapid.Bool().Draw(t, name) }
		now := Situation{
			Want: pick("want"), Have: pick("have"), Open: pick("open"),
			HaveKnown: flag("known"), Pending: flag("pending"), Whole: flag("whole"),
			MaySwitch: flag("may"), Switching: flag("switching"), Unwanted: flag("unwanted"), Backoff: flag("backoff"),
			Verdict: rapid.SampledFrom([]fence.Verdict{fence.Wait, fence.Obey, fence.Refuse}).Draw(t, "verdict"),
			Phase:   rapid.SampledFrom([]drain.Phase{drain.Open, drain.Draining, drain.Cancelling, drain.Drained}).Draw(t, "phase"),
		}
		action := Decide(now)
		if (now.Pending || !now.HaveKnown) && action != Stay {
			t.Fatalf("%v while nothing is known", action)
		}
		switch action {
		case Load, Unload:
			if now.Phase != drain.Drained || now.Verdict != fence.Obey {
				t.Fatalf("%v in phase %v with verdict %v", action, now.Phase, now.Verdict)
			}
			if action == Load && !now.Whole {
				t.Fatal("load of a version that is not whole")
			}
		case Serve:
			if now.Have.Empty() || now.Phase != drain.Drained {
				t.Fatalf("serves %q in phase %v", now.Have.Version, now.Phase)
			}
		case Resume:
			if !now.Open.Equal(now.Have) {
				t.Fatalf("resumes %q while the engine has %q", now.Open.Version, now.Have.Version)
			}
		case Drain:
			if !now.Whole && !now.Unwanted {
				t.Fatal("drains for a version that is not whole")
			}
		case Stay, Shut, SetRole:
		}
	})
}

func TestWavesScripts(t *testing.T) {
	datadriven.RunTest(t, "testdata/waves.txt", func(t *testing.T, d *datadriven.TestData) string {
		in := Waves{Plan: &wire.Plan{}, WhenWhole: d.HasArg("whenWhole"), AbsentLost: d.HasArg("absentLost")}
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
func TestWavesNeverExceedUnavailable(t *testing.T) {
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
		out, going := 0, 0
		for i, self := range plan.GetAssignments() {
			if states[i] == "out" {
				out++
			}
			if states[i] != "old" {
				continue
			}
			if may, _ := MaySwitch(Waves{Plan: plan, Self: self, Hosts: hosts, MaxUnavailable: allowed}); may {
				going++
			}
		}
		if going > 0 && out+going > max(allowed, out) {
			t.Fatalf("%d hosts go while %d are out, want at most %d", going, out, allowed)
		}
		pending := 0
		for _, state := range states {
			if state == "old" {
				pending++
			}
		}
		if pending > 0 && out == 0 && going == 0 {
			t.Fatalf("%d hosts are still to turn, none is out and none may go", pending)
		}
	})
}
