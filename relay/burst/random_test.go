package burst

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestRandomFaults runs small fleets under several random faults at once, with the invariant
// checks of Core enabled. After the faults, every host with a working link must complete the
// version, and the origin must not exceed its budget of copies.
func TestRandomFaults(t *testing.T) {
	const runs = 25
	for seed := range uint64(runs) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 7))
			cfg := simConfig{
				hosts: 6 + rng.IntN(24), chunks: 16 + rng.IntN(50), copyWindow: 10 * time.Second,
				seed: seed, originCopies: 1 + rng.IntN(3), corrupt: 0.02 * rng.Float64(), limit: 90 * time.Second,
			}
			if rng.IntN(2) == 0 {
				cfg.objective = ObjectiveOriginBytes
			}
			s := newSim(cfg)
			planRandomFaults(t, s, rng)
			s.run()
			res := s.result()
			if res.complete < res.live {
				t.Errorf("got %d of %d hosts complete, want all: %v", res.complete, res.live, res)
			}
			if want := 2.0; res.copies > want {
				t.Errorf("got %.2f copies from the origin, want at most %.2f", res.copies, want)
			}
		})
	}
}

func planRandomFaults(t *testing.T, s *sim, rng *rand.Rand) {
	few := func() string { return fmt.Sprint(1 + rng.IntN(1+s.cfg.hosts/8)) }
	kinds := []func() [2]string{
		func() [2]string { return [2]string{"kill", few()} },
		func() [2]string { return [2]string{"restart", few()} },
		func() [2]string { return [2]string{"stall", "1"} },
		func() [2]string { return [2]string{"stallFor3s", few()} },
		func() [2]string { return [2]string{"slow", "1"} },
		func() [2]string { return [2]string{"corruptAll", "1"} },
		func() [2]string { return [2]string{"killDomain", "domain-1"} },
		func() [2]string { return [2]string{"cut", "region-2"} },
		func() [2]string { return [2]string{"origin", "down"} },
		func() [2]string { return [2]string{"origin", "refuses"} },
	}
	for range 1 + rng.IntN(4) {
		change := kinds[rng.IntN(len(kinds))]()
		at := time.Duration(rng.IntN(4000)) * time.Millisecond
		s.scheduleFault(at, func() { s.applyFault(t, change[0], change[1]) })
	}
	s.scheduleFault(8*time.Second, func() {
		s.applyFault(t, "join", "")
		s.applyFault(t, "origin", "up")
	})
}
