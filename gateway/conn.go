package gateway

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/catkinrouter/catkinrouter/internal/netpeek"
)

// Bounds of connections to upstreams.
const (
	connBuffer = 4 << 10 // bytes
	// dialTimeout is far above the time between data centres, and leaves
	// time for another upstream.
	dialTimeout = 250 * time.Millisecond
	// idleLimit is how long a connection is kept to an upstream that does
	// not say when it closes idle ones.
	idleLimit = 4 * time.Second
	// maxIdle bounds what an upstream says.
	maxIdle = 20 * time.Second
	// sweepInterval is the time between two searches for idle connections.
	sweepInterval = time.Second
)

// conn is a connection to an upstream. One exchange uses it at a time.
type conn struct {
	net.Conn
	r    *bufio.Reader
	addr string
	// proven is when the upstream last answered on it.
	proven time.Time
	// keep is how long it may be idle.
	keep time.Duration
	out  []byte
}

// pool keeps idle connections by address. It is safe for concurrent use.
type pool struct {
	m    *counters
	mu   sync.Mutex
	idle map[string][]*conn // the one used last is at the end
}

func newPool(m *counters) *pool { return &pool{m: m, idle: map[string][]*conn{}} }

// take returns an idle connection; nil where there is none.
func (p *pool) take(addr string) *conn {
	for {
		c := p.pop(addr)
		if c == nil || c.r.Buffered() == 0 && time.Since(c.proven) < c.keep && netpeek.Conn(c.Conn) == netpeek.Quiet {
			return c
		}
		c.Close()
	}
}

// has tells whether a connection is idle.
func (p *pool) has(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[addr]) > 0
}

func (p *pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.idle[addr]
	if len(l) == 0 {
		return nil
	}
	c := l[len(l)-1]
	l[len(l)-1] = nil
	p.idle[addr] = l[:len(l)-1]
	return c
}

// dial opens a connection.
func (p *pool) dial(addr string, timeout time.Duration) (*conn, error) {
	nc, err := net.DialTimeout("tcp4", addr, min(timeout, dialTimeout))
	if err != nil {
		return nil, err
	}
	p.m.opened.Inc(1)
	return &conn{Conn: nc, r: bufio.NewReaderSize(nc, connBuffer), addr: addr, keep: idleLimit}, nil
}

// put keeps a connection whose last answer was read whole.
func (p *pool) put(c *conn) {
	if c.r.Buffered() > 0 {
		c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// sweep closes the connections that were idle for too long.
func (p *pool) sweep() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, l := range p.idle {
		n := 0
		for n < len(l) && now.Sub(l[n].proven) >= l[n].keep {
			l[n].Close()
			n++
		}
		m := copy(l, l[n:])
		clear(l[m:])
		if p.idle[addr] = l[:m]; m == 0 {
			delete(p.idle, addr)
		}
	}
}

// close closes every idle connection.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.idle {
		for _, c := range l {
			c.Close()
		}
	}
	clear(p.idle)
}
