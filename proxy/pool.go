package proxy

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/entry"

	"github.com/catkinrouter/catkinrouter/internal/netpeek"
)

// errConnLimit is returned where an upstream has as many connections as this
// entry may open.
var errConnLimit = errors.New("connection limit of the upstream reached: nothing was sent")

const (
	dialTimeout = time.Second
	// maxIdle is how long a connection may wait for reuse.
	maxIdle = 10 * time.Second
	// entryConnLimit is the most connections to another entry.
	entryConnLimit = 64
	// maxSpareAge is how long a spare connection counts as fresh.
	maxSpareAge = time.Second
	// spareRing bounds the spare connections on order; more are dropped.
	spareRing = 256
	// spareOpeners bounds the spare connections that are opened at once.
	spareOpeners = 4
)

// pool keeps connections by address: a bounded number each, idle ones for
// reuse. It is safe for concurrent use.
type pool struct {
	m     *counters
	start time.Time

	// orders holds the addresses that are to get a spare connection.
	orders chan string
	// limitOf returns the most connections to an upstream.
	limitOf func(service, upstream string) int

	mu    sync.Mutex
	hosts map[string]*host
}

// host is the pool of one address.
type host struct {
	open int
	// limit is the one last told.
	limit int
	idle  []*conn // the one used last is at the end
	// spare is a connection that carried no request yet; nil for none.
	spare *conn
	// opening is set while a spare is on order.
	opening bool
}

func newPool(m *counters) *pool {
	return &pool{m: m, start: time.Now(), hosts: map[string]*host{}, orders: make(chan string, spareRing)}
}

func (p *pool) now() time.Duration { return time.Since(p.start) }

// get returns a connection for st; a fresh one carried no request before.
// With an error no byte was written.
func (p *pool) get(st *entry.Step, timeout time.Duration) (*conn, error) {
	if st.Fresh {
		return p.getFresh(st, timeout)
	}
	for {
		c := p.pop(st.Address)
		if c == nil {
			break
		}
		if c.idleState() == netpeek.Quiet {
			p.m.reused.Inc(1)
			return c, nil
		}
		p.m.stale.Inc(1)
		p.discard(c)
	}
	return p.open(st, timeout)
}

// open opens a connection within the limit of the target.
func (p *pool) open(st *entry.Step, timeout time.Duration) (*conn, error) {
	limit := entryConnLimit
	if st.Kind != entry.StepForward {
		limit = p.limitOf(st.Service, st.Upstream)
	}
	return p.dial(st.Address, limit, timeout)
}

func (p *pool) dial(addr string, limit int, timeout time.Duration) (*conn, error) {
	if err := p.reserve(addr, limit); err != nil {
		return nil, err
	}
	d := net.Dialer{Timeout: min(timeout, dialTimeout)}
	nc, err := d.Dial("tcp", addr)
	if err != nil {
		p.unreserve(addr)
		return nil, err
	}
	p.m.opened.Inc(1)
	return newConn(nc, addr), nil
}

// reserve counts a connection that is to be opened. An idle one is closed
// where there would be too many.
func (p *pool) reserve(addr string, limit int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[addr]
	if h == nil {
		h = &host{}
		p.hosts[addr] = h
	}
	h.limit = limit
	if h.open >= limit {
		if len(h.idle) == 0 {
			return errConnLimit
		}
		h.idle[0].Close()
		h.drop(1)
	}
	h.open++
	return nil
}

// drop forgets the n idle connections that waited longest.
func (h *host) drop(n int) {
	m := copy(h.idle, h.idle[n:])
	clear(h.idle[m:])
	h.idle = h.idle[:m]
	h.open -= n
}

func (p *pool) unreserve(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[addr]
	if h == nil {
		return
	}
	h.open--
	if h.open == 0 {
		delete(p.hosts, addr)
	}
}

func (p *pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[addr]
	if h == nil || len(h.idle) == 0 {
		return nil
	}
	c := h.idle[len(h.idle)-1]
	h.idle[len(h.idle)-1] = nil
	h.idle = h.idle[:len(h.idle)-1]
	return c
}

// put keeps c for reuse. Its last reply must have been read whole.
func (p *pool) put(c *conn) {
	if c.r.Buffered() > 0 {
		p.discard(c)
		return
	}
	c.since = p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[c.addr]; h != nil {
		h.idle = append(h.idle, c)
		return
	}
	c.Close()
}

// done takes back a connection whose reply resp was read whole.
func (p *pool) done(c *conn, resp *fasthttp.Response) {
	if resp.ConnectionClose() {
		p.discard(c)
		return
	}
	p.put(c)
}

// discard closes c.
func (p *pool) discard(c *conn) {
	c.Close()
	p.unreserve(c.addr)
}

// sweep closes the connections that were idle for too long. Spare ones that
// were not wanted in time serve calls that need no fresh one.
func (p *pool) sweep() {
	limit := p.now() - maxIdle
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, h := range p.hosts {
		if h.spare != nil && h.spare.since < p.now()-maxSpareAge {
			h.idle = append(h.idle, h.spare)
			h.spare.since, h.spare = p.now(), nil
		}
		n := 0
		for n < len(h.idle) && h.idle[n].since < limit {
			h.idle[n].Close()
			n++
		}
		h.drop(n)
		if h.open == 0 {
			delete(p.hosts, addr)
		}
	}
}

// close closes every idle connection.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, h := range p.hosts {
		for _, c := range h.idle {
			c.Close()
		}
		h.drop(len(h.idle))
		if h.spare != nil {
			h.spare.Close()
			h.spare = nil
			h.open--
		}
		if h.open == 0 {
			delete(p.hosts, addr)
		}
	}
}
