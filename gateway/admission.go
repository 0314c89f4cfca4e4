package gateway

import (
	"slices"
	"time"

	"github.com/catkinrouter/catkinrouter/discovery"
	"github.com/catkinrouter/catkinrouter/pick"
)

// Times of a call while no upstream has a free slot.
const (
	// queueTargetShare is the share of the route's target that a call waits
	// for a slot before it is refused. A call that gets a slot within that
	// time can still meet its target.
	queueTargetShare = 0.3
	// queuePollInterval is the pause between two searches.
	queuePollInterval = 15 * time.Millisecond
)

// admit picks an upstream with room for the call. If none has room, it waits
// for a short time and then takes the best one, unless many are known to be
// full: requests that queue at upstreams finish late and delay those behind
// them. It returns the call's result and false if the call is not sent.
func (c *call) admit() (choice, callResult, bool) {
	var ch choice
	rejected := reasonNoRoom
	if c.tooLate() {
		return ch, c.reject(reasonTooLate), false
	}
	limit := c.waitLimit()
	found := false
	if c.g.now() >= limit || !c.mustWait() {
		ch, found = c.g.pickUpstream(c)
	}
	if !found {
		if reason := c.cannotWait(limit); reason != "" {
			return ch, c.failureResult(reason), false
		}
	}
	if !c.hasRoom(&ch) && !c.healthUnknown(&ch) {
		ch, rejected = c.waitForRoom(ch, limit)
	}
	switch {
	case c.callerLeft():
		c.g.releaseChoice(ch)
		return ch, callerLeftResult, false
	case c.hasRoom(&ch) || c.mayQueueAtUpstream(&ch):
		return ch, callResult{}, true
	}
	c.logNoRoom(ch)
	c.g.releaseChoice(ch)
	return ch, c.reject(c.reasonUnlessEvacuated(rejected)), false
}

// cannotWait returns why no upstream can get the call before limit, or an empty
// string if one may.
func (c *call) cannotWait(limit time.Duration) string {
	if !c.hasUntried() {
		return c.reasonUnlessEvacuated("no-upstream")
	}
	due, reason := c.blockedUntil(c.callsAhead())
	if due < limit {
		return ""
	}
	return reason
}

// hasUntried reports whether there is an upstream to which the call has not been
// sent.
func (c *call) hasUntried() bool {
	return slices.ContainsFunc(c.upstreams(), func(u *discovery.Upstream) bool { return !c.tried[u.ID] })
}

// upstreams returns the upstreams of the call's service.
func (c *call) upstreams() []*discovery.Upstream {
	return c.g.snapshot.Load().upstreams[c.service.Name]
}

// healthUnknown reports whether the chosen upstream did not answer the probe
// although nothing indicates that the service is full. The fault then lies in
// its health path.
func (c *call) healthUnknown(ch *choice) bool {
	return ch.upstream != nil && ch.report == nil && !c.g.estimates.fullnessOf(c.service.Name).Busy()
}

// mayQueueAtUpstream reports whether the call may be sent to an upstream
// without room: only if nothing indicates that all others are full too.
func (c *call) mayQueueAtUpstream(ch *choice) bool {
	if c.g.estimates.fullnessOf(c.service.Name).Busy() {
		return false
	}
	if ch.upstream == nil {
		// The call waited behind others and has not probed any upstream.
		var ok bool
		if *ch, ok = c.g.pickUpstream(c); !ok {
			return false
		}
	}
	if c.losesRequests() && !pick.MayQueue(ch.report, ch.sentSince, ch.known, len(c.upstreams())) {
		return false
	}
	return c.hasRoom(ch) || ch.report == nil || ch.known < minKnownToRefuse
}

// waitForRoom queues the call for a slot that another call frees, until there
// is room, limit has passed, the caller has disconnected or the queue turns the
// call away; it returns why the call has no room if it has none. Only the first
// call in the queue probes upstreams, on behalf of all: probes of every
// waiting call would take up the slots that they look for.
func (c *call) waitForRoom(ch choice, limit time.Duration) (choice, string) {
	w, queued := c.enqueue()
	if !queued {
		return ch, reasonQueueFull
	}
	for !c.hasRoom(&ch) && c.g.now() < limit && !c.callerLeft() {
		select {
		case next := <-w.slot:
			if c.tried[next.probeResult.upstream.ID] {
				c.g.releaseChoice(next)
				if w, queued = c.enqueue(); !queued {
					return ch, reasonQueueFull
				}
				continue
			}
			c.g.releaseChoice(ch)
			return next, ""
		case <-w.turnedAway:
			return ch, reasonDisplaced
		case <-time.After(min(queuePollInterval, limit-c.g.now())):
			if !c.isFirst(w) {
				continue
			}
			if next, found := c.g.probeFurther(c, ch); found {
				ch = next
			}
		}
	}
	if next, handedOff := c.dequeue(w); handedOff {
		c.g.releaseChoice(next)
	}
	return ch, reasonNoRoom
}

// hasRoom reports whether the chosen upstream can run the call without
// delaying it or other requests.
func (c *call) hasRoom(ch *choice) bool {
	return ch.report != nil && c.g.estimates.fullnessOf(c.service.Name).Room(c.g.now(), ch.report, ch.sentSince) && !c.tooSlow(ch)
}

// tooSlow reports whether the call would miss its target at an upstream that
// is slow at the moment while most others are not.
func (c *call) tooSlow(ch *choice) bool {
	if c.route.TargetLatency == 0 || !c.g.estimates.pacesOf(c.service.Name).Slow(ch.report.Pace) {
		return false
	}
	return c.g.now()-c.arrived+c.expectedTime(*ch) > c.route.TargetLatency
}

// expectedTime returns the time that the call is expected to take at the
// chosen upstream.
func (c *call) expectedTime(ch choice) time.Duration {
	pace := 1.0
	if ch.report != nil {
		pace = max(1, ch.report.Pace)
	}
	return time.Duration(pace * float64(c.work()))
}

// logNoRoom logs the evidence on which the call was refused.
func (c *call) logNoRoom(ch choice) {
	if ch.upstream == nil {
		c.log("no upstream with room", "reason", "waited behind other calls or for rate limits")
		return
	}
	kv := []any{"upstream", ch.upstream.ID, "known", ch.known, "delay", ch.delay}
	if r := ch.report; r != nil {
		kv = append(kv, "running", r.Running, "waiting", r.Waiting, "pace", r.Pace)
	}
	c.log("no upstream with room", kv...)
}
