package connlimit

import (
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// reservedDescriptors is the number of descriptors that are kept for files, the store,
	// peers, lookups, readiness checks and metrics, or half of all if that is less.
	reservedDescriptors = 600
	// descriptorsPerCall is the number that a caller's request takes: the caller's
	// connection and one to an upstream.
	descriptorsPerCall = 2
	// minCallers is the least bound of callers' connections.
	minCallers = 16
)

// MaxCallers returns how many connections of callers a process with so many descriptors
// may hold, so that some are left for all else; 0 if the number is not known.
func MaxCallers(descriptors int) int {
	if descriptors <= 0 {
		return 0
	}
	left := descriptors - min(reservedDescriptors, descriptors/2)
	return max(minCallers, left/descriptorsPerCall)
}

// Descriptors returns the number of descriptors that the process may open: that of the
// settings, 0 if they have none, or the operating system's limit if that is lower.
func Descriptors(set int, l log.Logger) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		level.Warn(l).Log("msg", "limit of descriptors not read", "err", err)
		return set
	}
	if set > 0 && limit.Cur >= uint64(set) {
		return set
	}
	if set > 0 {
		level.Warn(l).Log("msg", "fewer descriptors than the settings say", "settings", set, "limit", limit.Cur,
			"remedy", "raise the limit of open files (ulimit -n)")
	}
	return int(min(limit.Cur, 1<<30))
}
