package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// elapsedClock returns a clock of the time since now, with the time for which the machine is
// suspended. It returns otherwise if that clock can't be read.
func elapsedClock(otherwise func() time.Duration) func() time.Duration {
	started, err := bootTime()
	if err != nil {
		return otherwise
	}
	return func() time.Duration {
		t, _ := bootTime() // a clock that was read once can be read again
		return t - started
	}
}

// bootTime returns the time since the machine started, with its suspensions.
func bootTime() (time.Duration, error) {
	var t unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return time.Duration(t.Nano()), err
}
