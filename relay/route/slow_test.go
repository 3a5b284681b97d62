package route

import (
	"testing"
	"time"
)

// One request in a hundred took ten times as long although every entry had ejected
// the slow host: each of nine entries probed it every few seconds.
func TestSlowHostProbesAreLimitedAcrossEntries(t *testing.T) {
	s := newSim(Affinity, 14, 9)
	s.hosts[3].gap = 10 * simGap
	before := 0
	s.after(5*time.Second, func() { before = s.hosts[3].picked })
	s.run(0.6*14*simCapacity, 65*time.Second)
	probes := s.hosts[3].picked - before
	t.Logf("%d probes in 60 s", probes)
	if probes > 15 {
		t.Errorf("got %d requests on the slow host in 60 s, want at most 15", probes)
	}
}

// A host that had been slow for a while never got requests again: answers that it
// finished after its ejection made it look too expensive to probe.
func TestRecoveredHostGetsTraffic(t *testing.T) {
	s := newSim(Affinity, 14, 9)
	s.hosts[3].gap = 10 * simGap
	before, arrived := 0, 0
	s.after(10*time.Second, func() { s.hosts[3].gap = simGap })
	s.after(100*time.Second, func() { before, arrived = s.hosts[3].picked, s.arrived })
	s.run(0.6*14*simCapacity, 130*time.Second)
	fraction := float64(s.hosts[3].picked-before) / float64(s.arrived-arrived)
	t.Logf("recovered host got %.4f of the requests", fraction)
	if fraction < 0.04 {
		t.Errorf("got %.4f of the requests on the recovered host, want about 0.07", fraction)
	}
}
