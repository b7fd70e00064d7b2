package bwgateway

import (
	"time"

	"golang.org/x/sys/unix"
)

// uptime returns the time since the VM was started, with the time for which it was
// suspended, which the clock of time.Now does not count. It is 0 if the clock can't be
// read.
func uptime() time.Duration {
	var tsp unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &tsp); err != nil {
		return 0
	}
	return time.Duration(tsp.Nano())
}
