package fleet

import (
	"context"
	"net"
	"net/rpc"
	"time"

	"github.com/catkinrouter/catkinrouter/internal/connlimit"
	"github.com/catkinrouter/catkinrouter/internal/httpserve"
	"github.com/catkinrouter/catkinrouter/mirror"
	"github.com/catkinrouter/catkinrouter/store"
)

// SyncArgs is the request of a sync: it carries the sender's state and the
// versions that the sender already has.
type SyncArgs struct {
	Info  Info
	State State
	// Revision is the revision of the sender's copy of the store.
	Revision store.Revision
	// Members is the version of the peer's member list that the sender has.
	Members uint64
	// ActiveVersion is the version of the configuration in force at the sender, 0
	// for none.
	ActiveVersion uint64
	// MembersOnly omits the store's changes from the reply: the sender does
	// not know the peer yet, or fetches them within its data centre.
	MembersOnly bool
}

// SyncReply carries what the peer lacks.
type SyncReply struct {
	Info  Info
	State State
	// Delta holds the changes after the requested revision, Packed the same
	// compressed if there are many; both are empty if MembersOnly was set.
	// Proven reports whether the copy was ever confirmed complete, Age the time
	// since the last confirmation.
	Delta  mirror.Delta
	Packed []byte
	Proven bool
	Age    time.Duration
	// ProvenAge is the time since the copy was last proven complete, or AgeUnknown. It is
	// the stricter age, by which keys are served; Age decides when the store is read.
	ProvenAge time.Duration
	// ActiveVersion is the version of the configuration in force at the peer, 0 for none.
	ActiveVersion uint64
	// Lost is the configuration in force at the peer, if it is newer than the
	// sender's and the store has lost it; without a key if not.
	Lost mirror.Item
	// Quarantine is what the peer knows of requests that crash upstreams, if the
	// store lacks some of it.
	Quarantine []byte
	// Members and Summaries hold what changed after the requested version, up
	// to Version.
	Members   []Member
	Summaries []Summary
	Version   uint64
}

// Peer is the net/rpc service for the other instances.
type Peer struct{ f *Fleet }

// Sync records the peer's Info and State and replies with what it lacks.
func (p *Peer) Sync(args *SyncArgs, reply *SyncReply) (err error) {
	if panicked := p.f.opt.Guard.Run("sync of a peer", func() { err = p.f.serveSync(args, reply) }); panicked != nil {
		return panicked
	}
	return err
}

func (f *Fleet) serveSync(args *SyncArgs, reply *SyncReply) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, elapsed := f.readClocks()
	f.counts.SyncsServed++
	f.table.UpdateMember(now, args.Info, args.State)
	reply.Info, reply.State = f.opt.Self, f.state
	reply.Proven, reply.Age, reply.ProvenAge = f.reader.confirmed, f.reader.age(now), f.proof.age(elapsed)
	reply.Members = f.table.ChangedSince(now, args.Members, args.Info.DataCentre)
	reply.Summaries, reply.Version = f.table.summariesSince(args.Members), f.table.Version()
	f.notifyMembers()
	reply.ActiveVersion = f.listener.ActiveVersion()
	if it, lost := f.listener.LostConfiguration(); lost && reply.ActiveVersion > args.ActiveVersion {
		reply.Lost = it
	}
	reply.Quarantine = f.listener.UnstoredQuarantine()
	if args.MembersOnly {
		return nil
	}
	return f.setDelta(reply, f.copy.Since(args.Revision))
}

// serve accepts peer connections until ln is closed.
func (f *Fleet) serve(ctx context.Context, ln net.Listener) error {
	s := rpc.NewServer()
	if err := s.Register(&Peer{f}); err != nil {
		return err
	}
	ln = connlimit.NewListener(ln, "peers", nil, f.opt.Log, f.opt.Metrics)
	for {
		conn, err := ln.Accept()
		if err != nil {
			return httpserve.IgnoreClosed(err)
		}
		go func() {
			defer context.AfterFunc(ctx, func() { conn.Close() })()
			s.ServeConn(idleConn{conn})
		}()
	}
}

// idleConn is a connection that fails once the peer sends nothing, or takes
// nothing, for peerIdleTimeout.
type idleConn struct{ net.Conn }

func (c idleConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(peerIdleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

func (c idleConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(peerIdleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
