package proxy

import (
	"context"
	"time"

	"github.com/catkinrouter/catkinrouter/entry"

	"github.com/catkinrouter/catkinrouter/internal/netpeek"
)

// getUnused returns a connection that has carried no request: a recent spare
// one, or else a new one. It also requests the next spare connection for the
// address, which is opened in the background.
func (p *pool) getUnused(st *entry.Step, timeout time.Duration) (*conn, error) {
	c := p.takeSpare(st.Address)
	p.requestSpare(st.Address)
	if c == nil {
		return p.open(st, timeout)
	}
	if c.idleSince+maxSpareAge < p.now() || c.idleState() != netpeek.Idle {
		p.m.connsStale.Inc(1)
		p.discard(c)
		return p.open(st, timeout)
	}
	return c, nil
}

func (p *pool) takeSpare(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[addr]
	if h == nil {
		return nil
	}
	c := h.spare
	h.spare = nil
	return c
}

// requestSpare queues the opening of a spare connection, unless one is open or
// pending, the connection limit is reached or the queue is full.
func (p *pool) requestSpare(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[addr]
	if h == nil || h.spare != nil || h.sparePending || h.open >= h.limit {
		return
	}
	select {
	case p.spareQueue <- addr:
		h.sparePending = true
	default:
	}
}

// openSpares opens the queued spare connections until ctx ends.
func (p *pool) openSpares(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case addr := <-p.spareQueue:
			c, err := p.dial(addr, p.hostLimit(addr), dialTimeout)
			if err != nil {
				c = nil
			}
			p.putSpare(addr, c)
		}
	}
}

func (p *pool) hostLimit(addr string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[addr]; h != nil {
		return h.limit
	}
	return 0
}

// putSpare stores c as the spare connection; c is nil if none could be
// opened.
func (p *pool) putSpare(addr string, c *conn) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[addr]
	if h != nil {
		h.sparePending = false
	}
	switch {
	case c == nil:
	case h == nil || h.spare != nil:
		c.Close()
		if h != nil {
			h.open--
		}
	default:
		c.idleSince = now
		h.spare = c
	}
}
