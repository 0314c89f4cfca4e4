package agent

import (
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// Bounds of calls to other processes.
const (
	callLimit = time.Second
	dialLimit = 500 * time.Millisecond
	// maxConns bounds the kept connections; connIdle is when one is closed.
	maxConns = 48
	connIdle = time.Minute
)

// clients keeps a net/rpc connection to each address called lately. It is
// safe for concurrent use.
type clients struct {
	in, out gometrics.Counter
	mu      sync.Mutex
	conns   map[string]*client
}

// client is one connection; calls on it run one at a time.
type client struct {
	mu   sync.Mutex
	conn *meteredConn
	rpc  *rpc.Client
	used time.Time
}

func newClients(r gometrics.Registry, name string) *clients {
	return &clients{
		in:    gometrics.GetOrRegisterCounter(name+".bytes_in", r),
		out:   gometrics.GetOrRegisterCounter(name+".bytes_out", r),
		conns: map[string]*client{},
	}
}

// call runs one call within callLimit. The connection is closed after a fault
// other than the far end's own error.
func (s *clients) call(addr, method string, in, out any) error {
	c, err := s.get(addr)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.conn.SetDeadline(time.Now().Add(callLimit)); err != nil {
		s.drop(addr, c)
		return err
	}
	err = c.rpc.Call(method, in, out)
	var far rpc.ServerError
	if err != nil && !errors.As(err, &far) {
		s.drop(addr, c)
		return err
	}
	if clearErr := c.conn.SetDeadline(time.Time{}); clearErr != nil {
		s.drop(addr, c)
	}
	return err
}

func (s *clients) get(addr string) (*client, error) {
	s.mu.Lock()
	c := s.conns[addr]
	if c != nil {
		c.used = time.Now()
	}
	s.mu.Unlock()
	if c != nil {
		return c, nil
	}
	nc, err := net.DialTimeout("tcp", addr, dialLimit)
	if err != nil {
		return nil, err
	}
	conn := &meteredConn{Conn: nc, in: s.in, out: s.out}
	return s.keep(addr, &client{conn: conn, rpc: rpc.NewClient(conn), used: time.Now()}), nil
}

// keep stores a new client, unless another was stored meanwhile.
func (s *clients) keep(addr string, c *client) *client {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.conns[addr]; old != nil {
		c.rpc.Close()
		return old
	}
	s.trim()
	s.conns[addr] = c
	return c
}

// trim closes idle clients, and the one idle longest where there are too
// many. It must be called with mu held.
func (s *clients) trim() {
	oldest := ""
	for a, c := range s.conns {
		if time.Since(c.used) > connIdle {
			delete(s.conns, a)
			c.rpc.Close()
			continue
		}
		if oldest == "" || c.used.Before(s.conns[oldest].used) {
			oldest = a
		}
	}
	if len(s.conns) >= maxConns {
		s.conns[oldest].rpc.Close()
		delete(s.conns, oldest)
	}
}

func (s *clients) drop(addr string, c *client) {
	c.rpc.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[addr] == c {
		delete(s.conns, addr)
	}
}

func (s *clients) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for a, c := range s.conns {
		c.rpc.Close()
		delete(s.conns, a)
	}
}
