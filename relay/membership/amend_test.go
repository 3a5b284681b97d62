package membership

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"comfreyrelay.example/relay/wire"
)

// wholeReport is one of a host whose states are as many as asked for.
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

// Symptom: an entry routes by a state that the host left, though its reports
// come. Sequence: whole reports and amendments of two incarnations, each lost,
// doubled or late. Cause: an amendment applied to another whole report than the
// one it amends.
func TestAmendmentsNeverMixReports(t *testing.T) {
	const first, second = "0190-aaaaaaaa", "0191-bbbbbbbb"
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		table := New(DefaultLimits())
		// states[incarnation][sequence] is what the host truly held then.
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
					t.Fatal("a whole report was asked for again")
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
				t.Fatalf("got %v, want the newest load and the host's description", got)
			}
		}
	})
}

// An amendment that nobody made whole must not replace what is held.
func TestAmendmentAloneIsNoReport(t *testing.T) {
	table := New(DefaultLimits())
	if table.ObserveHost(Amend(wholeReport("i-1", 5, 1), 4), time.Unix(1000, 0)) {
		t.Error("got an amendment taken as a report, want it ignored")
	}
	if _, ok := table.Complete(Amend(wholeReport("i-1", 5, 1), 4)); ok {
		t.Error("got an amendment made whole out of nothing, want the whole report asked for")
	}
}
