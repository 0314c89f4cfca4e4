// Package membership knows which instances are live and which are leaving:
// agents exchange heartbeats with a fixed number of peers a round, and the
// platform's lagging list only seeds the peers to talk to. It is an
// epidemic protocol with heartbeat counters after van Renesse, Minsky and
// Hayden, "A gossip-style failure detection service" (1998), with bounded
// messages. A Table does no I/O and reads no clock.
package membership

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// Times of the exchange.
const (
	// RoundInterval is the time between two rounds of exchanges.
	RoundInterval = 500 * time.Millisecond
	// BeatInterval is the time between two heartbeats of an instance, in a
	// fleet that beatStep times its size does not exceed it.
	BeatInterval = time.Second
	beatStep     = 12500 * time.Microsecond
	// SilenceLimit is the age of the newest heartbeat at which an instance
	// is dropped.
	SilenceLimit = 8 * time.Second
	// staleAge is the age at which newer heartbeats are asked for.
	staleAge = 3 * time.Second
	// suspectAge is the age at which an instance is asked directly.
	suspectAge = 5 * time.Second
	// forgetAge is how long a silent instance's address is remembered.
	forgetAge = 3 * time.Hour
	// pauseLimit is the gap between two ticks that counts as a pause of
	// this process.
	pauseLimit = time.Second
	// lateLimit is the time after a pause in which messages that waited for
	// this process arrive.
	lateLimit = time.Second
	// pauseGrace is the time after a pause in which none is dropped.
	pauseGrace = 4 * time.Second
)

const (
	// maxMembers bounds the instances that a Table knows.
	maxMembers = 1024
	// maxSends bounds how often one heartbeat is passed on by one instance.
	maxSends = 3
	// infoSends is how often a changed Info is sent unasked.
	infoSends = 12
)

// Counts tells what a Table refused and dropped since it was made.
type Counts struct {
	// Silent counts instances dropped by silence, Left by their own word.
	Silent, Left int64
	// Returned counts dropped instances that were heard again.
	Returned int64
	// Old counts heartbeats that were not newer than known ones.
	Old int64
	// Refuted counts heartbeats in this instance's own name.
	Refuted int64
	// Full counts instances refused because the Table was full.
	Full int64
	// Mismatched counts Infos that fit no known heartbeat.
	Mismatched int64
	// Malformed counts messages that broke a bound.
	Malformed int64
	// Late counts messages that may have waited while this process paused.
	Late int64
	// Pauses counts pauses of this process.
	Pauses int64
}

type member struct {
	beat Beat
	// sent is when the newest heartbeat was sent, by this clock.
	sent  time.Duration
	sends int
	from  Key // the peer that told of the newest heartbeat
	info  Info
	// infoAt is when info.Uptime was right; known is set once info fits beat.
	infoAt time.Duration
	known  bool
	silent bool
	// asked is when this instance last began an exchange with it.
	asked time.Duration
}

// Table is one agent's view of the instances. It is not safe for concurrent
// use.
type Table struct {
	self      Beat
	info      Info
	infoAt    time.Duration
	infoSends int
	// peerAddress is info's, parsed.
	peerAddress netip.AddrPort
	raised      time.Duration
	members     map[Key]*member
	listed      map[string]Key // peer addresses of the platform's list
	rng         *rand.Rand
	rounds      rounds
	ticked      time.Duration
	graceEnd    time.Duration // none is dropped until then
	lateEnd     time.Duration // messages may have waited for this process until then
	counts      Counts
}

// New returns a Table of the instance that info describes, whose addresses
// were checked. Its incarnation
// must be above those of earlier runs; the time of day in milliseconds will do.
func New(info Info, incarnation, seed uint64) *Table {
	info.Incarnation, info.Version = incarnation, 1
	addr, _ := netip.ParseAddrPort(info.PeerAddress)
	return &Table{
		peerAddress: addr,
		self:        Beat{Key: KeyOf(info.ID), Incarnation: incarnation, Count: 1, Version: 1},
		info:        info, members: map[Key]*member{}, listed: map[string]Key{},
		rng: rand.New(rand.NewPCG(seed, incarnation)), rounds: rounds{busy: map[string]time.Duration{}},
	}
}

