package fleet

import (
	"context"
	"net"
	"net/rpc"
	"time"

	"github.com/go-kit/log/level"
)

// enqueueSync queues a sync from the peer, unless one is already queued or in
// flight.
func (f *Fleet) enqueueSync(from string) {
	if f.syncing[from] {
		return
	}
	select {
	case f.syncQueue <- from:
		f.syncing[from] = true
	default: // the queue is full: the next heartbeat queues the sync again
	}
}

// syncLoop performs the queued syncs until ctx ends.
func (f *Fleet) syncLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case from := <-f.syncQueue:
			f.syncFrom(ctx, from)
		}
	}
}

// syncTimeout bounds the dial of a sync, and again its call; it also bounds the
// life of an accepted peer connection.
const syncTimeout = 600 * time.Millisecond

// syncFrom fetches members and changes of the store from the peer.
func (f *Fleet) syncFrom(ctx context.Context, from string) {
	f.mu.Lock()
	args := SyncArgs{Info: f.opt.Self, State: f.state, Revision: f.copy.Revision(), Members: f.memberVersions[from]}
	// The peer's Info, and thus its data centre, must be known before the copy
	// is fetched from it.
	args.MembersOnly = !f.table.hasInfo(from) || !f.shouldFetchFrom(f.opt.Now(), from)
	f.mu.Unlock()
	began := f.opt.Now()
	var reply SyncReply
	err := callPeer(ctx, from, "Peer.Sync", &args, &reply)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.syncing, from)
	if err != nil {
		level.Info(f.opt.Log).Log("msg", "peer sync failed", "peer", from, "err", err)
		return
	}
	now := f.opt.Now()
	f.table.UpdateMember(now, reply.Info, reply.State)
	f.table.MergeMembers(now, reply.Members)
	f.memberVersions[from] = reply.Version
	if reply.Delta.Revision > 0 && reply.Proven {
		f.apply(now, reply.Delta, began-reply.Age, "peer "+from)
	}
	f.notifyMembers()
}

// callPeer makes one net/rpc call over a new connection.
func callPeer(ctx context.Context, to, method string, args, reply any) error {
	d := net.Dialer{Timeout: syncTimeout}
	conn, err := d.DialContext(ctx, "tcp4", to)
	if err != nil {
		return err
	}
	if err := conn.SetDeadline(time.Now().Add(syncTimeout)); err != nil {
		conn.Close()
		return err
	}
	c := rpc.NewClient(conn)
	defer c.Close()
	return c.Call(method, args, reply)
}
