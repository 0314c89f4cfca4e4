package proxy

import (
	"context"
	"time"

	"github.com/catkinrouter/catkinrouter/entry"

	"github.com/catkinrouter/catkinrouter/internal/netpeek"
)

// getFresh returns a connection that carried no request before: a young spare
// one, or else a new one. Addresses that need fresh connections get another
// spare one, opened beside the calls.
func (p *pool) getFresh(st *entry.Step, timeout time.Duration) (*conn, error) {
	c := p.takeSpare(st.Address)
	p.order(st.Address)
	if c == nil {
		return p.open(st, timeout)
	}
	if c.since+maxSpareAge < p.now() || c.idleState() != netpeek.Quiet {
		p.m.stale.Inc(1)
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

// order asks for a spare connection, unless one is there or on order.
func (p *pool) order(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[addr]
	if h == nil || h.spare != nil || h.opening || h.open >= h.limit {
		return
	}
	select {
	case p.orders <- addr:
		h.opening = true
	default:
	}
}

// openSpares opens the spare connections on order until ctx ends.
func (p *pool) openSpares(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case addr := <-p.orders:
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

// putSpare keeps c, which is nil where none could be opened.
func (p *pool) putSpare(addr string, c *conn) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[addr]
	if h != nil {
		h.opening = false
	}
	switch {
	case c == nil:
	case h == nil || h.spare != nil:
		c.Close()
		if h != nil {
			h.open--
		}
	default:
		c.since = now
		h.spare = c
	}
}
