package entry

import (
	"time"

	"github.com/catkinrouter/catkinrouter/attempt"
)

const (
	// attemptGrace is how long after the deadline the end of an attempt is
	// still waited for, before its caller is answered without it.
	attemptGrace = 20 * time.Millisecond
	// abandonAfter is how long after the deadline a keyed call's attempt is
	// waited for, for the sake of repeats.
	abandonAfter = 30 * time.Second
)

// attend looks at a call whose timer was due.
func (n *Node) attend(now time.Duration, c *call, out []Step) []Step {
	if now < c.deadline {
		if c.hedgeAt != 0 && c.hedgeAt <= now {
			out = n.hedge(now, c, out)
		}
		return out
	}
	switch c.stage {
	case queued:
		c.svc.limiter.Remove(c.ticket)
		return n.end(now, c, refusal(attempt.NotRun, attempt.ReasonDeadline), out)
	case joined:
		n.record.Leave(c.Key, c.ID)
		return n.end(now, c, refusal(attempt.Unknown, attempt.ReasonDeadline), out)
	}
	if now < c.deadline+attemptGrace {
		n.timers.add(c.deadline+attemptGrace, c.ID)
		return out
	}
	return n.overdue(now, c, out)
}

// overdue answers a call whose attempt did not end in time. A keyed call's
// attempt goes on: its end settles the record.
func (n *Node) overdue(now time.Duration, c *call, out []Step) []Step {
	a := refusal(attempt.Unknown, attempt.ReasonDeadline)
	if !c.keyed || now >= c.deadline+abandonAfter {
		return n.end(now, c, a, out)
	}
	n.timers.add(c.deadline+abandonAfter, c.ID)
	return n.tell(c, a, out)
}

// Cancel takes the caller's leaving before its answer. It frees what the call
// holds and gives up its attempts, but those of a keyed call, whose end
// settles the record.
func (n *Node) Cancel(now time.Duration, id uint64, out []Step) []Step {
	now = n.advance(now)
	c := n.calls[id]
	if c == nil {
		return out
	}
	c.told = true
	switch {
	case c.stage == queued:
		c.svc.limiter.Remove(c.ticket)
	case c.stage == joined:
		n.record.Leave(c.Key, c.ID)
	case c.keyed:
		return out
	}
	out = n.end(now, c, refusal(attempt.NotRun, attempt.ReasonCancelled), out)
	return n.release(now, out)
}