// Counts returns the counts so far.
func (t *Table) Counts() Counts { return t.counts }

// State is what an agent says about its own entry.
type State struct {
	Entry    uint64
	Uptime   time.Duration
	Revision uint64
	Spare    float64 // between 0 and 1
	Ready    bool
	Leaving  bool
	Store    bool
}

// Set states the own entry's state. A change that others must know soon is
// pushed in the next Tick.
func (t *Table) Set(now time.Duration, s State) {
	b := t.self
	b.Revision, b.Ready, b.Leaving, b.Store = s.Revision, s.Ready, s.Leaving, s.Store
	b.Spare = quantise(s.Spare, b.Spare)
	urgent := b.Ready != t.self.Ready || b.Leaving != t.self.Leaving
	if s.Entry != t.info.Entry {
		b.Version++
		t.info.Version, t.info.Entry, t.infoSends = b.Version, s.Entry, 0
		urgent = true
	}
	t.info.Uptime, t.infoAt = s.Uptime, now
	t.self = b
	if urgent {
		t.raise(now)
		t.Push()
	}
}

// quantise rounds spare capacity to a step, and keeps the old step for
// changes below one.
func quantise(spare float64, old uint8) uint8 {
	v := max(0, min(spare, 1)) * MaxSpare
	if d := v - float64(old); d > -0.75 && d < 0.75 {
		return old
	}
	return uint8(v + 0.5)
}

func (t *Table) raise(now time.Duration) {
	t.self.Count++
	t.raised = now
}

// Listed takes the platform's list. It only names peers to talk to.
func (t *Table) Listed(peers []Seed) {
	clear(t.listed)
	for _, p := range peers {
		if p.Address != t.info.PeerAddress && len(t.listed) < maxMembers {
			t.listed[p.Address] = KeyOf(p.ID)
		}
	}
}

// Seed is an instance of the platform's list.
type Seed struct {
	ID      string
	Address string
}

// Receive merges a message, and returns a *MalformedError for one that breaks
// a bound.
func (t *Table) Receive(now time.Duration, m *Message) error {
	if err := m.Check(); err != nil {
		t.counts.Malformed++
		return err
	}
	if now-t.ticked >= pauseLimit || now < t.lateEnd {
		t.counts.Late++
		return nil // its heartbeats may be older than they say
	}
	from := m.Beats[0].Key
	for _, b := range m.Beats {
		t.merge(now, b, from)
	}
	for _, i := range m.Infos {
		t.mergeInfo(now, i)
	}
	if t.address(from) == "" && len(t.rounds.callers) < maxCallers {
		t.rounds.callers = append(t.rounds.callers, m.Address.String())
	}
	return nil
}

func (t *Table) merge(now time.Duration, b Beat, from Key) {
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
		t.counts.Old++
		return
	}
	if b.Incarnation != m.beat.Incarnation || b.Version != m.beat.Version {
		m.known = m.known && b.Incarnation == m.info.Incarnation && b.Version == m.info.Version
	}
	if b.Leaving && !m.beat.Leaving {
		t.counts.Left++
	}
	m.beat, m.sends, m.from = b, 0, from
	m.sent = max(m.sent, now-b.Age)
	if m.silent && now-m.sent < SilenceLimit {
		m.silent = false
		t.counts.Returned++
	}
}

// refute outbids a heartbeat in this instance's own name that it did not
// send: one of an earlier run whose clock was ahead.
func (t *Table) refute(now time.Duration, b Beat) {
	if !b.newer(t.self) {
		return
	}
	t.counts.Refuted++
	t.self.Incarnation = b.Incarnation + 1
	t.info.Incarnation, t.infoSends = t.self.Incarnation, 0
	t.raise(now)
}

