package agent

import (
	"time"

	"github.com/catkinrouter/catkinrouter/membership"
)

// Status is an agent's view of its configuration, its entry and the other
// instances, for operators.
type Status struct {
	// Revision and Digest identify the configuration that the agent holds.
	Revision uint64
	Digest   string
	// StoreReachable reports whether this agent read the platform's store
	// within maxStoreReadAge. If not, Revision is the newest accepted one
	// that reached this agent, and the store may hold a newer one.
	StoreReachable bool
	// OwnReadAge is the time since this agent read the store; negative if it
	// never did.
	OwnReadAge time.Duration
	// ReadAge is the time since any reachable instance read the store, as far
	// as this agent has heard; negative if none did.
	ReadAge time.Duration
	// Bootstrapped is false until a newly started instance has obtained the
	// newest configuration that it can reach. Lookups do not return the
	// instance before that.
	Bootstrapped bool
	// EntryAge is the time since the last successful sync with the entry;
	// negative if there was none.
	EntryAge time.Duration
	// Members are the known instances, this one included. Each Beat carries
	// the revision that is active at the instance's entry.
	Members []membership.Member
}

// Status returns the Node's current view.
func (n *Node) Status(now time.Duration) Status {
	v := n.replica.current.Version()
	return Status{
		Revision: v.Revision, Digest: v.Digest, StoreReachable: n.storeReachable(now), Bootstrapped: n.bootstrapped,
		OwnReadAge: age(now, n.scheduler.lastOwnRead), ReadAge: age(now, n.scheduler.lastRead), EntryAge: age(now, n.entry.statusAt), Members: n.table.Members(now),
	}
}

// age returns the time since at, and -1 if at is never.
func age(now, at time.Duration) time.Duration {
	if at == never {
		return -1
	}
	return now - at
}

func (n *Node) storeReachable(now time.Duration) bool {
	return n.scheduler.lastOwnRead != never && now-n.scheduler.lastOwnRead < maxStoreReadAge
}
