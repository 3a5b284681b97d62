package burst

import (
	"slices"
	"testing"
	"time"
)

// Guards against a version reaching 88 hosts long after the origin could have sent it, because
// hosts wait for each other between two origin fetches or chunks spread only after the last one.
// The origin's link is slower than a host's: 4.38 against 7.3 Mbit/s. A copy of 96 chunks of
// 24,576 bytes takes 4.31 and 2.59 s; while the engines serve, a host's link needs 3.1 s. The
// origin fetches of a version take the time of one copy. The first and the last host were measured
// to complete after 5.4 and 5.7 s (mean of three seeds), with 1.06 copies for the seed used here.
func TestSlowOriginBoundsCompletionTime(t *testing.T) {
	const originCopy = 4310 * time.Millisecond
	s := newSim(simConfig{
		hosts: 88, chunks: 96, copyWindow: 40 * time.Second, originCopy: originCopy, hostCopy: 3100 * time.Millisecond,
		drawWindow: 14, maxFetches: 4, originCopies: 3, costlyRegions: true, seed: 1,
	})
	s.run()
	var times []time.Duration
	for _, host := range s.hosts {
		times = append(times, host.completeAt)
	}
	slices.Sort(times)
	if got, maximum := times[len(times)-1], originCopy*3/2; times[0] == 0 || got > maximum {
		t.Errorf("hosts complete from %v to %v, want all by %v, the time of one and a half copies from the origin", times[0], got, maximum)
	}
	if got := s.result().copies; got > 1.1 {
		t.Errorf("got %.2f copies from the origin, want at most 1.1", got)
	}
}
