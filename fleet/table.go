package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Timing of the membership protocol.
const (
	// HeartbeatInterval is the time between two heartbeats to a leader or hub.
	// An instance without a copy of the store sends them at
	// initialHeartbeatInterval.
	HeartbeatInterval        = 400 * time.Millisecond
	initialHeartbeatInterval = 100 * time.Millisecond
	// answerTimeout is the time without an answer after which a leader or hub
	// is replaced by the next one.
	answerTimeout = 3 * HeartbeatInterval
	// memberTimeout is the time without a heartbeat after which a leader or hub
	// marks a member silent.
	memberTimeout = 7 * HeartbeatInterval / 2
	// forgetTimeout is how long an unreachable instance of the same data centre
	// is remembered, foreignTimeout how long an instance of another data centre
	// that is not a leader there is.
	forgetTimeout  = 10 * time.Minute
	foreignTimeout = 3 * time.Second
	// silentRetryInterval is the minimum time between two retries of the same
	// unreachable member.
	silentRetryInterval = 2 * time.Second
)

// Table is an instance's view of the members: all instances of its own data
// centre, the leaders of the others, and a Summary of each other data centre.
// Each instance sends heartbeats to the leaders of its data centre and fetches
// the list of members from them; leaders do the same with the hubs. A Table does
// no I/O, reads no clock and is not safe for concurrent use.
type Table struct {
	self      string
	seeds     []string
	members   map[string]*member
	summaries map[string]*summaryEntry
	// version increases with every change of a member or summary.
	version uint64
	// hubSince is when this instance became a hub; 0 while it is not one. A
	// failed write of the directory sets it to the time of the failure.
	hubSince time.Duration

	// leaderSince is when this instance became a leader; 0 while it is not one.
	leaderSince time.Duration

	roles           roles
	rolesValid      bool
	rolesComputedAt time.Duration
	// leadersVersion increases with every change of the leaders of any data centre.
	leadersVersion uint64
}

// NewTable returns a Table that holds this instance and the seed addresses.
func NewTable(self Info, seeds []string) *Table {
	t := &Table{self: self.Address, seeds: seeds, members: map[string]*member{}, summaries: map[string]*summaryEntry{}, version: 1}
	m := newMember(0, self.Address)
	m.Member, m.infoKnown, m.changedVersion = Member{Info: self}, true, 1
	t.members[self.Address] = m
	t.AddSeeds(0, seeds)
	return t
}

// AddSeeds adds addresses to contact as possible instances.
func (t *Table) AddSeeds(now time.Duration, addresses []string) {
	for _, a := range addresses {
		t.memberAt(now, a)
	}
}

// memberAt returns the member at address and adds it if it is not known.
func (t *Table) memberAt(now time.Duration, address string) *member {
	m := t.members[address]
	if m == nil {
		m = newMember(now, address)
		t.members[address] = m
		t.rolesValid = false
	}
	return m
}

// Version returns the version of the member list.
func (t *Table) Version() uint64 { return t.version }

// markChanged assigns the next version to m.
func (t *Table) markChanged(m *member) {
	t.version++
	m.changedVersion = t.version
	t.rolesValid = false
}

// SetSelf sets this instance's state.
func (t *Table) SetSelf(s State) {
	m := t.members[t.self]
	if m.State != s {
		m.State = s
		t.markChanged(m)
	}
}

// heard records that m sent something itself.
func (t *Table) heard(now time.Duration, m *member) {
	if m.unreachable(now) {
		t.rolesValid = false
	}
	m.lastHeard, m.unansweredSince = now, 0
}

// ReceiveHeartbeat records a heartbeat. It returns false if the Info of the
// sender's incarnation is not known and must be fetched.
func (t *Table) ReceiveHeartbeat(now time.Duration, from string, incarnation uint64, s State) bool {
	m := t.members[from]
	if m == nil {
		return false
	}
	t.heard(now, m)
	if !m.infoKnown || m.Incarnation != incarnation {
		return false
	}
	if m.Silent || s.Count > m.Count {
		m.Silent = false
		if s.Count > m.Count {
			m.State = s
		}
		t.markChanged(m)
	}
	return true
}

// receivedFrom returns the newest heartbeat of the member at address, or the zero value.
func (t *Table) receivedFrom(address string) (r receivedHeartbeat) {
	if m := t.members[address]; m != nil {
		r = m.received
	}
	return r
}

// ownTimeOf returns when the member at address made a heartbeat, as peerClock.ownTimeOf does.
func (t *Table) ownTimeOf(address string, b heartbeat, elapsed time.Duration) (at time.Duration, ok bool) {
	m := t.members[address]
	if m == nil {
		return 0, false
	}
	return m.clock.ownTimeOf(b, elapsed)
}

// UpdateMember records the Info and State that an instance sent about itself.
func (t *Table) UpdateMember(now time.Duration, i Info, s State) {
	if i.Address == t.self {
		return
	}
	m := t.memberAt(now, i.Address)
	t.heard(now, m)
	if reported := (Member{Info: i, State: s}); !m.infoKnown || m.Member != reported {
		m.Member, m.infoKnown = reported, true
		t.markChanged(m)
	}
}

// MergeMembers merges a member list received from an instance of the given data
// centre. Newer state that a member sent itself is kept.
func (t *Table) MergeMembers(now time.Duration, list []Member, sender string) {
	own := t.members[t.self].DataCentre
	for _, l := range list {
		m := t.members[l.Address]
		switch {
		case l.Address == t.self:
			continue
		case m == nil && l.Silent && l.DataCentre != own:
			continue // only matters to those that knew it
		case m != nil && m.infoKnown && l.DataCentre == own && sender != own:
			continue // this data centre's leaders know better
		}
		if t.acceptsFromList(now, m, l) {
			m := t.memberAt(now, l.Address)
			m.Member, m.infoKnown = l, true
			t.markChanged(m)
		}
	}
}

