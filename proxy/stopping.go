package proxy

import (
	"context"
	"net"
	"time"

	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/internal/httpserve"
)

// stopPoll is the time between two looks at a planned stop.
const stopPoll = 10 * time.Millisecond

// at returns the phase of the planned stop.
func (s *Server) at() phase { return phase(s.phase.Load()) }

// stopInTurn waits until ctx ends, and then stops the server phase by phase.
// Where the server failed it stops at once.
func (s *Server) stopInTurn(ctx, failed context.Context, srv *fasthttp.Server, data net.Listener) error {
	select {
	case <-failed.Done():
		return httpserve.IgnoreClosed(shut(srv, data, 0))
	case <-ctx.Done():
	}
	var p stopPlan
	s.syncMu.Lock()
	p.begin(s.now(), s.life, s.times)
	s.syncMu.Unlock()
	level.Info(s.log).Log("msg", "stopping", "serves_until", p.leaveTo-s.now(), "limit", s.times.limit)
	if p.short {
		level.Warn(s.log).Log("msg", "stop_timeout is too short for every lookup answer to expire: raise it", "stop_timeout", s.times.limit)
	}
	s.follow(&p, failed, finishing)
	err := httpserve.IgnoreClosed(shut(srv, data, p.limit-s.now()))
	s.follow(&p, failed, stopped)
	if n := s.d.status().InFlight; n > 0 {
		level.Warn(s.log).Log("msg", "calls were cut at the limit of the stop", "calls", n)
	}
	if err == context.DeadlineExceeded {
		return nil
	}
	return err
}

// follow takes the plan on until it reaches phase to.
func (s *Server) follow(p *stopPlan, failed context.Context, to phase) {
	t := time.NewTicker(stopPoll)
	defer t.Stop()
	for {
		now := p.step(s.now(), s.d.status().InFlight)
		s.phase.Store(uint32(now))
		if now >= to {
			return
		}
		select {
		case <-failed.Done():
			return
		case <-t.C:
		}
	}
}

// shut accepts no more connections and waits until all are closed, idle ones
// at once and the others after their reply.
func shut(srv *fasthttp.Server, data net.Listener, limit time.Duration) error {
	data.Close() // also where Serve did not begin yet
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return srv.ShutdownWithContext(ctx)
}
