package gateway

import (
	"time"

	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/admission"
	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/customer"
	"github.com/catkinrouter/catkinrouter/internal/netpeek"
	"github.com/catkinrouter/catkinrouter/quarantine"
	"github.com/catkinrouter/catkinrouter/ratelimit"
	"github.com/catkinrouter/catkinrouter/route"
)

// Times and limits of a call.
const (
	// callerCheckInterval is the time between two checks of a waiting caller's
	// connection; a disconnect is noticed well within half a second.
	callerCheckInterval = 150 * time.Millisecond
	// hedgeDelayFactor times the expected time is the delay after which a call
	// is hedged.
	hedgeDelayFactor = 1.55
	// hedgeRecheckDelay is the pause after a hedge that found no free
	// upstream.
	hedgeRecheckDelay = 40 * time.Millisecond
	// maxHedgeSearches limits the searches for a free upstream.
	maxHedgeSearches = 4
	// maxUnsent limits the attempts of a call that did not reach an upstream.
	maxUnsent = 4
)

// call is one request of a caller. It is owned by its own goroutine; attempts
// report through finished.
type call struct {
	g       *Gateway
	ctx     *fasthttp.RequestCtx
	id      string
	version uint64
	route   *route.Route
	// hasCustomers is set if the configuration has customers.
	hasCustomers bool
	// key is what the request carries. customer is the one that held it at the call's
	// arrival, attemptCustomer the one at its last attempt; nil for none.
	key                       presentedKey
	customer, attemptCustomer *customer.Customer
	// token was taken for the call if its customer has a limit.
	token   ratelimit.Decision
	service route.Service
	arrived time.Duration
	// deadline is the latest time of the response to the caller, as a duration
	// since the gateway's start.
	deadline time.Duration
	// callerTime is how long the caller said that it waits, which may be longer than the
	// route allows; 0 if it did not say.
	callerTime time.Duration

	head    []byte
	body    *requestBody
	hasBody bool
	isHead  bool

	tried    map[string]bool
	finished chan *try
	tries    []*try // all attempts
	inFlight []*try
	// sent counts the finished attempts that may have reached an upstream,
	// unsent those that did not.
	sent, unsent  int
	mayHaveRun    bool
	hedgeSearches int
	// leastCost is the queue of the call's service, nil with the order by priority.
	leastCost *leastCostQueue
	// orderInputs is set once inputs has determined them.
	orderInputs *admission.Call
	// silence fires when an attempt may count as lost.
	silence *time.Timer
	// contentDigest is set once content has computed it.
	contentDigest quarantine.Content
	contentKnown  bool
	// failedTry is an attempt with a complete error reply, which is forwarded
	// if no attempt succeeds.
	failedTry *try
}

// failureCost returns what a failed attempt costs the caller, expressed as
// time.
func (c *call) failureCost() time.Duration {
	if c.route.Idempotent {
		return 2 * c.work()
	}
	return 10 * c.work()
}

// priority returns the call's priority; 0 is the most urgent.
func (c *call) priority() int { return c.customer.PriorityOr(c.route.Priority) }

// workKey identifies the kind of work that the call is.
func (c *call) workKey() workKey { return workKey{route: c.route.Name, service: c.service.Name} }

// work returns the expected work of the call.
func (c *call) work() time.Duration { return c.g.estimates.workOf(c.workKey()) }

// timeLeft returns the time until the call's deadline.
func (c *call) timeLeft() time.Duration { return c.deadline - c.g.now() }

// run executes the call and returns its result.
func (c *call) run() callResult {
	timeout := time.NewTimer(c.timeLeft())
	defer timeout.Stop()
	callerCheck := time.NewTicker(callerCheckInterval)
	defer callerCheck.Stop()
	hedge := time.NewTimer(time.Hour)
	defer hedge.Stop()
	c.silence = time.NewTimer(time.Hour)
	defer c.silence.Stop()
	defer c.cancel()
	if res, done := c.startAttempt("", hedge); done {
		return res
	}
	for {
		select {
		case t := <-c.finished:
			if res, done := c.handleFinished(t, hedge); done {
				return res
			}
		case <-hedge.C:
			c.hedge(hedge)
		case <-c.silence.C:
			c.resendLost()
		case <-timeout.C:
			return c.timeoutResult()
		case <-callerCheck.C:
			if c.route.Idempotent && c.callerLeft() {
				return callerLeftResult
			}
		}
	}
}

