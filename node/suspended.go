package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspended returns the total time for which the machine was suspended since it
// started, to within the time between two readings of a clock: the difference of
// a clock that runs on during a suspension and one that does not. It returns 0 if
// the clocks can't be read.
func suspended() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
