package membership

import (
	"fmt"
	"net/netip"
	"time"
)

// Info is what an instance states about itself and seldom changes.
type Info struct {
	ID          string
	PeerAddress string // of the agent, IP and port
	DataAddress string // of the entry, IP and port
	DataCentre  string
	Region      string
	// Incarnation and Version are those of the Beat that the Info goes with.
	Incarnation uint64
	Version     uint64
	// Entry is the incarnation of the entry; 0 while it is not reached.
	Entry uint64
	// Uptime is the age of the entry's incarnation when the message was made.
	Uptime time.Duration
}

// Message is one half of an exchange: the request and the answer alike.
type Message struct {
	// Address is the sender's peer address.
	Address netip.AddrPort
	// Beats holds the sender's own heartbeat first.
	Beats Beats
	Infos []Info
	// Want asks for the Infos of instances; a request alone carries it.
	Want []Key
	// Stale asks for newer heartbeats of instances that the sender has not
	// heard of for a while; a request alone carries it.
	Stale []Key
	// Revision and Digest identify the newest configuration that the sender
	// holds; Digest holds the first bytes of the document's digest.
	Revision uint64
	Digest   uint64
	// ReadAge is the time since any instance that the sender heard of read
	// the platform's store, in milliseconds; 0 for none.
	ReadAge uint32
	// Leaving holds upstreams that entries saw leaving.
	Leaving []LeavingUpstream
}

// LeavingUpstream is an upstream that an entry saw leaving.
type LeavingUpstream struct {
	ID string
	// TTL is how long the word still holds, in milliseconds.
	TTL uint32
}

// Bounds of a Message.
const (
	MaxBeats   = 24
	MaxInfos   = 16
	MaxLeaving = 16
	maxStale   = 8
	maxText    = 64 // bytes
)

// MalformedError says that a peer's message breaks the rules of the exchange.
type MalformedError struct {
	Fault string
}

// Error names the fault and the remedy.
func (e *MalformedError) Error() string {
	return "membership: malformed message: " + e.Fault + ": run the same version on all instances"
}

// Check returns a *MalformedError where the message breaks a bound.
func (m *Message) Check() error {
	switch {
	case !m.Address.IsValid():
		return &MalformedError{"no address"}
	case len(m.Beats) == 0 || len(m.Beats) > MaxBeats:
		return &MalformedError{fmt.Sprintf("%d heartbeats", len(m.Beats))}
	case len(m.Infos) > MaxInfos || len(m.Want) > MaxInfos || len(m.Stale) > maxStale:
		return &MalformedError{"too many instances"}
	case len(m.Leaving) > MaxLeaving:
		return &MalformedError{"too many leaving upstreams"}
	}
	for _, l := range m.Leaving {
		if l.ID == "" || len(l.ID) > maxText {
			return &MalformedError{"upstream ID too short or too long"}
		}
	}
	for i := range m.Infos {
		if err := m.Infos[i].check(); err != nil {
			return err
		}
	}
	return nil
}

func (i *Info) check() error {
	for _, s := range []string{i.ID, i.DataCentre, i.Region} {
		if s == "" || len(s) > maxText {
			return &MalformedError{"name too short or too long"}
		}
	}
	for _, s := range []string{i.PeerAddress, i.DataAddress} {
		if _, err := netip.ParseAddrPort(s); err != nil {
			return &MalformedError{"address " + s}
		}
	}
	if i.Uptime < 0 {
		return &MalformedError{"uptime below 0"}
	}
	return nil
}
