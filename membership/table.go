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
	"slices"
	"time"
)

// Times of the exchange.
const (
	// RoundInterval is the time between two rounds of exchanges.
	RoundInterval = 500 * time.Millisecond
	// BeatInterval is the time between two heartbeats of an instance.
	BeatInterval = time.Second
	// SilenceLimit is the age of the newest heartbeat at which an instance
	// is dropped.
	SilenceLimit = 6 * time.Second
	// suspectAge is the age at which an instance is asked directly.
	suspectAge = SilenceLimit / 2
	// forgetAge is how long a silent instance's address is remembered.
	forgetAge = 3 * time.Hour
	// pauseLimit is the gap between two ticks that counts as a pause of
	// this process.
	pauseLimit = 2 * time.Second
)

const (
	// maxMembers bounds the instances that a Table knows.
	maxMembers = 1024
	// maxSends bounds how often one heartbeat is passed on by one instance.
	maxSends = 4
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
	// Pauses counts pauses of this process.
	Pauses int64
}

type member struct {
	beat Beat
	// sent is when the newest heartbeat was sent, by this clock.
	sent  time.Duration
	sends int
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
	raised    time.Duration
	members   map[Key]*member
	listed    map[string]Key // peer addresses of the platform's list
	rng       *rand.Rand
	rounds    rounds
	ticked    time.Duration
	counts    Counts
}

// New returns a Table of the instance that info describes. Its incarnation
// must be above those of earlier runs; the time of day in milliseconds will do.
func New(info Info, incarnation, seed uint64) *Table {
	info.Incarnation, info.Version = incarnation, 1
	return &Table{
		self: Beat{Key: KeyOf(info.ID), Incarnation: incarnation, Count: 1, Version: 1},
		info: info, members: map[Key]*member{}, listed: map[string]Key{},
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
	for _, b := range m.Beats {
		t.merge(now, b)
	}
	for _, i := range m.Infos {
		t.mergeInfo(now, i)
	}
	return nil
}

func (t *Table) merge(now time.Duration, b Beat) {
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
	m.beat, m.sends = b, 0
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

// Message returns the next message to send, as a request or an answer to one
// that wants the keys given.
func (t *Table) Message(now time.Duration, request bool, want []Key) Message {
	out := Message{Beats: t.beats(now)}
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
	if request {
		out.Want = t.want(now)
	}
	return out
}

func (t *Table) ownInfo(now time.Duration) Info {
	i := t.info
	i.Uptime += now - t.infoAt
	return i
}

// beats returns the own heartbeat and those passed on the fewest times,
// the youngest first.
func (t *Table) beats(now time.Duration) Beats {
	var due []*member
	for _, m := range t.members {
		if m.sends < maxSends && now-m.sent < SilenceLimit {
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
