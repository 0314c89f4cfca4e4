package node

import (
	"fmt"
	"net"

	"github.com/catkinrouter/catkinrouter/fleet"
	"github.com/catkinrouter/catkinrouter/gateway"
)

// Listeners are all bound sockets of a Node.
type Listeners struct {
	gateway *gateway.Listeners
	peers   *fleet.Sockets
	metrics net.Listener
}

// Listen binds all addresses in s, so that an instance serves either all of them
// or none. It replaces port 0 in s by the port that was bound.
func Listen(s *Settings) (*Listeners, error) {
	var l Listeners
	var err error
	if l.metrics, err = net.Listen("tcp4", s.MetricsAddress); err != nil {
		return nil, fmt.Errorf("metrics address: %w: set another port", err)
	}
	if l.peers, err = fleet.Listen(s.PeerAddress); err != nil {
		l.Close()
		return nil, err
	}
	if l.gateway, err = gateway.Listen(s.DataAddress, s.ReadyAddress, s.LookupAddress); err != nil {
		l.Close()
		return nil, err
	}
	s.MetricsAddress, s.PeerAddress = l.metrics.Addr().String(), l.peers.Address()
	s.DataAddress, s.ReadyAddress = l.gateway.Data.Addr().String(), l.gateway.Ready.Addr().String()
	s.LookupAddress = l.gateway.Lookup.Addr().String()
	return &l, nil
}

// Close closes the sockets that are bound.
func (l *Listeners) Close() {
	if l.metrics != nil {
		l.metrics.Close()
	}
	if l.peers != nil {
		l.peers.Close()
	}
	if l.gateway != nil {
		l.gateway.Close()
	}
}
