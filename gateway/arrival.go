package gateway

import (
	"bytes"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/route"
)

// handle serves one request of a caller.
func (g *Gateway) handle(ctx *fasthttp.RequestCtx) {
	arrived := g.now()
	g.flying.Add(1)
	defer g.flying.Add(-1)
	st := g.firstView()
	id := string(ctx.Request.Header.Peek(g.d.RequestID))
	if st == nil {
		g.refuse(ctx, id, fasthttp.StatusServiceUnavailable, "no-configuration")
		return
	}
	r := st.table.Match(string(ctx.Host()), string(ctx.Path()))
	if r == nil {
		g.refuse(ctx, id, fasthttp.StatusNotFound, "no-route")
		return
	}
	c := g.newCall(ctx, st, r, id, arrived)
	e := c.run()
	g.end(c, e)
}

// firstWait is how long the first callers after a start wait for what the
// instance reads just then; the store answers in milliseconds, and a refusal
// would cost them one of their few tries.
const firstWait = 80 * time.Millisecond

// firstView returns what to serve by; a caller that comes before there is a
// configuration waits a moment for it.
func (g *Gateway) firstView() *view {
	if st := g.view.Load(); st != nil {
		return st
	}
	g.hooks.Wanted()
	g.awaitFirst(g.configured)
	return g.view.Load()
}

// awaitFirst waits until ch closes, for at most firstWait.
func (g *Gateway) awaitFirst(ch <-chan struct{}) {
	t := time.NewTimer(g.firstWait)
	defer t.Stop()
	select {
	case <-ch:
	case <-t.C:
	}
}

// newCall takes what the request says.
func (g *Gateway) newCall(ctx *fasthttp.RequestCtx, st *view, r *route.Route, id string, arrived time.Duration) *call {
	name := r.Next()
	svc, _ := st.table.Service(name)
	svc.Name = name
	wait := r.Timeout
	if ms, err := strconv.Atoi(string(ctx.Request.Header.Peek(g.d.Deadline))); err == nil && ms > 0 {
		wait = min(wait, time.Duration(ms)*time.Millisecond)
	}
	c := &call{
		g: g, ctx: ctx, id: id, version: st.table.Version, route: r, service: svc,
		arrived: arrived, deadline: arrived + wait,
		// An attempt can outlive the request, whose buffers are then reused.
		head: g.requestHead(ctx), body: bytes.Clone(ctx.Request.Body()),
		hasBody: ctx.Request.Header.ContentLength() != 0 && !ctx.IsGet() && !ctx.IsHead(), headOnly: ctx.IsHead(),
		tried: map[string]bool{}, results: make(chan *try, maxUnsent+r.MaxAttempts+1),
	}
	g.work.begin(r)
	g.budgets.call(arrived, name)
	return c
}
