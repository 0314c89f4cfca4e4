package entry

import (
	"time"

	"github.com/catkinrouter/catkinrouter/attempt"
)

// mayRetry reports whether a call is sent again after a failed attempt. Only
// the layer next to the failure retries: its final answer is marked with
// RetriesSpent, so that the layers above do not retry.
func (n *Node) mayRetry(now time.Duration, c *call, ended endKind, r Result) bool {
	if c.callerDone {
		return false
	}
	why := c.retryDenial(now, ended, r)
	if why == "" && n.quarantinedFor(now, c) > 0 {
		why = attempt.DeniedQuarantined
	}
	if why != "" {
		n.counters.countRetry(why)
	}
	return why == ""
}

// retryDenial returns why the call is not sent again; empty if it may be. The
// retry budget is checked last, because the check takes a token.
func (c *call) retryDenial(now time.Duration, ended endKind, r Result) attempt.Retry {
	p95, _ := c.svc.tailLatency.Value()
	switch {
	case !c.idempotent && c.mayHaveRun:
		return attempt.DeniedNotIdempotent
	case c.Streamed && r.MayHaveSent:
		return attempt.DeniedStreamed
	case c.RetriesSpent || r.RetriesSpent:
		return attempt.DeniedSpent
	case c.attemptsSent >= maxAttempts:
		return attempt.DeniedAttempts
	case now+p95/2 >= c.deadline:
		return attempt.DeniedDeadline
	case !c.svc.retries.Take():
		return attempt.DeniedBudget
	}
	return ""
}

func retryReason(ended endKind) attempt.Retry {
	switch ended {
	case shed:
		return attempt.RetryShed
	case notSent:
		return attempt.RetryConnect
	case replyLost:
		return attempt.RetryLost
	}
	return attempt.RetryStatus
}

// hedgeQuantile is the quantile of the latency after which a call is hedged:
// this share of calls is answered without a hedge.
const hedgeQuantile = 0.95

// scheduleHedge sets the time at which a second attempt may be sent while the
// first is in progress. It schedules none if less than twice the tail latency
// is left before the deadline.
func (n *Node) scheduleHedge(now time.Duration, c *call) {
	c.hedgeAt = 0
	if c.attemptsSent > 1 || !c.idempotent || c.RetriesSpent || c.Streamed || c.svc.rules.HedgeBudget <= 0 {
		return
	}
	p95, ok := c.svc.tailLatency.Value()
	if !ok || now+2*p95 >= c.deadline {
		return
	}
	c.hedgeAt = now + p95
	n.timers.add(c.hedgeAt, c.ID)
}

// startHedge sends a second attempt, if the hedge budget allows it.
func (n *Node) startHedge(now time.Duration, c *call, out []Step) []Step {
	c.hedgeAt = 0
	if len(c.pending) != 1 || !c.svc.hedges.Take() {
		return out
	}
	step, ok := n.newAttempt(now, c, attempt.RetryHedge)
	if !ok {
		return out
	}
	n.counters.countRetry(attempt.RetryHedge)
	return append(out, step)
}
