package route

import (
	"testing"
	"time"
)

// Symptom: one request in a hundred is ten times as late although every entry
// leaves the slow host out. Nine entries each probe it every few seconds.
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

// Symptom: a host that was slow for a while gets no requests ever after. The
// answers that it still had when it was left out made it look too expensive to
// be probed.
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
