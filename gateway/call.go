package gateway

import (
	"time"

	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/internal/netpeek"
	"github.com/catkinrouter/catkinrouter/route"
)

// Times of a call.
const (
	// watchInterval is the time between two looks at a waiting caller's
	// connection: one that left is noticed well within half a second.
	watchInterval = 150 * time.Millisecond
	// hedgeFactor times the expected work is when a second upstream is tried.
	hedgeFactor = 1.55
	// hedgeAgain is the pause after a hedge that found no free upstream.
	hedgeAgain = 40 * time.Millisecond
	// hedgeTries bounds the searches for a free upstream.
	hedgeTries = 4
	// maxUnsent bounds the attempts of a call that reached no upstream.
	maxUnsent = 4
)

// call is one request of a caller. Its own goroutine owns it; attempts report
// by results.
type call struct {
	g       *Gateway
	ctx     *fasthttp.RequestCtx
	id      string
	version uint64
	route   *route.Route
	service route.Service
	arrived time.Duration
	// deadline is when the caller is answered at the latest, in time since
	// the gateway's start.
	deadline time.Duration

	head     []byte
	body     []byte
	hasBody  bool
	headOnly bool

	tried   map[string]bool
	results chan *try
	live    []*try
	// sends counts the requests that may have reached an upstream, unsent
	// the attempts that did not.
	sends, unsent int
	mayHaveRun    bool
	hedges        int
	// failure is a whole failed answer of an upstream, to be passed on if
	// there is no better.
	failure *try
}

// failureCost is what a failed attempt costs the caller, in time.
func (c *call) failureCost() time.Duration {
	if c.route.Idempotent {
		return 2 * c.g.work.of(c.route.Name)
	}
	return 10 * c.g.work.of(c.route.Name)
}

// left is the time until the call must be answered.
func (c *call) left() time.Duration { return c.deadline - c.g.now() }

// run carries the call out and returns its end.
func (c *call) run() ending {
	timeout := time.NewTimer(c.left())
	defer timeout.Stop()
	watch := time.NewTicker(watchInterval)
	defer watch.Stop()
	hedge := time.NewTimer(time.Hour)
	defer hedge.Stop()
	defer c.cancel()
	if e, done := c.attempt("", hedge); done {
		return e
	}
	for {
		select {
		case t := <-c.results:
			if e, done := c.finished(t, hedge); done {
				return e
			}
		case <-hedge.C:
			c.hedge(hedge)
		case <-timeout.C:
			return c.timedOut()
		case <-watch.C:
			if c.route.Idempotent && c.callerLeft() {
				return gone
			}
		}
	}
}

// gone ends a call whose caller left.
var gone = ending{kind: endGone, reason: "caller-left"}

// callerLeft tells whether the caller closed its connection.
func (c *call) callerLeft() bool { return netpeek.Conn(c.ctx.Conn()) == netpeek.Closed }

// cancel gives up the attempts in progress.
func (c *call) cancel() {
	for _, t := range c.live {
		t.cancel()
	}
}

// attempt sends the call to one more upstream. It returns the call's end where
// there is none to send it to.
func (c *call) attempt(why string, hedge *time.Timer) (ending, bool) {
	ch, end, ok := c.place()
	if !ok {
		return end, true
	}
	t := c.launch(ch, why)
	if c.route.Idempotent && c.sends+c.hedges == 0 && c.route.MaxAttempts > 1 {
		hedge.Reset(time.Duration(hedgeFactor * float64(c.expected(ch))))
	}
	c.live = append(c.live, t)
	return ending{}, false
}

