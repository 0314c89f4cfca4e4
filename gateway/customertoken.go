package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/customer"
	"github.com/catkinrouter/catkinrouter/ratelimit"
	"github.com/catkinrouter/catkinrouter/route"
)

// Reasons of refusals by a customer's limit.
const (
	reasonOverQuota = "over-quota"
	// reasonQuotaUnknown: the customer's allocator can't be reached.
	reasonQuotaUnknown = "quota-unknown"
)

// takeToken takes a token for a call of the customer, which must be answered by deadline.
// It waits for the customer's allocator for at most ratelimit.ReplyTimeout.
func (g *Gateway) takeToken(c *customer.Customer, deadline time.Duration) ratelimit.Decision {
	now := g.opt.Elapsed()
	until := now + min(ratelimit.ReplyTimeout, deadline-g.now())
	d, questions, wake := g.customerLimits.take(now, c, true, now >= until)
	g.sendQuestions(questions)
	if d.Verdict != ratelimit.Wait {
		return d
	}
	t := time.NewTimer(min(ratelimit.RepeatAfter, until-now))
	defer t.Stop()
	for d.Verdict == ratelimit.Wait {
		select {
		case <-wake:
		case <-t.C:
			t.Reset(max(0, min(ratelimit.RepeatAfter, until-g.opt.Elapsed())))
		}
		now = g.opt.Elapsed()
		d, questions, wake = g.customerLimits.take(now, c, false, now >= until)
		g.sendQuestions(questions)
	}
	return d
}

// sendQuestions sends questions to other instances. The caller must not hold the lock of the
// customerLimits: the hook takes the fleet's lock, under which the configuration is applied.
func (g *Gateway) sendQuestions(questions []tokenQuestion) {
	for _, q := range questions {
		g.customerLimits.metrics.requests.Inc(1)
		g.hooks.AskTokens(q.to, q.question)
	}
}

// admitCustomer takes a token for the request if its customer has a limit. It refuses the
// request and returns false if there is none.
func (g *Gateway) admitCustomer(ctx *fasthttp.RequestCtx, id string, c *customer.Customer, r *route.Route, arrived time.Duration) (ratelimit.Decision, bool) {
	if c == nil || !c.Limit.Limited() {
		return ratelimit.Decision{}, true
	}
	d := g.takeToken(c, arrived+g.timeoutOf(ctx, r))
	switch d.Verdict {
	case ratelimit.Admitted:
		return d, true
	case ratelimit.OverLimit:
		g.refuseUntil(ctx, id, fasthttp.StatusTooManyRequests, reasonOverQuota, d.RetryAfter,
			"customer", c.Name, "per_second", c.Limit.PerSecond, "retry_after", d.RetryAfter)
	default:
		g.refuseUntil(ctx, id, fasthttp.StatusServiceUnavailable, reasonQuotaUnknown, d.RetryAfter,
			"customer", c.Name, "per_second", c.Limit.PerSecond)
	}
	return d, false
}

// returnToken gives back the token of a call that ended without having been sent.
func (c *call) returnToken(res callResult) {
	unsent := c.sent == 0 && len(c.inFlight) == 0 && (res.kind == resultRefused || res.kind == resultCallerLeft)
	if c.token.Verdict != ratelimit.Admitted || !unsent {
		return
	}
	c.g.customerLimits.giveBack(c.g.opt.Elapsed(), c.customer.Name, c.token)
}

// AnswerTokens answers a question of the instance at the peer address from.
func (g *Gateway) AnswerTokens(from string, q ratelimit.Question) ratelimit.Reply {
	return g.customerLimits.answer(g.opt.Elapsed(), from, q)
}

// ReceiveTokens takes a reply of another instance.
func (g *Gateway) ReceiveTokens(r ratelimit.Reply) {
	g.customerLimits.receiveFromPeer(g.opt.Elapsed(), r)
}

// MaintainCustomerLimits must be called at least twice a second: an instance that was
// stopped for longer may have been replaced as an allocator.
func (g *Gateway) MaintainCustomerLimits() { g.customerLimits.maintain(g.opt.Elapsed()) }
