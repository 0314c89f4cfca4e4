package gateway

import (
	"math"
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
}

// takeQuota counts a request to the chosen upstream under its rate limit. It
// returns false if this instance may not send one now.
func (g *Gateway) takeQuota(ch *choice) bool {
	admitted, now := false, g.now()
	g.evidence.withBucket(now, ch.upstream, func(b *quota.Bucket, d *quota.Division) {
		ch.rateLimit = b.Limit()
		admitted = b.Take(now, d, ch.upstream.ID)
	})
	if !admitted {
		g.metrics.rateLimited.Inc(1)
	}
	return admitted
}

// returnQuota gives back what takeQuota counted for a request that was not sent.
func (g *Gateway) returnQuota(ch *choice) {
	if ch.upstream != nil && ch.rateLimit.Named {
		g.evidence.withBucket(g.now(), ch.upstream, func(b *quota.Bucket, _ *quota.Division) { b.Return() })
	}
}

// never is later than any time.
const never = time.Duration(math.MaxInt64)

// rateLimitedUntil returns when this instance may send the call to an upstream,
// after ahead other calls, and whether that is what the call waits for: all
// upstreams left to it name a rate limit. The time is never if this instance
// holds a part of none of them.
func (c *call) rateLimitedUntil(ahead int) (until time.Duration, limited bool) {
	now := c.g.now()
	var held []quota.Admission
	limited = c.hasUntried()
	for _, u := range c.upstreams() {
		if c.tried[u.ID] {
			continue
		}
		_, a := c.g.evidence.prospect(now, u)
		switch {
		case !a.Limited:
			return 0, false
		case a.Held:
			held = append(held, a)
		}
	}
	if len(held) == 0 {
		return never, limited
	}
	for range ahead {
		first := earliest(held)
		first.Due = max(first.Due, now) + first.Interval
	}
	return earliest(held).Due, true
}

// earliest returns the admission that is due first.
func earliest(list []quota.Admission) *quota.Admission {
	first := &list[0]
	for i := range list {
		if list[i].Due < first.Due {
			first = &list[i]
		}
	}
	return first
}
