package onsite

import (
	"testing"
	"time"
)

// Guards against an engine that gets no weights after a restart, or that is ordered to load
// chunks which are not staged any more. After a crash or a power loss the engine restarts
// under its former ID with its count of orders reset and, after a power loss, with an empty
// staging area. The agent still relied on the count, the refused fencing number and the
// staged chunks of the former incarnation.
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

// A fencing number that one incarnation of the engine refused may be used in the next one.
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
