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
	// stragglerFactor times the usual work is how long a call may take that is taken
	// while callers still connect.
	stragglerFactor = 8
)

// stopTimes are the times of a planned stop, as durations since the gateway's start.
type stopTimes struct {
	// acceptsUntil is the end of the time in which callers still connect.
	acceptsUntil time.Duration
	// endsAt is when the process no longer waits for calls in flight.
	endsAt time.Duration
}

func newStopTimes(now, limit time.Duration) *stopTimes {
	return &stopTimes{acceptsUntil: now + min(drainTime, limit/2), endsAt: now + limit - shutdownMargin}
}

// admits reports whether a call that arrives now ends before the process does: up to
// acceptsUntil unless it is a straggler, later in any case. s is nil before a stop.
func (s *stopTimes) admits(now, timeout, work time.Duration) bool {
	if s == nil || now+timeout <= s.endsAt {
		return true
	}
	return now < s.acceptsUntil && now+stragglerFactor*work <= s.endsAt
}

// StartDraining starts draining: the instance is no longer ready.
func (g *Gateway) StartDraining() { g.phase.Store(draining) }

// shutDown keeps serving while callers may still connect, then closes idle
// connections and waits for the requests in flight.
func (g *Gateway) shutDown(limit time.Duration, server *fasthttp.Server) {
	g.StartDraining()
	times := newStopTimes(g.now(), limit)
	g.stop.Store(times)
	time.Sleep(times.acceptsUntil - g.now())
	ctx, cancel := context.WithTimeout(context.Background(), times.endsAt-g.now())
	defer cancel()
	if err := server.ShutdownWithContext(ctx); err != nil {
		if err := level.Warn(g.log).Log("msg", "stopped with requests in flight", "requests", g.inFlight.Load(), "err", err); err != nil {
			g.metrics.logFailures.Inc(1)
		}
	}
}
