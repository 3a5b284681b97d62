package burst

import (
	"os"
	"testing"
	"time"
)

// TestTrial prints the figures of larger runs; set BURST_TRIAL to run it.
func TestTrial(t *testing.T) {
	if os.Getenv("BURST_TRIAL") == "" {
		t.Skip("set BURST_TRIAL=1 to print the figures of larger runs")
	}
	for _, hosts := range []int{50, 200} {
		began := time.Now()
		s := newSim(simConfig{hosts: hosts, chunks: 256, window: 30 * time.Second, seed: 1})
		s.run()
		t.Logf("N=%d %v draws=%d reqs=%d took=%v", hosts, s.result(), s.maxDraws, s.originReqs, time.Since(began).Round(time.Millisecond))
	}
}
