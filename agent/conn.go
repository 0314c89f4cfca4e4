package agent

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// Timeouts and bounds of a connection between agents.
const (
	// maxMessageBytes bounds one message: the bytes read between two writes.
	maxMessageBytes = 256 << 10
	// peerIdleTimeout is how long a served connection may receive nothing.
	peerIdleTimeout  = 2 * time.Minute
	peerWriteTimeout = 2 * time.Second
)

// errTooLarge ends a connection that exceeded maxMessageBytes.
var errTooLarge = errors.New("agent: message from peer exceeds the size limit: run the same version on all instances")

// meteredConn counts the bytes of a connection and bounds the size of messages.
// If idleTimeout is above 0, each read has that timeout and each write has
// peerWriteTimeout.
type meteredConn struct {
	net.Conn
	idleTimeout       time.Duration
	readSinceWrite    atomic.Int64
	bytesIn, bytesOut gometrics.Counter
}

func (c *meteredConn) Read(b []byte) (int, error) {
	if c.idleTimeout > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.idleTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(b)
	c.bytesIn.Inc(int64(n))
	if c.readSinceWrite.Add(int64(n)) > maxMessageBytes {
		c.Close() // net/rpc keeps serving the connection after a read error
		return 0, errTooLarge
	}
	return n, err
}

func (c *meteredConn) Write(b []byte) (int, error) {
	c.readSinceWrite.Store(0)
	if c.idleTimeout > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(peerWriteTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(b)
	c.bytesOut.Inc(int64(n))
	return n, err
}
