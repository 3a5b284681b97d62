package freshness

import (
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// BootClock returns the time since the machine booted, including suspensions.
//
// Rule CLOCK of spec/freshness.pml.
func BootClock() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Linux has this clock since 2.6.39. The largest value is returned so
		// that no state counts as fresh and requests are refused.
		return 1<<63 - 1
	}
	return time.Duration(now.Nano())
}

// maxOffsetAge is how long a Clock may take to notice the end of a suspension. A Proof notices it
// at once.
const maxOffsetAge = 20 * time.Millisecond

// Clock is a real clock whose time includes suspensions of the machine and ignores steps of the
// time of day. Ages and deadlines computed from it hold across a suspension, as those of Go's
// monotonic clock do not. Its timers do not run during a suspension. It is safe for concurrent use.
type Clock struct {
	clockwork.Clock
	boot      func() time.Duration // counts suspensions
	steady    func() time.Duration // does not
	startedAt time.Time            // time of day at the start, without a monotonic reading
	bootStart time.Duration        // reading of boot at the start

	offset     atomic.Int64 // boot minus steady, nanoseconds; grows with each suspension
	measuredAt atomic.Int64 // reading of steady when offset was measured
}

// NewClock returns a Clock that starts at the present time of day.
func NewClock() *Clock {
	start := time.Now()
	return NewClockOf(start, BootClock, func() time.Duration { return time.Since(start) })
}

// NewClockOf returns a Clock that starts at a time of day and reads two clocks, the first of which
// counts suspensions.
func NewClockOf(startedAt time.Time, boot, steady func() time.Duration) *Clock {
	c := &Clock{Clock: clockwork.NewRealClock(), boot: boot, steady: steady, startedAt: startedAt.Round(0), bootStart: boot()}
	c.measureOffset()
	return c
}

// measureOffset compares the two clocks. The steady clock is read last, so that a process that
// stands still between the readings measures too small an offset, and the largest one is kept.
func (c *Clock) measureOffset() {
	boot := c.boot()
	steady := c.steady()
	measured := int64(boot - steady)
	for known := c.offset.Load(); measured > known && !c.offset.CompareAndSwap(known, measured); {
		known = c.offset.Load()
	}
	c.measuredAt.Store(int64(steady))
}

// Now returns the current time.
func (c *Clock) Now() time.Time {
	steady := c.steady()
	if int64(steady)-c.measuredAt.Load() >= int64(maxOffsetAge) {
		c.measureOffset()
	}
	return c.startedAt.Add(steady + time.Duration(c.offset.Load()) - c.bootStart)
}

// Since returns the time since t, which this clock returned.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time until t, which was computed from a time that this clock returned.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }
