package onsite

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/platform/platformtest"
	"comfreyrelay.example/relay/freshness"
)

// suspendTime is how long the tests' hosts stand still.
const suspendTime = 4 * time.Second

// noticeClock is a clock that calls onNotice in place of the notice period of a busy engine.
type noticeClock struct {
	clockwork.Clock
	onNotice func()
}

func (c noticeClock) After(wait time.Duration) <-chan time.Time {
	if wait != noticePeriod {
		return c.Clock.After(wait)
	}
	c.onNotice()
	return c.Clock.After(0)
}

// Guards against an engine that serves corrupted weights (rule WHOLE of the platform): a staged chunk is
// corrupted and the host stands still between the verification and the load order.
func TestLoadOrderAfterSuspensionVerifiesAgain(t *testing.T) {
	var suspended atomic.Int64
	var once sync.Once
	s := newAdjustedSite(t, func(s *testSite, member *agent) {
		engine := s.engines[len(s.engines)-1]
		engine.SetRunning(1) // idle engines get a shorter notice
		member.loader.bootClock = func() time.Duration { return freshness.BootClock() + time.Duration(suspended.Load()) }
		member.loader.clock = noticeClock{member.loader.clock, func() {
			once.Do(func() {
				engine.CorruptChunk(3)
				suspended.Add(int64(suspendTime))
			})
		}}
	}, 1)
	s.origin.Add(2, platformtest.Chunks(2, testChunks, testSize))
	s.sendGuidance(2, 5)
	s.awaitVersion(t, 2)
	s.checkLoads(t)
	if got := suspended.Load(); got == 0 {
		t.Error("got no suspension, want one during the notice period")
	}
}

// Guards against an agent whose deadlines for loading a version are later by the time for which its
// machine was suspended (rule VERSION of the platform).
func TestAgentClockCountsSuspensions(t *testing.T) {
	s := newTestSite(t, 1)
	if _, ok := s.agents[0].clock.(*freshness.Clock); !ok {
		t.Errorf("got a clock of type %T, want one that counts suspensions", s.agents[0].clock)
	}
}

// Guards against an engine that loads missing chunks: it restarts without any while its agent stands
// still, and the agent sends the order by a report from before.
func TestLoadOrderAfterSuspensionReadsReportAgain(t *testing.T) {
	var once sync.Once
	s := newAdjustedSite(t, func(s *testSite, member *agent) {
		engine := s.engines[len(s.engines)-1]
		engine.SetRunning(1) // idle engines get a shorter notice
		member.loader.clock = noticeClock{member.loader.clock, func() {
			once.Do(func() { engine.Restart(2000, true) })
		}}
	}, 1)
	s.origin.Add(2, platformtest.Chunks(2, testChunks, testSize))
	s.sendGuidance(2, 5)
	s.awaitVersion(t, 2)
	s.checkLoads(t)
}

// Guards against an engine that serves corrupted weights: the host stands still while a load order
// is on its way, and a staged chunk is corrupted in that time. An engine whose weights turn out to be
// intact must keep serving.
func TestEngineWithCorruptedWeightsIsWithheld(t *testing.T) {
	for name, corrupted := range map[string]bool{"corrupted": true, "intact": false} {
		t.Run(name, func(t *testing.T) {
			var suspended atomic.Int64
			s := newAdjustedSite(t, func(s *testSite, member *agent) {
				member.loader.bootClock = func() time.Duration { return freshness.BootClock() + time.Duration(suspended.Load()) }
				s.engines[0].BeforeOrder(func(staged map[int][]byte) {
					if suspended.Load() > 0 {
						return
					}
					suspended.Add(int64(suspendTime))
					if corrupted {
						staged[3] = []byte("corrupted")
					}
				})
			}, 1)
			s.origin.Add(2, platformtest.Chunks(2, testChunks, testSize))
			s.sendGuidance(2, 5)
			s.awaitVersion(t, 2)
			s.awaitSettled(t, 2)
			if got := s.agents[0].poller.message().GetBusy(); got != corrupted {
				t.Errorf("got an engine reported busy %v after the load, want %v", got, corrupted)
			}
			s.origin.Add(3, platformtest.Chunks(3, testChunks, testSize))
			s.sendGuidance(3, 6)
			s.awaitVersion(t, 3)
			s.awaitSettled(t, 3)
			if s.agents[0].poller.message().GetBusy() {
				t.Error("got an engine reported busy after it loaded the next version, want one that serves")
			}
		})
	}
}

// awaitSettled waits until the first agent's loader has taken a step after a load.
func (s *testSite) awaitSettled(t *testing.T, version uint64) {
	t.Helper()
	poller := s.agents[0].poller
	settled := func() bool {
		poller.mu.Lock()
		defer poller.mu.Unlock()
		return poller.state.Loaded[testModel] == version && !poller.loadPending
	}
	for !settled() {
		time.Sleep(time.Millisecond)
	}
}
