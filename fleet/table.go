package fleet

import (
	"slices"
	"strings"
	"time"
)

// Info is what an instance says of itself once.
type Info struct {
	// Address is the instance's address for its peers, IP and port.
	Address     string
	DataAddress string
	DataCentre  string
	Region      string
	// Incarnation identifies the process.
	Incarnation uint64
}

// State is what an instance says of itself as it changes.
type State struct {
	Ready   bool
	Leaving bool
	// Blind instances can't read the store themselves.
	Blind bool
	// Count orders the states of an incarnation.
	Count uint32
}

// Member is an instance as the fleet sees it.
type Member struct {
	Info
	State
	// Silent instances were not heard for a while.
	Silent bool
}

// Times of a Table.
const (
	// BeatInterval is the time between two beats to a hub; an instance that
	// holds no copy of the store yet asks each firstBeatInterval.
	BeatInterval      = 400 * time.Millisecond
	firstBeatInterval = 50 * time.Millisecond
	// hubSilence is the silence of a hub after which the next is taken.
	hubSilence = 3 * BeatInterval
	// memberSilence is the silence after which a hub gives a member up.
	memberSilence = 7 * BeatInterval / 2
	// forgetAfter is when an instance that is silent is forgotten.
	forgetAfter = 10 * time.Minute
	// reviveInterval is the time between two beats to a hub that is silent.
	reviveInterval = 2 * time.Second
	// hubCount instances read the store for the others.
	hubCount = 2
)

// Table is an instance's view of the fleet. Each instance beats to the hubs
// alone, the members with the lowest addresses; hubs tell what they hear. It
// does no I/O, reads no clock and is not safe for concurrent use.
type Table struct {
	self    string
	members map[string]*member
	// version rises with every change of a member.
	version uint64
	// hubSince is when this instance became a hub; 0 while it is none.
	hubSince time.Duration
}

type member struct {
	Member
	// introduced is set once the member's Info is known.
	introduced bool
	// changed is the table's version of the last change.
	changed uint64
	// heard is when the member was last heard directly.
	heard time.Duration
	// asked is the first beat to it that was not answered; 0 for none.
	asked time.Duration
	// revived is the last beat to it while it was silent, silentSince when
	// that began; 0 for not.
	revived, silentSince time.Duration
}

// NewTable returns a view that holds this instance and the addresses of seeds.
func NewTable(self Info, seeds []string) *Table {
	t := &Table{self: self.Address, members: map[string]*member{}, version: 1}
	t.members[self.Address] = &member{Member: Member{Info: self}, introduced: true, changed: 1}
	t.Seed(seeds)
	return t
}

// Seed adds addresses at which instances may be.
func (t *Table) Seed(addresses []string) {
	for _, a := range addresses {
		if t.members[a] == nil {
			t.members[a] = &member{Member: Member{Info: Info{Address: a}}}
		}
	}
}

// Version identifies the list of members.
func (t *Table) Version() uint64 { return t.version }

func (t *Table) touch(m *member) {
	t.version++
	m.changed = t.version
}

// SetSelf takes this instance's own state.
func (t *Table) SetSelf(s State) {
	m := t.members[t.self]
	if m.State != s {
		m.State = s
		t.touch(m)
	}
}

// Heard takes a direct sign of life. It returns false where the sender's Info
// is not known and must be asked for.
func (t *Table) Heard(now time.Duration, from string, incarnation uint64, s State) bool {
	m := t.members[from]
	if m == nil || !m.introduced || m.Incarnation != incarnation {
		if m != nil {
			m.heard, m.asked = now, 0
		}
		return false
	}
	m.heard, m.asked = now, 0
	if m.Silent || s.Count > m.Count {
		m.Silent = false
		if s.Count > m.Count {
			m.State = s
		}
		t.touch(m)
	}
	return true
}

// Introduce takes an instance's word about itself.
func (t *Table) Introduce(now time.Duration, i Info, s State) {
	if i.Address == t.self {
		return
	}
	m := t.members[i.Address]
	if m == nil {
		m = &member{}
		t.members[i.Address] = m
	}
	m.heard, m.asked = now, 0
	if told := (Member{Info: i, State: s}); !m.introduced || m.Member != told {
		m.Member, m.introduced = told, true
		t.touch(m)
	}
}

