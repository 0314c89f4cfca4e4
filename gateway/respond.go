package gateway

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/internal/httpserve"
)

// resultKind is the kind of a call's result.
type resultKind uint8

const (
	// resultAnswered: a complete reply of an upstream is forwarded.
	resultAnswered resultKind = iota + 1
	// resultRefused: the request has not run and will not run.
	resultRefused
	// resultUnknown: the request may have run.
	resultUnknown
	// resultCallerLeft: the caller closed its connection.
	resultCallerLeft
)

func (k resultKind) String() string {
	switch k {
	case resultAnswered:
		return "answered"
	case resultRefused:
		return "refused"
	case resultUnknown:
		return "unknown"
	}
	return "caller-left"
}

// callResult is the result of a call.
type callResult struct {
	kind   resultKind
	try    *try // set for resultAnswered
	status int  // set for resultRefused and resultUnknown
	reason string
	// retryAfter is when a refused call has a chance, 0 if not known.
	retryAfter time.Duration
}

// Retry-After of refusals: minRetryAfter, or later if it is known that the call
// has no chance before, plus a random part of retryAfterJitter, so that refused callers do not come back at the same time.
const (
	minRetryAfter    = 40 * time.Millisecond
	retryAfterJitter = 60 * time.Millisecond
)

// replyMemoryKey is the key of the request's value that holds the memory of its
// reply. The HTTP server closes such values at the end of the request.
type replyMemoryKey struct{}

// respond writes the response to the caller and records the call's result.
func (g *Gateway) respond(c *call, res callResult) {
	took := g.now() - c.arrived
	g.metrics.recordResult(res, took)
	c.discardReplies(res.try)
	kv := []any{"outcome", res.kind.String(), "sends", c.sent + len(c.inFlight), "took", took}
	if c.customer != nil {
		kv = append(kv, "customer", c.customer.Name)
	}
	switch res.kind {
	case resultAnswered:
		g.writeUpstreamResponse(c.ctx, res.try.resp)
		c.ctx.SetUserValue(replyMemoryKey{}, &res.try.memory) // closed once the response is written
		kv = append(kv, "status", res.try.resp.StatusCode(), "upstream", res.try.upstream.ID, "address", res.try.upstream.Address,
			"entry_revision", res.try.upstream.Revision, "cost", res.try.cost, "known", res.try.known, "upstream_took", res.try.took)
		if r := res.try.report; r != nil {
			kv = append(kv, "running", r.Running, "waiting", r.Waiting, "pace", r.Pace)
		}
		if l := res.try.rateLimit; l.Named {
			kv = append(kv, "rate_limit", l.PerSecond)
		}
		if res.try.cold {
			kv = append(kv, "cold", true)
		}
	case resultCallerLeft:
		httpserve.CloseWithoutResponse(c.ctx)
	default:
		g.writeError(c.ctx, res.status, res.reason, res.retryAfter)
		kv = append(kv, "status", res.status, "reason", res.reason)
	}
	c.log("request ended", kv...)
	if g.closesConnections() {
		c.ctx.SetConnectionClose()
	}
}

// closesConnections reports whether callers' connections are closed after a response: in a
// planned stop, and while there are so many that new callers may find no room.
func (g *Gateway) closesConnections() bool { return g.phase.Load() != serving || g.callers.Crowded() }

// writeUpstreamResponse copies an upstream's reply, without its hop-by-hop
// headers, to the caller's response.
func (g *Gateway) writeUpstreamResponse(ctx *fasthttp.RequestCtx, from *fasthttp.Response) {
	to := &ctx.Response
	to.SetStatusCode(from.StatusCode())
	connectionHeader := strings.ToLower(string(from.Header.Peek(fasthttp.HeaderConnection)))
	for k, v := range from.Header.All() {
		if !g.isHopByHop(string(k), connectionHeader) {
			to.Header.AddBytesKV(k, v)
		}
	}
	if ctx.IsHead() {
		to.SkipBody = true
		to.Header.SetContentLength(from.Header.ContentLength())
		return
	}
	to.SetBodyRaw(from.Body())
}

// refuse rejects a request for which no call was created.
func (g *Gateway) refuse(ctx *fasthttp.RequestCtx, id string, status int, reason string) {
	g.refuseUntil(ctx, id, status, reason, 0)
}

// refuseUntil rejects a request for which no call was created, and which has a chance after
// retryAfter, 0 if that is not known. kv is added to the log line.
func (g *Gateway) refuseUntil(ctx *fasthttp.RequestCtx, id string, status int, reason string, retryAfter time.Duration, kv ...any) {
	g.metrics.recordRefusal(reason)
	g.writeError(ctx, status, reason, retryAfter)
	line := append([]any{
		"msg", "request refused", "request", id, "host", string(ctx.Request.Header.Host()), "target", string(ctx.Request.Header.RequestURI()),
		"status", status, "reason", reason,
	}, kv...)
	if err := level.Info(g.log).Log(line...); err != nil {
		g.metrics.logFailures.Inc(1)
	}
	if g.closesConnections() {
		ctx.SetConnectionClose()
	}
}

// writeError writes a response that this instance generates itself. A refused
// caller is told to come back after retryAfter, 0 if that is not known.
func (g *Gateway) writeError(ctx *fasthttp.RequestCtx, status int, reason string, retryAfter time.Duration) {
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.SetContentType("text/plain; charset=utf-8")
	if status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, formatRetryAfter(retryAfter))
	}
	if status == fasthttp.StatusUnauthorized {
		ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
	}
	ctx.SetBodyString(reason + "\n")
}

// formatRetryAfter returns the value of a Retry-After header for a caller who has a chance
// after the given time, 0 if that is not known.
func formatRetryAfter(after time.Duration) string {
	return fmt.Sprintf("%.2f", (max(minRetryAfter, after) + rand.N(retryAfterJitter)).Seconds())
}

// reasonHeadersTooLarge is the reason of a refusal of a request with a header above the
// limit.
const reasonHeadersTooLarge = "headers-too-large"

// handleReadError responds to a request that could not be read.
func (g *Gateway) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	status, reason := fasthttp.StatusBadRequest, "malformed"
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		status, reason = fasthttp.StatusRequestHeaderFieldsTooLarge, reasonHeadersTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status, reason = refusedTooLarge.status, refusedTooLarge.reason
	case isTimeout(err):
		status, reason = refusedTimeout.status, refusedTimeout.reason
	}
	g.refuse(ctx, "", status, reason)
	ctx.SetConnectionClose()
}
