package burst

import (
	"testing"
	"time"
)

// farCopies runs a fleet of 24 hosts in three regions and returns the copies of
// the version that hosts took from other regions.
func farCopies(t *testing.T, dear bool) float64 {
	t.Helper()
	s := newSim(simConfig{hosts: 24, chunks: 96, window: 12 * time.Second, seed: 3, dear: dear})
	s.run()
	if got := s.result(); got.whole != 24 {
		t.Fatalf("got %v, want 24 hosts whole", got)
	}
	pulls := 0
	for _, host := range s.hosts {
		pulls += host.core.Stats().FarPulls
	}
	return float64(pulls) / 96
}

// Symptom: the links between regions carry most of a rollout, and are paid for.
// Sequence: a version is declared; each host asks whoever answers soonest. Cause:
// a host in another region costs hardly more time, so two chunks of three come
// from there.
func TestRegionTakesInOneCopy(t *testing.T) {
	anywhere, dear := farCopies(t, false), farCopies(t, true)
	if anywhere < 10 {
		t.Errorf("got %.1f far copies without the rule, want most of 24: else this shows nothing", anywhere)
	}
	// Two copies are needed. The region that draws a chunk may take it in too
	// before it hears of the draw, and a second host may ask while the first is
	// busy: 4.1 were measured.
	if dear > 4.5 {
		t.Errorf("got %.1f far copies, want at most 4.5", dear)
	}
}

// Symptom: a region stays without a version. Sequence: the host whose turn it is
// to take in a chunk dies. Cause: only that host may, for ever.
func TestNextHostTakesInWhatTheFirstDoesNot(t *testing.T) {
	s := newSim(simConfig{hosts: 24, chunks: 32, window: 8 * time.Second, seed: 5, dear: true, limit: 40 * time.Second})
	s.after(time.Second, func() {
		for _, host := range s.hosts[3:6] {
			host.dead = true
		}
	})
	s.run()
	whole := 0
	for _, host := range s.hosts {
		if !host.dead && host.wholeAt > 0 {
			whole++
		}
	}
	if got, want := whole, 21; got != want {
		t.Errorf("got %d living hosts whole, want %d", got, want)
	}
}

// Symptom: all hosts are whole at the same moment and go out of service at once.
// Sequence: a version is declared, all fetch alike. Cause: nobody yields.
func TestHostsThatPutOffFetchingAreWholeLater(t *testing.T) {
	s := newSim(simConfig{hosts: 24, chunks: 96, window: 12 * time.Second, seed: 3, dear: true})
	for i, host := range s.hosts {
		if i%2 == 1 {
			s.after(simStartSpread, func() { host.core.SetPullFrom(simStart.Add(5 * time.Second)) })
		}
	}
	s.run()
	var early, late time.Duration
	for i, host := range s.hosts {
		if i%2 == 1 {
			late += host.wholeAt / 12
		} else {
			early += host.wholeAt / 12
		}
	}
	if late-early < time.Second {
		t.Errorf("got whole after %v and %v in the mean, want the late ones a second later", early, late)
	}
}

// Symptom: a version that was named while another was on its way comes a second
// late. Sequence: hosts draw the older version; the newer one is named; what they
// asked the origin for goes on coming. Cause: a host that leaves a version kept
// its requests.
func TestAbandonedVersionTakesNothingMore(t *testing.T) {
	s := newSim(simConfig{hosts: 24, chunks: 96, window: 12 * time.Second, seed: 3, dear: true})
	abandoned := 0
	s.after(1500*time.Millisecond, func() {
		for _, host := range s.hosts {
			abandoned += len(host.core.flights)
			host.core.Abandon()
			host.core.SetPaused(true)
			s.decide(host)
		}
	})
	s.after(1600*time.Millisecond, func() {
		for _, host := range s.hosts {
			if got := len(host.core.flights) + len(host.incoming); got != 0 {
				t.Errorf("%s: got %d requests on their way, want none", host.peer.ID, got)
			}
		}
		s.cfg.limit = s.now
	})
	s.run()
	if abandoned == 0 {
		t.Error("nothing was on its way: this shows nothing")
	}
}

// Symptom: answers of an engine wait behind weights on its host's link. Sequence: the
// engine begins to serve while 8 chunks are on their way, which is the bound while it
// is idle. Cause guarded against: a bound that holds for the next version only. What
// is on its way goes on.
func TestHostThatServesAsksForLess(t *testing.T) {
	s := newSim(simConfig{hosts: 24, chunks: 96, window: 12 * time.Second, seed: 3, dear: true, fetches: 8})
	most := func() int {
		found := 0
		for _, host := range s.hosts {
			found = max(found, len(host.core.flights))
		}
		return found
	}
	before := 0
	s.after(1500*time.Millisecond, func() {
		before = most()
		for _, host := range s.hosts {
			host.core.SetMaxFetches(2)
			s.decide(host)
			if got := len(host.core.flights); got > before {
				t.Errorf("%s: got %d requests on their way, want no new ones beyond %d", host.peer.ID, got, before)
			}
		}
	})
	s.after(4*time.Second, func() {
		if got, bound := most(), 2+originFetches; got > bound {
			t.Errorf("got %d requests on their way, want at most %d", got, bound)
		}
	})
	s.run()
	if before <= 2+originFetches {
		t.Errorf("got %d on their way at most before: this shows nothing", before)
	}
	for _, host := range s.hosts {
		if host.wholeAt == 0 {
			t.Errorf("%s: not whole", host.peer.ID)
		}
	}
}