// acceptsFromList reports whether l, received in a list, replaces the known
// member m, which is nil if there is none.
func (t *Table) acceptsFromList(now time.Duration, m *member, l Member) bool {
	if m == nil || !m.infoKnown {
		return true
	}
	heardLately := m.lastHeard > 0 && now-m.lastHeard < answerTimeout
	switch {
	case m.Member == l:
		return false
	case m.Incarnation == l.Incarnation && m.Count > l.Count:
		return false
	case m.Incarnation != l.Incarnation && heardLately:
		return false // clocks may have stepped, so incarnations have no order
	}
	return !l.Silent || !heardLately
}

// ChangedSince returns the members that changed after a version of this list, as
// far as an instance of the given data centre needs them: the members of its own
// data centre and the leaders of all, and which of those are silent now.
func (t *Table) ChangedSince(now time.Duration, version uint64, dataCentre string) []Member {
	roles := t.rolesAt(now)
	var out []Member
	for _, m := range t.members {
		if !m.infoKnown || m.changedVersion <= version {
			continue
		}
		if m.DataCentre == dataCentre || m.Silent || slices.Contains(roles.leaders[m.DataCentre], m.Address) {
			out = append(out, m.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Address, b.Address) })
	return out
}

// sameDataCentre reports whether a member is known to be in this instance's
// data centre.
func (t *Table) sameDataCentre(address string) bool {
	m := t.members[address]
	return m != nil && m.infoKnown && m.DataCentre == t.members[t.self].DataCentre
}

// sizeOf returns the number of live members of a data centre that are known.
func (t *Table) sizeOf(dataCentre string) int {
	n := 0
	for _, m := range t.members {
		if m.infoKnown && !m.Silent && m.DataCentre == dataCentre {
			n++
		}
	}
	return n
}

// hasInfo reports whether the Info of the member at address is known.
func (t *Table) hasInfo(address string) bool {
	m := t.members[address]
	return m != nil && m.infoKnown
}

// isolated reports whether no other member is known to be reachable.
func (t *Table) isolated(now time.Duration) bool {
	for a, m := range t.members {
		if a != t.self && m.infoKnown && !m.unreachable(now) {
			return false
		}
	}
	return true
}

// Tick removes expired members, marks those silent whose heartbeats have timed
// out and updates the summaries. It returns the addresses to send heartbeats to:
// the leaders, for a leader or hub the hubs, members of unknown Info (such as
// seeds) at growing intervals, and at times an unreachable member.
func (t *Table) Tick(now time.Duration) []string {
	if t.isolated(now) {
		t.AddSeeds(now, t.seeds)
	}
	t.markSilent(now)
	t.removeExpired(now)
	t.updateSummaries(now)
	to := append([]string(nil), t.Leaders(now)...)
	if t.IsLeader(now) || t.HubRank(now) >= 0 {
		to = append(to, t.Hubs(now)...)
	}
	for a, m := range t.members {
		if !m.infoKnown && m.contactDue(now) {
			to = append(to, a)
		}
	}
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

// resume forgets for how long other members have said nothing, after this instance stood still
// for a time: what they sent is not read yet. Those that were unreachable before remain so.
func (t *Table) resume(now, stoodStill time.Duration) {
	if t.leaderSince > 0 {
		t.leaderSince = now
	}
	if t.hubSince > 0 {
		t.hubSince = now
	}
	for _, m := range t.members {
		if m.unansweredSince > 0 && !m.unreachable(now-stoodStill) {
			m.unansweredSince = now
		}
	}
	t.rolesValid = false
}

// markSilent marks members silent that should send heartbeats to this instance
// and do not: members of its data centre once it has been a leader for
// memberTimeout, and leaders of other data centres once it has been a hub for as
// long. A new leader or hub has not yet received heartbeats of all members.
func (t *Table) markSilent(now time.Duration) {
	if !t.IsLeader(now) {
		t.leaderSince = 0
	} else if t.leaderSince == 0 {
		t.leaderSince = now
	}
	leader := t.leaderSince > 0 && now-t.leaderSince >= memberTimeout
	hub := t.HubRank(now) >= 0 && now-t.hubSince >= memberTimeout
	if !leader && !hub {
		return
	}
	for _, a := range sortedKeys(t.members) {
		m := t.members[a]
		if a == t.self || !m.infoKnown || m.Silent || now-max(m.lastHeard, m.addedAt) < memberTimeout {
			continue
		}
		if same := t.sameDataCentre(a); same && leader || !same && hub {
			m.Silent = true
			t.markChanged(m)
		}
	}
}

// removeExpired removes members that are no longer of use.
func (t *Table) removeExpired(now time.Duration) {
	var expired []string
	for a, m := range t.members {
		if a != t.self && t.expired(now, m) {
			expired = append(expired, a)
		}
	}
	for _, a := range expired {
		delete(t.members, a)
		t.rolesValid = false
	}
}

// sortedKeys returns the keys of m in order. It stands where the order of an iteration has an
// effect, so that the same events have the same effects.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// expired reports whether a member has been unreachable for forgetTimeout, or is
// an instance of another data centre that no longer sends heartbeats and is not a
// leader there.
func (t *Table) expired(now time.Duration, m *member) bool {
	if m.infoKnown && !t.sameDataCentre(m.Address) && now-max(m.lastHeard, m.addedAt) >= foreignTimeout &&
		!slices.Contains(t.rolesAt(now).leaders[m.DataCentre], m.Address) && !m.Silent {
		return true
	}
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
		if m.Address == t.self || !m.infoKnown || !m.unreachable(now) {
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
