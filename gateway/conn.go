package gateway

import (
	"bufio"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinrouter/catkinrouter/internal/netpeek"
)

// Limits of connections to upstreams.
const (
	// connBuffer is the size of the read buffer. A reply's head and its trailer
	// must each fit it.
	connBuffer = 4 << 10 // bytes
	// dialTimeout is far above the latency between data centres, and leaves
	// time to try another upstream.
	dialTimeout = 250 * time.Millisecond
	// defaultIdleLimit is how long an idle connection is kept if the upstream
	// does not announce when it closes idle connections.
	defaultIdleLimit = 4 * time.Second
	// maxIdleLimit caps the time that an upstream announces.
	maxIdleLimit = 20 * time.Second
	// idleCheckInterval is the time between two checks for expired idle
	// connections.
	idleCheckInterval = time.Second
	// maxRequestsPerConn bounds the IDs that are kept of a connection, which is closed
	// after so many requests.
	maxRequestsPerConn = 512
)

// conn is a connection to an upstream. It carries one exchange at a time.
type conn struct {
	net.Conn
	r    *bufio.Reader
	addr string
	// number identifies the connection in logs.
	number uint64
	// used is set once a request was sent on the connection.
	used bool
	// sent holds hashes of the IDs of the requests sent on it, health checks aside.
	sent []uint64
	// sentHead is set once a HEAD request was sent on it.
	sentHead bool
	// heard is set once a byte arrived after the last request.
	heard atomic.Bool
	// lastReplyAt is when the last reply arrived on the connection.
	lastReplyAt time.Time
	// idleLimit is how long the connection may be idle.
	idleLimit time.Duration
	writeBuf  []byte
}

// mayCarry reports whether the reply to a request with the given ID can be told from all
// others on c: replies are told apart by their requests' IDs, and a copy of an earlier one
// may still arrive.
func (c *conn) mayCarry(id string) bool {
	if id == "" {
		return !c.used
	}
	return !slices.Contains(c.sent, xxhash.Sum64String(id))
}

// recordSent records that a request, or a health check if id is empty, is sent on c.
func (c *conn) recordSent(id string, isHead bool) {
	c.used = true
	c.heard.Store(false)
	c.sentHead = c.sentHead || isHead
	if id != "" {
		c.sent = append(c.sent, xxhash.Sum64String(id))
	}
}

// Read reads what the upstream sent.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.heard.Store(true)
	}
	return n, err
}

// write sends out and the segments of a body.
func (c *conn) write(out []byte, body [][]byte) error {
	if len(body) == 0 {
		_, err := c.Write(out)
		return err
	}
	bufs := append(net.Buffers{out}, body...)
	_, err := bufs.WriteTo(c.Conn)
	return err
}

// exhausted reports whether c must carry no further request: it has carried as many as one
// connection may, or one for HEAD, of whose reply a late copy has no end that can be told.
func (c *conn) exhausted() bool { return c.sentHead || len(c.sent) >= maxRequestsPerConn }

// pool holds idle connections by address. It is safe for concurrent use.
type pool struct {
	metrics *metricSet
	dialled atomic.Uint64 // the number of the newest connection
	mu      sync.Mutex
	idle    map[string][]*conn // most recently used last
	// blocked holds the addresses to which no idle connections are kept.
	blocked map[string]bool
}

func newPool(metrics *metricSet) *pool { return &pool{metrics: metrics, idle: map[string][]*conn{}} }

// take removes and returns an idle connection, or nil if there is none.
// Expired and closed connections are discarded.
func (p *pool) take(addr string) *conn {
	for {
		c := p.pop(addr)
		if c == nil || c.r.Buffered() == 0 && time.Since(c.lastReplyAt) < c.idleLimit && netpeek.Peek(c.Conn) == netpeek.Idle {
			return c
		}
		c.Close()
	}
}

// hasIdle reports whether there is an idle connection to addr.
func (p *pool) hasIdle(addr string) bool {
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
	p.metrics.connsOpened.Inc(1)
	c := &conn{Conn: nc, addr: addr, number: p.dialled.Add(1), idleLimit: defaultIdleLimit}
	c.r = bufio.NewReaderSize(c, connBuffer)
	return c, nil
}

// put returns a connection to the pool after its last reply was read
// completely.
func (p *pool) put(c *conn) {
	if c.r.Buffered() > 0 || c.exhausted() {
		c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.blocked[c.addr] {
		c.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// closeIdle closes the idle connections to an address.
func (p *pool) closeIdle(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[addr] {
		c.Close()
	}
	delete(p.idle, addr)
}

// closeExpired closes the connections that have been idle for too long.
func (p *pool) closeExpired() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, l := range p.idle {
		n := 0
		for n < len(l) && now.Sub(l[n].lastReplyAt) >= l[n].idleLimit {
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

// close closes all idle connections.
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
