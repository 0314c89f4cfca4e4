package gateway

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/internal/reqtarget"
	"github.com/catkinrouter/catkinrouter/route"
)

// handle serves one request of a caller. A panic ends only this request: it may
// have run by then.
func (g *Gateway) handle(ctx *fasthttp.RequestCtx) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if err := g.guard.Run("request", func() { g.serveRequest(ctx) }); err != nil {
		g.refuse(ctx, string(ctx.Request.Header.Peek(g.proto.RequestID)), fasthttp.StatusBadGateway, "internal-error")
		ctx.SetConnectionClose()
	}
}

// Reasons of refusals by a request's target.
const (
	// reasonBadTarget: the target names no valid path.
	reasonBadTarget = "bad-target"
	// reasonRouteUnreadable: it is not known where requests of the route go.
	reasonRouteUnreadable = "route-unreadable"
)

// serveRequest checks a request, creates a call from it and runs the call.
func (g *Gateway) serveRequest(ctx *fasthttp.RequestCtx) {
	snap := g.waitForSnapshot()
	id := string(ctx.Request.Header.Peek(g.proto.RequestID))
	if snap == nil {
		g.refuse(ctx, id, fasthttp.StatusServiceUnavailable, "no-configuration")
		return
	}
	h := &ctx.Request.Header
	r := g.findRoute(ctx, id, snap)
	if r == nil {
		return
	}
	key := presentedKeyOf(h)
	if key.refusal == nil {
		g.waitForConfirmation()
	}
	cust, refusal := g.authenticate(key, r.Public)
	if refusal != nil {
		g.refuse(ctx, id, refusal.status, refusal.reason)
		return
	}
	if limit := snap.table.Limits.MaxHeaderBytes; limit > 0 && len(h.RawHeaders())+len(h.RequestURI()) > limit {
		g.refuse(ctx, id, fasthttp.StatusRequestHeaderFieldsTooLarge, reasonHeadersTooLarge)
		return
	}
	body, bodyRefusal := g.readBody(ctx, snap.table.Limits.MaxBodyBytes)
	if bodyRefusal != nil {
		g.refuseBody(ctx, id, bodyRefusal)
		return
	}
	defer body.release()
	arrived := g.now()
	token, admitted := g.admitCustomer(ctx, id, cust, r, arrived)
	if !admitted {
		return
	}
	c := g.newCall(ctx, snap, r, id, arrived, body)
	c.key, c.customer, c.token = key, cust, token
	if !g.stop.Load().admits(c.arrived, c.deadline-c.arrived, c.work()) {
		g.finish(c, c.failureResult("stopping"))
		return
	}
	g.finish(c, c.run())
}

// findRoute returns the route of a request. It refuses the request and returns nil if there is
// none that can serve it.
func (g *Gateway) findRoute(ctx *fasthttp.RequestCtx, id string, snap *snapshot) *route.Route {
	h := &ctx.Request.Header
	target, err := reqtarget.Parse(h.RequestURI(), h.Host())
	if err != nil {
		g.refuse(ctx, id, fasthttp.StatusBadRequest, reasonBadTarget)
		return nil
	}
	r := snap.table.Match(string(target.Host), string(target.Path))
	if r == nil {
		g.refuse(ctx, id, fasthttp.StatusNotFound, "no-route")
		return nil
	}
	if r.Unreadable {
		g.refuse(ctx, id, fasthttp.StatusServiceUnavailable, reasonRouteUnreadable)
		return nil
	}
	return r
}

// finish ends a call with its result, and gives back its token if it was not sent.
func (g *Gateway) finish(c *call, res callResult) {
	c.returnToken(res)
	g.respond(c, res)
}

// startupWait is how long the first requests after a start wait for data that
// the instance is reading at that moment. The store replies within
// milliseconds, and a refusal would use up one of the caller's few attempts.
const startupWait = 80 * time.Millisecond

// waitForSnapshot returns the current snapshot. Before the first configuration
// it waits up to startupWait for one, and returns nil if none arrives.
func (g *Gateway) waitForSnapshot() *snapshot {
	if snap := g.snapshot.Load(); snap != nil {
		return snap
	}
	g.hooks.DataNeeded()
	g.waitAtStartup(g.configured)
	return g.snapshot.Load()
}

// waitAtStartup waits until ch is closed, for at most startupWait.
func (g *Gateway) waitAtStartup(ch <-chan struct{}) {
	t := time.NewTimer(g.startupWait)
	defer t.Stop()
	select {
	case <-ch:
	case <-t.C:
	}
}

// timeoutOf returns the timeout of a request: the route's, or the caller's deadline if that
// is shorter.
func (g *Gateway) timeoutOf(ctx *fasthttp.RequestCtx, r *route.Route) time.Duration {
	if callerTime := g.callerTime(ctx); callerTime > 0 {
		return min(r.Timeout, callerTime)
	}
	return r.Timeout
}

// newCall creates a call from a request and its route.
func (g *Gateway) newCall(ctx *fasthttp.RequestCtx, snap *snapshot, r *route.Route, id string, arrived time.Duration, body *requestBody) *call {
	name := r.NextService()
	svc, _ := snap.table.Service(name)
	svc.Name = name
	c := &call{
		g: g, ctx: ctx, id: id, version: snap.table.Version, route: r, service: svc,
		arrived: arrived, deadline: arrived + g.timeoutOf(ctx, r), callerTime: g.callerTime(ctx),
		// Copied, because an attempt can outlive the request, whose buffers
		// are then reused.
		head: g.requestHead(ctx, snap.table.Customers != nil), hasCustomers: snap.table.Customers != nil, body: body,
		hasBody: ctx.Request.Header.ContentLength() != 0 && !ctx.IsGet() && !ctx.IsHead(), isHead: ctx.IsHead(),
		leastCost: g.leastCostFor(snap.table, name),
		tried:     map[string]bool{}, finished: make(chan *try, maxUnsent+r.MaxAttempts+1),
	}
	g.estimates.init(c.workKey(), r.TargetLatency)
	g.retryBudgets.recordCall(arrived, name)
	return c
}

// maxCallerTime bounds the time that a caller says it waits.
const maxCallerTime = 24 * time.Hour

// callerTime returns how long the caller says it waits, 0 if it does not say.
func (g *Gateway) callerTime(ctx *fasthttp.RequestCtx) time.Duration {
	ms, err := strconv.ParseInt(string(ctx.Request.Header.Peek(g.proto.Deadline)), 10, 64)
	if err != nil || ms <= 0 {
		return 0
	}
	return time.Duration(min(ms, maxCallerTime.Milliseconds())) * time.Millisecond
}