// callerLeftResult is the result of a call after its caller has disconnected.
var callerLeftResult = callResult{kind: resultCallerLeft, reason: "caller-left"}

// callerLeft reports whether the caller closed its connection.
func (c *call) callerLeft() bool { return netpeek.Peek(c.ctx.Conn()) == netpeek.Closed }

// discardReplies returns the memory of all replies but the one that is used.
func (c *call) discardReplies(used *try) {
	for _, t := range c.tries {
		if t != used {
			t.release(func() { t.discarded = true })
		}
	}
}

// cancel cancels the attempts in flight.
func (c *call) cancel() {
	for _, t := range c.inFlight {
		t.cancel()
	}
}

// startAttempt sends the call to one more upstream. If no upstream is
// available, it returns the call's result and true.
func (c *call) startAttempt(reason string, hedge *time.Timer) (callResult, bool) {
	if c.quarantinedFor() > 0 {
		return c.failureResult(reasonQuarantined), true
	}
	ch, res, ok := c.admit()
	if !ok {
		return res, true
	}
	if c.quarantinedFor() > 0 { // decided while the call waited for a slot
		c.g.releaseChoice(ch)
		return c.failureResult(reasonQuarantined), true
	}
	if refusal := c.recheckKey(); refusal != nil {
		c.g.releaseChoice(ch)
		return c.keyRefusalResult(refusal), true
	}
	t := c.launch(ch, reason)
	if c.route.Idempotent && c.sent+c.hedgeSearches == 0 && c.route.MaxAttempts > 1 {
		hedge.Reset(time.Duration(hedgeDelayFactor * float64(c.expectedTime(ch))))
	}
	c.inFlight = append(c.inFlight, t)
	c.watchSilence()
	return callResult{}, false
}

// hedge sends the call to a second upstream while the first attempt is in
// flight, if that upstream is not nearly full, names no rate limit, is not cold under a
// limit and its pace is at most maxHedgePace.
func (c *call) hedge(timer *time.Timer) {
	if len(c.inFlight) != 1 || c.sent+len(c.inFlight) >= c.route.MaxAttempts || c.hedgeSearches >= maxHedgeSearches {
		return
	}
	c.hedgeSearches++
	work := c.work()
	if c.quarantinedFor() > 0 || c.timeLeft() < work || c.g.estimates.fullnessOf(c.service.Name).Busy() {
		return
	}
	if !c.g.retryBudgets.allowsHedge(c.g.now(), c.service.Name, c.priority()) {
		return
	}
	ch, ok := c.g.pickUpstream(c)
	if !ok {
		return
	}
	if c.recheckKey() != nil {
		c.g.releaseChoice(ch)
		return
	}
	if !suitsHedge(&ch) || !c.g.retryBudgets.take(c.g.now(), c.service.Name, c.priority()) {
		c.g.releaseChoice(ch)
		timer.Reset(hedgeRecheckDelay)
		return
	}
	c.g.metrics.hedges.Inc(1)
	c.inFlight = append(c.inFlight, c.launch(ch, "hedge"))
	c.watchSilence()
}

// suitsHedge reports whether a hedge may be sent to the chosen upstream.
func suitsHedge(ch *choice) bool {
	if ch.report == nil || ch.rateLimit.Named || ch.cold {
		return false
	}
	return !ch.report.NearlyFull(ch.sentSince) && ch.report.Pace <= maxHedgePace
}

// maxHedgePace is the pace above which an upstream is not used for a hedge.
const maxHedgePace = 1.3

