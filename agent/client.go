package agent

import (
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// Timeouts and bounds of outgoing net/rpc calls.
const (
	callTimeout = time.Second
	dialTimeout = 500 * time.Millisecond
	// maxPooledConns bounds the connections in a pool. A connection that was
	// not used for connIdleTimeout is closed.
	maxPooledConns  = 48
	connIdleTimeout = time.Minute
)

// clientPool keeps one net/rpc connection per recently called address. It is
// safe for concurrent use.
type clientPool struct {
	bytesIn, bytesOut gometrics.Counter
	mu                sync.Mutex
	clients           map[string]*client
}

// client is one connection. Calls on it are serialised by mu.
type client struct {
	mu       sync.Mutex
	conn     *meteredConn
	rpc      *rpc.Client
	lastUsed time.Time
}

func newClientPool(r gometrics.Registry, name string) *clientPool {
	return &clientPool{
		bytesIn:  gometrics.GetOrRegisterCounter(name+".bytes_in", r),
		bytesOut: gometrics.GetOrRegisterCounter(name+".bytes_out", r),
		clients:  map[string]*client{},
	}
}

// call runs one call within callTimeout, after dialling if needed. On any error
// but one that the remote method returned, it closes the connection.
func (p *clientPool) call(addr, method string, in, out any) error {
	c, err := p.get(addr)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.conn.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		p.drop(addr, c)
		return err
	}
	err = c.rpc.Call(method, in, out)
	var remote rpc.ServerError
	if err != nil && !errors.As(err, &remote) {
		p.drop(addr, c)
		return err
	}
	if clearErr := c.conn.SetDeadline(time.Time{}); clearErr != nil {
		p.drop(addr, c)
	}
	return err
}

func (p *clientPool) get(addr string) (*client, error) {
	p.mu.Lock()
	c := p.clients[addr]
	if c != nil {
		c.lastUsed = time.Now()
	}
	p.mu.Unlock()
	if c != nil {
		return c, nil
	}
	nc, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	conn := &meteredConn{Conn: nc, bytesIn: p.bytesIn, bytesOut: p.bytesOut}
	return p.add(addr, &client{conn: conn, rpc: rpc.NewClient(conn), lastUsed: time.Now()}), nil
}

// add stores c and returns it. If a concurrent call has already stored a client
// for addr, it closes c and returns the stored one.
func (p *clientPool) add(addr string, c *client) *client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if existing := p.clients[addr]; existing != nil {
		c.rpc.Close()
		return existing
	}
	p.evict()
	p.clients[addr] = c
	return c
}

// evict closes idle clients and, if the pool is still full, the least recently
// used one. It must be called with mu held.
func (p *clientPool) evict() {
	oldest := ""
	for a, c := range p.clients {
		if time.Since(c.lastUsed) > connIdleTimeout {
			delete(p.clients, a)
			c.rpc.Close()
			continue
		}
		if oldest == "" || c.lastUsed.Before(p.clients[oldest].lastUsed) {
			oldest = a
		}
	}
	if len(p.clients) >= maxPooledConns {
		p.clients[oldest].rpc.Close()
		delete(p.clients, oldest)
	}
}

func (p *clientPool) drop(addr string, c *client) {
	c.rpc.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients[addr] == c {
		delete(p.clients, addr)
	}
}

func (p *clientPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, c := range p.clients {
		c.rpc.Close()
		delete(p.clients, a)
	}
}
