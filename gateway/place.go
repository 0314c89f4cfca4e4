package gateway

import "time"

// Times of a call that finds every upstream at work.
const (
	// holdShare of the route's target is how long a call waits for room
	// before it is refused: a call that is placed by then can still be
	// answered within its target.
	holdShare = 0.3
	// holdStep is the pause between two searches.
	holdStep = 15 * time.Millisecond
)

// place picks an upstream with room for the call. Where none has, it waits a
// short time for one, then takes the best, unless many are known to be full:
// work that queues at upstreams is late when it is done, and delays the next.
func (c *call) place() (choice, ending, bool) {
	var ch choice
	limit := c.arrived + time.Duration(holdShare*float64(c.route.Target))
	if c.g.now() >= limit || !c.g.line.ahead(c.service.Name, c.route.Priority) {
		var ok bool
		if ch, ok = c.g.choose(c); !ok {
			return ch, c.giveUp("no-upstream"), false
		}
	}
	if !c.room(&ch) && !c.unknown(&ch) {
		ch = c.waitForRoom(ch, limit)
	}
	switch {
	case c.callerLeft():
		c.g.giveBack(ch)
		return ch, gone, false
	case c.room(&ch) || c.worthQueueing(&ch):
		return ch, ending{}, true
	}
	c.logNoRoom(ch)
	c.g.giveBack(ch)
	return ch, c.giveUp("no-room"), false
}

// unknown tells whether the chosen upstream did not answer the probe, while
// nothing says that the service is full: then its health path is at fault.
func (c *call) unknown(ch *choice) bool {
	return ch.upstream != nil && ch.report == nil && !c.g.work.full(c.service.Name).Busy()
}

// worthQueueing tells whether the call goes to an upstream without room: where
// there is no reason to think that all others are full too.
func (c *call) worthQueueing(ch *choice) bool {
	if c.g.work.full(c.service.Name).Busy() {
		return false
	}
	if ch.upstream == nil {
		// The call waited behind others and asked nobody itself.
		var ok bool
		if *ch, ok = c.g.choose(c); !ok {
			return false
		}
	}
	return c.room(ch) || ch.report == nil || ch.known < enoughKnown
}

// waitForRoom waits in line for a slot that another call leaves, until there
// is room, the limit has passed or the caller has left. The call at the head
// of the line searches for all: probes of many that wait would take the slots
// that they look for.
func (c *call) waitForRoom(ch choice, limit time.Duration) choice {
	w := c.g.line.join(c.service.Name, c.route.Priority)
	for !c.room(&ch) && c.g.now() < limit && !c.callerLeft() {
		select {
		case next := <-w.slot:
			if c.tried[next.answer.upstream.ID] {
				c.g.giveBack(next)
				w = c.g.line.join(c.service.Name, c.route.Priority)
				continue
			}
			c.g.giveBack(ch)
			return next
		case <-time.After(min(holdStep, limit-c.g.now())):
			if !c.g.line.heads(c.service.Name, w) {
				continue
			}
			if next, found := c.g.searchAgain(c, ch); found {
				ch = next
			}
		}
	}
	if next, came := c.g.line.leave(c.service.Name, w); came {
		c.g.giveBack(next)
	}
	return ch
}

// room tells whether the chosen upstream works on the call without delay to it
// or to others.
func (c *call) room(ch *choice) bool {
	return ch.report != nil && c.g.work.full(c.service.Name).Room(c.g.now(), ch.report, ch.since) && !c.tooSlow(ch)
}

// tooSlow tells whether the call would end after its target at an upstream
// that is slow at this moment, while most are not.
func (c *call) tooSlow(ch *choice) bool {
	if c.route.Target == 0 || !c.g.work.paces(c.service.Name).Slow(ch.report.Pace) {
		return false
	}
	return c.g.now()-c.arrived+c.expected(*ch) > c.route.Target
}

// expected is the time that the call takes at the upstream chosen.
func (c *call) expected(ch choice) time.Duration {
	pace := 1.0
	if ch.report != nil {
		pace = max(1, ch.report.Pace)
	}
	return time.Duration(pace * float64(c.g.work.of(c.route.Name)))
}

// logNoRoom says what was known when the call was refused.
func (c *call) logNoRoom(ch choice) {
	if ch.upstream == nil {
		c.log("no room", "reason", "others wait")
		return
	}
	kv := []any{"upstream", ch.upstream.ID, "known", ch.known, "delay", ch.delay}
	if r := ch.report; r != nil {
		kv = append(kv, "running", r.Running, "waiting", r.Waiting, "pace", r.Pace)
	}
	c.log("no room", kv...)
}
