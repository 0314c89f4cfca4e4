package proxy

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// conn is a connection to an upstream or another entry.
type conn struct {
	net.Conn
	addr string
	r    *bufio.Reader
	w    *bufio.Writer
	idle time.Time
}

// pool keeps idle connections by address. It is safe for concurrent use.
type pool struct {
	mu   sync.Mutex
	idle map[string][]*conn
}

const (
	dialTimeout = time.Second
	// maxIdle is how long a connection may wait for reuse.
	maxIdle        = 10 * time.Second
	maxIdlePerAddr = 64
	connBuffer     = 4 << 10 // bytes
)

func newPool() *pool { return &pool{idle: map[string][]*conn{}} }

// get returns a connection to addr; a fresh one carried no request before.
func (p *pool) get(addr string, fresh bool, timeout time.Duration) (*conn, error) {
	if !fresh {
		if c := p.pop(addr); c != nil {
			return c, nil
		}
	}
	nc, err := fasthttp.DialTimeout(addr, min(timeout, dialTimeout))
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, addr: addr, r: bufio.NewReaderSize(nc, connBuffer), w: bufio.NewWriterSize(nc, connBuffer)}, nil
}

func (p *pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		l := p.idle[addr]
		if len(l) == 0 {
			return nil
		}
		c := l[len(l)-1]
		p.idle[addr] = l[:len(l)-1]
		if time.Since(c.idle) < maxIdle {
			return c
		}
		c.Close()
	}
}

// put keeps c for reuse. Its last reply must have been read whole.
func (p *pool) put(c *conn) {
	c.idle = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.addr]) >= maxIdlePerAddr {
		c.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
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
