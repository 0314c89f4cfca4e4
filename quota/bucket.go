package quota

import "time"

// recheckAfter is the age from which a limit that prevents requests may be out
// of date: the upstream may have lifted it since.
const recheckAfter = 2 * time.Second

// Bucket admits this instance's requests to one upstream, as a virtual
// scheduling algorithm (GCRA, ITU-T I.371). The zero value has no limit. It is
// not safe for concurrent use.
type Bucket struct {
	limit  Limit
	seenAt time.Duration
	// share is this instance's part of the limit by division.
	share    share
	division *Division
	// nextDue is when the next request is due at even intervals. It may be sent
	// burstTolerance earlier.
	nextDue time.Duration
}

// Observe records what a reply of the upstream named, and reports whether that
// is new.
func (b *Bucket) Observe(now time.Duration, l Limit) bool {
	changed := l != b.limit
	b.limit, b.seenAt = l, now
	if changed {
		b.division = nil // the share is outdated
	}
	if !l.Named {
		b.share = share{}
	}
	return changed
}

// Limit returns the limit that the upstream named last.
func (b *Bucket) Limit() Limit { return b.limit }

// Admission is whether a request may be sent to an upstream.
type Admission struct {
	Admitted bool
	// Limited is set if the upstream names a limit, Held if this instance holds a
	// part of it.
	Limited, Held bool
	// Due is when the holder may send its next request, Interval the time between
	// two of them.
	Due, Interval time.Duration
	// Recheck is set if the limit may be out of date.
	Recheck bool
}

// Check reports whether a request may be sent to the upstream now.
func (b *Bucket) Check(now time.Duration, d *Division, upstream string) Admission {
	if !b.limit.Named {
		return Admission{Admitted: true}
	}
	b.updateShare(now, d, upstream)
	a := Admission{
		Limited: true, Held: b.share.held, Due: b.nextDue - burstTolerance, Interval: b.share.interval,
		Recheck: now-b.seenAt >= recheckAfter,
	}
	a.Admitted = a.Held && now >= a.Due
	return a
}

// Take counts a request if it may be sent now, and reports whether it may.
func (b *Bucket) Take(now time.Duration, d *Division, upstream string) bool {
	switch a := b.Check(now, d, upstream); {
	case !a.Admitted:
		return false
	case !a.Limited:
		return true
	}
	b.nextDue = max(b.nextDue, now) + b.share.interval
	return true
}

// Return gives back a request that Take counted and that was not sent.
func (b *Bucket) Return() {
	if b.share.held {
		b.nextDue -= b.share.interval
	}
}

// updateShare computes the share again if the division or the limit changed. A
// new holder begins within its first interval, not at once: the holder before it
// may just have sent.
func (b *Bucket) updateShare(now time.Duration, d *Division, upstream string) {
	if b.division == d || d == nil {
		return
	}
	before := b.share
	b.share, b.division = d.share(upstream, b.limit), d
	switch {
	case !b.share.held:
	case !before.held:
		b.nextDue = now + burstTolerance + time.Duration(b.share.phase*float64(b.share.interval))
	default:
		b.nextDue = min(b.nextDue, now+b.share.interval)
	}
}
