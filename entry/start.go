package entry

import (
	"time"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/balance"
	"github.com/catkinrouter/catkinrouter/limit"
)

// Start starts a call. It appends the resulting steps to out; some may concern
// other calls.
func (n *Node) Start(now time.Duration, in Call, out []Step) []Step {
	now = n.advance(now)
	c := n.newCall(now, in)
	if in.Key != "" {
		out = n.startKeyed(now, c, out)
	} else {
		out = n.admit(now, c, out)
	}
	return n.releaseQueued(now, out)
}

// admit sends, queues or refuses a call that runs at this entry.
func (n *Node) admit(now time.Duration, c *call, out []Step) []Step {
	if why := n.refusalReason(now, c); why != "" {
		return n.end(now, c, refusal(attempt.NotRun, why), out)
	}
	if d := n.quarantinedFor(now, c); d > 0 {
		return n.end(now, c, quarantinedRefusal(c, d), out)
	}
	c.svc.retries.Deposit()
	if c.idempotent {
		c.svc.hedges.Deposit()
	}
	d := c.svc.limiter.Admit(now, limit.Request{ID: c.ID, Caller: c.Caller, Class: c.class, Deadline: c.deadline})
	if d.Evicted != 0 {
		out = n.end(now, n.calls[d.Evicted], refusal(attempt.NotRun, attempt.ReasonQueueFull), out)
	}
	switch d.Verdict {
	case limit.Run:
		c.holdsSlot = true
		n.timers.add(c.deadline, c.ID)
		return n.send(now, c, out)
	case limit.Wait:
		c.stage, c.ticket = queued, d.Ticket
		n.timers.add(c.deadline, c.ID)
		return out
	}
	a := refusal(attempt.NotRun, d.Reason)
	a.RetryAfter = d.RetryAfter
	return n.end(now, c, a, out)
}

// refusalReason returns why a call cannot run here at all; empty if it can.
func (n *Node) refusalReason(now time.Duration, c *call) attempt.Reason {
	switch {
	case n.revision == 0:
		return attempt.ReasonNoConfiguration
	case c.svc == nil:
		return attempt.ReasonUnknownService
	case c.BodyBytes > c.svc.rules.MaxBody:
		return attempt.ReasonBodyTooLarge
	case c.deadline <= now:
		return attempt.ReasonDeadline
	}
	return ""
}

// releaseQueued starts the queued calls of all services that may run now, and
// refuses those that can no longer meet their deadline.
func (n *Node) releaseQueued(now time.Duration, out []Step) []Step {
	for _, s := range n.ordered {
		out = n.releaseService(now, s, out)
	}
	for _, s := range n.retired {
		out = n.releaseService(now, s, out)
	}
	return out
}

func (n *Node) releaseService(now time.Duration, s *service, out []Step) []Step {
	for s.checkQueue {
		r, ok := s.limiter.Next(now)
		if !ok {
			s.checkQueue = false
			break
		}
		c := n.calls[r.ID]
		c.stage = sending
		if r.Late {
			out = n.end(now, c, refusal(attempt.NotRun, attempt.ReasonDeadline), out)
			continue
		}
		c.holdsSlot = true
		out = n.send(now, c, out)
	}
	return out
}

// send sends the call's first attempt, or ends the call if no upstream may
// take it.
func (n *Node) send(now time.Duration, c *call, out []Step) []Step {
	if d := n.quarantinedFor(now, c); d > 0 { // decided while the call was queued
		return n.end(now, c, quarantinedRefusal(c, d), out)
	}
	if step, ok := n.newAttempt(now, c, ""); ok {
		return append(out, step)
	}
	if c.mayHaveRun {
		return n.end(now, c, refusal(attempt.Unknown, c.lostReason()), out)
	}
	a := refusal(attempt.NotRun, attempt.ReasonNoUpstream)
	if until, paused := c.svc.pool.PausedUntil(now); paused {
		a.Reason, a.RetryAfter = attempt.ReasonPaused, until-now
	}
	return n.end(now, c, a, out)
}

// newAttempt picks an upstream that the call has not been sent to, and returns
// the step that sends it there; why is empty for the first attempt. It returns
// false if no upstream may take the call.
func (n *Node) newAttempt(now time.Duration, c *call, why attempt.Retry) (Step, bool) {
	id, addr, ok := c.svc.pool.Pick(now, balance.Query{
		Class: c.class, Exclude: c.tried, Depth: c.Depth, NonIdempotent: !c.idempotent,
	})
	if !ok {
		return Step{}, false
	}
	c.svc.pool.Sent(now, id, c.class)
	n.lastAttemptID++
	n.attempts[n.lastAttemptID] = c
	c.attemptsSent++
	c.tried = append(c.tried, id)
	c.pending = append(c.pending, pending{id: n.lastAttemptID, upstream: id, sentAt: now})
	n.scheduleHedge(now, c)
	return Step{
		Kind: StepSend, Call: c.ID, Attempt: n.lastAttemptID, Service: c.svc.name, Upstream: id, Address: addr,
		NewConnection: !c.idempotent, KeepReply: c.keyed, Timeout: c.deadline - now,
		RetriesSpent: c.RetriesSpent || c.attemptsSent > 1, Reason: why.Reason(),
	}, true
}
