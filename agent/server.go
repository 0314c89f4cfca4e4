package agent

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/catkinrouter/catkinrouter/membership"
)

const (
	// exchangeMethod and partMethod are the net/rpc methods of an agent.
	exchangeMethod = "Peer.Exchange"
	partMethod     = "Peer.Part"
	// maxPeerConns bounds the connections served at a time.
	maxPeerConns = 256
)

// errBusy is returned if the event loop does not handle a request in time, or if
// the queue of outgoing calls is full.
var errBusy = errors.New("agent: busy: retry later")

// peerService serves other agents over net/rpc.
type peerService struct{ d *Daemon }

// callResult is what a function returned in the event loop.
type callResult[T any] struct {
	value T
	err   error
}

// Exchange handles a peer's message and replies with this agent's.
func (p *peerService) Exchange(in *membership.Message, out *membership.Message) error {
	reply, err := runInLoop(p.d, func(n *Node, now time.Duration) (membership.Message, []Action, error) {
		return n.HandleExchange(now, in)
	})
	*out = reply
	return err
}

// Part replies with a part of the configuration that this agent holds.
func (p *peerService) Part(in *PartRequest, out *Part) error {
	reply, err := runInLoop(p.d, func(n *Node, _ time.Duration) (Part, []Action, error) {
		part, err := n.HandlePartRequest(*in)
		return part, nil, err
	})
	*out = reply
	return err
}

// runInLoop runs f in the event loop and returns its value. It returns errBusy if
// the event queue is full or f has not run after callTimeout.
func runInLoop[T any](d *Daemon, f func(*Node, time.Duration) (T, []Action, error)) (T, error) {
	done := make(chan callResult[T], 1)
	ok := d.tryPost(func(n *Node, now time.Duration) []Action {
		v, out, err := f(n, now)
		done <- callResult[T]{v, err}
		return out
	})
	if !ok {
		var zero T
		return zero, errBusy
	}
	select {
	case r := <-done:
		return r.value, r.err
	case <-time.After(callTimeout):
		d.incCounter("peer.refused.busy")
		var zero T
		return zero, errBusy
	}
}

// servePeers serves other agents on ln until ctx ends. Connections above
// maxPeerConns are closed at once.
func (d *Daemon) servePeers(ctx context.Context, ln net.Listener) error {
	srv := rpc.NewServer()
	if err := srv.RegisterName("Peer", &peerService{d}); err != nil {
		return err
	}
	var g errgroup.Group
	g.SetLimit(maxPeerConns)
	defer context.AfterFunc(ctx, func() { ln.Close() })()
	for {
		nc, err := ln.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		if !g.TryGo(func() error { d.servePeer(ctx, srv, nc); return nil }) {
			d.incCounter("peer.refused.connections")
			nc.Close()
		}
	}
}

func (d *Daemon) servePeer(ctx context.Context, srv *rpc.Server, nc net.Conn) {
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	srv.ServeConn(&meteredConn{Conn: nc, idleTimeout: peerIdleTimeout, bytesIn: d.peerClients.bytesIn, bytesOut: d.peerClients.bytesOut})
}
