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
	// lateHeartbeat is the time on its way from which a heartbeat is counted and logged.
	lateHeartbeat = time.Second
)

// readClocks returns the times of Options.Now and Options.Elapsed. It notices first whether this
// process stood still: whether it was stopped, or the machine suspended. It is called with the
// lock held, before anything is judged that may have waited meanwhile.
func (f *Fleet) readClocks() (now, elapsed time.Duration) {
	elapsed = f.opt.Elapsed() // first: a stop between the two must not count as a suspension
	now = f.opt.Now()
	suspended := f.countSuspension(now, elapsed)
	if lost := elapsed - f.aliveAt; f.aliveAt > 0 && lost >= pauseAfter {
		f.resume(now, elapsed, lost, suspended)
	}
	return now, elapsed
}

// resume gives up what does not hold after this process stood still for the time lost, during a
// part of which the machine was suspended.
func (f *Fleet) resume(now, elapsed, lost, suspended time.Duration) {
	f.aliveAt, f.resumedAt = elapsed, elapsed
	f.table.resume(now, lost-suspended)
	f.counts.Pauses++
	level.Warn(f.opt.Log).Log("msg", "process stood still", "for", lost, "copy_age", f.proof.age(elapsed))
}

// countSuspension adds the time for which the machine was suspended to the time since the
// last confirmation of the copy: the clock that Now reads did not count it. It returns what was
// not counted before.
func (f *Fleet) countSuspension(now, elapsed time.Duration) (lost time.Duration) {
	if lost = elapsed - now - f.suspended; lost < minSuspension {
		return 0
	}
	f.suspended += lost
	f.reader.countSuspension(now, lost)
	level.Warn(f.opt.Log).Log("msg", "machine was suspended", "for", lost, "copy_age", f.reader.age(now))
	return lost
}

// confirm records that the copy was complete at a time of Options.Elapsed. It returns true if
// this ends an outage of the store. A time before a suspension counts as older than it is.
func (f *Fleet) confirm(at time.Duration) (returned bool) { return f.reader.confirm(at - f.suspended) }

// lateHeartbeats sums up heartbeats that were late: an instance that wakes may find hundreds.
type lateHeartbeats struct {
	count int64
	// longest is the longest time on the way, of a heartbeat from the peer.
	longest time.Duration
	peer    string
}

// add counts a heartbeat that was under way for a time.
func (l *lateHeartbeats) add(peer string, delay time.Duration) {
	l.count++
	if delay > l.longest {
		l.longest, l.peer = delay, peer
	}
}

// logLateHeartbeats logs and counts the heartbeats that were late since the last tick.
func (f *Fleet) logLateHeartbeats() {
	if f.late.count == 0 {
		return
	}
	f.counts.LateHeartbeats += f.late.count
	level.Info(f.opt.Log).Log("msg", "heartbeats were late", "count", f.late.count, "longest", f.late.longest, "from", f.late.peer)
	f.late = lateHeartbeats{}
}
