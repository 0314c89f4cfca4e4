package entry

import (
	"time"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/balance"
	"github.com/catkinrouter/catkinrouter/limit"
)

// ending sorts the ways in which an attempt ends.
type ending uint8

const (
	// good replies are passed on.
	good ending = iota
	// failed replies have a status of 500 or above.
	failed
	// shed requests were refused by the upstream and did not run.
	shed
	// unsent requests did not leave this process.
	unsent
	// lost requests may have run, but no whole reply came.
	lost
)

func (r *Result) ending() ending {
	switch {
	case r.Err != nil && !r.Wrote:
		return unsent
	case r.Err != nil:
		return lost
	case r.Shed:
		return shed
	case r.Status >= 500:
		return failed
	}
	return good
}

// Finished takes the end of an attempt.
func (n *Node) Finished(now time.Duration, id uint64, r Result, out []Step) []Step {
	now = n.advance(now)
	c := n.attempts[id]
	if c == nil {
		return out
	}
	delete(n.attempts, id)
	if c.stage == forwarded {
		return n.homeAnswered(now, c, id, r, out)
	}
	how := r.ending()
	n.learn(now, c, c.take(id), how, r)
	if how != good && len(c.live) > 0 {
		return out // the other attempt may still be answered
	}
	if how != good && n.mayRetry(now, c, how, r) {
		if step, ok := n.try(now, c, retryReason(how)); ok {
			n.counts.retry(retryReason(how))
			return append(out, step)
		}
	}
	out = n.conclude(now, c, id, how, r, out)
	return n.release(now, out)
}

// learn tells the pool, the limiter and the route about an attempt's end.
func (n *Node) learn(now time.Duration, c *call, a live, how ending, r Result) {
	latency := now - a.at
	c.svc.pool.Finished(now, a.upstream, balance.Done{
		Class: c.class, Latency: latency, Failed: how == failed || how == unsent || how == lost,
		Shed: how == shed, Leaving: r.Leaving, Load: r.Load,
	})
	c.shed = how == shed
	c.mayHaveRun = c.mayHaveRun || how == failed || how == lost
	c.latency = 0
	if how != good {
		return
	}
	c.latency = latency
	c.svc.routes.Learn(c.bucket, latency)
	if c.class == balance.Short {
		c.svc.tail.Add(latency, hedgeQuantile)
	}
}

// conclude ends a call with its last attempt's result.
func (n *Node) conclude(now time.Duration, c *call, id uint64, how ending, r Result, out []Step) []Step {
	a := Step{Attempt: id, Outcome: attempt.Answered, RetriesSpent: how != good}
	switch how {
	case shed:
		a.Outcome, a.Reason, a.RetryAfter = attempt.NotRun, attempt.ReasonShed, r.RetryAfter
	case unsent:
		a.Outcome, a.Reason = attempt.NotRun, attempt.ReasonConnect
	case lost:
		a.Outcome, a.Reason = attempt.Unknown, c.lostReason()
	}
	if a.Outcome == attempt.NotRun && c.mayHaveRun {
		a.Outcome, a.Reason = attempt.Unknown, c.lostReason()
	}
	if c.keyed {
		return n.endWith(now, c, a, r.Reply, out)
	}
	return n.end(now, c, a, out)
}

func (c *call) lostReason() attempt.Reason {
	if c.Key == "" && !c.idempotent {
		return attempt.ReasonUnkeyedLost
	}
	return attempt.ReasonLost
}

func refusal(o attempt.Outcome, why attempt.Reason) Step {
	return Step{Outcome: o, Reason: why, RetriesSpent: true}
}

// end answers the caller, frees what the call holds and forgets it.
func (n *Node) end(now time.Duration, c *call, a Step, out []Step) []Step {
	return n.endWith(now, c, a, nil, out)
}

// endWith is end for a call whose whole reply is at hand.
func (n *Node) endWith(now time.Duration, c *call, a Step, reply *attempt.Reply, out []Step) []Step {
	out = n.tell(c, a, out)
	out = n.cancelAttempts(now, c, out)
	if c.keyed {
		out = n.settle(now, c, a, reply, out)
	}
	if c.holds {
		c.svc.limiter.Done(now, limit.Sample{Class: c.class, Latency: c.latency, Shed: c.shed})
		c.svc.freed = true
	}
	n.drop(c)
	return out
}

// tell answers the caller, once.
func (n *Node) tell(c *call, a Step, out []Step) []Step {
	if c.told {
		return out
	}
	c.told = true
	a.Kind, a.Call = StepAnswer, c.ID
	n.counts.answer(a.Outcome, a.Reason)
	return append(out, a)
}

// cancelAttempts gives up the attempts that are still in progress.
func (n *Node) cancelAttempts(now time.Duration, c *call, out []Step) []Step {
	for _, l := range c.live {
		delete(n.attempts, l.id)
		out = append(out, Step{Kind: StepCancel, Call: c.ID, Attempt: l.id})
		if l.upstream != "" {
			c.svc.pool.Finished(now, l.upstream, balance.Done{Class: c.class, Latency: now - l.at, Cancelled: true})
		}
	}
	c.live = c.live[:0]
	return out
}
