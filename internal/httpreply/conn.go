package httpreply

import (
	"fmt"
	"net"
	"time"
)

// maxHead limits the head of a reply on a Conn.
const maxHead = 64 << 10 // bytes

// Conn is a client's connection that checks the heads of replies for a client that reads
// them by itself. The client must have sent the whole request before it reads the reply,
// and have read the whole reply before it sends the next request.
type Conn struct {
	net.Conn
	// head is the received part of a head, and check its check.
	head  []byte
	check headCheck
	// inBody is set from the end of a final reply's head to the next request.
	inBody bool
}

// NewConn returns a Conn that uses c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Dial connects to an IP address and port, and returns a *Conn.
func Dial(address string, timeout time.Duration) (net.Conn, error) {
	c, err := net.DialTimeout("tcp4", address, timeout)
	if err != nil {
		return nil, err
	}
	return NewConn(c), nil
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	if c.inBody {
		c.inBody = false
		c.restart(nil)
	}
	return c.Conn.Write(b)
}

// Read implements net.Conn. It returns a *MalformedError in place of bytes that are no reply.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.inBody && n > 0 {
		if err := c.received(b[:n]); err != nil {
			return 0, err
		}
	}
	return n, err
}

// received checks bytes of a head. Further heads follow that of an interim reply.
func (c *Conn) received(b []byte) error {
	c.head = append(c.head, b...)
	for len(c.head) > 0 {
		done, err := c.check.check(c.head)
		switch {
		case err != nil:
			return err
		case !done && len(c.head) > maxHead:
			return fmt.Errorf("%w: %d bytes", ErrTooLarge, maxHead)
		case !done:
			return nil
		case !isInterim(c.check.status):
			c.inBody, c.head = true, nil
			return nil
		}
		c.restart(c.head[c.check.checked:])
	}
	return nil
}

// restart begins with the head of the next reply.
func (c *Conn) restart(head []byte) { c.head, c.check = head, headCheck{} }

// isInterim reports whether another reply to the same request follows one with the status.
// 101 (Switching Protocols) is final.
func isInterim(status int) bool { return status < 200 && status != 101 }
