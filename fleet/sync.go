package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// syncWorkers is the number of concurrent syncs of a queue, so that a peer that
	// does not answer does not hold up a sync with another one.
	syncWorkers = 2
	// syncQueueSize bounds the queued syncs. One that does not fit is dropped and
	// queued again on the peer's next heartbeat.
	syncQueueSize = 16
)

// syncQueues holds the peers of queued syncs. Each queue has workers of its own, so that
// a change of the store does not wait behind peers that cannot bring it.
type syncQueues [2]chan string

// Indices of syncQueues.
const (
	// carrierSyncs are with the peers that bring this instance the store's changes.
	carrierSyncs = iota
	otherSyncs
)

func newSyncQueues() (q syncQueues) {
	for i := range q {
		q[i] = make(chan string, syncQueueSize)
	}
	return q
}

// syncHedgeDelay is how long a sync may be in flight before the same change is
// also fetched from another peer.
const syncHedgeDelay = 250 * time.Millisecond

// enqueueSync queues a sync from the peer, unless one is already queued or in
// flight.
func (f *Fleet) enqueueSync(now time.Duration, from string) {
	if _, busy := f.syncing[from]; busy {
		return
	}
	queue := f.syncs[otherSyncs]
	if f.isCarrier(now, from) {
		queue = f.syncs[carrierSyncs]
	}
	select {
	case queue <- from:
		f.syncing[from] = now
	default: // the queue is full: the next heartbeat queues the sync again
	}
}

// isCarrier reports whether the peer is one of those that bring this instance the store's
// changes, or is expected to be one of them after the start.
func (f *Fleet) isCarrier(now time.Duration, address string) bool {
	if !f.table.hasInfo(address) {
		return slices.Contains(f.namedLeaders, address)
	}
	return slices.Contains(f.table.carriers(now), address)
}

// fetching reports whether a sync that may bring what the peer has was begun lately. One
// with an ordinary instance holds up none with a carrier.
func (f *Fleet) fetching(now time.Duration, peer string) bool {
	carrier := f.isCarrier(now, peer)
	for from, at := range f.syncing {
		if now-at < syncHedgeDelay && f.shouldFetchFrom(now, from) && (!carrier || f.isCarrier(now, from)) {
			return true
		}
	}
	return false
}

// syncLoop performs the syncs of a queue until ctx ends.
func (f *Fleet) syncLoop(ctx context.Context, queue <-chan string) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case from := <-queue:
			if err := f.opt.Guard.Run("sync", func() { f.syncFrom(ctx, from) }); err != nil {
				f.syncEnded(from)
			}
		}
	}
}

// syncFrom fetches members and changes of the store from the peer.
func (f *Fleet) syncFrom(ctx context.Context, from string) {
	args := f.syncArgs(from)
	began := f.opt.Elapsed()
	var reply SyncReply
	err := f.peers.call(ctx, from, "Peer.Sync", &args, &reply)
	f.handleSyncReply(from, &args, began, &reply, err)
}

func (f *Fleet) syncEnded(from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.syncing, from)
}

// syncArgs returns the request of a sync with the peer.
func (f *Fleet) syncArgs(from string) SyncArgs {
	f.mu.Lock()
	defer f.mu.Unlock()
	return SyncArgs{
		Info: f.opt.Self, State: f.state, Revision: f.copy.Revision(), Members: f.memberVersions[from],
		ActiveVersion: f.listener.ActiveVersion(),
		// The peer's Info, and thus its data centre, must be known before the
		// copy is fetched from it.
		MembersOnly: !f.table.hasInfo(from) || !f.shouldFetchFrom(f.opt.Now(), from),
	}
}

// handleSyncReply merges the reply of a sync that began at a time of Options.Elapsed.
func (f *Fleet) handleSyncReply(from string, args *SyncArgs, began time.Duration, reply *SyncReply, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, _ := f.readClocks()
	delete(f.syncing, from)
	if err != nil {
		f.counts.SyncsFailed++
		level.Info(f.opt.Log).Log("msg", "peer sync failed", "peer", from, "err", err)
		return
	}
	f.table.UpdateMember(now, reply.Info, reply.State)
	f.table.MergeMembers(now, reply.Members, reply.Info.DataCentre)
	f.table.MergeSummaries(now, from, reply.Summaries)
	if f.memberVersions[from] == args.Members { // else the whole list is due by now
		f.memberVersions[from] = reply.Version
	}
	d, err := reply.delta()
	if err != nil {
		level.Warn(f.opt.Log).Log("msg", "peer copy unreadable", "peer", from, "err", err)
	} else if d.Revision > 0 && reply.Proven {
		f.apply(now, d, began-reply.Age, replyProvesAt(began, reply.ProvenAge), "peer "+from)
	}
	if reply.Lost.Key != "" {
		f.listener.LostConfigurationReceived(reply.Lost, from)
	}
	if len(reply.Quarantine) > 0 {
		f.listener.QuarantineReceived(reply.Quarantine, from)
	}
	f.synced, f.peersVersion = true, max(f.peersVersion, reply.ActiveVersion)
	f.publishProof()
	if args.MembersOnly && f.behindSince > 0 && f.isCarrier(now, from) {
		f.enqueueSync(now, from) // fetches what a heartbeat has told of
	}
	f.notifyMembers()
}
