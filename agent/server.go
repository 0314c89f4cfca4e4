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

// Methods that agents call on each other.
const (
	exchangeMethod = "Peer.Exchange"
	partMethod     = "Peer.Part"
	maxPeerConns   = 256
)

// errBusy is answered where the agent's loop does not take a request in time.
var errBusy = errors.New("agent: busy: ask again later")

// peerService serves other agents over net/rpc.
type peerService struct{ d *Daemon }

type reply[T any] struct {
	value T
	err   error
}

// Exchange takes a peer's message and answers with the own one.
func (p *peerService) Exchange(in *membership.Message, out *membership.Message) error {
	got, err := ask(p.d, func(n *Node, now time.Duration) (membership.Message, []Action, error) {
		return n.Asked(now, in)
	})
	*out = got
	return err
}

// Part answers with a part of the configuration held.
func (p *peerService) Part(in *PartRequest, out *Part) error {
	got, err := ask(p.d, func(n *Node, _ time.Duration) (Part, []Action, error) {
		part, err := n.AskedPart(*in)
		return part, nil, err
	})
	*out = got
	return err
}

// ask runs f in the loop and waits for its value.
func ask[T any](d *Daemon, f func(*Node, time.Duration) (T, []Action, error)) (T, error) {
	done := make(chan reply[T], 1)
	ok := d.post(func(n *Node, now time.Duration) []Action {
		v, out, err := f(n, now)
		done <- reply[T]{v, err}
		return out
	})
	if !ok {
		var none T
		return none, errBusy
	}
	select {
	case r := <-done:
		return r.value, r.err
	case <-time.After(callLimit):
		d.count("peer.refused.busy")
		var none T
		return none, errBusy
	}
}

// servePeers serves other agents on ln until ctx ends.
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
			d.count("peer.refused.connections")
			nc.Close()
		}
	}
}

func (d *Daemon) servePeer(ctx context.Context, srv *rpc.Server, nc net.Conn) {
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	srv.ServeConn(&meteredConn{Conn: nc, idle: idleLimit, in: d.peers.in, out: d.peers.out})
}
