package spread

import (
	"fmt"
	"testing"
	"time"

	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

// Guards against a neighbour that never learns of far entries in a deployment of hundreds:
// the reports of near entries change all the time, a message holds only a few, and refreshes
// of near entries fill it before any far entry is reported.
func TestFarEntriesAreReported(t *testing.T) {
	const entries, byteLimit, rounds = 300, 600, 120
	own := &wire.EntryReport{Node: &wire.Node{Id: "own", Incarnation: "1", FailureDomain: "d0", Region: "r0"}}
	digest := NewEntryDigest(time.Second)
	reported := map[string]bool{}
	for round := range rounds {
		now := start.Add(time.Duration(round) * 2 * time.Second)
		var others []view.Peer
		for i := range entries {
			others = append(others, view.NewPeer(changingEntryReport(i, round), now, false, false))
		}
		for _, report := range digest.Select(own, others, "receiver", now, byteLimit) {
			reported[report.GetNode().GetId()] = true
		}
	}
	delete(reported, "own")
	if got, want := len(reported), entries; got != want {
		t.Errorf("entries reported after %d messages: got %d, want %d", rounds, got, want)
	}
}

// changingEntryReport returns the report of entry i, which changes each round. The first 100
// entries are near the sender and the rest far.
func changingEntryReport(i, round int) *wire.EntryReport {
	domain, region := "d0", "r0"
	if i >= 100 {
		domain, region = "d9", "r9"
	}
	return &wire.EntryReport{
		Node: &wire.Node{
			Id: fmt.Sprintf("entry-%03d", i), Incarnation: "1", Role: "entry", FailureDomain: domain, Region: region,
			ControlAddress: "10.0.0.1:7000", CallersAddress: "10.0.0.1:7001",
		},
		Sequence: uint64(round + 1),
		InFlight: uint32(round),
	}
}
