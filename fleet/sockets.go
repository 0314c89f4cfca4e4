package fleet

import (
	"fmt"
	"net"
)

// Sockets are the bound sockets of a Fleet: TCP and UDP at the same address.
type Sockets struct {
	tcp net.Listener
	udp *net.UDPConn
}

// maxPortTries limits the search for a port that is free for both TCP and UDP.
const maxPortTries = 16

// Listen binds TCP and UDP at address. Port 0 selects a port that is free for
// both.
func Listen(address string) (*Sockets, error) {
	var err error
	for range maxPortTries {
		var s *Sockets
		if s, err = listenOnce(address); err == nil {
			return s, nil
		}
		if _, port, splitErr := net.SplitHostPort(address); splitErr != nil || port != "0" {
			break // the address leaves no choice of port
		}
	}
	return nil, fmt.Errorf("peer address %s: %w: check that no other process uses it", address, err)
}

func listenOnce(address string) (*Sockets, error) {
	tcp, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	bound, err := net.ResolveUDPAddr("udp4", tcp.Addr().String())
	if err != nil {
		tcp.Close()
		return nil, err
	}
	udp, err := net.ListenUDP("udp4", bound)
	if err != nil {
		tcp.Close()
		return nil, err
	}
	return &Sockets{tcp: tcp, udp: udp}, nil
}

// Address returns the bound address, IP and port.
func (s *Sockets) Address() string { return s.tcp.Addr().String() }

// Close closes both sockets.
func (s *Sockets) Close() {
	s.tcp.Close()
	s.udp.Close()
}
