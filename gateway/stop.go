package gateway

import (
	"net"
	"time"

	"github.com/go-kit/log/level"
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
	stopMargin = 300 * time.Millisecond
	// stopPoll is the time between two looks at the requests in flight.
	stopPoll = 50 * time.Millisecond
)

// Leave begins a planned stop: the instance is no longer ready.
func (g *Gateway) Leave() { g.phase.Store(leaving) }

// stopInTurn serves on while callers may still come, then finishes what is in
// flight.
func (g *Gateway) stopInTurn(limit time.Duration, front net.Listener) {
	g.Leave()
	began := g.now()
	time.Sleep(min(acceptFor, limit/2))
	front.Close()
	for g.flying.Load() > 0 && g.now()-began < limit-stopMargin {
		time.Sleep(stopPoll)
	}
	if n := g.flying.Load(); n > 0 {
		if err := level.Warn(g.log).Log("msg", "stopped with requests in flight", "requests", n); err != nil {
			g.m.logFailures.Inc(1)
		}
	}
}
