package membership

import (
	"slices"
	"time"
)

// Parameters of a gossip round.
const (
	// fanout is the number of peers contacted per round.
	fanout = 2
	// pushFanout is the number of peers notified at once of a change.
	pushFanout = 6
	// maxContacts bounds the peers that rounds choose from, and thereby the
	// number of connections.
	maxContacts = 24
	// rotateInterval is the time between two replacements of a contact.
	rotateInterval = 20 * time.Second
	// silentRetryInterval is the time between two attempts to reach an instance
	// that is listed or remembered but silent.
	silentRetryInterval = 2500 * time.Millisecond
	// maxUnknownPeers bounds the unknown peers contacted in return per round.
	maxUnknownPeers = 4
	// suspectInterval is the minimum time between two direct exchanges with the
	// same suspect.
	suspectInterval = 1500 * time.Millisecond
	// exchangeTimeout is when an exchange without a result counts as failed.
	exchangeTimeout = 10 * time.Second
)

type rounds struct {
	nextRound       time.Duration
	nextSilentRetry time.Duration
	nextRotation    time.Duration
	pushDue         bool
	contacts        []Key
	contactIndex    int
	round           int
	// unknownPeers are peers that sent a message and are not known yet.
	unknownPeers []string
	// inFlight maps the address of each peer with an exchange in flight to the
	// time at which the exchange began.
	inFlight map[string]time.Duration
}

// Push makes the next Tick begin exchanges with several peers.
func (t *Table) Push() { t.rounds.pushDue = true }

// Tick updates timers and returns the peer addresses to begin an exchange with
// now. It must be called at least every 100 ms.
func (t *Table) Tick(now time.Duration) []string {
	t.detectPause(now)
	t.dropSilent(now)
	if now-t.heartbeatAt >= max(HeartbeatInterval, time.Duration(t.Live())*heartbeatIntervalPerInstance) {
		t.incrementHeartbeat(now)
	}
	for a, since := range t.rounds.inFlight {
		if now-since > exchangeTimeout {
			delete(t.rounds.inFlight, a)
		}
	}
	var out []string
	if now >= t.rounds.nextRound {
		t.rounds.nextRound = now + RoundInterval*3/4 + time.Duration(t.rng.Int64N(int64(RoundInterval/2)))
		out = t.pickPeers(now)
	}
	if t.rounds.pushDue {
		t.rounds.pushDue = false
		out = append(out, t.randomContacts(pushFanout)...)
	}
	return t.startExchanges(now, out)
}

// ExchangeDone marks the exchange with the peer at address as finished.
func (t *Table) ExchangeDone(address string) { delete(t.rounds.inFlight, address) }

// startExchanges returns the addresses other than this instance's that have no
// exchange in flight, and marks one as in flight for each.
func (t *Table) startExchanges(now time.Duration, addresses []string) []string {
	var out []string
	for _, a := range addresses {
		if _, ok := t.rounds.inFlight[a]; ok || a == t.info.PeerAddress {
			continue
		}
		t.rounds.inFlight[a] = now
		out = append(out, a)
	}
	return out
}

// detectPause detects a pause of this process, which must not count as silence
// of the other instances: after a pause they are dropped only once they stay
// silent beyond pauseGrace. The ages of their heartbeats are not changed, so
// that the pause does not affect the view of other instances.
func (t *Table) detectPause(now time.Duration) {
	gap := now - t.lastTick
	t.lastTick = now
	if gap < pauseLimit {
		return
	}
	t.counts.Pauses++
	clear(t.rounds.inFlight)
	t.graceEnd, t.lateEnd = now+pauseGrace, now+lateLimit
}

// dropSilent marks instances silent whose newest heartbeat has reached
// SilenceLimit, and removes those that have reached forgetAge.
func (t *Table) dropSilent(now time.Duration) {
	for k, m := range t.members {
		age := now - m.sentAt
		if age >= SilenceLimit && !m.silent && now >= t.graceEnd {
			m.silent = true
			t.counts.Silent++
		}
		if age >= forgetAge {
			delete(t.members, k)
		}
	}
}

