package proxy

import (
	"context"
	"net"
	"time"

	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/internal/httpserve"
)

// stopPollInterval is the interval at which a planned stop checks its phase.
const stopPollInterval = 10 * time.Millisecond

// currentPhase returns the phase of the planned stop.
func (s *Server) currentPhase() phase { return phase(s.phase.Load()) }

// shutdown waits until ctx ends and then stops the server phase by phase. If
// the server has failed, it stops at once.
func (s *Server) shutdown(ctx, failed context.Context, srv *fasthttp.Server, data net.Listener) error {
	select {
	case <-failed.Done():
		return httpserve.IgnoreClosed(shutdownHTTP(srv, data, 0))
	case <-ctx.Done():
	}
	var p stopPlan
	s.syncMu.Lock()
	p.begin(s.now(), s.maxLookupLifetime, s.times)
	s.syncMu.Unlock()
	level.Info(s.log).Log("msg", "stopping", "serves_until", p.leavingUntil-s.now(), "limit", s.times.limit)
	if p.limitTooShort {
		level.Warn(s.log).Log("msg", "stop_timeout is too short for all lookup answers to expire: raise it", "stop_timeout", s.times.limit)
	}
	s.advanceTo(&p, failed, finishing)
	err := httpserve.IgnoreClosed(shutdownHTTP(srv, data, p.limit-s.now()))
	s.advanceTo(&p, failed, stopped)
	if n := s.d.status().InFlight; n > 0 {
		level.Warn(s.log).Log("msg", "stop ended with calls in flight, at stop_timeout or after a failure: they are aborted", "calls", n)
	}
	if err == context.DeadlineExceeded {
		return nil
	}
	return err
}

// advanceTo steps the plan until it reaches phase to, or the server has
// failed.
func (s *Server) advanceTo(p *stopPlan, failed context.Context, to phase) {
	t := time.NewTicker(stopPollInterval)
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

// shutdownHTTP closes the listener and waits, up to limit, until all
// connections are closed: idle ones at once and the others after their reply.
func shutdownHTTP(srv *fasthttp.Server, data net.Listener, limit time.Duration) error {
	data.Close() // needed if Serve has not started yet
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return srv.ShutdownWithContext(ctx)
}
