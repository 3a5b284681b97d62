package gate

import (
	"testing"
	"time"
)

// Symptom: transfers take the link while live requests crawl. Sequence: tokens
// flow at 10 ms, then at 25 ms. Cause: slowness not measured against what the
// host did lately.
func TestTokensSlow(t *testing.T) {
	var measured gaps
	now := time.Unix(1000, 0)
	fill := func(length time.Duration) {
		now = now.Add(gapWindow + time.Second)
		for range 2 * gapSamplesNeeded {
			measured.add(now, length)
		}
		measured.read(now)
	}
	for _, tc := range []struct {
		gap  time.Duration
		slow bool
	}{
		{10 * time.Millisecond, false}, {11 * time.Millisecond, false}, {25 * time.Millisecond, true}, {10 * time.Millisecond, false},
	} {
		fill(tc.gap)
		if got := measured.slow() > 0.5; got != tc.slow || measured.last() != tc.gap {
			t.Errorf("gap %v: got slow %v, median %v, want slow %v", tc.gap, got, measured.last(), tc.slow)
		}
	}
	measured.read(now.Add(time.Minute))
	if got := measured.slow(); got != 0 {
		t.Errorf("got slowness %v without samples, want 0", got)
	}
}
