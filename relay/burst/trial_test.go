package burst

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestTrial logs the results of larger runs; set BURST_TRIAL to run it.
func TestTrial(t *testing.T) {
	if os.Getenv("BURST_TRIAL") == "" {
		t.Skip("set BURST_TRIAL=1 to run larger simulations")
	}
	for _, hosts := range trialSizes() {
		for _, seed := range []uint64{1, 2, 3}[:trialSeeds()] {
			began := time.Now()
			s := newSim(simConfig{
				hosts: hosts, chunks: 256, copyWindow: 30 * time.Second, seed: seed,
				strategy: os.Getenv("BURST_STRATEGY"), shared: os.Getenv("BURST_SHARED") != "",
			})
			s.logsProgress = os.Getenv("BURST_VERBOSE") != ""
			s.run()
			t.Logf("N=%d %v draws=%d reqs=%d took=%v", hosts, s.result(), s.peakOriginFetches, s.originRequests, time.Since(began).Round(time.Millisecond))
		}
	}
}

func trialSizes() []int {
	var sizes []int
	for _, field := range strings.Fields(os.Getenv("BURST_SIZES")) {
		size, _ := strconv.Atoi(field)
		sizes = append(sizes, size)
	}
	if sizes == nil {
		sizes = []int{50, 200}
	}
	return sizes
}

func trialSeeds() int {
	if os.Getenv("BURST_SEEDS") == "3" {
		return 3
	}
	return 1
}
