// Package membership detects which instances are live and which are leaving.
// Agents exchange heartbeats with a fixed number of peers per round; the
// platform's list of instances may lag and only provides addresses to contact.
// The protocol is a gossip protocol with heartbeat counters after van Renesse,
// Minsky and Hayden, "A gossip-style failure detection service" (1998), with
// bounded messages. A Table does no I/O and reads no clock.
package membership

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// Timing of the protocol.
const (
	// RoundInterval is the time between two rounds of exchanges.
	RoundInterval = 500 * time.Millisecond
	// HeartbeatInterval is the time between two periodic heartbeats of an
	// instance. With many instances the interval is their number times
	// heartbeatIntervalPerInstance, if that is longer. A change of state that
	// is pushed to peers issues a heartbeat at once.
	HeartbeatInterval            = time.Second
	heartbeatIntervalPerInstance = 12500 * time.Microsecond
	// SilenceLimit is the age of the newest heartbeat at which an instance
	// is marked silent.
	SilenceLimit = 8 * time.Second
	// staleAge is the heartbeat age at which newer heartbeats are requested.
	staleAge = 3 * time.Second
	// suspectAge is the heartbeat age at which an instance is contacted
	// directly.
	suspectAge = 5 * time.Second
	// forgetAge is how long a silent instance's address is remembered.
	forgetAge = 3 * time.Hour
	// pauseLimit is the minimum gap between two ticks that counts as a pause
	// of this process.
	pauseLimit = time.Second
	// lateLimit is the time after a pause during which messages are discarded,
	// since they may have been buffered during the pause.
	lateLimit = time.Second
	// pauseGrace is the time after a pause during which no instance is marked
	// silent.
	pauseGrace = 4 * time.Second
)

const (
	// maxMembers bounds the other instances in a Table.
	maxMembers = 1024
	// maxSends bounds how often an instance forwards the same heartbeat.
	maxSends = 3
	// maxInfoSends is how often a changed Info is sent without a request.
	maxInfoSends = 12
)

// Counts holds the events of a Table since its creation.
type Counts struct {
	// Silent counts instances dropped because of silence, Leaving those that
	// announced that they are leaving.
	Silent, Leaving int64
	// Returned counts silent instances with a new recent heartbeat.
	Returned int64
	// Outdated counts heartbeats that were not newer than the known one.
	Outdated int64
	// Refuted counts heartbeats of this instance that it did not issue itself.
	Refuted int64
	// Full counts heartbeats of new instances refused because the Table was
	// full.
	Full int64
	// Mismatched counts Infos that match no known heartbeat.
	Mismatched int64
	// Malformed counts messages that violated a bound.
	Malformed int64
	// Late counts messages discarded because they may have been buffered during
	// a pause of this process.
	Late int64
	// Pauses counts pauses of this process.
	Pauses int64
}

type member struct {
	beat Beat
	// sentAt is when the newest heartbeat was issued, by the local clock.
	sentAt time.Duration
	sends  int
	from   Key // the peer that forwarded the newest heartbeat
	info   Info
	// infoAt is the time that info.Uptime refers to. infoKnown is set while
	// info matches beat.
	infoAt    time.Duration
	infoKnown bool
	silent    bool
	// contactedAt is when the member was last contacted as a suspect.
	contactedAt time.Duration
}

// Table is an agent's view of the instances. It is not safe for concurrent use.
type Table struct {
	self     Beat
	info     Info
	infoAt   time.Duration
	infoSent int
	// peerAddress is the parsed info.PeerAddress.
	peerAddress netip.AddrPort
	heartbeatAt time.Duration
	members     map[Key]*member
	seeds       map[string]Key // peer addresses of the platform's list, with the instances' keys
	rng         *rand.Rand
	rounds      rounds
	lastTick    time.Duration
	graceEnd    time.Duration // end of pauseGrace
	lateEnd     time.Duration // end of lateLimit
	counts      Counts
}

// New returns the Table of the instance described by info. The addresses in info
// must be valid. The incarnation must be higher than those of earlier runs; the
// wall-clock time in milliseconds is suitable.
func New(info Info, incarnation, seed uint64) *Table {
	info.Incarnation, info.Version = incarnation, 1
	addr, _ := netip.ParseAddrPort(info.PeerAddress)
	return &Table{
		peerAddress: addr,
		self:        Beat{Key: KeyOf(info.ID), Incarnation: incarnation, Count: 1, Version: 1},
		info:        info, members: map[Key]*member{}, seeds: map[string]Key{},
		rng: rand.New(rand.NewPCG(seed, incarnation)), rounds: rounds{inFlight: map[string]time.Duration{}},
	}
}

// Counts returns the current counts.
func (t *Table) Counts() Counts { return t.counts }

// State is the state of an agent's entry.
type State struct {
	Entry    uint64
	Uptime   time.Duration
	Revision uint64
	Spare    float64 // between 0 and 1
	Ready    bool
	Leaving  bool
	Store    bool
}

