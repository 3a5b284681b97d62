package membership

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"comfreyrelay.example/relay/wire"
)

// wholeReport returns a host's whole report with the given number of version states.
func wholeReport(incarnation string, sequence uint64, states int) *wire.HostReport {
	report := &wire.HostReport{
		Node:     &wire.Node{Id: "h", Incarnation: incarnation, Role: "agent", ControlAddress: "10.0.0.1:1"},
		Sequence: sequence, Slots: 8, Running: uint32(sequence), Home: "e",
	}
	for range states {
		report.Versions = append(report.Versions, &wire.VersionState{Model: "m", State: "serving"})
	}
	return report
}

// Symptom: an entry routes by an outdated state of a host although the host's
// reports arrive. Sequence: whole reports and amendments of two incarnations are
// lost, duplicated or delayed. Cause: an amendment was applied to a whole report
// other than its base.
func TestAmendmentsNeverMixReports(t *testing.T) {
	const first, second = "0190-aaaaaaaa", "0191-bbbbbbbb"
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		table := New(DefaultLimits())
		// states[incarnation][sequence] is the host's actual number of states then.
		states := map[string][]int{}
		var sent []*wire.HostReport
		for _, incarnation := range []string{first, second} {
			base, stored := uint64(0), 0
			states[incarnation] = []int{0}
			for sequence := uint64(1); sequence <= 8; sequence++ {
				changed := sequence == 1 || rapid.Bool().Draw(t, "changed")
				if changed {
					stored = rapid.IntRange(0, 3).Draw(t, "states")
				}
				states[incarnation] = append(states[incarnation], stored)
				report := wholeReport(incarnation, sequence, stored)
				if changed {
					base = sequence
				} else {
					report = Amend(report, base)
				}
				sent = append(sent, report)
			}
		}
		for range 40 {
			report := proto.CloneOf(rapid.SampledFrom(sent).Draw(t, "arrives"))
			whole, ok := table.Complete(report)
			if !ok {
				if !IsAmendment(report) {
					t.Fatal("got a whole report refused, want it accepted")
				}
				continue
			}
			table.ObserveHost(whole, now)
			got := table.members["h"].report
			want := states[got.GetNode().GetIncarnation()][got.GetSequence()]
			if len(got.GetVersions()) != want {
				t.Fatalf("got %d states at sequence %d, want %d", len(got.GetVersions()), got.GetSequence(), want)
			}
			if got.GetRunning() != uint32(got.GetSequence()) || got.GetNode().GetControlAddress() == "" {
				t.Fatalf("got %v, want the load of its sequence and the host's description", got)
			}
		}
	})
}

// An amendment that was not completed must not replace the stored report.
func TestAmendmentAloneIsNoReport(t *testing.T) {
	table := New(DefaultLimits())
	if table.ObserveHost(Amend(wholeReport("i-1", 5, 1), 4), time.Unix(1000, 0)) {
		t.Error("got an amendment stored as a report, want it ignored")
	}
	if _, ok := table.Complete(Amend(wholeReport("i-1", 5, 1), 4)); ok {
		t.Error("got an amendment completed without a stored report, want the whole report requested")
	}
}
