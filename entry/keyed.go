package entry

import (
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinrouter/catkinrouter/attempt"
)

// startKeyed starts a call with a Catkin-Key, idempotent route or not: it runs
// only at the home that its permit names. No other entry can report that a try
// did not run, because a copy of the try may reach the home by another path.
func (n *Node) startKeyed(now time.Duration, c *call, out []Step) []Step {
	p, err := n.signer.ParseKey(c.Key)
	var bad *attempt.PermitError
	switch {
	case errors.As(err, &bad):
		return n.end(now, c, refusal(bad.Outcome(), bad.Reason), out)
	case p.Home == n.opt.ID && p.Incarnation == n.opt.Incarnation:
		return n.startAtHome(now, c, p, out)
	case p.Home == n.opt.ID || c.Forwarded:
		return n.end(now, c, refusal(attempt.Unknown, attempt.ReasonHomeGone), out)
	}
	return n.forward(now, c, p, out)
}

// startAtHome starts a keyed call at its home.
func (n *Node) startAtHome(now time.Duration, c *call, p attempt.Permit, out []Step) []Step {
	r := n.record.Begin(now, attempt.Try{Key: c.Key, Permit: p, Number: c.Try, Digest: c.requestDigest(), Waiter: c.ID})
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

// requestDigest identifies the request's content, so that a key can be refused
// for a different request.
func (c *call) requestDigest() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range [...]string{c.Service, c.Method, c.Path} {
		_, _ = d.WriteString(s) // never fails
		_, _ = d.WriteString("\x00")
	}
	return d.Sum64() ^ c.Digest
}

// forward sends a keyed call to its home. It is sent once, never retried.
func (n *Node) forward(now time.Duration, c *call, p attempt.Permit, out []Step) []Step {
	if c.deadline <= now {
		return n.end(now, c, refusal(attempt.Unknown, attempt.ReasonDeadline), out)
	}
	n.lastAttemptID++
	n.attempts[n.lastAttemptID] = c
	c.stage = forwarded
	c.pending = append(c.pending, pending{id: n.lastAttemptID, sentAt: now})
	n.timers.add(c.deadline, c.ID)
	return append(out, Step{
		Kind: StepForward, Call: c.ID, Attempt: n.lastAttemptID, Service: c.Service, Address: p.Address,
		Timeout: c.deadline - now, RetriesSpent: c.RetriesSpent,
	})
}

// finishForward passes the home's answer to the caller. Without an answer the
// outcome is Unknown, even if no byte was sent: another copy of the try may
// have reached the home.
func (n *Node) finishForward(now time.Duration, c *call, id uint64, r Result, out []Step) []Step {
	c.removeAttempt(id)
	if r.Err != nil || r.Outcome == 0 {
		return n.end(now, c, refusal(attempt.Unknown, attempt.ReasonHomeUnreachable), out)
	}
	return n.end(now, c, Step{
		Attempt: id, Outcome: r.Outcome, Reason: r.Reason, RetryAfter: r.RetryAfter, RetriesSpent: r.RetriesSpent,
	}, out)
}

// recordOutcome records the outcome of a keyed call at its home and answers
// the repeats that wait for it. An answer with no kept reply is reported to
// the repeats as Unknown.
func (n *Node) recordOutcome(now time.Duration, c *call, a Step, reply *attempt.Reply, out []Step) []Step {
	a.Attempt, a.Reply = 0, reply
	if a.Outcome == attempt.Answered && reply == nil {
		a.Outcome, a.Reason = attempt.Unknown, attempt.ReasonReplyNotKept
	}
	for _, id := range n.record.End(now, c.Key, a.Outcome, a.Reason, reply) {
		out = n.end(now, n.calls[id], a, out)
	}
	return out
}
