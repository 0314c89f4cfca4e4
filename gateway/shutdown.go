package gateway

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"
)

// Phases of a Gateway.
const (
	serving = iota
	// draining: the instance is not ready, lookups do not return it, and
	// connections are closed after each response. All requests that arrive are
	// served.
	draining
)

// Times of a planned shutdown.
const (
	// drainTime is how long a draining instance still accepts connections:
	// callers keep its address for that long after an earlier lookup.
	drainTime = 3200 * time.Millisecond
	// shutdownMargin is how long before the shutdown limit the process stops
	// waiting for requests in flight.
	shutdownMargin = 500 * time.Millisecond
)

// StartDraining starts draining: the instance is no longer ready.
func (g *Gateway) StartDraining() { g.phase.Store(draining) }

// shutDown keeps serving while callers may still connect, then closes idle
// connections and waits for the requests in flight.
func (g *Gateway) shutDown(limit time.Duration, server *fasthttp.Server) {
	g.StartDraining()
	startedAt := g.now()
	time.Sleep(min(drainTime, limit/2))
	ctx, cancel := context.WithTimeout(context.Background(), limit-shutdownMargin-(g.now()-startedAt))
	defer cancel()
	if err := server.ShutdownWithContext(ctx); err != nil {
		if err := level.Warn(g.log).Log("msg", "stopped with requests in flight", "requests", g.inFlight.Load(), "err", err); err != nil {
			g.metrics.logFailures.Inc(1)
		}
	}
}