// Learn takes a hub's list. A member's own newer word stays.
func (t *Table) Learn(now time.Duration, list []Member) {
	for _, l := range list {
		if l.Address == t.self {
			continue
		}
		m := t.members[l.Address]
		switch {
		case m == nil:
			m = &member{}
			t.members[l.Address] = m
		case m.introduced && m.Incarnation == l.Incarnation && m.Count > l.Count:
			continue
		case m.introduced && m.Incarnation != l.Incarnation && m.heard > 0 && now-m.heard < hubSilence:
			continue // heard itself; clocks may have stepped, so neither is known to be the later
		case m.introduced && m.Member == l:
			continue
		case l.Silent && now-m.heard < hubSilence && m.heard > 0:
			continue
		}
		m.Member, m.introduced = l, true
		t.touch(m)
	}
}

// Since returns the members that changed after a version of this list.
func (t *Table) Since(version uint64) []Member {
	var out []Member
	for _, m := range t.members {
		if m.introduced && m.changed > version {
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
		if m.introduced && !m.Silent {
			out = append(out, m.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Address, b.Address) })
	return out
}

// Hubs returns the addresses of the members that read the store, this
// instance perhaps among them. Those that can't are taken only where there is
// no other.
func (t *Table) Hubs(now time.Duration) []string {
	var good, poor []string
	for a, m := range t.members {
		switch {
		case a != t.self && m.lost(now):
		case m.Blind || m.Leaving || !m.introduced:
			poor = append(poor, a)
		default:
			good = append(good, a)
		}
	}
	slices.Sort(good)
	slices.Sort(poor)
	all := append(good, poor...)
	return all[:min(len(all), hubCount)]
}

// Rank returns this instance's place among the hubs, or -1.
func (t *Table) Rank(now time.Duration) int {
	rank := slices.Index(t.Hubs(now), t.self)
	if rank < 0 {
		t.hubSince = 0
	} else if t.hubSince == 0 {
		t.hubSince = now
	}
	return rank
}

// Relay returns the address of the member that fetches changes for this
// instance's data centre, so that each crosses to it once: the lowest address
// of those that live there, this instance's perhaps.
func (t *Table) Relay(now time.Duration) string {
	relay := t.self
	for a, m := range t.members {
		if a < relay && t.near(a) && !m.Leaving && !m.lost(now) {
			relay = a
		}
	}
	return relay
}

// near tells whether a member is known to be in this instance's data centre.
func (t *Table) near(address string) bool {
	return t.knows(address) && t.members[address].DataCentre == t.members[t.self].DataCentre
}

// knows tells whether a member's own word about itself was taken.
func (t *Table) knows(address string) bool {
	m := t.members[address]
	return m != nil && m.introduced
}

// lost tells whether the member gives no sign of life.
func (m *member) lost(now time.Duration) bool {
	return m.Silent || m.asked > 0 && now-m.asked >= hubSilence
}

// Tick gives up the members that this instance, as a hub, no longer hears, and
// returns the addresses to beat to: the hubs, the seeds while they are not
// known, and at times one that is silent.
func (t *Table) Tick(now time.Duration) []string {
	hub := t.Rank(now) >= 0 && now-t.hubSince >= memberSilence
	var to []string
	for a, m := range t.members {
		if a == t.self {
			continue
		}
		if hub && m.introduced && !m.Silent && now-m.heard >= memberSilence {
			m.Silent = true
			t.touch(m)
		}
		if t.forget(now, m) {
			delete(t.members, a)
			continue
		}
		if !m.introduced && m.asked == 0 {
			to = append(to, a)
		}
	}
	to = append(to, t.Hubs(now)...)
	if a := t.revival(now); a != "" {
		to = append(to, a)
	}
	slices.Sort(to)
	to = slices.Compact(to)
	to = slices.DeleteFunc(to, func(a string) bool { return a == t.self })
	for _, a := range to {
		if m := t.members[a]; m.asked == 0 {
			m.asked = now
		}
	}
	return to
}

// forget tells whether a member was silent for so long that it is not asked
// again.
func (t *Table) forget(now time.Duration, m *member) bool {
	if !m.lost(now) {
		m.silentSince = 0
		return false
	}
	if m.silentSince == 0 {
		m.silentSince = now
	}
	return now-m.silentSince >= forgetAfter
}

// revival returns a silent member to try again, the one that waited longest.
func (t *Table) revival(now time.Duration) string {
	var oldest *member
	for _, m := range t.members {
		if m.Address == t.self || !m.lost(now) {
			continue
		}
		if oldest == nil || m.revived < oldest.revived || m.revived == oldest.revived && m.Address < oldest.Address {
			oldest = m
		}
	}
	if oldest == nil || now-oldest.revived < reviveInterval {
		return ""
	}
	oldest.revived = now
	return oldest.Address
}
