package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// start stands in for the boot where the system has no such clock.
var start = time.Now()

func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(start)
	}
	return time.Duration(ts.Nano())
}
