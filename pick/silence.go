package pick

import "time"

// Parameters of silent losses.
const (
	// silentBackoff is the backoff after one silent loss; each further loss doubles it, up
	// to maxSilentBackoff.
	silentBackoff    = 250 * time.Millisecond
	maxSilentBackoff = 2 * time.Second
	// An attempt is taken as lost after lostFactor times its expected time of silence, at
	// least minLostAfter.
	lostFactor   = 3
	minLostAfter = 300 * time.Millisecond
	// givenUpShare of a route's timeout without a byte is also enough for a silent loss:
	// the expected time of some routes is close to their timeout.
	givenUpShare = 0.9
	// silentLossMemory is how long a service counts as affected after a silent loss.
	silentLossMemory = 10 * time.Second
)

// LostAfter returns how long an attempt with the given expected time may be silent before it
// is taken as lost. It answers upstreams that never answer a request for which their queue has
// no room.
func LostAfter(expected time.Duration) time.Duration { return max(lostFactor*expected, minLostAfter) }

// IsSilentLoss reports whether an attempt that was given up after the given time without a
// byte of a reply counts as a silent loss. One that was given up sooner may only be slow.
func IsSilentLoss(silent, expected, timeout time.Duration) bool {
	return silent >= min(LostAfter(expected), time.Duration(givenUpShare*float64(timeout)))
}

// Silence is the backoff of one upstream after silent losses. The zero value has none.
type Silence struct {
	losses          int
	lastLoss, until time.Duration
}

// RecordLoss records a silent loss of a request that was sent at sentAt. Requests that were
// in flight together count as one loss: their number says nothing of how long it lasts.
func (s *Silence) RecordLoss(now, sentAt time.Duration) {
	if s.losses == 0 || sentAt > s.lastLoss {
		s.losses++
		s.lastLoss = now
	}
	backoff := silentBackoff
	for n := 1; n < s.losses && backoff < maxSilentBackoff; n++ {
		backoff *= 2
	}
	s.until = now + min(backoff, maxSilentBackoff)
}

// RecordReply records a reply to a request, which ends the backoff and its growth.
func (s *Silence) RecordReply() { *s = Silence{} }

// Active reports whether the upstream is in backoff.
func (s *Silence) Active(now time.Duration) bool { return now < s.until }

// SilentLosses holds when the last silent loss of each service was seen. The zero value has
// none. It is not safe for concurrent use.
type SilentLosses struct{ last map[string]time.Duration }

// Record records a silent loss at an upstream of a service.
func (l *SilentLosses) Record(now time.Duration, service string) {
	if l.last == nil {
		l.last = map[string]time.Duration{}
	}
	l.last[service] = now
}

// Recent reports whether a silent loss of the service was seen within silentLossMemory.
func (l *SilentLosses) Recent(now time.Duration, service string) bool {
	at, seen := l.last[service]
	if seen && now-at >= silentLossMemory {
		delete(l.last, service)
		return false
	}
	return seen
}

// MayQueue reports whether a request may be sent to an upstream of an affected service after
// its report, nil for none. One that reports no free slot may lose the request, so it gets
// one only if nothing is known of the others: known upstreams of total were probed or are in
// backoff.
func MayQueue(r *Report, sentSince, known, total int) bool {
	return r == nil || r.Free(sentSince) || known <= 1 && total > 1
}
