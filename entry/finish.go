package entry

import (
	"time"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/balance"
	"github.com/catkinrouter/catkinrouter/limit"
	"github.com/catkinrouter/catkinrouter/notice"
)

// endKind classifies how an attempt ended.
type endKind uint8

const (
	// succeeded: a complete reply with a status below 500.
	succeeded endKind = iota
	// failed: a complete reply with a status of 500 or above.
	failed
	// shed: the upstream refused the request without running it.
	shed
	// notSent: no byte of the request left this process.
	notSent
	// replyLost: the request may have run, but no complete reply arrived.
	replyLost
)

func (r *Result) endKind() endKind {
	switch {
	case r.Err != nil && !r.MayHaveSent:
		return notSent
	case r.Err != nil:
		return replyLost
	case r.Shed:
		return shed
	case r.Status >= 500:
		return failed
	}
	return succeeded
}

// pause returns how long the upstream wants no requests from this entry, 0 if it does
// not say.
func (r *Result) pause(ended endKind) time.Duration {
	if ended != shed || r.Status != statusUnavailable {
		return 0
	}
	return r.RetryAfter
}

// statusUnavailable is the status of replies whose RetryAfter asks for a pause.
const statusUnavailable = 503

// Finished reports the end of an attempt. Unknown attempts, such as cancelled
// ones, are ignored.
func (n *Node) Finished(now time.Duration, id uint64, r Result, out []Step) []Step {
	now = n.advance(now)
	c := n.attempts[id]
	if c == nil {
		return out
	}
	delete(n.attempts, id)
	if c.stage == forwarded {
		return n.finishForward(now, c, id, r, out)
	}
	ended := r.endKind()
	n.recordAttemptEnd(now, c, c.removeAttempt(id), ended, r)
	if ended != succeeded && len(c.pending) > 0 {
		return out // the other attempt may still succeed
	}
	if ended != succeeded && n.mayRetry(now, c, ended, r) {
		if step, ok := n.newAttempt(now, c, retryReason(ended)); ok {
			n.counters.countRetry(retryReason(ended))
			return append(out, step)
		}
	}
	out = n.endWithResult(now, c, id, ended, r, out)
	return n.releaseQueued(now, out)
}

// recordAttemptEnd reports the end of an attempt to the pool, keeps what the
// limiter is told when the call ends, and adds the latency of a success to the
// statistics of the route and of hedging.
func (n *Node) recordAttemptEnd(now time.Duration, c *call, a pending, ended endKind, r Result) {
	latency := now - a.sentAt
	pause := r.pause(ended)
	refused := ended == shed && pause == 0
	c.svc.pool.Finished(now, a.upstream, balance.Done{
		Class: c.class, Latency: latency, Failed: ended == failed || ended == notSent || ended == replyLost,
		Shed: refused, Leaving: r.Leaving, Load: r.Load,
		Cancelled: pause > 0, // the upstream itself says for how long: no evidence about it
	})
	switch ended {
	case shed:
		c.svc.pool.Observe(now, a.upstream, notice.Notice{Reply: notice.Refusal, Pause: pause})
	case succeeded, failed:
		c.svc.pool.Observe(now, a.upstream, notice.Notice{Reply: notice.Answer})
	}
	c.shed = refused
	c.mayHaveRun = c.mayHaveRun || ended == failed || ended == replyLost
	c.latency = 0
	if ended != succeeded {
		return
	}
	n.recordAnswered(now, c)
	c.latency = latency
	c.svc.routes.Observe(c.bucket, latency)
	if c.class == balance.Short {
		c.svc.tailLatency.Add(latency, hedgeQuantile)
	}
}

// endWithResult ends a call with the result of its last attempt. The outcome
// is NotRun only if no attempt of the call may have run.
func (n *Node) endWithResult(now time.Duration, c *call, id uint64, ended endKind, r Result, out []Step) []Step {
	a := Step{Attempt: id, Outcome: attempt.Answered, RetriesSpent: ended != succeeded}
	switch ended {
	case shed:
		a.Outcome, a.Reason, a.RetryAfter = attempt.NotRun, attempt.ReasonShed, r.RetryAfter
	case notSent:
		a.Outcome, a.Reason = attempt.NotRun, attempt.ReasonConnect
	case replyLost:
		a.Outcome, a.Reason = attempt.Unknown, c.lostReason()
	}
	if a.Outcome == attempt.NotRun && c.mayHaveRun {
		a.Outcome, a.Reason = attempt.Unknown, c.lostReason()
	}
	if c.keyed {
		return n.endWithReply(now, c, a, r.Reply, out)
	}
	return n.end(now, c, a, out)
}

// lostReason returns the reason for an outcome of Unknown. A call that is
// neither idempotent nor keyed gets ReasonUnkeyedLost, because its remedy is
// to use a key.
func (c *call) lostReason() attempt.Reason {
	if c.Key == "" && !c.idempotent {
		return attempt.ReasonUnkeyedLost
	}
	return attempt.ReasonLost
}

// quarantinedRefusal returns the answer to a call that is kept from the upstreams for d
// since these crash under it.
func quarantinedRefusal(c *call, d time.Duration) Step {
	if c.mayHaveRun {
		return refusal(attempt.Unknown, c.lostReason())
	}
	a := refusal(attempt.NotRun, attempt.ReasonQuarantined)
	a.RetryAfter = d
	return a
}

// refusal returns an answer that reports why a call was refused.
func refusal(o attempt.Outcome, why attempt.Reason) Step {
	return Step{Outcome: o, Reason: why, RetriesSpent: true}
}

// end answers the caller, releases the call's resources and recycles the call.
func (n *Node) end(now time.Duration, c *call, a Step, out []Step) []Step {
	return n.endWithReply(now, c, a, nil, out)
}

// endWithReply is end with the complete reply to record for a keyed call; nil
// if there is none.
func (n *Node) endWithReply(now time.Duration, c *call, a Step, reply *attempt.Reply, out []Step) []Step {
	out = n.answerCaller(c, a, out)
	out = n.cancelAttempts(now, c, out)
	if c.keyed {
		out = n.recordOutcome(now, c, a, reply, out)
	}
	if c.holdsSlot {
		c.svc.limiter.Done(now, limit.Sample{Class: c.class, Latency: c.latency, Shed: c.shed})
		c.svc.checkQueue = true
	}
	n.recycle(c)
	return out
}

// answerCaller appends the answer to the caller, unless the caller is done.
func (n *Node) answerCaller(c *call, a Step, out []Step) []Step {
	if c.callerDone {
		return out
	}
	c.callerDone = true
	a.Kind, a.Call = StepAnswer, c.ID
	n.counters.countAnswer(a.Outcome, a.Reason)
	return append(out, a)
}

// cancelAttempts cancels the call's pending attempts.
func (n *Node) cancelAttempts(now time.Duration, c *call, out []Step) []Step {
	for _, l := range c.pending {
		delete(n.attempts, l.id)
		out = append(out, Step{Kind: StepCancel, Call: c.ID, Attempt: l.id})
		if l.upstream != "" {
			c.svc.pool.Finished(now, l.upstream, balance.Done{Class: c.class, Latency: now - l.sentAt, Cancelled: true})
		}
	}
	c.pending = c.pending[:0]
	return out
}
