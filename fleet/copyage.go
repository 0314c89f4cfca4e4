package fleet

import (
	"math"
	"time"
)

// AgeUnknown is the age of a copy of the store that was never confirmed complete.
const AgeUnknown = time.Duration(math.MaxInt64)

// confirmation is the last confirmation of the copy, for CopyAge.
type confirmation struct {
	at time.Duration
	// suspended is the time since then for which the machine was suspended, as far as it
	// was counted when Options.Suspended returned total.
	suspended, total time.Duration
}

// CopyAge returns the time since the copy was last confirmed complete, with the time for
// which the machine was suspended until now, or AgeUnknown, also at a start while a peer may have a
// newer configuration. The Listener has received all
// changes that the confirmation covers. It takes no lock: the lock is held while a
// configuration is decoded.
func (f *Fleet) CopyAge() time.Duration {
	c := f.confirmation.Load()
	if c == nil {
		return AgeUnknown
	}
	return f.opt.Now() - c.at + c.suspended + f.suspendedSince(c.total)
}

// soloStart is how long an instance that starts waits for the end of a first sync before it
// takes itself for alone. A sync takes a few initial heartbeats.
const soloStart = time.Second

// firstCopyCounts reports whether the first copy of the store can be taken for complete. A store
// that came back from an older copy lacks the newest configuration, of which peers tell.
func (f *Fleet) firstCopyCounts() bool {
	return (f.synced || f.opt.Now() >= soloStart) && f.listener.ActiveVersion() >= f.peersVersion
}

// publishConfirmation makes the reader's state known to CopyAge. It is called with the lock
// held, after the Listener has received what the confirmation covers.
func (f *Fleet) publishConfirmation() {
	if f.reader.confirmed && (f.confirmation.Load() != nil || f.firstCopyCounts()) {
		f.confirmation.Store(&confirmation{at: f.reader.confirmedAt, suspended: f.reader.suspended, total: f.suspended})
	}
}

// minSuspension is the shortest suspension that is counted; less is the
// difference between two clocks that are not read at the same moment.
const minSuspension = 100 * time.Millisecond

// suspendedSince returns the time for which the machine was suspended since
// Options.Suspended returned total.
func (f *Fleet) suspendedSince(total time.Duration) time.Duration {
	lost := f.opt.Suspended() - total
	if lost < minSuspension {
		return 0
	}
	return lost
}

// fullAge returns the age of the copy with the suspension that was not counted yet. It is
// called with the lock held.
func (f *Fleet) fullAge(now time.Duration) time.Duration {
	return f.reader.age(now) + f.suspendedSince(f.suspended)
}

// watchProvesAt returns the time as of which a watch proves the copy complete. Its reply may
// have waited in the socket of a process that stood still. One with changes may have been
// written at any time since the call began; one without them was not before the wait was over.
func watchProvesAt(now time.Duration, c dueRead, changes int) time.Duration {
	if changes > 0 {
		return c.began
	}
	return min(now, c.began+c.wait)
}
