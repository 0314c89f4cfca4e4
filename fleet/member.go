package fleet

import (
	"cmp"
	"net/netip"
	"strings"
	"time"
)

// Info holds the properties of an instance that do not change while it runs.
type Info struct {
	// Address is the instance's peer address, IP and port.
	Address     string
	DataAddress string
	DataCentre  string
	Region      string
	// Capacity ranks the instances that serve others: of two instances the one
	// with the higher capacity does. Only the order of the values matters.
	Capacity uint32
	// Incarnation identifies one run of the process.
	Incarnation uint64
}

// State holds the properties of an instance that change while it runs.
type State struct {
	Ready   bool
	Leaving bool
	// Blind is set while the instance cannot read the store itself.
	Blind bool
	// Count orders the states of an incarnation.
	Count uint32
}

// Member is an instance as seen by the others.
type Member struct {
	Info
	State
	// Silent is set once the instance's heartbeats have timed out.
	Silent bool
}

// usable reports whether callers may be sent to the member.
func (m Member) usable() bool { return !m.Silent && m.Ready && !m.Leaving }

// unready reports whether the member lives and stays, but is not ready.
func (m Member) unready() bool { return !m.Silent && !m.Ready && !m.Leaving }

// member is a Member with what this instance knows of its liveness.
type member struct {
	Member
	// parsed is Info.Address; the zero value if it can't be parsed.
	parsed netip.AddrPort
	// infoKnown is set once the member's Info is known.
	infoKnown bool
	// changedVersion is the table's version at the member's last change.
	changedVersion uint64
	// addedAt is when the member was added, lastHeard when it last sent a
	// heartbeat or sync itself; 0 for never.
	addedAt, lastHeard time.Duration
	// clock relates the member's clock to that of this instance, received is its newest
	// heartbeat.
	clock    peerClock
	received receivedHeartbeat
	// lacksStore is set if the member's last heartbeat said that the store does
	// not answer it.
	lacksStore bool
	// unansweredSince is when the first heartbeat was sent to the member that
	// it has not answered; 0 for none.
	unansweredSince time.Duration
	// lastRetry is when the member was last retried while unreachable,
	// silentSince when it became unreachable; 0 for never.
	lastRetry, silentSince time.Duration
	// nextContact is when a member of unknown Info is contacted again, and
	// contactDelay the delay after that.
	nextContact, contactDelay time.Duration
}

// minContactDelay and maxContactDelay bound the growing delays between two
// contacts of a member of unknown Info.
const (
	minContactDelay = 100 * time.Millisecond
	maxContactDelay = 2 * time.Second
)

// contactDue reports whether a member of unknown Info is to be contacted now, and
// schedules the next contact.
func (m *member) contactDue(now time.Duration) bool {
	if now < m.nextContact {
		return false
	}
	m.contactDelay = min(max(2*m.contactDelay, minContactDelay), maxContactDelay)
	m.nextContact = now + m.contactDelay
	return true
}

func newMember(now time.Duration, address string) *member {
	m := &member{Member: Member{Info: Info{Address: address}}, addedAt: now}
	if a, err := netip.ParseAddrPort(address); err == nil {
		m.parsed = a
	}
	return m
}

// unreachable reports whether the member is silent or has left a heartbeat
// unanswered for answerTimeout.
func (m *member) unreachable(now time.Duration) bool {
	return m.Silent || m.unansweredSince > 0 && now-m.unansweredSince >= answerTimeout
}

// compareRank orders members by capacity, the highest first, then by address.
func compareRank(a, b *member) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), a.parsed.Compare(b.parsed), strings.Compare(a.Address, b.Address))
}
