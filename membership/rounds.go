package membership

import (
	"slices"
	"time"
)

// Numbers of a round.
const (
	// fanout is the number of peers a round.
	fanout = 2
	// pushFanout is the number of peers told at once of a change.
	pushFanout = 6
	// maxContacts bounds the peers that rounds go to, and so the connections.
	maxContacts = 24
	// rotateInterval is the time between two changes of a contact.
	rotateInterval = 20 * time.Second
	// reviveInterval is the time between two tries of an instance that is
	// listed or remembered but silent.
	reviveInterval = 2500 * time.Millisecond
	// maxCallers bounds the unknown peers that are called back.
	maxCallers = 4
	// askAgain is the time between two direct exchanges with a suspect.
	askAgain = 1500 * time.Millisecond
	// busyLimit is when an exchange without a result is given up.
	busyLimit = 10 * time.Second
)

type rounds struct {
	next     time.Duration
	revive   time.Duration
	rotate   time.Duration
	push     bool
	contacts []Key
	turn     int
	round    int
	// callers are peers that asked this instance and are not known yet.
	callers []string
	// busy holds the peers with an exchange in flight, since when.
	busy map[string]time.Duration
}

// Push asks for an exchange with several peers in the next Tick.
func (t *Table) Push() { t.rounds.push = true }

// Tick does what is due and returns the peer addresses to exchange with now.
// It must be called every 100 ms or sooner.
func (t *Table) Tick(now time.Duration) []string {
	t.skipPause(now)
	t.drop(now)
	if now-t.raised >= max(BeatInterval, time.Duration(t.Live())*beatStep) {
		t.raise(now)
	}
	for a, since := range t.rounds.busy {
		if now-since > busyLimit {
			delete(t.rounds.busy, a)
		}
	}
	var out []string
	if now >= t.rounds.next {
		t.rounds.next = now + RoundInterval*3/4 + time.Duration(t.rng.Int64N(int64(RoundInterval/2)))
		out = t.pick(now)
	}
	if t.rounds.push {
		t.rounds.push = false
		out = append(out, t.someContacts(pushFanout)...)
	}
	return t.begin(now, out)
}

// Done takes the end of the exchange with the peer at address.
func (t *Table) Done(address string) { delete(t.rounds.busy, address) }

// begin keeps the addresses with no exchange in flight.
func (t *Table) begin(now time.Duration, addresses []string) []string {
	var out []string
	for _, a := range addresses {
		if _, ok := t.rounds.busy[a]; ok || a == t.info.PeerAddress {
			continue
		}
		t.rounds.busy[a] = now
		out = append(out, a)
	}
	return out
}

// skipPause keeps a pause of this process from counting as the others'
// silence: they are dropped once they stay silent for a while after it. Their
// heartbeats are as old as they are, so that the pause reaches no other view.
func (t *Table) skipPause(now time.Duration) {
	gap := now - t.ticked
	t.ticked = now
	if gap < pauseLimit {
		return
	}
	t.counts.Pauses++
	clear(t.rounds.busy)
	t.graceEnd, t.lateEnd = now+pauseGrace, now+lateLimit
}

func (t *Table) drop(now time.Duration) {
	for k, m := range t.members {
		age := now - m.sent
		if age >= SilenceLimit && !m.silent && now >= t.graceEnd {
			m.silent = true
			t.counts.Silent++
		}
		if age >= forgetAge {
			delete(t.members, k)
		}
	}
}

// pick chooses the peers of a round: contacts in turn, every other round one
// of another region, suspects before others, and at times a silent one.
func (t *Table) pick(now time.Duration) []string {
	t.refill(now)
	r := &t.rounds
	r.round++
	var out []string
	if a := t.suspect(now); a != "" {
		out = append(out, a)
	}
	if r.round%2 == 0 && len(out) < fanout {
		out = append(out, t.foreign()...)
	}
	for range r.contacts {
		if len(out) >= fanout {
			break
		}
		r.turn++
		if a := t.address(r.contacts[r.turn%len(r.contacts)]); a != "" && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	out = append(out, r.callers...)
	r.callers = nil
	if now >= r.revive || len(r.contacts) == 0 {
		r.revive = now + reviveInterval
		out = append(out, t.silentPeers(max(1, fanout-len(r.contacts)))...)
	}
	return out
}

// suspect returns the address of an instance that was not heard for a while.
func (t *Table) suspect(now time.Duration) string {
	var worst *member
	for _, m := range t.members {
		if m.silent || !m.known || now-m.sent < suspectAge || now-m.asked < askAgain {
			continue
		}
		if worst == nil || m.sent < worst.sent || m.sent == worst.sent && m.beat.Key < worst.beat.Key {
			worst = m
		}
	}
	if worst == nil {
		return ""
	}
	worst.asked = now
	return worst.info.PeerAddress
}

func (t *Table) address(k Key) string {
	if m := t.members[k]; m != nil && m.known && !m.silent {
		return m.info.PeerAddress
	}
	return ""
}

func (t *Table) isForeign(k Key) bool { return t.members[k].info.Region != t.info.Region }

// foreign returns the address of a contact of another region, if any.
func (t *Table) foreign() []string {
	var out []string
	for _, k := range t.rounds.contacts {
		if a := t.address(k); a != "" && t.isForeign(k) {
			out = append(out, a)
		}
	}
	if len(out) == 0 {
		return nil
	}
	i := t.rng.IntN(len(out))
	return out[i : i+1]
}

// refill drops contacts that are gone, replaces one at times and fills the
// others; a third of the places is for other regions first.
func (t *Table) refill(now time.Duration) {
	r := &t.rounds
	r.contacts = slices.DeleteFunc(r.contacts, func(k Key) bool { return t.address(k) == "" })
	if now >= r.rotate && len(r.contacts) == maxContacts {
		r.rotate = now + rotateInterval
		i := t.rng.IntN(len(r.contacts))
		r.contacts = slices.Delete(r.contacts, i, i+1)
	}
	if len(r.contacts) == maxContacts {
		return
	}
	near, far := t.candidates()
	wantFar := maxContacts / 3
	for _, k := range r.contacts {
		if t.isForeign(k) {
			wantFar--
		}
	}
	wantFar = max(0, min(wantFar, len(far)))
	pool := append(slices.Clone(far[:wantFar]), near...)
	pool = append(pool, far[wantFar:]...)
	r.contacts = append(r.contacts, pool[:min(len(pool), maxContacts-len(r.contacts))]...)
}

// candidates returns the live instances that are no contacts, shuffled.
func (t *Table) candidates() (near, far []Key) {
	for k := range t.members {
		switch {
		case t.address(k) == "" || slices.Contains(t.rounds.contacts, k):
		case t.isForeign(k):
			far = append(far, k)
		default:
			near = append(near, k)
		}
	}
	for _, l := range [][]Key{near, far} {
		slices.Sort(l)
		t.rng.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	}
	return near, far
}

func (t *Table) someContacts(n int) []string {
	var out []string
	for _, i := range t.rng.Perm(len(t.rounds.contacts)) {
		if a := t.address(t.rounds.contacts[i]); a != "" && len(out) < n {
			out = append(out, a)
		}
	}
	return out
}

// silentPeers returns up to n addresses that are listed or remembered but not
// heard.
func (t *Table) silentPeers(n int) []string {
	var out []string
	for a, k := range t.listed {
		if t.address(k) != a {
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
