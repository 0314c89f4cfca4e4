package agent

import (
	"cmp"
	"slices"
	"time"

	"github.com/catkinrouter/catkinrouter/link"
	"github.com/catkinrouter/catkinrouter/membership"
)

// entrySync is what an agent knows of its entry.
type entrySync struct {
	status link.Status
	// at is when status was got.
	at      time.Duration
	next    time.Duration
	busy    bool
	leaving leavingUpstreams
	// detail is the last whole status, detailAt when it was asked for.
	detail   link.Status
	detailAt time.Duration
	// told are the members that the entry was sent whole, toldAt when;
	// toldTo is the incarnation that answered.
	told    []link.Member
	toldIDs []string
	toldAt  time.Duration
	toldTo  uint64
	pending bool // the State in flight has members
}

const (
	// detailInterval is the time between two whole statuses of the entry.
	detailInterval = 10 * time.Second
	// freshDetailInterval is that while the last was of another revision.
	freshDetailInterval = time.Second
	// tellInterval is the time between two whole lists of members where no
	// entry came or went; tellStep times their number where that is longer.
	tellInterval = 4 * time.Second
	tellStep     = 200 * time.Millisecond
)

// fill sets the members of st, or Same where the entry has them.
func (e *entrySync) fill(now time.Duration, st *link.State, members []link.Member, leaving []string) {
	if now-e.detailAt >= e.detailWait() {
		st.Detail, e.detailAt = true, now
	}
	due := now-e.toldAt >= max(tellInterval, time.Duration(len(members))*tellStep)
	fresh := e.toldTo != e.status.Incarnation || !e.alive(now)
	if !due && !fresh && slices.Equal(leaving, e.toldIDs) && slices.EqualFunc(members, e.told, sameEntry) {
		st.Same = true
		return
	}
	st.Members, st.LeavingUpstreams = members, leaving
	e.told, e.toldIDs, e.toldAt, e.toldTo = members, leaving, now, 0
	e.pending = true
}

// detailWait is the time from one whole status to the next: short where the
// last one is of another revision.
func (e *entrySync) detailWait() time.Duration {
	if e.detail.Revision != e.status.Revision {
		return freshDetailInterval
	}
	return detailInterval
}

// sameEntry tells whether a lookup treats a and b alike but for spare capacity.
func sameEntry(a, b link.Member) bool {
	return a.ID == b.ID && a.Incarnation == b.Incarnation && a.Leaving == b.Leaving && a.Address == b.Address
}

func newEntrySync() entrySync {
	return entrySync{at: never, detailAt: never, toldAt: never, leaving: leavingUpstreams{}}
}

func (e *entrySync) due(now time.Duration) bool {
	if e.busy || now < e.next {
		return false
	}
	e.busy, e.next = true, now+syncInterval
	return true
}

func (e *entrySync) urgent() { e.next = 0 }

func (e *entrySync) alive(now time.Duration) bool { return now-e.at < entryLimit }

func (e *entrySync) done(now time.Duration, st *link.Status) {
	e.busy = false
	whole := e.pending
	e.pending = false
	if st == nil {
		e.toldTo = 0
		return
	}
	if whole {
		e.toldTo = st.Incarnation
	}
	if len(st.Upstreams) > 0 || len(st.Counters) > 0 {
		e.detail = *st
	}
	e.status, e.at = *st, now
	for _, id := range st.LeavingUpstreams {
		e.leaving.saw(now, id)
	}
}

// leavingUpstreams are upstreams that some entry saw leaving, by ID.
type leavingUpstreams map[string]*leavingWord

type leavingWord struct {
	until time.Duration
	sends int
}

const (
	// leavingTTL is how long the word of an entry holds.
	leavingTTL = 10 * time.Second
	// leavingRefresh is the least gain in time that is passed on again.
	leavingRefresh = 3 * time.Second
	maxLeaving     = 128
	leavingSends   = 6
)

// saw takes the own entry's word.
func (l leavingUpstreams) saw(now time.Duration, id string) { l.set(now, id, now+leavingTTL) }

// heard takes a peer's words.
func (l leavingUpstreams) heard(now time.Duration, words []membership.LeavingUpstream) {
	for _, w := range words {
		l.set(now, w.ID, now+min(time.Duration(w.TTL)*time.Millisecond, leavingTTL))
	}
}

func (l leavingUpstreams) set(now time.Duration, id string, until time.Duration) {
	w := l[id]
	switch {
	case w == nil && len(l) < maxLeaving:
		l[id] = &leavingWord{until: until}
	case w != nil && until-w.until >= leavingRefresh:
		w.until, w.sends = until, 0
	}
}

// ids returns the upstreams whose word holds, and forgets the others.
func (l leavingUpstreams) ids(now time.Duration) []string {
	var out []string
	for id, w := range l {
		if now >= w.until {
			delete(l, id)
			continue
		}
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// message returns the words passed on the fewest times.
func (l leavingUpstreams) message(now time.Duration) []membership.LeavingUpstream {
	var due []string
	for id, w := range l {
		if w.sends < leavingSends && now < w.until {
			due = append(due, id)
		}
	}
	slices.SortFunc(due, func(a, b string) int { return cmp.Or(cmp.Compare(l[a].sends, l[b].sends), cmp.Compare(a, b)) })
	var out []membership.LeavingUpstream
	for _, id := range due[:min(len(due), membership.MaxLeaving)] {
		l[id].sends++
		out = append(out, membership.LeavingUpstream{ID: id, TTL: uint32((l[id].until - now).Milliseconds())})
	}
	return out
}
