package agent

import (
	"bytes"
	"context"
	"encoding/gob"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/catkinrouter/catkinrouter/membership"
)

// The server must close the connection of a peer that sends garbage or an
// oversized message, and keep serving other peers.
func TestMalformedPeersAreDisconnected(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := NewDaemon(Settings{ID: "a", PeerAddress: ln.Addr().String(), EntryAddress: "127.0.0.1:1", DataCentre: "bole", Region: "addis"}, nil, log.NewNopLogger())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	done := make(chan error, 2)
	go func() { done <- d.servePeers(ctx, ln) }()
	go func() { done <- d.loop(ctx, nil) }()
	for _, send := range []func(net.Conn){
		func(c net.Conn) { c.Write(bytes.Repeat([]byte("GET / HTTP/1.1\r\n"), 100)) },
		func(c net.Conn) {
			enc := gob.NewEncoder(c)
			if enc.Encode(&rpc.Request{ServiceMethod: exchangeMethod}) == nil {
				enc.Encode(&membership.Message{Infos: make([]membership.Info, 2*maxMessageBytes)})
			}
		},
	} {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		send(c)
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		for b := make([]byte, 1024); err == nil; _, err = c.Read(b) {
		}
		if nerr, ok := err.(net.Error); ok && nerr.Timeout() {
			t.Error("the connection is still open")
		}
		c.Close()
	}
	peers := newClientPool(d.metrics, "test")
	defer peers.close()
	var out membership.Message
	if err := peers.call(ln.Addr().String(), exchangeMethod, &membership.Message{}, &out); err == nil {
		t.Error("an empty message was accepted")
	}
	table := membership.New(membership.Info{ID: "b", PeerAddress: "127.0.0.1:9"}, 1, 1)
	m := table.Request(0, "")
	m.Infos = nil
	if err := peers.call(ln.Addr().String(), exchangeMethod, &m, &out); err != nil {
		t.Errorf("a well-formed message: %v", err)
	}
	cancel()
	for range 2 {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}