// SetState updates the state of this instance's entry. A change of Entry, Ready
// or Leaving is pushed to several peers in the next Tick.
func (t *Table) SetState(now time.Duration, s State) {
	b := t.self
	b.Revision, b.Ready, b.Leaving, b.Store = s.Revision, s.Ready, s.Leaving, s.Store
	b.Spare = quantiseSpare(s.Spare, b.Spare)
	urgent := b.Ready != t.self.Ready || b.Leaving != t.self.Leaving
	if s.Entry != t.info.Entry {
		b.Version++
		t.info.Version, t.info.Entry, t.infoSent = b.Version, s.Entry, 0
		urgent = true
	}
	t.info.Uptime, t.infoAt = s.Uptime, now
	t.self = b
	if urgent {
		t.incrementHeartbeat(now)
		t.Push()
	}
}

// quantiseSpare rounds spare capacity to a step. It keeps the old step for
// changes below three quarters of a step.
func quantiseSpare(spare float64, old uint8) uint8 {
	v := max(0, min(spare, 1)) * MaxSpare
	if d := v - float64(old); d > -0.75 && d < 0.75 {
		return old
	}
	return uint8(v + 0.5)
}

// incrementHeartbeat issues a new heartbeat of this instance.
func (t *Table) incrementHeartbeat(now time.Duration) {
	t.self.Count++
	t.heartbeatAt = now
}

// SetSeeds replaces the addresses known from the platform's list. They are used
// only to contact peers.
func (t *Table) SetSeeds(peers []Seed) {
	clear(t.seeds)
	for _, p := range peers {
		if p.Address != t.info.PeerAddress && len(t.seeds) < maxMembers {
			t.seeds[p.Address] = KeyOf(p.ID)
		}
	}
}

// Seed is an instance on the platform's list.
type Seed struct {
	ID      string
	Address string
}

// Receive merges a message. It returns a *MalformedError if the message violates
// a bound.
func (t *Table) Receive(now time.Duration, m *Message) error {
	if err := m.Check(); err != nil {
		t.counts.Malformed++
		return err
	}
	if t.Late(now) {
		t.counts.Late++
		return nil // its heartbeats may be older than their Age
	}
	from := m.Beats[0].Key
	for _, b := range m.Beats {
		t.mergeBeat(now, b, from)
	}
	for _, i := range m.Infos {
		t.mergeInfo(now, i)
	}
	if t.liveAddress(from) == "" && len(t.rounds.unknownPeers) < maxUnknownPeers {
		t.rounds.unknownPeers = append(t.rounds.unknownPeers, m.Address.String())
	}
	return nil
}

// Late reports whether this process stood still until lately, so that what it receives now may
// have waited for it.
func (t *Table) Late(now time.Duration) bool {
	return now-t.lastTick >= pauseLimit || now < t.lateEnd
}

// mergeBeat merges a heartbeat received from the peer with key from.
func (t *Table) mergeBeat(now time.Duration, b Beat, from Key) {
	if b.Key == t.self.Key {
		t.refute(now, b)
		return
	}
	m := t.members[b.Key]
	if m == nil {
		if b.Age >= SilenceLimit {
			return
		}
		if m = t.add(now, b); m == nil {
			return
		}
	} else if !b.newer(m.beat) {
		t.counts.Outdated++
		return
	}
	if b.Incarnation != m.beat.Incarnation || b.Version != m.beat.Version {
		m.infoKnown = m.infoKnown && b.Incarnation == m.info.Incarnation && b.Version == m.info.Version
	}
	if b.Leaving && !m.beat.Leaving {
		t.counts.Leaving++
	}
	m.beat, m.sends, m.from = b, 0, from
	m.sentAt = max(m.sentAt, now-b.Age)
	if m.silent && now-m.sentAt < SilenceLimit {
		m.silent = false
		t.counts.Returned++
	}
}

// refute supersedes a heartbeat of this instance that it did not issue, from an
// earlier run with a clock that was ahead, by a higher incarnation.
func (t *Table) refute(now time.Duration, b Beat) {
	if !b.newer(t.self) {
		return
	}
	t.counts.Refuted++
	t.self.Incarnation = b.Incarnation + 1
	t.info.Incarnation, t.infoSent = t.self.Incarnation, 0
	t.incrementHeartbeat(now)
}

// add adds a member for b. It returns nil if the Table is full of live instances.
func (t *Table) add(now time.Duration, b Beat) *member {
	if len(t.members) >= maxMembers && !t.evict(now) {
		t.counts.Full++
		return nil
	}
	m := &member{beat: Beat{Key: b.Key}, sentAt: now - b.Age, contactedAt: -time.Hour}
	t.members[b.Key] = m
	return m
}

