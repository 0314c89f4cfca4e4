package gateway

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"
)

// endKind is how a call ended.
type endKind uint8

const (
	// endAnswer: an upstream's whole answer is passed on.
	endAnswer endKind = iota + 1
	// endRefused: the request did not run and won't.
	endRefused
	// endUnknown: the request may have run.
	endUnknown
	// endGone: the caller left.
	endGone
)

func (k endKind) String() string {
	switch k {
	case endAnswer:
		return "answered"
	case endRefused:
		return "refused"
	case endUnknown:
		return "unknown"
	}
	return "caller-left"
}

// ending is a call's end.
type ending struct {
	kind   endKind
	try    *try // of endAnswer
	status int  // of endRefused and endUnknown
	reason string
}

// Come-back times of refusals: a spread keeps callers from moving together.
const (
	retryAfterLeast  = 40 * time.Millisecond
	retryAfterSpread = 60 * time.Millisecond
)

// end answers the caller.
func (g *Gateway) end(c *call, e ending) {
	took := g.now() - c.arrived
	g.m.ended(e, took)
	kv := []any{"outcome", e.kind.String(), "sends", c.sends + len(c.live), "took", took}
	switch e.kind {
	case endAnswer:
		g.pass(c.ctx, e.try.resp)
		kv = append(kv, "status", e.try.resp.StatusCode(), "upstream", e.try.upstream.ID, "address", e.try.upstream.Address,
			"entry_revision", e.try.upstream.Revision, "cost", e.try.cost, "known", e.try.known, "upstream_took", e.try.took)
		if r := e.try.report; r != nil {
			kv = append(kv, "running", r.Running, "waiting", r.Waiting, "pace", r.Pace)
		}
	case endGone:
		c.ctx.SetConnectionClose()
	default:
		g.fail(c.ctx, e.status, e.reason)
		kv = append(kv, "status", e.status, "reason", e.reason)
	}
	c.log("request ended", kv...)
	if g.phase.Load() != serving {
		c.ctx.SetConnectionClose()
	}
}

// pass gives an upstream's answer on unchanged.
func (g *Gateway) pass(ctx *fasthttp.RequestCtx, from *fasthttp.Response) {
	to := &ctx.Response
	to.SetStatusCode(from.StatusCode())
	named := strings.ToLower(string(from.Header.Peek(fasthttp.HeaderConnection)))
	for k, v := range from.Header.All() {
		if !hopByHop(string(k), named) {
			to.Header.SetBytesKV(k, v)
		}
	}
	if ctx.IsHead() {
		to.SkipBody = true
		to.Header.SetContentLength(from.Header.ContentLength())
		return
	}
	to.SetBodyRaw(from.Body())
}

// refuse ends a request that has no call.
func (g *Gateway) refuse(ctx *fasthttp.RequestCtx, id string, status int, why string) {
	g.m.refusal(why)
	g.fail(ctx, status, why)
	if err := level.Info(g.log).Log("msg", "request refused", "request", id, "host", string(ctx.Host()), "path", string(ctx.Path()),
		"status", status, "reason", why); err != nil {
		g.m.logFailures.Inc(1)
	}
	if g.phase.Load() != serving {
		ctx.SetConnectionClose()
	}
}

// fail writes an answer of the instance's own.
func (g *Gateway) fail(ctx *fasthttp.RequestCtx, status int, why string) {
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.SetContentType("text/plain; charset=utf-8")
	if status == fasthttp.StatusServiceUnavailable {
		after := retryAfterLeast + rand.N(retryAfterSpread)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, fmt.Sprintf("%.2f", after.Seconds()))
	}
	ctx.SetBodyString(why + "\n")
}

// malformed answers a request that could not be read.
func (g *Gateway) malformed(ctx *fasthttp.RequestCtx, err error) {
	status, why := fasthttp.StatusBadRequest, "malformed"
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		status, why = fasthttp.StatusRequestHeaderFieldsTooLarge, "headers-too-large"
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status, why = fasthttp.StatusRequestEntityTooLarge, "body-too-large"
	}
	g.refuse(ctx, "", status, why)
	ctx.SetConnectionClose()
}
