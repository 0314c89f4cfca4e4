package quota

import "time"

// ColdBucket admits this instance's requests to one cold upstream: at most its part in a
// coldWindow, paced as by a virtual scheduling algorithm (GCRA, ITU-T I.371). It is not
// safe for concurrent use.
type ColdBucket struct {
	limit   ColdLimit
	share   coldShare
	version uint64
	// nextDue is when the next request is due at even intervals. It may be sent one
	// interval earlier.
	nextDue time.Duration
	// sent holds the times of the requests within the last coldWindow.
	sent []time.Duration
}

// Check reports whether a request may be sent to the upstream now.
func (b *ColdBucket) Check(now time.Duration, v *ColdView, upstream, dataCentre string, l ColdLimit) Admission {
	if l.PerSecond <= 0 {
		return Admission{Admitted: true}
	}
	b.updateShare(now, v, upstream, dataCentre, l)
	a := Admission{Limited: true, Held: b.share.part > 0, Due: b.nextDue - b.share.interval, Interval: b.share.interval}
	if n := len(b.sent); a.Held && n >= b.share.part {
		a.Due = max(a.Due, b.sent[n-b.share.part]+coldWindow)
	}
	a.Admitted = a.Held && now >= a.Due
	return a
}

// Take counts a request if it may be sent now, and reports whether it may.
func (b *ColdBucket) Take(now time.Duration, v *ColdView, upstream, dataCentre string, l ColdLimit) bool {
	switch a := b.Check(now, v, upstream, dataCentre, l); {
	case !a.Admitted:
		return false
	case !a.Limited:
		return true
	}
	b.nextDue = max(b.nextDue, now) + b.share.interval
	first := 0
	for first < len(b.sent) && b.sent[first] <= now-coldWindow {
		first++
	}
	b.sent = append(b.sent[first:], now)
	return true
}

// Return gives back a request that Take counted at the given time and that was not sent. Of
// those that count it drops the oldest, since the later ones may have been sent.
func (b *ColdBucket) Return(at time.Duration) {
	if len(b.sent) > 0 && at >= b.sent[0] {
		b.sent = b.sent[1:]
	}
	b.nextDue -= b.share.interval
}

// updateShare computes the share again if the view or the limit changed. A new holder
// begins within its first interval, so that holders do not start together.
func (b *ColdBucket) updateShare(now time.Duration, v *ColdView, upstream, dataCentre string, l ColdLimit) {
	if now >= v.changesAt {
		v.update(now)
	}
	if b.version == v.version && b.limit == l {
		return
	}
	held := b.share.part > 0
	b.share, b.version, b.limit = v.share(now, upstream, dataCentre, l), v.version, l
	switch {
	case b.share.part == 0:
	case !held:
		b.nextDue = now + b.share.interval + time.Duration(b.share.phase*float64(b.share.interval))
	default:
		b.nextDue = min(b.nextDue, now+b.share.interval)
	}
}
