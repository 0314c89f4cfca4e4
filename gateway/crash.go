package gateway

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/discovery"
	"github.com/catkinrouter/catkinrouter/internal/crashcheck"
	"github.com/catkinrouter/catkinrouter/quarantine"
)

const (
	// maxCrashChecks bounds the checks in progress.
	maxCrashChecks = 128
	// maxCrashCheckWait bounds how long the next attempt of a suspected request waits
	// for the check.
	maxCrashCheckWait = 100 * time.Millisecond
)

// content identifies what the call asks for: the caller, the method, host, path and
// query, and the body. Callers' addresses are left out, since one caller may have many.
func (c *call) content() quarantine.Content {
	if !c.contentKnown {
		h := &c.ctx.Request.Header
		c.contentDigest = quarantine.NewContentWithBody(c.body.segments, c.callerIdentity(), h.Method(), h.Host(), h.RequestURI())
		c.contentKnown = true
	}
	return c.contentDigest
}

// callerIdentity returns what upstreams get to know of the caller: the customer's name if there
// are customers, else the credentials. Contents are logged and sent to other instances, and a
// short key could be guessed from one.
func (c *call) callerIdentity() []byte {
	switch {
	case !c.hasCustomers:
		return c.ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)
	case c.customer == nil:
		return nil
	}
	return []byte(c.customer.Name)
}

// incarnationKey identifies an incarnation of an upstream in messages between
// instances.
func incarnationKey(u *discovery.Upstream) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(u.ID+"\x00"+u.Address+"\x00"), uint64(u.StartUnixMilli)))
}

// checkCrash finds out whether the upstream crashed while it ran the attempt,
// which ended with a broken connection: a crashed one refuses connections. One
// that still listens has only lost this connection, and one that was leaving has
// ended as planned.
func (g *Gateway) checkCrash(c *call, t *try) {
	if !t.wrote || !crashcheck.BrokeOff(t.err) {
		return
	}
	if g.crashChecks.Add(1) > maxCrashChecks {
		g.crashChecks.Add(-1)
		g.metrics.crashChecksSkipped.Inc(1)
		return
	}
	content, request, upstream, took := c.content(), c.id, t.upstream, t.took
	endedAt := g.now()
	checked := make(chan struct{})
	t.crashChecked = checked
	go func() {
		defer g.crashChecks.Add(-1)
		defer close(checked)
		// A panic is logged; the crash then counts for nothing.
		_ = g.guard.Run("crash check", func() {
			time.Sleep(crashcheck.Delay)
			if !g.hasCrashed(upstream) {
				return
			}
			g.metrics.crashes.Inc(1)
			age := g.now() - endedAt
			g.logEvent("upstream crashed under request", "request", request, "content", content, "upstream", upstream.ID,
				"service", upstream.Service, "ran_ms", took.Milliseconds(), "age_ms", age.Milliseconds())
			g.reportCrash(quarantine.Crash{Content: content, Upstream: incarnationKey(upstream), Began: endedAt - took, At: endedAt})
		})
	}()
}

// awaitCrashCheck waits until it is known whether the upstream of a finished attempt
// crashed, if earlier ones crashed under the same request.
func (c *call) awaitCrashCheck(t *try) {
	if t.crashChecked == nil || c.g.crashesUnder(c) < quarantine.CautiousFrom {
		return
	}
	select {
	case <-t.crashChecked:
	case <-time.After(min(maxCrashCheckWait, c.timeLeft())):
	}
}

// hasCrashed reports whether the upstream refuses connections although it is
// registered and not draining.
func (g *Gateway) hasCrashed(u *discovery.Upstream) bool {
	registered := g.snapshot.Load().byKey[upstreamKey(u)]
	if registered == nil || !registered.SameIncarnation(u) {
		return false
	}
	cn, err := g.pool.dial(u.Address, dialTimeout)
	if err == nil {
		cn.lastReplyAt = time.Now()
		g.pool.put(cn)
	}
	return crashcheck.Refused(err)
}
