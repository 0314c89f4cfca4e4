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

// errConnLimit is returned if this entry may open no more connections to an
// address.
var errConnLimit = errors.New("connection limit of the upstream reached: nothing was sent")

const (
	dialTimeout = time.Second
	// maxIdle is how long an idle connection is kept for reuse.
	maxIdle = 10 * time.Second
	// entryConnLimit is the maximum number of connections to another entry.
	entryConnLimit = 64
	// maxSpareAge is how long a spare connection may be used in place of a
	// new one.
	maxSpareAge = time.Second
	// spareQueueSize bounds the queued requests for spare connections; more
	// are dropped.
	spareQueueSize = 256
	// spareOpeners bounds the spare connections that are opened at the same
	// time.
	spareOpeners = 4
)

// pool holds connections by address, up to a limit for each, and keeps idle
// ones for reuse. It is safe for concurrent use.
type pool struct {
	m     *counters
	start time.Time

	// spareQueue holds the addresses that need a spare connection.
	spareQueue chan string
	// upstreamLimit returns the maximum number of connections to an upstream.
	upstreamLimit func(service, upstream string) int

	mu    sync.Mutex
	hosts map[string]*host
}

// host holds the connections to one address.
type host struct {
	// open counts the connections that are open or being opened.
	open int
	// limit is the connection limit given last.
	limit int
	idle  []*conn // in order of last use, the most recent at the end
	// spare is an open connection that has carried no request; nil for none.
	spare *conn
	// sparePending is set while a spare connection is queued or being opened.
	sparePending bool
}

func newPool(m *counters) *pool {
	return &pool{m: m, start: time.Now(), hosts: map[string]*host{}, spareQueue: make(chan string, spareQueueSize)}
}

func (p *pool) now() time.Duration { return time.Since(p.start) }

// get returns a connection for st: one that has carried no request if st
// requires that. If it returns an error, nothing was written.
func (p *pool) get(st *entry.Step, timeout time.Duration) (*conn, error) {
	if st.NewConnection {
		return p.getUnused(st, timeout)
	}
	for {
		c := p.popIdle(st.Address)
		if c == nil {
			break
		}
		if c.idleState() == netpeek.Idle {
			p.m.connsReused.Inc(1)
			return c, nil
		}
		p.m.connsStale.Inc(1)
		p.discard(c)
	}
	return p.open(st, timeout)
}

// open opens a connection within the connection limit of the target.
func (p *pool) open(st *entry.Step, timeout time.Duration) (*conn, error) {
	limit := entryConnLimit
	if st.Kind != entry.StepForward {
		limit = p.upstreamLimit(st.Service, st.Upstream)
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
	p.m.connsOpened.Inc(1)
	return newConn(nc, addr), nil
}

// reserve counts a connection that is about to be opened. At the limit it
// closes the connection that has been idle longest, to make room.
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
		h.removeOldestIdle(1)
	}
	h.open++
	return nil
}

// removeOldestIdle removes the n connections that have been idle longest;
// they are closed already.
func (h *host) removeOldestIdle(n int) {
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

// popIdle returns the idle connection that was used last; nil if there is
// none.
func (p *pool) popIdle(addr string) *conn {
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

// put keeps c for reuse. Its last reply must have been read completely. If
// more bytes were received than that, c is closed.
func (p *pool) put(c *conn) {
	if c.r.Buffered() > 0 {
		p.discard(c)
		return
	}
	c.idleSince = p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[c.addr]; h != nil {
		h.idle = append(h.idle, c)
		return
	}
	c.Close()
}

// release takes back a connection after its reply resp was read completely.
func (p *pool) release(c *conn, resp *fasthttp.Response) {
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

// sweep closes connections that have been idle for longer than maxIdle. A
// spare connection older than maxSpareAge becomes an idle one, for calls that
// accept a used connection.
func (p *pool) sweep() {
	limit := p.now() - maxIdle
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, h := range p.hosts {
		if h.spare != nil && h.spare.idleSince < p.now()-maxSpareAge {
			h.idle = append(h.idle, h.spare)
			h.spare.idleSince, h.spare = p.now(), nil
		}
		n := 0
		for n < len(h.idle) && h.idle[n].idleSince < limit {
			h.idle[n].Close()
			n++
		}
		h.removeOldestIdle(n)
		if h.open == 0 {
			delete(p.hosts, addr)
		}
	}
}

// close closes every idle or spare connection.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, h := range p.hosts {
		for _, c := range h.idle {
			c.Close()
		}
		h.removeOldestIdle(len(h.idle))
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
