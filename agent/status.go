package agent

import (
	"time"

	"github.com/catkinrouter/catkinrouter/membership"
)

// Status is an agent's view, for operators.
type Status struct {
	// Revision and Digest are of the configuration that the agent holds.
	Revision uint64
	Digest   string
	// Store tells whether this agent read the platform's store lately. Where
	// it did not, the revision is the last that was accepted in its reach.
	Store bool
	// OwnReadAge is the time since this agent read the store; below 0 for
	// never.
	OwnReadAge time.Duration
	// ReadAge is the time since any instance in reach read the store, as
	// far as the agent knows; below 0 for none.
	ReadAge time.Duration
	// Settled is false while a fresh instance still asks for the newest
	// configuration; it is not handed out until then.
	Settled bool
	// EntryAge is the time since the entry answered; below 0 for never.
	EntryAge time.Duration
	// Members are the instances known, this one included; each Beat has the
	// revision in force at its entry.
	Members []membership.Member
}

// Status returns the Node's view.
func (n *Node) Status(now time.Duration) Status {
	v := n.spread.keeper.Version()
	return Status{
		Revision: v.Revision, Digest: v.Digest, Store: n.readsStore(now), Settled: n.settled,
		OwnReadAge: age(now, n.duty.ownRead), ReadAge: age(now, n.duty.read), EntryAge: age(now, n.sync.at), Members: n.table.Members(now),
	}
}

func age(now, at time.Duration) time.Duration {
	if at == never {
		return -1
	}
	return now - at
}

func (n *Node) readsStore(now time.Duration) bool {
	return n.duty.ownRead != never && now-n.duty.ownRead < storeFresh
}
