package gateway

import (
	"time"

	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/discovery"
	"github.com/catkinrouter/catkinrouter/quota"
)

// recordRateLimit records the rate limit that a reply of the upstream names, or
// that it names none. A limit that can't be decoded leaves the last one in
// force.
func (g *Gateway) recordRateLimit(u *discovery.Upstream, resp *fasthttp.Response) {
	var limit quota.Limit
	if text := resp.Header.Peek(g.proto.RateLimit); len(text) > 0 {
		perSecond, err := g.proto.ParseRateLimit(string(text))
		if err != nil {
			g.logEvent("rate limit ignored", "upstream", u.ID, "err", err)
			return
		}
		limit = quota.Limit{Named: true, PerSecond: perSecond}
	}
	var changed bool
	now := g.now()
	g.evidence.withBucket(now, u, func(b *quota.Bucket, _ *quota.Division) { changed = b.Observe(now, limit) })
	if changed {
		g.metrics.rateLimitChanges.Inc(1)
		g.logEvent("rate limit changed", "upstream", u.ID, "service", u.Service, "limited", limit.Named, "per_second", limit.PerSecond)
	}
}

// logEvent logs an event that belongs to no call.
func (g *Gateway) logEvent(msg string, kv ...any) {
	if err := level.Info(g.log).Log(append([]any{"msg", msg}, kv...)...); err != nil {
		g.metrics.logFailures.Inc(1)
	}
}

// withBucket calls fn with the bucket of u and the current division.
func (e *evidenceTable) withBucket(now time.Duration, u *discovery.Upstream, fn func(*quota.Bucket, *quota.Division)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fn(&e.entry(u).bucket, e.fleet.Division(now))
}

// setFleet sets the fleet among which rate limits are divided.
func (e *evidenceTable) setFleet(now time.Duration, f quota.Fleet) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fleet.Set(now, f)
	e.cold.view.Set(now, f)
}
