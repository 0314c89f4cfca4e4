package entry

import (
	"time"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/link"
)

// counters holds a count for each refusal reason and each retry reason.
type counters struct {
	refused map[attempt.Reason]int64
	retries map[attempt.Retry]int64
}

func newCounters() counters {
	return counters{refused: map[attempt.Reason]int64{}, retries: map[attempt.Retry]int64{}}
}

func (c *counters) countAnswer(o attempt.Outcome, why attempt.Reason) {
	if o != attempt.Answered {
		c.refused[why]++
	}
}

func (c *counters) countRetry(why attempt.Retry) { c.retries[why]++ }

// list returns the counters that are not zero, in a fixed order.
func (c *counters) list() []link.Counter {
	var out []link.Counter
	for _, r := range attempt.Reasons() {
		if v := c.refused[r.Reason]; v > 0 {
			out = append(out, link.Counter{Name: "refused." + string(r.Reason), Count: v})
		}
	}
	for _, r := range attempt.Retries() {
		if v := c.retries[r.Retry]; v > 0 {
			out = append(out, link.Counter{Name: string(r.Retry), Count: v})
		}
	}
	return out
}

// Status returns the state that the entry reports to its agent.
func (n *Node) Status(now time.Duration) link.Status {
	st := link.Status{
		Incarnation: n.opt.Incarnation, Uptime: n.advance(now), Revision: n.revision,
		Spare: n.spare(), InFlight: len(n.calls), Counters: n.counters.list(),
	}
	for _, s := range n.ordered {
		st.LeavingUpstreams = s.pool.ReportedLeaving(st.LeavingUpstreams)
		st.Upstreams = s.pool.States(st.Upstreams)
		st.Shares = s.pool.Shares(st.Shares)
	}
	return st
}

// spare returns the free share of the services' concurrency limits, 0 to 1.
// Queued calls count as taking a slot.
func (n *Node) spare() float64 {
	limits, taken := 0, 0
	for _, s := range n.ordered {
		limits += s.limiter.Limit()
		taken += s.limiter.Running() + s.limiter.Waiting()
	}
	if limits == 0 {
		return 0
	}
	return max(0, 1-float64(taken)/float64(limits))
}