// hedge tries a second upstream beside the first, where one has a free slot
// and usual pace.
func (c *call) hedge(timer *time.Timer) {
	if len(c.live) != 1 || c.sends+len(c.live) >= c.route.MaxAttempts || c.hedges >= hedgeTries {
		return
	}
	c.hedges++
	work := c.g.work.of(c.route.Name)
	if c.left() < work || c.g.work.full(c.service.Name).Busy() || !c.g.budgets.spare(c.g.now(), c.service.Name, c.route.Priority) {
		return
	}
	ch, ok := c.g.choose(c)
	if !ok {
		return
	}
	if ch.report == nil || ch.report.NearlyFull(ch.since) || ch.report.Pace > pickPaceLimit || !c.g.budgets.take(c.g.now(), c.service.Name, c.route.Priority) {
		c.g.giveBack(ch)
		timer.Reset(hedgeAgain)
		return
	}
	c.g.m.hedges.Inc(1)
	c.live = append(c.live, c.launch(ch, "hedge"))
}

// pickPaceLimit is the pace above which an upstream gets no hedge.
const pickPaceLimit = 1.3

// finished takes the end of an attempt.
func (c *call) finished(t *try, hedge *time.Timer) (ending, bool) {
	c.drop(t)
	if t.wrote {
		c.sends++
	} else {
		c.unsent++
	}
	c.g.judge(c, t)
	switch t.outcome {
	case succeeded:
		return ending{kind: endAnswer, try: t}, true
	case ranAndFailed, mayHaveRun:
		c.mayHaveRun = true
		if t.whole {
			c.failure = t
		}
	}
	if len(c.live) > 0 {
		return ending{}, false
	}
	if c.callerLeft() {
		return gone, true
	}
	if denied := c.denied(t); denied != "" {
		c.log("not repeated", "reason", denied, "after", t.outcome.String(), "upstream", t.upstream.ID)
		return c.giveUp(t.outcome.String()), true
	}
	c.g.m.retry(t.outcome)
	return c.attempt(t.outcome.String(), hedge)
}

func (c *call) drop(t *try) {
	for i, l := range c.live {
		if l == t {
			c.live = append(c.live[:i], c.live[i+1:]...)
			return
		}
	}
}

// denied returns why the call is not sent once more; empty where it may be.
func (c *call) denied(t *try) attempt.Retry {
	switch {
	case !c.route.Idempotent && c.mayHaveRun:
		return attempt.DeniedUnsafe
	case c.sends >= c.route.MaxAttempts || c.unsent >= maxUnsent:
		return attempt.DeniedAttempts
	case c.left() < c.g.work.of(c.route.Name)/2:
		return attempt.DeniedDeadline
	case c.sends > 0 && !c.g.budgets.take(c.g.now(), c.service.Name, c.route.Priority):
		return attempt.DeniedBudget
	}
	return ""
}

// giveUp ends the call without an upstream's success.
func (c *call) giveUp(why string) ending {
	switch {
	case c.failure != nil:
		return ending{kind: endAnswer, try: c.failure, reason: why}
	case c.mayHaveRun:
		return ending{kind: endUnknown, status: fasthttp.StatusBadGateway, reason: why}
	}
	return ending{kind: endRefused, status: fasthttp.StatusServiceUnavailable, reason: why}
}

// timedOut ends the call at its deadline.
func (c *call) timedOut() ending {
	if len(c.live) == 0 && !c.mayHaveRun {
		return c.giveUp("timeout")
	}
	for _, t := range c.live {
		c.g.ev.record(c.g.now(), t.upstream, true, slowWeight)
	}
	return ending{kind: endUnknown, status: fasthttp.StatusGatewayTimeout, reason: "timeout"}
}

// slowWeight is what a request that was still at work at the caller's
// deadline counts, as part of a failed one.
const slowWeight = 0.7

// log writes a line about a decision on the call.
func (c *call) log(msg string, kv ...any) {
	l := append([]any{
		"msg", msg, "request", c.id, "route", c.route.Name, "version", c.version,
		"service", c.service.Name, "age_ms", (c.g.now() - c.arrived).Milliseconds(),
	}, kv...)
	if err := level.Info(c.g.log).Log(l...); err != nil {
		c.g.m.logFailures.Inc(1)
	}
}
