package proxy

import (
	"bufio"
	"errors"
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/headers"
	"github.com/catkinrouter/catkinrouter/internal/netpeek"
)

// conn is a connection to an upstream or another entry. It serves one
// exchange at a time.
type conn struct {
	net.Conn
	addr string
	r    *bufio.Reader
	// requests is the number of requests that were sent on it.
	requests uint64
	// echoes is set once a reply has named its request's number.
	echoes bool
	// sentHead is set once a HEAD request was sent on it.
	sentHead bool
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

// errUnidentified ends an exchange whose reply can't be told from a copy of an earlier one.
var errUnidentified = errors.New("reply may be a copy of an earlier one on the connection: make the upstream echo " + headers.Attempt + " in all replies")

// appendAttempt counts a request and appends the header with its number.
func (c *conn) appendAttempt(b []byte, headOnly bool) []byte {
	c.requests++
	c.sentHead = c.sentHead || headOnly
	b = append(b, headers.Attempt+": "...)
	b = strconv.AppendUint(b, c.requests, 10)
	return append(b, "\r\n"...)
}

// isLate reports whether resp names an earlier request on the connection. It returns an
// error if it names none although earlier replies did, or if its end is not known, since a
// reply to HEAD has no body.
func (c *conn) isLate(resp *fasthttp.Response) (bool, error) {
	echo := resp.Header.Peek(headers.Attempt)
	if len(echo) == 0 && !c.echoes {
		return false, nil
	}
	n, err := strconv.ParseUint(string(echo), 10, 64)
	c.echoes = true
	switch {
	case err == nil && n == c.requests:
		return false, nil
	case err != nil || n > c.requests || c.sentHead:
		return false, errUnidentified
	}
	return true, nil
}

// abort makes a read or write in progress fail at once.
func (c *conn) abort() { c.SetDeadline(time.Unix(1, 0)) }
