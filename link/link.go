// Package link defines the messages between an agent and its entry. The entry
// serves net/rpc on loopback under the name "Entry"; the agent calls Sync at
// a steady interval and pushes what the entry lacks. An entry whose agent is
// gone goes on with the last State.
package link

import (
	"slices"
	"time"
)

// Method is the net/rpc method that the agent calls.
const Method = "Entry.Sync"

// State is what an agent tells its entry.
type State struct {
	// Revision and Digest identify the configuration in force at the agent;
	// Revision 0 means none yet.
	Revision uint64
	Digest   string
	// Document is the configuration as JSON. It is empty when the entry's
	// last Status showed the same Revision.
	Document []byte
	// Members are the entries that a lookup may hand out, this one included.
	Members []Member
	// LeavingUpstreams are IDs that other entries saw leaving.
	LeavingUpstreams []string
	// Same tells that Members and LeavingUpstreams are those of the last
	// State, aged; both are empty then. An Inbox fills them in.
	Same bool
	// Detail asks for the whole Status; see Status.Trim.
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
	// Uptime is the age of the incarnation when State was made.
	Uptime time.Duration
	// Spare is the entry's spare capacity, between 0 and 1.
	Spare float64
	// Leaving entries are not handed out.
	Leaving bool
}

// Status is what an entry tells its agent.
type Status struct {
	Incarnation uint64
	Uptime      time.Duration
	Revision    uint64
	Spare       float64
	InFlight    int
	// Leaving is set once a planned stop has begun.
	Leaving bool
	// LeavingUpstreams are IDs that this entry saw leaving itself.
	LeavingUpstreams []string
	Upstreams        []UpstreamState
	Counters         []Counter
	Shares           []Share
}

// UpstreamState is an entry's view of one upstream.
type UpstreamState struct {
	Service string
	ID      string
	State   string // "ready", "cold", "ejected" or "leaving"
	// InFlight is the number of this entry's own requests.
	InFlight int
}

// Counter is a named count since the entry started.
type Counter struct {
	Name  string
	Count int64
}

// Share is a data centre's share of a service's work over the last minute.
type Share struct {
	Service    string
	DataCentre string
	Work       float64
	Capacity   float64
}

// Trim clears what a State without Detail does not ask for: Upstreams,
// Counters and Shares.
func (s *Status) Trim() { s.Upstreams, s.Counters, s.Shares = nil, nil, nil }

// Inbox keeps an entry's last members for a State that says Same. The zero
// Inbox is empty. It is not safe for concurrent use.
type Inbox struct {
	members []Member
	leaving []string
	at      time.Duration
}

// Fill keeps the members of s, or fills in the ones kept where s says Same.
// Now is the time since the entry started.
func (b *Inbox) Fill(now time.Duration, s *State) {
	if !s.Same {
		b.members, b.leaving, b.at = s.Members, s.LeavingUpstreams, now
		return
	}
	s.Members, s.LeavingUpstreams = slices.Clone(b.members), b.leaving
	for i := range s.Members {
		s.Members[i].Uptime += now - b.at
	}
}
