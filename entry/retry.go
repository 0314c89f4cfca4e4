package entry

import (
	"time"

	"github.com/catkinrouter/catkinrouter/attempt"
)

// mayRetry tells whether a call whose last attempt failed is sent once more.
// Only the layer next to the failure retries: what it answers in the end is
// marked, so that the layers above do not.
func (n *Node) mayRetry(now time.Duration, c *call, how ending, r Result) bool {
	if c.told {
		return false
	}
	if why := c.denied(now, how, r); why != "" {
		n.counts.retry(why)
		return false
	}
	return true
}

// denied returns why the call is not sent once more; empty where it may be.
// It takes a token of the budget last.
func (c *call) denied(now time.Duration, how ending, r Result) attempt.Retry {
	usual, _ := c.svc.tail.Value()
	switch {
	case !c.idempotent && c.mayHaveRun:
		return attempt.DeniedUnsafe
	case c.Streamed && r.Wrote:
		return attempt.DeniedStreamed
	case c.RetriesSpent || r.RetriesSpent:
		return attempt.DeniedSpent
	case c.sends >= maxAttempts:
		return attempt.DeniedAttempts
	case now+usual/2 >= c.deadline:
		return attempt.DeniedDeadline
	case !c.svc.retries.Take():
		return attempt.DeniedBudget
	}
	return ""
}

func retryReason(how ending) attempt.Retry {
	switch how {
	case shed:
		return attempt.RetryShed
	case unsent:
		return attempt.RetryConnect
	case lost:
		return attempt.RetryLost
	}
	return attempt.RetryStatus
}

// hedgeQuantile is the share of calls that are answered before a hedge.
const hedgeQuantile = 0.95

// armHedge sets the time at which a second attempt may start beside the first.
func (n *Node) armHedge(now time.Duration, c *call) {
	c.hedgeAt = 0
	if c.sends > 1 || !c.idempotent || c.RetriesSpent || c.Streamed || c.svc.rules.HedgeBudget <= 0 {
		return
	}
	usual, ok := c.svc.tail.Value()
	if !ok || now+2*usual >= c.deadline {
		return
	}
	c.hedgeAt = now + usual
	n.timers.add(c.hedgeAt, c.ID)
}

// hedge starts a second attempt, if the budget allows it.
func (n *Node) hedge(now time.Duration, c *call, out []Step) []Step {
	c.hedgeAt = 0
	if len(c.live) != 1 || !c.svc.hedges.Take() {
		return out
	}
	step, ok := n.try(now, c, attempt.RetryHedge)
	if !ok {
		return out
	}
	n.counts.retry(attempt.RetryHedge)
	return append(out, step)
}
