package fleet

import (
	"context"
	"net"
	"net/rpc"
	"time"

	"github.com/go-kit/log/level"
)

func (f *Fleet) askSync(from string) {
	if f.syncing[from] {
		return
	}
	select {
	case f.syncCh <- from:
		f.syncing[from] = true
	default: // the ring is full: the next beat asks again
	}
}

// syncLoop fetches from peers what this instance lacks.
func (f *Fleet) syncLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case from := <-f.syncCh:
			f.sync(ctx, from)
		}
	}
}

// syncTimeout bounds a fetch.
const syncTimeout = 600 * time.Millisecond

func (f *Fleet) sync(ctx context.Context, from string) {
	f.mu.Lock()
	args := SyncArgs{Info: f.opt.Self, State: f.state, Revision: f.copy.Revision(), Members: f.knows[from]}
	// Who a peer is, and which are nearer, is asked before the copy.
	args.MembersOnly = !f.table.knows(from) || !f.fetches(f.opt.Now(), from)
	f.mu.Unlock()
	began := f.opt.Now()
	var reply SyncReply
	err := callPeer(ctx, from, "Peer.Sync", &args, &reply)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.syncing, from)
	if err != nil {
		level.Info(f.opt.Log).Log("msg", "peer not reached", "peer", from, "err", err)
		return
	}
	now := f.opt.Now()
	f.table.Introduce(now, reply.Info, reply.State)
	f.table.Learn(now, reply.Members)
	f.knows[from] = reply.Version
	if reply.Delta.Revision > 0 && reply.Proven {
		f.apply(now, reply.Delta, began-reply.Age, "peer "+from)
	}
	f.show()
}

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
