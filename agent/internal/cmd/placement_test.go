package cmd

import (
	"strings"
	"testing"
	"time"

	"comfreyrelay.example/relay/fallback"
	"comfreyrelay.example/relay/wire"
)

// shortLimits returns limits that detect an outage after about a second.
func shortLimits() fallback.Limits {
	return fallback.Limits{Outage: time.Second, Settle: 200 * time.Millisecond, LostAfter: 200 * time.Millisecond, Pause: time.Minute}
}

// Guards against losing replicas during a long outage of the key-value service.
// The plan names h0, which died; h1 replaces it under a new id while the plan
// can't change. Later the service is back and the plan assigns another version
// to h1. A host must be usable without being named in the plan.
func TestReplacedHostServesInAnOutage(t *testing.T) {
	t.Parallel()
	b := newTestBench(t)
	b.limits = shortLimits()
	first := b.publish("weights of the first version")
	second := b.publish("weights of the other version")
	b.assign(1, 7, first)
	b.entry.change(func() {
		b.entry.plan.Assignments[0].Host = "h0"
		b.entry.hosts = []*wire.HostReport{{
			Node: &wire.Node{Id: "h0", Incarnation: "h0-1", Role: "agent", Region: "r1", FailureDomain: "d1", ControlAddress: "127.0.0.1:1"},
			Lost: true, Home: "e1", AgeMillis: 60_000,
		}}
	})
	b.start()
	defer b.stop()
	b.eventually("some syncs in normal times", func() bool { return b.entry.last().GetSequence() > 6 })
	if got := b.entry.last().GetVersions(); len(got) > 0 {
		t.Errorf("got %v while the service confirms the document, want nothing", got)
	}
	b.entry.change(func() { b.entry.age = time.Hour })
	b.eventually("the lost host's place is taken", func() bool { return b.entry.serves(first) })
	if got, want := b.run("r1", first, nil).last(), "end"; got != want {
		t.Errorf("got last frame %s, want %s", got, want)
	}
	if got, want := b.entry.last().GetFence(), uint64(7); got != want {
		t.Errorf("got fence %d, want %d of the plan in force", got, want)
	}
	b.entry.change(func() { b.entry.age = 0 })
	b.assign(2, 9, second)
	b.eventually("the next plan is obeyed", func() bool { return b.entry.serves(second) })
	if !strings.Contains(b.log.String(), "ends the place") {
		t.Errorf("got no log line that the place ended, want one")
	}
}
