package proxy

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"github.com/catkinrouter/catkinrouter/internal/netpeek"
)

// conn is a connection to an upstream or another entry. It serves one
// exchange at a time.
type conn struct {
	net.Conn
	addr string
	r    *bufio.Reader
	// used is set once a request was sent on it.
	used bool
	// idleSince is when it became idle, as time since the pool's start.
	idleSince time.Duration
	raw       syscall.RawConn
	// peek is the callback of idleState, kept here so that a check allocates
	// nothing.
	peek  func(fd uintptr)
	state netpeek.State
	out   []byte
}

const connBuffer = 4 << 10 // bytes

func newConn(nc net.Conn, addr string) *conn {
	c := &conn{Conn: nc, addr: addr, r: bufio.NewReaderSize(nc, connBuffer)}
	if sc, ok := nc.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			c.raw = raw
		}
	}
	c.peek = func(fd uintptr) { c.state = netpeek.PeekFD(fd) }
	return c
}

// idleState returns the state of the connection's input. It reads nothing and
// does not block.
func (c *conn) idleState() netpeek.State {
	if c.r.Buffered() > 0 {
		return netpeek.Readable
	}
	if c.raw == nil {
		return netpeek.Idle
	}
	c.state = netpeek.Closed
	if err := c.raw.Control(c.peek); err != nil {
		return netpeek.Closed
	}
	return c.state
}

// abort makes a read or write in progress fail at once.
func (c *conn) abort() { c.SetDeadline(time.Unix(1, 0)) }
