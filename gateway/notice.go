package gateway

import (
	"errors"
	"math"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/discovery"
	"github.com/catkinrouter/catkinrouter/notice"
	"github.com/catkinrouter/catkinrouter/quota"
)

// errUnwanted ends an attempt or a probe before it is sent: its upstream has said
// meanwhile that it is leaving, or that it wants no requests for a time, or its data
// centre is evacuated.
var errUnwanted = errors.New("upstream is leaving, asked for a pause or was evacuated after it was picked")

// leavingRetryAfter is when callers are told to come back if all upstreams of a service
// are leaving: the next ones are being started.
const leavingRetryAfter = time.Second

// never is later than any time.
const never = time.Duration(math.MaxInt64)

// upstreamAdmission is whether an upstream admits a request, by what it has said of itself
// and by the limit while it is cold.
type upstreamAdmission struct {
	rate   quota.Admission
	notice notice.Admission
	cold   quota.Admission
}

// limited reports whether anything but load may keep a request from the upstream.
func (a upstreamAdmission) limited() bool {
	return a.rate.Limited || a.cold.Limited || !a.notice.Admitted
}

// reason returns why a request is kept from a limited upstream.
func (a upstreamAdmission) reason() string {
	switch {
	case a.notice.Leaving:
		return reasonLeaving
	case a.cold.Limited && !a.cold.Admitted && a.cold.Due >= max(a.rate.Due, a.notice.Due):
		return reasonCold
	case a.notice.Due > a.rate.Due:
		return reasonPaused
	}
	return reasonRateLimited
}

// Reasons of calls that are refused since no upstream left to them admits a request.
const (
	reasonRateLimited = "rate-limited"
	reasonPaused      = "upstreams-paused"
	reasonLeaving     = "upstreams-leaving"
)

// noticeOf returns what a reply of an upstream says of itself.
func (g *Gateway) noticeOf(resp *fasthttp.Response, health bool) notice.Notice {
	h := &resp.Header
	n := notice.Notice{Leaving: g.proto.IsLeaving(string(h.Peek(g.proto.Leaving)))}
	switch code := resp.StatusCode(); {
	case health:
		n.Reply = notice.Health
	case code == fasthttp.StatusMisdirectedRequest || len(h.Peek(g.proto.NotRun)) > 0:
		n.Reply = notice.Refusal
	}
	if resp.StatusCode() == fasthttp.StatusServiceUnavailable {
		n.Pause = notice.ParseRetryAfter(h.PeekAll(fasthttp.HeaderRetryAfter), time.Now())
	}
	return n
}

// recordNotice records what a reply of u says of itself. Another upstream that now has
// the address of u says nothing of it.
func (g *Gateway) recordNotice(u *discovery.Upstream, resp *fasthttp.Response, health bool) {
	if resp.StatusCode() == fasthttp.StatusMisdirectedRequest {
		return
	}
	n, now := g.noticeOf(resp, health), g.now()
	change := g.evidence.observeNotice(now, u, n, rand.Float64())
	switch change {
	case notice.Left:
		g.upstreamLeft(u, "upstream")
		g.hooks.UpstreamLeaving(incarnationKey(u))
	case notice.Paused:
		g.metrics.pauses.Inc(1)
		g.logEvent("upstream asked for a pause", "upstream", u.ID, "service", u.Service, "for", n.Pause)
	case notice.Resumed:
		g.logEvent("upstream answers after its pause", "upstream", u.ID, "service", u.Service)
	}
}

// upstreamLeft does what follows once u is leaving.
func (g *Gateway) upstreamLeft(u *discovery.Upstream, source string) {
	g.metrics.leaving.Inc(1)
	g.pool.closeIdle(u.Address)
	g.logEvent("upstream is leaving", "upstream", u.ID, "service", u.Service, "source", source)
}

