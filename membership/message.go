package membership

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/catkinrouter/catkinrouter/quarantine"
)

// Info holds the properties that an instance reports about itself and that
// rarely change.
type Info struct {
	ID          string
	PeerAddress string // of the agent, IP and port
	DataAddress string // of the entry, IP and port
	DataCentre  string
	Region      string
	// Incarnation and Version match those of the Beat that the Info belongs
	// to.
	Incarnation uint64
	Version     uint64
	// Entry is the incarnation of the entry; 0 while the entry is
	// unreachable.
	Entry uint64
	// Uptime is the age of the entry's incarnation when the message was
	// created.
	Uptime time.Duration
}

// Message is the request and also the reply of an exchange.
type Message struct {
	// Address is the sender's peer address.
	Address netip.AddrPort
	// Beats holds heartbeats, the sender's own first.
	Beats Beats
	Infos []Info
	// Want requests the Infos of instances; it is set in requests only.
	Want []Key
	// Stale requests newer heartbeats of instances whose newest one known to
	// the sender is old; it is set in requests only.
	Stale []Key
	// Revision and Digest identify the newest configuration that the sender
	// holds. Digest is the first bytes of the document's digest.
	Revision uint64
	Digest   uint64
	// ReadAge is the time since the latest known read of the platform's store
	// by any instance, in milliseconds; 0 for none.
	ReadAge uint32
	// Leaving holds upstreams that entries have observed leaving.
	Leaving []LeavingUpstream
	// Quarantined holds what entries have decided about calls that crash upstreams.
	Quarantined []quarantine.Entry
}

// LeavingUpstream is an upstream that an entry has observed leaving.
type LeavingUpstream struct {
	ID string
	// TTL is the remaining validity of the report, in milliseconds.
	TTL uint32
}

// Bounds of a Message.
const (
	MaxBeats   = 24
	MaxInfos   = 16
	MaxLeaving = 16
	// MaxQuarantined bounds Message.Quarantined.
	MaxQuarantined = 8
	maxStale       = 8
	maxTextBytes   = 64 // bytes
)

// MalformedError reports a peer's message that violates the protocol.
type MalformedError struct {
	Fault string
}

// Error returns the fault and the remedy.
func (e *MalformedError) Error() string {
	return "membership: malformed message: " + e.Fault + ": run the same version on all instances"
}

// Check returns a *MalformedError if the message violates a bound.
func (m *Message) Check() error {
	switch {
	case !m.Address.IsValid():
		return &MalformedError{"invalid sender address"}
	case len(m.Beats) == 0 || len(m.Beats) > MaxBeats:
		return &MalformedError{fmt.Sprintf("heartbeat count %d out of bounds", len(m.Beats))}
	case len(m.Infos) > MaxInfos || len(m.Want) > MaxInfos || len(m.Stale) > maxStale:
		return &MalformedError{"too many infos, wanted keys or stale keys"}
	case len(m.Leaving) > MaxLeaving:
		return &MalformedError{"too many leaving upstreams"}
	case len(m.Quarantined) > MaxQuarantined:
		return &MalformedError{"too many quarantined calls"}
	}
	for _, l := range m.Leaving {
		if l.ID == "" || len(l.ID) > maxTextBytes {
			return &MalformedError{"leaving upstream ID empty or too long"}
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
		if s == "" || len(s) > maxTextBytes {
			return &MalformedError{"ID, data centre or region empty or too long"}
		}
	}
	for _, s := range []string{i.PeerAddress, i.DataAddress} {
		if _, err := netip.ParseAddrPort(s); err != nil {
			return &MalformedError{"invalid address " + s}
		}
	}
	if i.Uptime < 0 {
		return &MalformedError{"negative uptime"}
	}
	return nil
}
