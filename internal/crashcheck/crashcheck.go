// Package crashcheck tells a crash of an upstream from a connection that broke: the
// process of a crashed one no longer listens.
package crashcheck

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// Delay is the time between a broken connection and the check whether the upstream still
// listens: the sockets of a process that ends are not all closed at once.
const Delay = 20 * time.Millisecond

// BrokeOff reports whether err means that the upstream's side closed or reset the
// connection.
func BrokeOff(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// Refused reports whether err means that nothing listens at the address dialled.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Refuses reports whether nothing listens at an address.
func Refuses(address string, timeout time.Duration) bool {
	c, err := net.DialTimeout("tcp4", address, timeout)
	if err == nil {
		c.Close()
	}
	return Refused(err)
}
