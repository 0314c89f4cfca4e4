package gateway

import (
	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/discovery"
)

// rateLimit is the limit that an upstream named in its last reply.
type rateLimit struct {
	// named is false if that reply named no limit.
	named bool
	// perSecond is the number of requests a second that the upstream takes from
	// all instances together.
	perSecond float64
}

// recordRateLimit records the rate limit that a reply of the upstream names, or
// that it names none. A limit that can't be decoded leaves the last one in
// force.
func (g *Gateway) recordRateLimit(u *discovery.Upstream, resp *fasthttp.Response) {
	var limit rateLimit
	if text := resp.Header.Peek(g.proto.RateLimit); len(text) > 0 {
		perSecond, err := g.proto.ParseRateLimit(string(text))
		if err != nil {
			g.logEvent("rate limit ignored", "upstream", u.ID, "err", err)
			return
		}
		limit = rateLimit{named: true, perSecond: perSecond}
	}
	if g.evidence.setRateLimit(u, limit) {
		g.metrics.rateLimitChanges.Inc(1)
		g.logEvent("rate limit changed", "upstream", u.ID, "service", u.Service, "limited", limit.named, "per_second", limit.perSecond)
	}
}

// logEvent logs an event that belongs to no call.
func (g *Gateway) logEvent(msg string, kv ...any) {
	if err := level.Info(g.log).Log(append([]any{"msg", msg}, kv...)...); err != nil {
		g.metrics.logFailures.Inc(1)
	}
}