// RecordRemoteLeaving records that another instance was told by an upstream that it is
// leaving. key identifies its incarnation: one that this instance does not know, or
// that has registered anew since, is not concerned.
func (g *Gateway) RecordRemoteLeaving(key uint64) {
	snap := g.snapshot.Load()
	if snap == nil {
		return
	}
	for _, u := range snap.byKey {
		if incarnationKey(u) != key {
			continue
		}
		if g.evidence.observeNotice(g.now(), u, notice.Notice{Reply: notice.Health, Leaving: true}, 0) == notice.Left {
			g.upstreamLeft(u, "peer")
		}
		return
	}
}

func (e *evidenceTable) observeNotice(now time.Duration, u *discovery.Upstream, n notice.Notice, random float64) notice.Change {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.entry(u).notices.Observe(now, n, random)
}

// unwanted reports whether u wants no request now.
func (e *evidenceTable) unwanted(now time.Duration, u *discovery.Upstream) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.entry(u).notices.Blocked(now)
}

// leaving reports whether u is leaving.
func (e *evidenceTable) leaving(u *discovery.Upstream) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.entry(u).notices.Leaving()
}

// admit counts a request to the chosen upstream if it admits one now. It sets the rate
// limit under which it was counted, or that admitted none.
func (e *evidenceTable) admit(now time.Duration, ch *choice) {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry := e.entry(ch.upstream)
	if !entry.notices.Take(now) {
		return
	}
	ch.rateLimit = entry.bucket.Limit()
	if !entry.bucket.Take(now, e.fleet.Division(now), ch.upstream.ID) {
		entry.notices.Return()
		return
	}
	if !entry.takeCold(now, &e.cold, ch) {
		entry.returnRate(ch)
		entry.notices.Return()
		return
	}
	ch.admitted = true
}

// returnRate gives back a request that the bucket of the rate limit counted.
func (e *evidenceEntry) returnRate(ch *choice) {
	if ch.rateLimit.Named {
		e.bucket.Return()
	}
}

// withdraw gives back what admit counted for a request that was not sent.
func (e *evidenceTable) withdraw(ch *choice) {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry := e.entry(ch.upstream)
	entry.notices.Return()
	entry.returnRate(ch)
	entry.returnCold(ch)
}

// admit counts a request to the chosen upstream. It returns false if the upstream
// admits none now.
func (g *Gateway) admit(ch *choice) bool {
	if g.isEvacuated(ch.upstream) {
		return false
	}
	g.evidence.admit(g.now(), ch)
	switch {
	case ch.admitted:
	case ch.coldRefused:
		g.metrics.coldPasses.Inc(1)
	case ch.rateLimit.Named:
		g.metrics.rateLimited.Inc(1)
	}
	return ch.admitted
}

// withdraw gives back what admit counted for a request that was not sent.
func (g *Gateway) withdraw(ch *choice) {
	if ch.admitted {
		g.evidence.withdraw(ch)
	}
}

// blockedUntil returns when this instance may send the call to an upstream, after
// ahead other calls, and why not now; the reason is empty if an upstream is open. The time
// is never if no upstream left to the call will admit one.
func (c *call) blockedUntil(ahead int) (until time.Duration, reason string) {
	if c.allEvacuated() {
		return never, reasonEvacuated
	}
	now := c.g.now()
	var waiting []quota.Admission
	var reasons []string
	for _, u := range c.upstreams() {
		if c.tried[u.ID] {
			continue
		}
		_, a := c.g.evidence.prospect(now, u)
		if !a.limited() {
			return 0, ""
		}
		if reason = a.reason(); a.notice.Leaving || a.rate.Limited && !a.rate.Held {
			continue
		}
		waiting = append(waiting, quota.Admission{Due: max(a.rate.Due, a.notice.Due, a.cold.Due), Interval: max(a.rate.Interval, a.cold.Interval)})
		reasons = append(reasons, reason)
	}
	if len(waiting) == 0 {
		return never, reason
	}
	for range ahead {
		first := &waiting[earliest(waiting)]
		first.Due = max(first.Due, now) + first.Interval
	}
	i := earliest(waiting)
	return waiting[i].Due, reasons[i]
}

// earliest returns the index of the admission that is due first.
func earliest(list []quota.Admission) (first int) {
	for i := range list {
		if list[i].Due < list[first].Due {
			first = i
		}
	}
	return first
}
