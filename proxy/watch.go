package proxy

import (
	"context"
	"net"
	"time"

	"github.com/catkinrouter/catkinrouter/internal/netpeek"
)

// watchInterval is the interval at which the connections of callers with
// calls in progress are checked. Calls younger than it are not checked.
const watchInterval = 25 * time.Millisecond

// watchedCall is a call in progress and its caller's connection. The id tells
// whether c is still the same call, since calls are reused.
type watchedCall struct {
	c    *call
	id   uint64
	conn net.Conn
}

// watchCallers cancels the calls of callers that have disconnected, until ctx
// ends.
func (s *Server) watchCallers(ctx context.Context) error {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	var list []watchedCall
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		list = s.d.callsOlderThan(list[:0], watchInterval)
		for _, w := range list {
			if netpeek.Peek(w.conn) == netpeek.Closed && s.d.cancel(w.c, w.id) {
				s.m.callersGone.Inc(1)
			}
		}
		clear(list)
	}
}

// maintainInterval is the interval of maintain's work.
const maintainInterval = time.Second

// maintain closes idle connections and updates the Node's gauges, until ctx
// ends.
func (s *Server) maintain(ctx context.Context) error {
	return runEvery(ctx, maintainInterval, func() {
		s.pool.sweep()
		st := s.d.status()
		s.m.updateNodeGauges(&st)
	})
}
