package fleet

import (
	"errors"
	"net"
	"net/rpc"
	"time"

	"github.com/catkinrouter/catkinrouter/mirror"
)

// SyncArgs asks a peer for what the sender lacks.
type SyncArgs struct {
	Info  Info
	State State
	// Revision is that of the sender's copy of the store.
	Revision int64
	// Members is the version of the peer's list that the sender has.
	Members uint64
	// MembersOnly is set where the sender takes its copy from a nearer peer.
	MembersOnly bool
}

// SyncReply brings a peer up to date.
type SyncReply struct {
	Info  Info
	State State
	// Delta follows the asker's revision, and is empty for one that asked for
	// members only. Proven is set where the copy is
	// known to have been complete, Age ago.
	Delta  mirror.Delta
	Proven bool
	Age    time.Duration
	// Members changed up to Version of the list.
	Members []Member
	Version uint64
}

// Peer serves the other instances by net/rpc.
type Peer struct{ f *Fleet }

// Sync answers a peer, and takes its word about itself.
func (p *Peer) Sync(args *SyncArgs, reply *SyncReply) error {
	f := p.f
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opt.Now()
	f.table.Introduce(now, args.Info, args.State)
	reply.Info, reply.State = f.opt.Self, f.state
	if !args.MembersOnly {
		reply.Delta = f.copy.Since(args.Revision)
	}
	reply.Proven, reply.Age = f.reader.proven, f.reader.age(now)
	reply.Members, reply.Version = f.table.Since(args.Members), f.table.Version()
	f.show()
	return nil
}

// serve answers peers until ln closes.
func (f *Fleet) serve(ln net.Listener) error {
	s := rpc.NewServer()
	if err := s.Register(&Peer{f}); err != nil {
		return err
	}
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := conn.SetDeadline(time.Now().Add(syncTimeout)); err != nil {
			conn.Close()
			continue // the peer has gone
		}
		go s.ServeConn(conn)
	}
}
