package fleet

import "time"

// peerClock relates a peer's clock to that of this instance. Both count the time since the
// start of their process with Options.Elapsed. A message names moments of its sender's clock,
// so it proves no more when it has waited: in a socket, on the way, or in a sender that was
// stopped before it sent it.
//
// The relation comes from a round trip, as in NTP (RFC 5905), but only one of its bounds is
// used: the peer had received a message at the moment answered of its clock, so that moment is
// not before the one at which this instance sent the message.
type peerClock struct {
	known bool
	// incarnation is the peer's run that the clock belongs to.
	incarnation uint64
	// sent is a time of this instance's clock, answered a later moment by the peer's clock.
	sent, answered time.Duration
}

// maxClockDrift is by how much two clocks may run apart, as a part of the time that passes:
// each may be slewed by 500 ppm.
const maxClockDrift = 1e-3

// ownTime returns a time of this instance's clock that is not after the given moment of the
// peer's clock.
func (c peerClock) ownTime(at time.Duration) time.Duration {
	since := at - c.answered
	return c.sent + since - time.Duration(maxClockDrift*float64(since.Abs()))
}

// observe records that the peer had received, at the moment answered of its clock, a message
// that this instance sent at the time sent. The round trip with the closer bound is kept.
func (c *peerClock) observe(incarnation uint64, sent, answered time.Duration) {
	if c.known && c.incarnation == incarnation && c.ownTime(answered) > sent {
		return
	}
	*c = peerClock{known: true, incarnation: incarnation, sent: sent, answered: answered}
}

// ownTimeOf returns the time at which a heartbeat was made, or an earlier one, by this
// instance's clock. It returns false if that is not known. A heartbeat from the future shows
// that the relation no longer holds.
func (c *peerClock) ownTimeOf(b heartbeat, elapsed time.Duration) (at time.Duration, ok bool) {
	if !c.known || c.incarnation != b.Incarnation {
		return 0, false
	}
	if at = c.ownTime(b.SentAt); at > elapsed {
		c.known = false
		return 0, false
	}
	return at, true
}

// receivedHeartbeat is the newest heartbeat of a peer, as the next one to the peer names it.
type receivedHeartbeat struct {
	incarnation uint64
	// sentAt is by the peer's clock, receivedAt by that of this instance.
	sentAt, receivedAt time.Duration
}
