package gate

import (
	"testing"
	"time"
)

// Guards against weight transfers that use the full link while live requests are
// slow. That happens if the token gap (here 25 ms after 10 ms) is not compared
// with what the host achieved recently.
func TestTokenSlowdown(t *testing.T) {
	var stats tokenGapStats
	now := time.Unix(1000, 0)
	fill := func(length time.Duration) {
		now = now.Add(gapWindow + time.Second)
		for range 2 * minGapSamples {
			stats.add(now, length)
		}
		stats.update(now)
	}
	for _, tc := range []struct {
		gap  time.Duration
		slow bool
	}{
		{10 * time.Millisecond, false}, {11 * time.Millisecond, false}, {25 * time.Millisecond, true}, {10 * time.Millisecond, false},
	} {
		fill(tc.gap)
		if got := stats.slowdown() > 0.5; got != tc.slow || stats.lastMedian() != tc.gap {
			t.Errorf("gap %v: got slow %v, median %v, want slow %v", tc.gap, got, stats.lastMedian(), tc.slow)
		}
	}
	stats.update(now.Add(time.Minute))
	if got := stats.slowdown(); got != 0 {
		t.Errorf("got slowness %v without samples, want 0", got)
	}
}
