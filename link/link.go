// Package link defines the messages between an agent and its entry. The entry
// serves net/rpc on loopback under the name "Entry". The agent calls Sync at a
// fixed interval and sends what the entry lacks. If the agent is down, the entry
// keeps using the last State.
package link

import (
	"slices"
	"time"

	"github.com/catkinrouter/catkinrouter/quarantine"
)

// SyncMethod is the net/rpc method that the agent calls.
const SyncMethod = "Entry.Sync"

// State is the message from an agent to its entry.
type State struct {
	// Revision and Digest identify the newest accepted configuration that the
	// agent holds; Revision is 0 if it holds none yet.
	Revision uint64
	Digest   string
	// Document is the configuration as JSON. It is empty when the entry's
	// last Status showed the same Revision.
	Document []byte
	// Members are the entries that a lookup may return, and this entry.
	Members []Member
	// LeavingUpstreams are IDs of upstreams that other entries saw leaving.
	LeavingUpstreams []string
	// Quarantined is what entries have decided about calls that crash upstreams, if this
	// entry lacks some of it.
	Quarantined []quarantine.Entry
	// Same is set if Members and LeavingUpstreams are unchanged since the
	// last State that carried them, apart from the members' age and load. Both
	// are empty then, and a MemberCache restores them.
	Same bool
	// Detail requests the full Status; see Status.ClearDetails.
	Detail bool
}

// Member is one live entry.
type Member struct {
	ID         string
	Address    string // data address, IP and port
	DataCentre string
	Region     string
	// Incarnation identifies one run of the entry process.
	Incarnation uint64
	// Uptime is the age of the incarnation when the State was created.
	Uptime time.Duration
	// Spare is the entry's spare capacity, between 0 and 1.
	Spare float64
	// Leaving is set once a planned stop of the instance has begun. Lookups
	// do not return leaving entries.
	Leaving bool
}

// Status is an entry's reply to its agent.
type Status struct {
	Incarnation uint64
	Uptime      time.Duration
	Revision    uint64
	Spare       float64
	InFlight    int
	// Leaving is set once a planned stop has begun.
	Leaving bool
	// LeavingUpstreams are IDs of upstreams that this entry itself saw leaving.
	LeavingUpstreams []string
	// Quarantined is what this entry knows of calls that crash upstreams.
	Quarantined []quarantine.Entry
	Upstreams   []UpstreamState
	Counters    []Counter
	Shares      []Share
}

// UpstreamState is an entry's view of one upstream.
type UpstreamState struct {
	Service string
	ID      string
	State   string // "ready", "cold", "ejected" or "leaving"
	// InFlight is the number of this entry's requests in flight at the
	// upstream; those of other entries are not counted.
	InFlight int
}

// Counter is a named count since the entry started.
type Counter struct {
	Name  string
	Count int64
}

// Share is a data centre's share of the work of a service over the last minute.
type Share struct {
	Service    string
	DataCentre string
	Work       float64
	Capacity   float64
}

// ClearDetails clears the details that a State without Detail does not request:
// Upstreams, Counters and Shares.
func (s *Status) ClearDetails() { s.Upstreams, s.Counters, s.Shares = nil, nil, nil }

// MemberCache caches the lists of the last State that carried them, for States
// that have Same set. The zero MemberCache is empty. It is not safe for
// concurrent use.
type MemberCache struct {
	members          []Member
	leavingUpstreams []string
	receivedAt       time.Duration
}

// Resolve caches the lists of s or, if s.Same is set, sets them to the cached
// ones with the members' Uptime advanced to now. Now is the time since the
// entry started.
func (c *MemberCache) Resolve(now time.Duration, s *State) {
	if !s.Same {
		c.members, c.leavingUpstreams, c.receivedAt = s.Members, s.LeavingUpstreams, now
		return
	}
	s.Members, s.LeavingUpstreams = slices.Clone(c.members), c.leavingUpstreams
	for i := range s.Members {
		s.Members[i].Uptime += now - c.receivedAt
	}
}
