package agent

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// Bounds of a connection between agents.
const (
	// maxRead bounds the bytes read between two writes: one message.
	maxRead = 256 << 10
	// idleLimit is how long a served connection may be silent.
	idleLimit  = 2 * time.Minute
	writeLimit = 2 * time.Second
)

// errTooLarge ends a connection whose peer sends more than one message holds.
var errTooLarge = errors.New("agent: message too large: run the same version on all instances")

// meteredConn counts bytes and bounds messages. Each read may wait for idle,
// where that is not 0.
type meteredConn struct {
	net.Conn
	idle    time.Duration
	unread  atomic.Int64
	in, out gometrics.Counter
}

func (c *meteredConn) Read(b []byte) (int, error) {
	if c.idle > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.idle)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(b)
	c.in.Inc(int64(n))
	if c.unread.Add(int64(n)) > maxRead {
		c.Close() // net/rpc would go on after the fault
		return 0, errTooLarge
	}
	return n, err
}

func (c *meteredConn) Write(b []byte) (int, error) {
	c.unread.Store(0)
	if c.idle > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(writeLimit)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(b)
	c.out.Inc(int64(n))
	return n, err
}
