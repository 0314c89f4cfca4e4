package entry

import (
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinrouter/catkinrouter/attempt"
)

// startKeyed begins a call with a Catkin-Key, whatever its route: it runs at
// the home that its permit names or nowhere. Only the home can tell that a
// try did not run, since a copy of the try may reach the home by another way.
func (n *Node) startKeyed(now time.Duration, c *call, out []Step) []Step {
	p, err := n.signer.ParseKey(c.Key)
	var bad *attempt.PermitError
	switch {
	case errors.As(err, &bad):
		return n.end(now, c, refusal(bad.Outcome(), bad.Reason), out)
	case p.Home == n.opt.ID && p.Incarnation == n.opt.Incarnation:
		return n.startHome(now, c, p, out)
	case p.Home == n.opt.ID || c.Forwarded:
		return n.end(now, c, refusal(attempt.Unknown, attempt.ReasonHomeGone), out)
	}
	return n.forward(now, c, p, out)
}

// startHome begins a keyed call at its home.
func (n *Node) startHome(now time.Duration, c *call, p attempt.Permit, out []Step) []Step {
	r := n.record.Begin(now, attempt.Try{Key: c.Key, Permit: p, Number: c.Try, Digest: c.digest(), Waiter: c.ID})
	switch r.Action {
	case attempt.Run:
		c.keyed = true
		return n.admit(now, c, out)
	case attempt.Join:
		c.stage = joined
		n.timers.add(c.deadline, c.ID)
		return out
	}
	return n.end(now, c, Step{Outcome: r.Outcome, Reason: r.Reason, Reply: r.Reply}, out)
}

// digest identifies the request, so that a key serves one request only.
func (c *call) digest() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range [...]string{c.Service, c.Method, c.Path} {
		_, _ = d.WriteString(s) // never fails
		_, _ = d.WriteString("\x00")
	}
	return d.Sum64() ^ c.Digest
}

// forward sends a keyed call to its home, once.
func (n *Node) forward(now time.Duration, c *call, p attempt.Permit, out []Step) []Step {
	if c.deadline <= now {
		return n.end(now, c, refusal(attempt.Unknown, attempt.ReasonDeadline), out)
	}
	n.last++
	n.attempts[n.last] = c
	c.stage = forwarded
	c.live = append(c.live, live{id: n.last, at: now})
	n.timers.add(c.deadline, c.ID)
	return append(out, Step{
		Kind: StepForward, Call: c.ID, Attempt: n.last, Service: c.Service, Address: p.Address,
		Timeout: c.deadline - now, RetriesSpent: c.RetriesSpent,
	})
}

// homeAnswered passes the home's answer on. Without one the outcome is
// Unknown even where no byte was sent: another copy of the try may have
// reached the home.
func (n *Node) homeAnswered(now time.Duration, c *call, id uint64, r Result, out []Step) []Step {
	c.take(id)
	if r.Err != nil || r.Outcome == 0 {
		return n.end(now, c, refusal(attempt.Unknown, attempt.ReasonHomeUnreachable), out)
	}
	return n.end(now, c, Step{
		Attempt: id, Outcome: r.Outcome, Reason: r.Reason, RetryAfter: r.RetryAfter, RetriesSpent: r.RetriesSpent,
	}, out)
}

// settle writes a home's call into its record and answers the repeats that
// waited for it.
func (n *Node) settle(now time.Duration, c *call, a Step, reply *attempt.Reply, out []Step) []Step {
	a.Attempt, a.Reply = 0, reply
	if a.Outcome == attempt.Answered && reply == nil {
		a.Outcome, a.Reason = attempt.Unknown, attempt.ReasonReplyNotKept
	}
	for _, id := range n.record.End(now, c.Key, a.Outcome, a.Reason, reply) {
		out = n.end(now, n.calls[id], a, out)
	}
	return out
}
