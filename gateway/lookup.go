package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"
)

// Limits of lookups.
const (
	// lookupTTL is how long callers may cache a lookup response; a draining
	// instance keeps serving for longer than that.
	lookupTTL = 1 * time.Second
	// maxLookupAddresses is the maximum number of addresses that a caller
	// accepts.
	maxLookupAddresses = 64
	// minLookupAddresses is the number of addresses up to which instances of
	// other data centres are added to those in the caller's data centre.
	minLookupAddresses = 3
)

// handleAuxiliary serves lookups and the platform's readiness checks.
func (g *Gateway) handleAuxiliary(ctx *fasthttp.RequestCtx) {
	if err := g.guard.Run("lookup or readiness check", func() { g.serveAuxiliary(ctx) }); err != nil {
		ctx.Response.Reset()
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
}

func (g *Gateway) serveAuxiliary(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case g.proto.ReadyPath:
		if !g.Ready() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	case g.proto.LookupPath:
		g.lookup(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (g *Gateway) lookup(ctx *fasthttp.RequestCtx) {
	dataCentre := string(ctx.QueryArgs().Peek(g.proto.LookupDataCentre))
	addresses := g.lookupAddresses(dataCentre)
	if len(addresses) == 0 && !g.hasKnownInstance() {
		g.hooks.DataNeeded()
		g.waitAtStartup(g.instanceKnown)
		addresses = g.lookupAddresses(dataCentre)
	}
	if len(addresses) == 0 {
		addresses = g.unreadyAddresses(dataCentre)
	}
	g.metrics.lookups.Inc(1)
	if len(addresses) == 0 {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		if err := level.Warn(g.log).Log("msg", "no usable instance for lookup", "data_centre", dataCentre); err != nil {
			g.metrics.logFailures.Inc(1)
		}
		return
	}
	body, err := g.proto.EncodeLookup(addresses, time.Duration(g.lookupTTL.Load()))
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// lookupAddresses returns the addresses for a lookup from the data centre.
func (g *Gateway) lookupAddresses(dataCentre string) []string {
	if list := g.instances.Load(); list != nil {
		return chooseInstances(*list, dataCentre)
	}
	return nil
}

// unreadyAddresses returns the addresses for a lookup while no instance is usable. If the store
// answers none, no instance is ready for keys, and each serves what it can.
func (g *Gateway) unreadyAddresses(dataCentre string) []string {
	list := g.unready.Load()
	if list == nil || g.keys.maxAge.Load() == 0 {
		return nil
	}
	addresses := chooseInstances(*list, dataCentre)
	if len(addresses) > 0 {
		g.metrics.unreadyLookups.Inc(1)
	}
	return addresses
}

// hasKnownInstance reports whether a usable instance has been known since the
// start.
func (g *Gateway) hasKnownInstance() bool {
	select {
	case <-g.instanceKnown:
		return true
	default:
		return false
	}
}

// chooseInstances returns the addresses for a lookup: those in the caller's
// data centre, and others only if there are fewer than minLookupAddresses.
func chooseInstances(list []Instance, dataCentre string) []string {
	var near, far []string
	for _, i := range list {
		if i.DataCentre == dataCentre {
			near = append(near, i.Address)
		} else {
			far = append(far, i.Address)
		}
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	if len(near) < minLookupAddresses {
		near = append(near, far[:min(len(far), minLookupAddresses-len(near))]...)
	}
	return near[:min(len(near), maxLookupAddresses)]
}
