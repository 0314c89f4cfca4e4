package entry

import (
	"time"

	"github.com/catkinrouter/catkinrouter/attempt"
)

const (
	// attemptGrace is the time after the deadline during which an attempt may
	// still end before the caller is answered without its result.
	attemptGrace = 20 * time.Millisecond
	// keyedAttemptGrace is the time after the deadline at which a keyed call's
	// attempt is cancelled. It goes on until then because repeats can still be
	// answered with its reply.
	keyedAttemptGrace = 30 * time.Second
)

// onTimer handles a call with a timer that has fired: it starts a due hedge. Once
// the deadline has passed, it ends a call that is queued or joined, and leaves
// attempts in progress until attemptGrace is over.
func (n *Node) onTimer(now time.Duration, c *call, out []Step) []Step {
	if now < c.deadline {
		if c.hedgeAt != 0 && c.hedgeAt <= now {
			out = n.startHedge(now, c, out)
		}
		return out
	}
	switch c.stage {
	case queued:
		c.svc.limiter.Remove(c.ticket)
		return n.end(now, c, refusal(attempt.NotRun, attempt.ReasonDeadline), out)
	case joined:
		n.record.RemoveWaiter(c.Key, c.ID)
		return n.end(now, c, refusal(attempt.Unknown, attempt.ReasonDeadline), out)
	}
	if now < c.deadline+attemptGrace {
		n.timers.add(c.deadline+attemptGrace, c.ID)
		return out
	}
	return n.onOverdue(now, c, out)
}

// onOverdue answers a call that has an attempt still in progress after
// attemptGrace. The attempt of a keyed call goes on until keyedAttemptGrace,
// because its result determines what is recorded for the key.
func (n *Node) onOverdue(now time.Duration, c *call, out []Step) []Step {
	a := refusal(attempt.Unknown, attempt.ReasonDeadline)
	if !c.keyed || now >= c.deadline+keyedAttemptGrace {
		return n.end(now, c, a, out)
	}
	n.timers.add(c.deadline+keyedAttemptGrace, c.ID)
	return n.answerCaller(c, a, out)
}

// Cancel handles a caller that disconnected before it was answered. It
// releases the call's resources and cancels its attempts, except those of a
// keyed call: the result of its attempt is recorded for repeats of the key.
func (n *Node) Cancel(now time.Duration, id uint64, out []Step) []Step {
	now = n.advance(now)
	c := n.calls[id]
	if c == nil {
		return out
	}
	c.callerDone = true
	switch {
	case c.stage == queued:
		c.svc.limiter.Remove(c.ticket)
	case c.stage == joined:
		n.record.RemoveWaiter(c.Key, c.ID)
	case c.keyed:
		return out
	}
	out = n.end(now, c, refusal(attempt.NotRun, attempt.ReasonCancelled), out)
	return n.releaseQueued(now, out)
}