// evict removes the instance that has been silent the longest. It returns false
// if none is silent.
func (t *Table) evict(now time.Duration) bool {
	var oldest *member
	for _, m := range t.members {
		if m.silent && (oldest == nil || m.sentAt < oldest.sentAt || m.sentAt == oldest.sentAt && m.beat.Key < oldest.beat.Key) {
			oldest = m
		}
	}
	if oldest == nil {
		return false
	}
	delete(t.members, oldest.beat.Key)
	return true
}

// mergeInfo stores an Info that matches the member's heartbeat.
func (t *Table) mergeInfo(now time.Duration, i Info) {
	m := t.members[KeyOf(i.ID)]
	if m == nil || i.Incarnation != m.beat.Incarnation || i.Version != m.beat.Version || m.infoKnown && m.info.ID != i.ID {
		if i.ID != t.info.ID {
			t.counts.Mismatched++
		}
		return
	}
	if m.infoKnown && i.Uptime < m.info.Uptime+(now-m.infoAt) {
		return // an older report of the same uptime
	}
	m.info, m.infoAt, m.infoKnown = i, now, true
}

// Request returns the message that begins an exchange with the peer at address.
func (t *Table) Request(now time.Duration, address string) Message {
	out := t.newMessage(now, t.keyAt(address), nil, nil)
	out.Want, out.Stale = t.missingInfoKeys(now), t.staleKeys(now)
	return out
}

// Reply returns the reply to a peer's request.
func (t *Table) Reply(now time.Duration, request *Message) Message {
	return t.newMessage(now, request.Beats[0].Key, request.Want, request.Stale)
}

// newMessage returns a message to the peer with key to: heartbeats, this
// instance's Info while it is new or wanted, and the other wanted Infos.
func (t *Table) newMessage(now time.Duration, to Key, want, stale []Key) Message {
	out := Message{Address: t.peerAddress, Beats: t.selectBeats(now, to, stale)}
	if t.infoSent < maxInfoSends || slices.Contains(want, t.self.Key) {
		t.infoSent++
		out.Infos = append(out.Infos, t.selfInfo(now))
	}
	for _, k := range want {
		if m := t.members[k]; m != nil && m.infoKnown && len(out.Infos) < MaxInfos {
			i := m.info
			i.Uptime += now - m.infoAt
			out.Infos = append(out.Infos, i)
		}
	}
	return out
}

// keyAt returns the key of the contact at address; 0 for none.
func (t *Table) keyAt(address string) Key {
	for _, k := range t.rounds.contacts {
		if t.liveAddress(k) == address {
			return k
		}
	}
	return 0
}

// selfInfo returns this instance's Info with the current uptime.
func (t *Table) selfInfo(now time.Duration) Info {
	i := t.info
	i.Uptime += now - t.infoAt
	return i
}

// selectBeats returns this instance's heartbeat and then, up to MaxBeats, those
// forwarded the fewest times, the youngest first. Heartbeats that the receiver
// requested are included with a forward count of 0 if they are younger than
// staleAge. Other heartbeats of the receiver or received from it are left out.
func (t *Table) selectBeats(now time.Duration, to Key, stale []Key) Beats {
	var due []*member
	for k, m := range t.members {
		fresh := now-m.sentAt < staleAge && slices.Contains(stale, k)
		if fresh {
			m.sends = 0
		}
		if fresh || k != to && m.from != to && m.sends < maxSends && now-m.sentAt < SilenceLimit {
			due = append(due, m)
		}
	}
	slices.SortFunc(due, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.sends, b.sends), cmp.Compare(b.sentAt, a.sentAt), cmp.Compare(a.beat.Key, b.beat.Key))
	})
	own := t.self
	own.Age = now - t.heartbeatAt
	out := Beats{own}
	for _, m := range due[:min(len(due), MaxBeats-1)] {
		m.sends++
		b := m.beat
		b.Age = now - m.sentAt
		out = append(out, b)
	}
	return out
}

// staleKeys returns the keys of the live instances with the oldest heartbeats of
// at least staleAge.
func (t *Table) staleKeys(now time.Duration) []Key {
	var old []*member
	for _, m := range t.members {
		if !m.silent && now-m.sentAt >= staleAge {
			old = append(old, m)
		}
	}
	slices.SortFunc(old, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.sentAt, b.sentAt), cmp.Compare(a.beat.Key, b.beat.Key))
	})
	var out []Key
	for _, m := range old[:min(len(old), maxStale)] {
		out = append(out, m.beat.Key)
	}
	return out
}

// missingInfoKeys returns random keys of instances with a recent heartbeat and
// unknown Info.
func (t *Table) missingInfoKeys(now time.Duration) []Key {
	var out []Key
	for k, m := range t.members {
		if !m.infoKnown && now-m.sentAt < SilenceLimit {
			out = append(out, k)
		}
	}
	slices.Sort(out)
	t.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), MaxInfos)]
}
