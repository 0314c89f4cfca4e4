package fleet

import (
	"time"

	"github.com/catkinrouter/catkinrouter/store"
)

// Status describes what this instance does for the fleet and how old its copy of
// the store is.
type Status struct {
	// Hub is set if the instance reads the store for all, FirstHub if it also
	// writes for all, Leader if it serves the instances of its data centre.
	Hub, FirstHub, Leader bool
	// Live is the number of live instances, Known the number of instances that
	// are known by address.
	Live, Known int
	// CopyAge is the time since the copy was last confirmed complete, Revision
	// its revision.
	CopyAge  time.Duration
	Revision store.Revision
	// SyncsServed and SyncsFailed count the syncs of peers that this instance
	// served, and its own syncs that failed. RoleChanges counts the changes of
	// the hubs and of the leaders of its data centre.
	SyncsServed, SyncsFailed, RoleChanges int64
	// Pauses counts the times at which this process was seen to have stood still,
	// LateHeartbeats the heartbeats that took lateHeartbeat or longer.
	Pauses, LateHeartbeats int64
}

// Status returns the current status.
func (f *Fleet) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opt.Now()
	s := f.counts
	rank := f.table.HubRank(now)
	s.Hub, s.FirstHub, s.Leader = rank >= 0, rank == 0, f.table.IsLeader(now)
	s.Live, s.Known = f.live, len(f.table.members)
	s.CopyAge, s.Revision = f.reader.age(now), f.copy.Revision()
	return s
}
