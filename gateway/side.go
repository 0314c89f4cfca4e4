package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"
)

// Lookups.
const (
	// lookupLife is how long callers may keep an answer; a leaving instance
	// serves on for longer than that.
	lookupLife = 1 * time.Second
	// maxAddresses is the most addresses that a caller takes.
	maxAddresses = 64
	// nearEnough instances in the caller's data centre are handed out alone.
	nearEnough = 3
)

// handleSide serves lookups and the platform's question whether this instance
// is ready.
func (g *Gateway) handleSide(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case g.d.ReadyPath:
		if !g.Ready() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	case g.d.LookupPath:
		g.lookup(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (g *Gateway) lookup(ctx *fasthttp.RequestCtx) {
	place := string(ctx.QueryArgs().Peek(g.d.LookupPlace))
	addresses := g.addresses(place)
	if len(addresses) == 0 && !g.hasNamed() {
		g.hooks.Wanted()
		g.awaitFirst(g.named)
		addresses = g.addresses(place)
	}
	g.m.lookups.Inc(1)
	if len(addresses) == 0 {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		if err := level.Warn(g.log).Log("msg", "lookup without an instance to name", "data_centre", place); err != nil {
			g.m.logFailures.Inc(1)
		}
		return
	}
	body, err := g.d.EncodeLookup(addresses, time.Duration(g.lookupLife.Load()))
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// addresses returns the instances to name to a caller.
func (g *Gateway) addresses(place string) []string {
	if list := g.fleet.Load(); list != nil {
		return chooseInstances(*list, place)
	}
	return nil
}

// hasNamed tells whether there was an instance to name since the start.
func (g *Gateway) hasNamed() bool {
	select {
	case <-g.named:
		return true
	default:
		return false
	}
}

// chooseInstances returns the instances to name to a caller: those of its data
// centre, and others only where these are few.
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
	if len(near) < nearEnough {
		near = append(near, far[:min(len(far), nearEnough-len(near))]...)
	}
	return near[:min(len(near), maxAddresses)]
}
