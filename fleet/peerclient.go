package fleet

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection to a peer.
	dialTimeout = 300 * time.Millisecond
	// stallTimeout is the time without a byte of the reply after which a call
	// to a peer fails. A long reply that makes progress is not cut.
	stallTimeout = 600 * time.Millisecond
	// peerIdleTimeout is how long an unused connection to a peer is kept, by
	// either side.
	peerIdleTimeout = 30 * time.Second
	// maxKeptPeers bounds the kept connections: an instance only calls its
	// leaders and the hubs often.
	maxKeptPeers = 8
)

// errStalled ends a call whose reply does not progress.
var errStalled = errors.New("peer sent nothing within the stall timeout")

// peerClients keeps net/rpc connections to peers. It is safe for concurrent use.
type peerClients struct {
	mu     sync.Mutex
	byPeer map[string]*peerClient
	closed bool
}

// peerClient is a kept connection.
type peerClient struct {
	*rpc.Client
	conn     *progressConn
	lastUsed time.Time
}

// progressConn records when it last read data.
type progressConn struct {
	net.Conn
	lastRead atomic.Int64 // Unix nanoseconds
}

func (c *progressConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

func newPeerClients() *peerClients { return &peerClients{byPeer: map[string]*peerClient{}} }

// call makes one call to the peer, over a kept connection if there is one. A call
// on a kept connection that the peer has closed is repeated on a new one.
func (p *peerClients) call(ctx context.Context, to, method string, args, reply any) error {
	c, kept, err := p.get(ctx, to)
	if err != nil {
		return err
	}
	err = c.do(ctx, method, args, reply)
	if kept && errors.Is(err, rpc.ErrShutdown) {
		p.drop(to, c)
		if c, _, err = p.get(ctx, to); err != nil {
			return err
		}
		err = c.do(ctx, method, args, reply)
	}
	if err != nil {
		p.drop(to, c)
	}
	return err
}

// do makes one call and fails it once the reply makes no progress.
func (c *peerClient) do(ctx context.Context, method string, args, reply any) error {
	began := time.Now()
	call := c.Go(method, args, reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(stallTimeout)
	defer timer.Stop()
	for {
		select {
		case <-call.Done:
			return call.Error
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			progress := began
			if read := time.Unix(0, c.conn.lastRead.Load()); read.After(progress) {
				progress = read
			}
			left := stallTimeout - time.Since(progress)
			if left <= 0 {
				return errStalled
			}
			timer.Reset(left)
		}
	}
}

// get returns a connection to the peer and whether it was kept from earlier.
func (p *peerClients) get(ctx context.Context, to string) (c *peerClient, kept bool, err error) {
	p.mu.Lock()
	c = p.byPeer[to]
	if c != nil && time.Since(c.lastUsed) < peerIdleTimeout/2 {
		c.lastUsed = time.Now()
		p.mu.Unlock()
		return c, true, nil
	}
	p.mu.Unlock()
	if c != nil {
		p.drop(to, c)
	}
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp4", to)
	if err != nil {
		return nil, false, err
	}
	conn := &progressConn{Conn: nc}
	c = &peerClient{Client: rpc.NewClient(conn), conn: conn, lastUsed: time.Now()}
	p.keep(to, c)
	return c, false, nil
}

// keep stores a connection and closes the one that was unused for the longest
// time if there are too many.
func (p *peerClients) keep(to string, c *peerClient) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Close()
		return
	}
	if old := p.byPeer[to]; old != nil {
		old.Close()
	}
	p.byPeer[to] = c
	if len(p.byPeer) <= maxKeptPeers {
		return
	}
	oldest := to
	for a, k := range p.byPeer {
		if k.lastUsed.Before(p.byPeer[oldest].lastUsed) {
			oldest = a
		}
	}
	p.byPeer[oldest].Close()
	delete(p.byPeer, oldest)
}

// drop closes a connection and no longer keeps it.
func (p *peerClients) drop(to string, c *peerClient) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.Close()
	if p.byPeer[to] == c {
		delete(p.byPeer, to)
	}
}

// close closes all connections.
func (p *peerClients) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.byPeer {
		c.Close()
	}
	clear(p.byPeer)
}
