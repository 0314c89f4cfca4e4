package entry

import (
	"time"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/balance"
	"github.com/catkinrouter/catkinrouter/limit"
)

// Start begins a call. Steps are appended to out; some may concern other
// calls.
func (n *Node) Start(now time.Duration, in Call, out []Step) []Step {
	now = n.advance(now)
	c := n.newCall(now, in)
	if in.Key != "" {
		out = n.startKeyed(now, c, out)
	} else {
		out = n.admit(now, c, out)
	}
	return n.release(now, out)
}

// admit lets a call that runs here run, wait or be refused.
func (n *Node) admit(now time.Duration, c *call, out []Step) []Step {
	if why := n.refusal(now, c); why != "" {
		return n.end(now, c, refusal(attempt.NotRun, why), out)
	}
	c.svc.retries.Earn()
	if c.idempotent {
		c.svc.hedges.Earn()
	}
	d := c.svc.limiter.Admit(now, limit.Request{ID: c.ID, Caller: c.Caller, Class: c.class, Deadline: c.deadline})
	if d.Evicted != 0 {
		out = n.end(now, n.calls[d.Evicted], refusal(attempt.NotRun, attempt.ReasonQueueFull), out)
	}
	switch d.Verdict {
	case limit.Run:
		c.holds = true
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

// refusal returns why a call cannot run here at all; empty where it can.
func (n *Node) refusal(now time.Duration, c *call) attempt.Reason {
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

// release starts the calls that may leave their service's queue.
func (n *Node) release(now time.Duration, out []Step) []Step {
	for _, s := range n.ordered {
		out = n.releaseFrom(now, s, out)
	}
	for _, s := range n.retired {
		out = n.releaseFrom(now, s, out)
	}
	return out
}

func (n *Node) releaseFrom(now time.Duration, s *service, out []Step) []Step {
	for s.freed {
		r, ok := s.limiter.Next(now)
		if !ok {
			s.freed = false
			break
		}
		c := n.calls[r.ID]
		c.stage = sending
		if r.Late {
			out = n.end(now, c, refusal(attempt.NotRun, attempt.ReasonDeadline), out)
			continue
		}
		c.holds = true
		out = n.send(now, c, out)
	}
	return out
}

// send sends the call to one more upstream, or ends it where there is none.
func (n *Node) send(now time.Duration, c *call, out []Step) []Step {
	if step, ok := n.try(now, c, ""); ok {
		return append(out, step)
	}
	if c.mayHaveRun {
		return n.end(now, c, refusal(attempt.Unknown, c.lostReason()), out)
	}
	return n.end(now, c, refusal(attempt.NotRun, attempt.ReasonNoUpstream), out)
}

// try picks an upstream that the call was not sent to before; why is empty for
// the first attempt.
func (n *Node) try(now time.Duration, c *call, why attempt.Retry) (Step, bool) {
	id, addr, ok := c.svc.pool.Pick(now, balance.Query{
		Class: c.class, Exclude: c.tried, Depth: c.Depth, NonIdempotent: !c.idempotent,
	})
	if !ok {
		return Step{}, false
	}
	c.svc.pool.Sent(now, id, c.class)
	n.last++
	n.attempts[n.last] = c
	c.sends++
	c.tried = append(c.tried, id)
	c.live = append(c.live, live{id: n.last, upstream: id, at: now})
	n.armHedge(now, c)
	return Step{
		Kind: StepSend, Call: c.ID, Attempt: n.last, Service: c.svc.name, Upstream: id, Address: addr,
		Fresh: !c.idempotent, Record: c.keyed, Timeout: c.deadline - now,
		RetriesSpent: c.RetriesSpent || c.sends > 1, Reason: why.Reason(),
	}, true
}
