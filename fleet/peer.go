package fleet

import (
	"errors"
	"net"
	"net/rpc"
	"time"

	"github.com/catkinrouter/catkinrouter/mirror"
)

// SyncArgs is the request of a sync: it carries the sender's state and the
// versions that the sender already has.
type SyncArgs struct {
	Info  Info
	State State
	// Revision is the revision of the sender's copy of the store.
	Revision int64
	// Members is the version of the peer's member list that the sender has.
	Members uint64
	// MembersOnly omits the store's changes from the reply: the sender does
	// not know the peer yet, or fetches them within its data centre.
	MembersOnly bool
}

// SyncReply carries what the peer lacks.
type SyncReply struct {
	Info  Info
	State State
	// Delta holds the changes after the requested revision; it is empty if
	// MembersOnly was set. Proven reports whether the copy was ever confirmed
	// complete, Age the time since the last confirmation.
	Delta  mirror.Delta
	Proven bool
	Age    time.Duration
	// Members holds the members that changed after the requested version, up
	// to Version.
	Members []Member
	Version uint64
}

// Peer is the net/rpc service for the other instances.
type Peer struct{ f *Fleet }

// Sync records the peer's Info and State and replies with what it lacks.
func (p *Peer) Sync(args *SyncArgs, reply *SyncReply) error {
	f := p.f
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opt.Now()
	f.table.UpdateMember(now, args.Info, args.State)
	reply.Info, reply.State = f.opt.Self, f.state
	if !args.MembersOnly {
		reply.Delta = f.copy.Since(args.Revision)
	}
	reply.Proven, reply.Age = f.reader.confirmed, f.reader.age(now)
	reply.Members, reply.Version = f.table.ChangedSince(args.Members), f.table.Version()
	f.notifyMembers()
	return nil
}

// serve accepts peer connections until ln is closed.
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
			continue // the peer has closed the connection
		}
		go s.ServeConn(conn)
	}
}
