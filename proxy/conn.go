package proxy

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

// conn is a connection to an upstream or another entry. One exchange uses it
// at a time.
type conn struct {
	net.Conn
	addr string
	r    *bufio.Reader
	// used is set once a request went out on it.
	used bool
	// since is when it became idle, in time since the pool's start.
	since time.Duration
	raw   syscall.RawConn
	// peek is kept here so that a check allocates nothing.
	peek  func(fd uintptr)
	state peekState
	out   []byte
}

// peekState is what a look at a connection's input shows.
type peekState uint8

const (
	// peekQuiet: open, with no byte waiting.
	peekQuiet peekState = iota
	// peekBytes: there are bytes to read.
	peekBytes
	// peekClosed: the far end closed it or it failed.
	peekClosed
)

const connBuffer = 4 << 10 // bytes

func newConn(nc net.Conn, addr string) *conn {
	c := &conn{Conn: nc, addr: addr, r: bufio.NewReaderSize(nc, connBuffer)}
	if sc, ok := nc.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			c.raw = raw
		}
	}
	c.peek = func(fd uintptr) { c.state = peekFD(fd) }
	return c
}

// idleState looks at the input without reading it or waiting.
func (c *conn) idleState() peekState {
	if c.r.Buffered() > 0 {
		return peekBytes
	}
	if c.raw == nil {
		return peekQuiet
	}
	c.state = peekClosed
	if err := c.raw.Control(c.peek); err != nil {
		return peekClosed
	}
	return c.state
}

// abort makes a read or write under way fail at once.
func (c *conn) abort() { c.SetDeadline(time.Unix(1, 0)) }

// peekConn looks at the input of nc without reading it or waiting. It takes
// no read lock, so that a read under way elsewhere does not hold it up.
func peekConn(nc net.Conn) peekState {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return peekQuiet
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return peekQuiet
	}
	state := peekClosed
	if err := raw.Control(func(fd uintptr) { state = peekFD(fd) }); err != nil {
		return peekClosed
	}
	return state
}

func peekFD(fd uintptr) peekState {
	var b [1]byte
	for {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			return peekQuiet
		case err != nil || n == 0:
			return peekClosed
		}
		return peekBytes
	}
}
