package fleet

import (
	"math"
	"time"
)

// AgeUnknown is the age of a copy of the store that was never proven complete.
const AgeUnknown = time.Duration(math.MaxInt64)

// proof is when the copy was last proven complete, by Options.Elapsed. It is stricter than
// reader.confirmedAt, which decides when the store is read and counts the reply to a watch as
// of the time at which this process read it.
type proof struct {
	known bool // false if the copy was never proven complete
	at    time.Duration
}

// provenNever is the time at which a copy was proven complete that never was.
const provenNever = time.Duration(math.MinInt64)

// prove records that the copy was complete at a time, or provenNever.
func (p *proof) prove(at time.Duration) {
	if at == provenNever || p.known && at <= p.at {
		return
	}
	p.known, p.at = true, at
}

// age returns the time since the copy was proven complete, or AgeUnknown.
func (p *proof) age(elapsed time.Duration) time.Duration {
	if !p.known {
		return AgeUnknown
	}
	return elapsed - p.at
}

// CopyAge returns the time since the copy was last proven complete. It returns AgeUnknown if
// the copy never was, and at a start while a peer may have a newer configuration. The Listener
// has received all changes that the proof covers. It takes no lock: the lock is held while a
// configuration is decoded.
func (f *Fleet) CopyAge() time.Duration {
	p := f.published.Load()
	if p == nil {
		return AgeUnknown
	}
	return p.age(f.opt.Elapsed())
}

// firstSyncWait is how long an instance that starts waits for the end of a first sync before
// it counts its copy without one. A sync takes a few initial heartbeats.
const firstSyncWait = time.Second

// firstCopyCounts reports whether the first copy of the store can be taken for complete. A
// store that came back from an older copy lacks the newest configuration; peers say which
// version is in force. It is called with the lock held.
func (f *Fleet) firstCopyCounts() bool {
	return (f.synced || f.opt.Now() >= firstSyncWait) && f.listener.ActiveVersion() >= f.peersVersion
}

// publishProof makes the last proof known to CopyAge. It is called with the lock held, after
// the Listener has received what the proof covers.
func (f *Fleet) publishProof() {
	if f.proof.known && (f.published.Load() != nil || f.firstCopyCounts()) {
		p := f.proof
		f.published.Store(&p)
	}
}

// replyProvesAt returns the time as of which the reply to a sync that began at a time proves
// the copy complete, if the peer's copy had the given age.
func replyProvesAt(began, age time.Duration) time.Duration {
	if age == AgeUnknown {
		return provenNever
	}
	return began - age
}

// watchProvesAt returns the time as of which a watch proves the copy complete. Its reply may
// have waited in the socket of a process that was stopped. The store may have written a reply
// with changes at any time since the call began, one without them only when the wait was over.
func watchProvesAt(elapsed time.Duration, c dueRead, changes int) time.Duration {
	if changes > 0 {
		return c.began
	}
	return min(elapsed, c.began+c.wait)
}
