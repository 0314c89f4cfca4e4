package fleet

import (
	"time"

	"github.com/go-kit/log/level"
)

const (
	// pauseAfter is the time without a tick after which this process has stood still.
	pauseAfter = 5 * HeartbeatInterval / 2
	// minSuspension is the shortest suspension of the machine that is counted; less is the
	// difference between two clocks that are not read at the same moment.
	minSuspension = 100 * time.Millisecond
)

// noticePause notices that this process stood still: that it was stopped, or the machine
// suspended. It is called with the lock held, before anything is judged that may have waited
// meanwhile.
func (f *Fleet) noticePause() {
	suspended := f.countSuspension()
	elapsed := f.opt.Elapsed()
	lost := elapsed - f.aliveAt
	if f.aliveAt == 0 || lost < pauseAfter {
		return
	}
	f.aliveAt, f.resumedAt = elapsed, elapsed
	f.table.resume(f.opt.Now(), lost-suspended)
	f.counts.Pauses++
	level.Warn(f.opt.Log).Log("msg", "process stood still", "for", lost, "copy_age", f.proof.age(elapsed))
}

// countSuspension adds the time for which the machine was suspended to the time since the
// last confirmation of the copy: the clock that Now reads did not count it. It returns what was
// not counted before.
func (f *Fleet) countSuspension() (lost time.Duration) {
	elapsed := f.opt.Elapsed() // first: a stop between the two must not count as a suspension
	if lost = elapsed - f.opt.Now() - f.suspended; lost < minSuspension {
		return 0
	}
	f.suspended += lost
	f.reader.countSuspension(f.opt.Now(), lost)
	level.Warn(f.opt.Log).Log("msg", "machine was suspended", "for", lost, "copy_age", f.reader.age(f.opt.Now()))
	return lost
}
