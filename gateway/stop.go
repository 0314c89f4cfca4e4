package gateway

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"
)

// Phases of a gateway's life.
const (
	serving = iota
	// leaving: not ready, not handed out, connections close after each
	// answer; everything that comes is served.
	leaving
)

// Times of a planned stop.
const (
	// acceptFor is how long a leaving instance still accepts connections:
	// callers that looked up before keep its address for that long.
	acceptFor = 3200 * time.Millisecond
	// stopMargin is left of the stop's limit when the process ends.
	stopMargin = 500 * time.Millisecond
)

// Leave begins a planned stop: the instance is no longer ready.
func (g *Gateway) Leave() { g.phase.Store(leaving) }

// stopInTurn serves on while callers may still come, then closes idle
// connections and finishes what is in flight.
func (g *Gateway) stopInTurn(limit time.Duration, front *fasthttp.Server) {
	g.Leave()
	began := g.now()
	time.Sleep(min(acceptFor, limit/2))
	ctx, cancel := context.WithTimeout(context.Background(), limit-stopMargin-(g.now()-began))
	defer cancel()
	if err := front.ShutdownWithContext(ctx); err != nil {
		if err := level.Warn(g.log).Log("msg", "stopped with requests in flight", "requests", g.flying.Load(), "err", err); err != nil {
			g.m.logFailures.Inc(1)
		}
	}
}