func (t *Table) add(now time.Duration, b Beat) *member {
	if len(t.members) >= maxMembers && !t.evict(now) {
		t.counts.Full++
		return nil
	}
	m := &member{beat: Beat{Key: b.Key}, sent: now - b.Age, asked: -time.Hour}
	t.members[b.Key] = m
	return m
}

// evict forgets the instance that has been silent longest.
func (t *Table) evict(now time.Duration) bool {
	var oldest *member
	for _, m := range t.members {
		if m.silent && (oldest == nil || m.sent < oldest.sent || m.sent == oldest.sent && m.beat.Key < oldest.beat.Key) {
			oldest = m
		}
	}
	if oldest == nil {
		return false
	}
	delete(t.members, oldest.beat.Key)
	return true
}

func (t *Table) mergeInfo(now time.Duration, i Info) {
	m := t.members[KeyOf(i.ID)]
	if m == nil || i.Incarnation != m.beat.Incarnation || i.Version != m.beat.Version || m.known && m.info.ID != i.ID {
		if i.ID != t.info.ID {
			t.counts.Mismatched++
		}
		return
	}
	if m.known && i.Uptime < m.info.Uptime+(now-m.infoAt) {
		return // an older statement of the same uptime
	}
	m.info, m.infoAt, m.known = i, now, true
}

// Request returns the next message to begin an exchange with the peer at
// address.
func (t *Table) Request(now time.Duration, address string) Message {
	out := t.message(now, t.keyAt(address), nil, nil)
	out.Want, out.Stale = t.want(now), t.stale(now)
	return out
}

// Answer returns the answer to a peer's request.
func (t *Table) Answer(now time.Duration, request *Message) Message {
	return t.message(now, request.Beats[0].Key, request.Want, request.Stale)
}

func (t *Table) message(now time.Duration, to Key, want, stale []Key) Message {
	out := Message{Address: t.peerAddress, Beats: t.beats(now, to, stale)}
	if t.infoSends < infoSends || slices.Contains(want, t.self.Key) {
		t.infoSends++
		out.Infos = append(out.Infos, t.ownInfo(now))
	}
	for _, k := range want {
		if m := t.members[k]; m != nil && m.known && len(out.Infos) < MaxInfos {
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
		if t.address(k) == address {
			return k
		}
	}
	return 0
}

func (t *Table) ownInfo(now time.Duration) Info {
	i := t.info
	i.Uptime += now - t.infoAt
	return i
}

// beats returns the own heartbeat, those that the receiver lacks and those
// passed on the fewest times, the youngest first; without what the receiver
// sent or said itself.
func (t *Table) beats(now time.Duration, to Key, stale []Key) Beats {
	var due []*member
	for k, m := range t.members {
		fresh := now-m.sent < staleAge && slices.Contains(stale, k)
		if fresh {
			m.sends = 0
		}
		if fresh || k != to && m.from != to && m.sends < maxSends && now-m.sent < SilenceLimit {
			due = append(due, m)
		}
	}
	slices.SortFunc(due, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.sends, b.sends), cmp.Compare(b.sent, a.sent), cmp.Compare(a.beat.Key, b.beat.Key))
	})
	own := t.self
	own.Age = now - t.raised
	out := Beats{own}
	for _, m := range due[:min(len(due), MaxBeats-1)] {
		m.sends++
		b := m.beat
		b.Age = now - m.sent
		out = append(out, b)
	}
	return out
}

// stale returns the live instances not heard of for longest.
func (t *Table) stale(now time.Duration) []Key {
	var old []*member
	for _, m := range t.members {
		if !m.silent && now-m.sent >= staleAge {
			old = append(old, m)
		}
	}
	slices.SortFunc(old, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.beat.Key, b.beat.Key))
	})
	var out []Key
	for _, m := range old[:min(len(old), maxStale)] {
		out = append(out, m.beat.Key)
	}
	return out
}

func (t *Table) want(now time.Duration) []Key {
	var out []Key
	for k, m := range t.members {
		if !m.known && now-m.sent < SilenceLimit {
			out = append(out, k)
		}
	}
	slices.Sort(out)
	t.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), MaxInfos)]
}
