package freshness

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock returns the time since the machine's start, suspensions included.
//
// Rule CLOCK of spec/freshness.pml.
func BootClock() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Every Linux since 2.6.39 has this clock; without it nothing would
		// ever be fresh, which refuses requests and opens nothing.
		return 1<<63 - 1
	}
	return time.Duration(now.Nano())
}
