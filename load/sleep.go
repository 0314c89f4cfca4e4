package load

import (
	"syscall"
	"time"
)

// sleepFor blocks the calling thread for d. It is finer than time.Sleep, whose
// timers wait in whole milliseconds while the process is idle.
func sleepFor(d time.Duration) {
	if d <= 0 {
		return
	}
	ts := syscall.NsecToTimespec(d.Nanoseconds())
	for syscall.Nanosleep(&ts, &ts) == syscall.EINTR {
	}
}