// pickPeers chooses the peers of a round: a suspect first, in every other round
// a contact in another region, then contacts in turn. It adds the unknown peers
// that sent a message and, every silentRetryInterval or while there are no
// contacts, silent peers.
func (t *Table) pickPeers(now time.Duration) []string {
	t.refillContacts(now)
	r := &t.rounds
	r.round++
	var out []string
	if a := t.pickSuspect(now); a != "" {
		out = append(out, a)
	}
	if r.round%2 == 0 && len(out) < fanout {
		out = append(out, t.otherRegionContact()...)
	}
	for range r.contacts {
		if len(out) >= fanout {
			break
		}
		r.contactIndex++
		if a := t.liveAddress(r.contacts[r.contactIndex%len(r.contacts)]); a != "" && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	out = append(out, r.unknownPeers...)
	r.unknownPeers = nil
	if now >= r.nextSilentRetry || len(r.contacts) == 0 {
		r.nextSilentRetry = now + silentRetryInterval
		out = append(out, t.silentPeers(max(1, fanout-len(r.contacts)))...)
	}
	return out
}

// pickSuspect returns the address of the instance with the oldest heartbeat of
// at least suspectAge, or "" for none.
func (t *Table) pickSuspect(now time.Duration) string {
	var oldest *member
	for _, m := range t.members {
		if m.silent || !m.infoKnown || now-m.sentAt < suspectAge || now-m.contactedAt < suspectInterval {
			continue
		}
		if oldest == nil || m.sentAt < oldest.sentAt || m.sentAt == oldest.sentAt && m.beat.Key < oldest.beat.Key {
			oldest = m
		}
	}
	if oldest == nil {
		return ""
	}
	oldest.contactedAt = now
	return oldest.info.PeerAddress
}

// liveAddress returns the address of the instance with key k, or "" if it is
// silent or its Info is not known.
func (t *Table) liveAddress(k Key) string {
	if m := t.members[k]; m != nil && m.infoKnown && !m.silent {
		return m.info.PeerAddress
	}
	return ""
}

func (t *Table) inOtherRegion(k Key) bool { return t.members[k].info.Region != t.info.Region }

// otherRegionContact returns the address of a random contact in another region,
// if any.
func (t *Table) otherRegionContact() []string {
	var out []string
	for _, k := range t.rounds.contacts {
		if a := t.liveAddress(k); a != "" && t.inOtherRegion(k) {
			out = append(out, a)
		}
	}
	if len(out) == 0 {
		return nil
	}
	i := t.rng.IntN(len(out))
	return out[i : i+1]
}

// refillContacts removes contacts that are no longer live, replaces one every
// rotateInterval and fills the free places. A third of the places is reserved
// for other regions as far as they have candidates.
func (t *Table) refillContacts(now time.Duration) {
	r := &t.rounds
	r.contacts = slices.DeleteFunc(r.contacts, func(k Key) bool { return t.liveAddress(k) == "" })
	if now >= r.nextRotation && len(r.contacts) == maxContacts {
		r.nextRotation = now + rotateInterval
		i := t.rng.IntN(len(r.contacts))
		r.contacts = slices.Delete(r.contacts, i, i+1)
	}
	if len(r.contacts) == maxContacts {
		return
	}
	sameRegion, otherRegion := t.candidates()
	otherRegionSlots := maxContacts / 3
	for _, k := range r.contacts {
		if t.inOtherRegion(k) {
			otherRegionSlots--
		}
	}
	otherRegionSlots = max(0, min(otherRegionSlots, len(otherRegion)))
	pool := append(slices.Clone(otherRegion[:otherRegionSlots]), sameRegion...)
	pool = append(pool, otherRegion[otherRegionSlots:]...)
	r.contacts = append(r.contacts, pool[:min(len(pool), maxContacts-len(r.contacts))]...)
}

// candidates returns the live instances that are not contacts, shuffled.
func (t *Table) candidates() (sameRegion, otherRegion []Key) {
	for k := range t.members {
		switch {
		case t.liveAddress(k) == "" || slices.Contains(t.rounds.contacts, k):
		case t.inOtherRegion(k):
			otherRegion = append(otherRegion, k)
		default:
			sameRegion = append(sameRegion, k)
		}
	}
	for _, l := range [][]Key{sameRegion, otherRegion} {
		slices.Sort(l)
		t.rng.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	}
	return sameRegion, otherRegion
}

// randomContacts returns the addresses of up to n random live contacts.
func (t *Table) randomContacts(n int) []string {
	var out []string
	for _, i := range t.rng.Perm(len(t.rounds.contacts)) {
		if a := t.liveAddress(t.rounds.contacts[i]); a != "" && len(out) < n {
			out = append(out, a)
		}
	}
	return out
}

// silentPeers returns up to n random addresses of peers that are listed or
// remembered but not live.
func (t *Table) silentPeers(n int) []string {
	var out []string
	for a, k := range t.seeds {
		if t.liveAddress(k) != a {
			out = append(out, a)
		}
	}
	for _, m := range t.members {
		if m.silent && m.info.PeerAddress != "" {
			out = append(out, m.info.PeerAddress)
		}
	}
	slices.Sort(out)
	out = slices.Compact(out)
	t.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), n)]
}
