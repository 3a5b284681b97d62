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

// noticeClock is a clock that calls onNotice when the loader waits for the notice period of a busy engine.
type noticeClock struct {
	clockwork.Clock
	onNotice func()
}

func (c noticeClock) After(wait time.Duration) <-chan time.Time {
	if wait == noticePeriod {
		c.onNotice()
	}
	return c.Clock.After(wait)
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
