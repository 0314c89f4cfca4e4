package fleet

import (
	"slices"
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

// Timing and size of the hub protocol.
const (
	// HeartbeatInterval is the time between two heartbeats to a hub. An
	// instance without a copy of the store sends them at
	// initialHeartbeatInterval.
	HeartbeatInterval        = 400 * time.Millisecond
	initialHeartbeatInterval = 50 * time.Millisecond
	// hubTimeout is the time without a reply after which a hub is replaced by
	// the next one.
	hubTimeout = 3 * HeartbeatInterval
	// memberTimeout is the time without a heartbeat after which a hub marks a
	// member silent.
	memberTimeout = 7 * HeartbeatInterval / 2
	// forgetTimeout is how long an unreachable instance is remembered.
	forgetTimeout = 10 * time.Minute
	// silentRetryInterval is the minimum time between two retries of the same
	// unreachable member.
	silentRetryInterval = 2 * time.Second
	// hubCount is the number of instances that read the store for the others.
	hubCount = 2
)

// Table is an instance's view of the members. Each instance sends heartbeats
// only to the hubs, the members with the lowest addresses, and fetches the list
// of members from them. A Table does no I/O, reads no clock and is not safe for
// concurrent use.
type Table struct {
	self    string
	members map[string]*member
	// version increases with every change of a member.
	version uint64
	// hubSince is when this instance became a hub; 0 while it is not one. A
	// failed write of the hub list sets it to the time of the failure.
	hubSince time.Duration
}

type member struct {
	Member
	// infoKnown is set once the member's Info is known.
	infoKnown bool
	// changedVersion is the table's version at the member's last change.
	changedVersion uint64
	// lastHeard is when the member last sent a heartbeat or sync itself.
	lastHeard time.Duration
	// unansweredSince is when the first heartbeat was sent to the member that
	// it has not answered; 0 for none.
	unansweredSince time.Duration
	// lastRetry is when the member was last retried while unreachable,
	// silentSince when it became unreachable; 0 for never.
	lastRetry, silentSince time.Duration
}

// NewTable returns a Table that holds this instance and the seed addresses.
func NewTable(self Info, seeds []string) *Table {
	t := &Table{self: self.Address, members: map[string]*member{}, version: 1}
	t.members[self.Address] = &member{Member: Member{Info: self}, infoKnown: true, changedVersion: 1}
	t.AddSeeds(seeds)
	return t
}

// AddSeeds adds addresses to contact as possible instances.
func (t *Table) AddSeeds(addresses []string) {
	for _, a := range addresses {
		if t.members[a] == nil {
			t.members[a] = &member{Member: Member{Info: Info{Address: a}}}
		}
	}
}

// Version returns the version of the member list.
func (t *Table) Version() uint64 { return t.version }

// markChanged assigns the next version to m.
func (t *Table) markChanged(m *member) {
	t.version++
	m.changedVersion = t.version
}

// SetSelf sets this instance's state.
func (t *Table) SetSelf(s State) {
	m := t.members[t.self]
	if m.State != s {
		m.State = s
		t.markChanged(m)
	}
}

// ReceiveHeartbeat records a heartbeat. It returns false if the Info of the
// sender's incarnation is not known and must be fetched.
func (t *Table) ReceiveHeartbeat(now time.Duration, from string, incarnation uint64, s State) bool {
	m := t.members[from]
	if m == nil || !m.infoKnown || m.Incarnation != incarnation {
		if m != nil {
			m.lastHeard, m.unansweredSince = now, 0
		}
		return false
	}
	m.lastHeard, m.unansweredSince = now, 0
	if m.Silent || s.Count > m.Count {
		m.Silent = false
		if s.Count > m.Count {
			m.State = s
		}
		t.markChanged(m)
	}
	return true
}

// UpdateMember records the Info and State that an instance sent about itself.
func (t *Table) UpdateMember(now time.Duration, i Info, s State) {
	if i.Address == t.self {
		return
	}
	m := t.members[i.Address]
	if m == nil {
		m = &member{}
		t.members[i.Address] = m
	}
	m.lastHeard, m.unansweredSince = now, 0
	if reported := (Member{Info: i, State: s}); !m.infoKnown || m.Member != reported {
		m.Member, m.infoKnown = reported, true
		t.markChanged(m)
	}
}

// MergeMembers merges a member list received from a hub. Newer state that a
// member sent itself is kept.
func (t *Table) MergeMembers(now time.Duration, list []Member) {
	for _, l := range list {
		if l.Address == t.self {
			continue
		}
		m := t.members[l.Address]
		switch {
		case m == nil:
			m = &member{}
			t.members[l.Address] = m
		case m.infoKnown && m.Incarnation == l.Incarnation && m.Count > l.Count:
			continue
		case m.infoKnown && m.Incarnation != l.Incarnation && m.lastHeard > 0 && now-m.lastHeard < hubTimeout:
			continue // heard directly; clocks may have stepped, so incarnations have no order
		case m.infoKnown && m.Member == l:
			continue
		case l.Silent && now-m.lastHeard < hubTimeout && m.lastHeard > 0:
			continue
		}
		m.Member, m.infoKnown = l, true
		t.markChanged(m)
	}
}

// ChangedSince returns the members that changed after a version of this list.
func (t *Table) ChangedSince(version uint64) []Member {
	var out []Member
	for _, m := range t.members {
		if m.infoKnown && m.changedVersion > version {
			out = append(out, m.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Address, b.Address) })
	return out
}

// Live returns the members that are not silent, this instance included.
func (t *Table) Live() []Member {
	var out []Member
	for _, m := range t.members {
		if m.infoKnown && !m.Silent {
			out = append(out, m.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Address, b.Address) })
	return out
}

// Hubs returns the addresses of the members that read the store, which may
// include this instance. Members that are blind, leaving or of unknown Info are
// used only if there are too few others.
func (t *Table) Hubs(now time.Duration) []string {
	var preferred, fallback []string
	for a, m := range t.members {
		switch {
		case a != t.self && m.unreachable(now):
		case m.Blind || m.Leaving || !m.infoKnown:
			fallback = append(fallback, a)
		default:
			preferred = append(preferred, a)
		}
	}
	slices.Sort(preferred)
	slices.Sort(fallback)
	all := append(preferred, fallback...)
	return all[:min(len(all), hubCount)]
}

// HubRank returns this instance's place among the hubs, or -1. It also tracks
// since when this instance is a hub.
func (t *Table) HubRank(now time.Duration) int {
	rank := slices.Index(t.Hubs(now), t.self)
	if rank < 0 {
		t.hubSince = 0
	} else if t.hubSince == 0 {
		t.hubSince = now
	}
	return rank
}

// Relay returns the address of the member that fetches changes for this
// instance's data centre, so that each change is transferred to it once. It is
// the lowest address among this instance and the members of its data centre that
// are reachable and not leaving.
func (t *Table) Relay(now time.Duration) string {
	relay := t.self
	for a, m := range t.members {
		if a < relay && t.sameDataCentre(a) && !m.Leaving && !m.unreachable(now) {
			relay = a
		}
	}
	return relay
}

// sameDataCentre reports whether a member is known to be in this instance's
// data centre.
func (t *Table) sameDataCentre(address string) bool {
	return t.hasInfo(address) && t.members[address].DataCentre == t.members[t.self].DataCentre
}

// hasInfo reports whether the Info of the member at address is known.
func (t *Table) hasInfo(address string) bool {
	m := t.members[address]
	return m != nil && m.infoKnown
}

// unreachable reports whether the member is silent or has left a heartbeat
// unanswered for hubTimeout.
func (m *member) unreachable(now time.Duration) bool {
	return m.Silent || m.unansweredSince > 0 && now-m.unansweredSince >= hubTimeout
}

// Tick marks members silent whose heartbeats have timed out, if this instance
// has been a hub for memberTimeout: a new hub has not yet received heartbeats of
// all members. It returns the addresses to send heartbeats to: the hubs, members
// of unknown Info (such as seeds) without an unanswered heartbeat, and at times an
// unreachable member.
func (t *Table) Tick(now time.Duration) []string {
	hub := t.HubRank(now) >= 0 && now-t.hubSince >= memberTimeout
	var to []string
	for a, m := range t.members {
		if a == t.self {
			continue
		}
		if hub && m.infoKnown && !m.Silent && now-m.lastHeard >= memberTimeout {
			m.Silent = true
			t.markChanged(m)
		}
		if t.expired(now, m) {
			delete(t.members, a)
			continue
		}
		if !m.infoKnown && m.unansweredSince == 0 {
			to = append(to, a)
		}
	}
	to = append(to, t.Hubs(now)...)
	if a := t.nextSilentRetry(now); a != "" {
		to = append(to, a)
	}
	slices.Sort(to)
	to = slices.Compact(to)
	to = slices.DeleteFunc(to, func(a string) bool { return a == t.self })
	for _, a := range to {
		if m := t.members[a]; m.unansweredSince == 0 {
			m.unansweredSince = now
		}
	}
	return to
}

// expired reports whether a member has been unreachable for so long that it is
// removed.
func (t *Table) expired(now time.Duration, m *member) bool {
	if !m.unreachable(now) {
		m.silentSince = 0
		return false
	}
	if m.silentSince == 0 {
		m.silentSince = now
	}
	return now-m.silentSince >= forgetTimeout
}

// nextSilentRetry returns the unreachable member whose last retry is the oldest,
// or "" if none is due.
func (t *Table) nextSilentRetry(now time.Duration) string {
	var oldest *member
	for _, m := range t.members {
		if m.Address == t.self || !m.unreachable(now) {
			continue
		}
		if oldest == nil || m.lastRetry < oldest.lastRetry || m.lastRetry == oldest.lastRetry && m.Address < oldest.Address {
			oldest = m
		}
	}
	if oldest == nil || now-oldest.lastRetry < silentRetryInterval {
		return ""
	}
	oldest.lastRetry = now
	return oldest.Address
}
