package proxy

import (
	"context"
	"net"
	"time"

	"github.com/catkinrouter/catkinrouter/internal/netpeek"
)

// watchInterval is the time between two looks at the connections of waiting
// callers; calls younger than it are not looked at.
const watchInterval = 25 * time.Millisecond

// watched is a call under way and its caller's connection.
type watched struct {
	c    *call
	id   uint64
	conn net.Conn
}

// watch tells the Node of callers that went away, until ctx ends.
func (s *Server) watch(ctx context.Context) error {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	var list []watched
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		list = s.d.waiting(list[:0], watchInterval)
		for _, w := range list {
			if netpeek.Conn(w.conn) == netpeek.Closed && s.d.cancel(w.c, w.id) {
				s.m.callersGone.Inc(1)
			}
		}
		clear(list)
	}
}

// upkeepInterval is the time between two rounds of upkeep.
const upkeepInterval = time.Second

// upkeep closes idle connections and shows the Node's counts, until ctx ends.
func (s *Server) upkeep(ctx context.Context) error {
	return every(ctx, upkeepInterval, func() {
		s.pool.sweep()
		st := s.d.status()
		s.m.node(&st)
	})
}
