package onsite

import (
	"testing"
	"time"
)

// Symptom: an engine that started again stays without weights, or loads what is
// not there. Sequence: it dies, by a crash or by a loss of power, and starts again
// under the id it had, its count of orders anew and, after a loss of power, its
// stage empty. Cause: the orders, the fencing number that was refused and the
// chunks staged were those of its former incarnation.
func TestRestartedEngineLoadsCompleteWeights(t *testing.T) {
	for name, powerLoss := range map[string]bool{"crash": false, "power": true} {
		t.Run(name, func(t *testing.T) {
			s := newTestSite(t, 1, 1, 0)
			s.sendGuidance(1, 1)
			for len(s.engines[2].Loads()) == 0 {
				time.Sleep(5 * time.Millisecond)
			}
			s.engines[2].Restart(2000, powerLoss)
			for len(s.engines[2].Loads()) < 2 {
				time.Sleep(5 * time.Millisecond)
			}
			s.checkLoads(t)
		})
	}
}

// A fencing number that the former incarnation refused is good in the next one.
func TestNextIncarnationIgnoresRefusedFencingNumber(t *testing.T) {
	s := newTestSite(t, 1, 1, 0)
	s.engines[2].Restart(1000, false)
	s.engines[2].RequireFence(9)
	s.sendGuidance(1, 5)
	for s.agents[2].loader.refusedFence.Load() != 5 {
		time.Sleep(5 * time.Millisecond)
	}
	s.engines[2].Restart(2000, false)
	for len(s.engines[2].Loads()) == 0 {
		time.Sleep(5 * time.Millisecond)
	}
	s.checkLoads(t)
}
