// Package netpeek looks at the input of a connection without reading it.
package netpeek

import (
	"net"
	"syscall"
)

// State is what a look at a connection's input shows.
type State uint8

// States of a connection's input.
const (
	// Quiet: open, with no byte waiting.
	Quiet State = iota
	// Bytes: there are bytes to read.
	Bytes
	// Closed: the far end closed it or it failed.
	Closed
)

// Conn looks at the input of nc without reading it or waiting. It takes no
// read lock, so that a read under way elsewhere does not hold it up.
func Conn(nc net.Conn) State {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return Quiet
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Quiet
	}
	state := Closed
	if err := raw.Control(func(fd uintptr) { state = FD(fd) }); err != nil {
		return Closed
	}
	return state
}

// FD looks at the input of a socket.
func FD(fd uintptr) State {
	var b [1]byte
	for {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			return Quiet
		case err != nil || n == 0:
			return Closed
		}
		return Bytes
	}
}