// handleFinished processes a finished attempt. It returns the call's result
// and true if the call is finished too.
func (c *call) handleFinished(t *try, hedge *time.Timer) (callResult, bool) {
	c.removeInFlight(t)
	if t.wrote {
		c.sent++
	} else {
		c.unsent++
	}
	c.g.classify(c, t)
	switch t.outcome {
	case succeeded:
		return callResult{kind: resultAnswered, try: t}, true
	case ranAndFailed, mayHaveRun:
		c.mayHaveRun = true
		if t.complete {
			c.failedTry = t
		}
	}
	if len(c.inFlight) > 0 {
		return callResult{}, false
	}
	if c.mayHaveRun && c.failedTry == nil && c.timeLeft() <= 0 {
		// The connection's deadline is shortly after the call's: both may have passed.
		return c.timeoutResult(), true
	}
	if c.callerLeft() {
		return callerLeftResult, true
	}
	c.awaitCrashCheck(t)
	if denied := c.retryDenied(t); denied != "" {
		c.log("not retried", "reason", denied, "after", t.outcome.String(), "upstream", t.upstream.ID)
		return c.failureResult(t.outcome.String()), true
	}
	c.g.metrics.recordRetry(t.outcome)
	return c.startAttempt(t.outcome.String(), hedge)
}

func (c *call) removeInFlight(t *try) {
	for i, l := range c.inFlight {
		if l == t {
			c.inFlight = append(c.inFlight[:i], c.inFlight[i+1:]...)
			return
		}
	}
}

// retryDenied returns why the call must not be retried, or an empty string if
// it may be.
func (c *call) retryDenied(t *try) attempt.Retry {
	switch {
	case !c.route.Idempotent && c.mayHaveRun:
		return attempt.DeniedNotIdempotent
	case c.quarantinedFor() > 0:
		return attempt.DeniedQuarantined
	case c.sent >= c.route.MaxAttempts || c.unsent >= maxUnsent:
		return attempt.DeniedAttempts
	case c.timeLeft() < c.work()/2:
		return attempt.DeniedDeadline
	case c.sent > 0 && !c.g.retryBudgets.take(c.g.now(), c.service.Name, c.priority()):
		return attempt.DeniedBudget
	}
	return ""
}

// reasonQuarantined is the reason of a call that is kept from the upstreams
// because those that run it crash.
const reasonQuarantined = "quarantined"

// failureResult returns the result of a call that no upstream completed
// successfully.
func (c *call) failureResult(reason string) callResult {
	switch {
	case c.failedTry != nil:
		return callResult{kind: resultAnswered, try: c.failedTry, reason: reason}
	case c.mayHaveRun:
		return callResult{kind: resultUnknown, status: fasthttp.StatusBadGateway, reason: reason}
	}
	return callResult{kind: resultRefused, status: fasthttp.StatusServiceUnavailable, reason: reason, retryAfter: c.retryAfter()}
}

// retryAfter returns after how long a refused call has a chance: at the end of its
// quarantine, or once this instance may send to an upstream again if what they say of
// themselves prevents it, or by the least-cost order, and 0 if that can't be told.
func (c *call) retryAfter() time.Duration {
	if d := c.quarantinedFor(); d > 0 {
		return d
	}
	until, reason := c.blockedUntil(c.callsAhead())
	switch {
	case reason == reasonLeaving:
		return leavingRetryAfter
	case reason == reasonEvacuated:
		return evacuatedRetryAfter
	case until == never:
		return 0
	case reason == "":
		return c.returnAfter()
	}
	return max(0, until-c.g.now())
}

// timeoutResult returns the result of a call that has reached its deadline.
func (c *call) timeoutResult() callResult {
	if len(c.inFlight) == 0 && !c.mayHaveRun {
		return c.failureResult("timeout")
	}
	for _, t := range c.inFlight {
		c.g.evidence.recordOutcome(c.g.now(), t.upstream, true, timeoutWeight)
	}
	return callResult{kind: resultUnknown, status: fasthttp.StatusGatewayTimeout, reason: "timeout"}
}

// timeoutWeight is the weight, relative to a failed request, of a request that
// was still in flight at the caller's deadline.
const timeoutWeight = 0.7

// log logs an event of the call.
func (c *call) log(msg string, kv ...any) {
	l := append([]any{
		"msg", msg, "request", c.id, "route", c.route.Name, "version", c.version,
		"service", c.service.Name, "age_ms", (c.g.now() - c.arrived).Milliseconds(),
	}, kv...)
	if err := level.Info(c.g.log).Log(l...); err != nil {
		c.g.metrics.logFailures.Inc(1)
	}
}
