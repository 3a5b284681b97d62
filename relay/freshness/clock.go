package freshness

import (
	"time"

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
