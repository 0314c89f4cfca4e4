// Package netpeek checks a connection for pending input or an end of stream
// without consuming data.
package netpeek

import (
	"net"
	"syscall"
)

// State is the state of a connection's input.
type State uint8

// States of a connection's input.
const (
	// Idle means that the connection is open and no data is pending.
	Idle State = iota
	// Readable means that data is pending.
	Readable
	// Closed means that the peer closed the connection or that it failed.
	Closed
)

// Peek returns the state of nc's input without consuming data and without
// blocking. It uses RawConn.Control, which takes no read lock, so that a
// concurrent Read does not delay it. Peek returns Idle for connections that
// give no access to a file descriptor.
func Peek(nc net.Conn) State {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return Idle
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Idle
	}
	state := Closed
	if err := raw.Control(func(fd uintptr) { state = PeekFD(fd) }); err != nil {
		return Closed
	}
	return state
}

// PeekFD returns the state of a socket's input without consuming data and
// without blocking.
func PeekFD(fd uintptr) State {
	var b [1]byte
	for {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			return Idle
		case err != nil || n == 0:
			return Closed
		}
		return Readable
	}
}
