package agent

import (
	"cmp"
	"slices"
	"time"

	"github.com/catkinrouter/catkinrouter/link"
	"github.com/catkinrouter/catkinrouter/membership"
	"github.com/catkinrouter/catkinrouter/quarantine"
)

// entrySync is the agent's side of the synchronisation with its entry: the last
// status received and the last members sent.
type entrySync struct {
	status link.Status
	// statusAt is when status was received.
	statusAt time.Duration
	nextSync time.Duration
	syncing  bool
	leaving  leavingUpstreams
	// quarantine holds the decisions of all entries.
	quarantine sharedQuarantine
	// detail is the last status with upstreams or counters, detailRequestedAt
	// when such a status was last requested.
	detail            link.Status
	detailRequestedAt time.Duration
	// sentMembers and sentLeaving are the lists last sent to the entry, sentAt
	// when. ackedIncarnation is the incarnation of the entry that acknowledged
	// them; 0 for none.
	sentMembers      []link.Member
	sentLeaving      []string
	sentAt           time.Duration
	ackedIncarnation uint64
	membersInFlight  bool // the State in flight carries the lists
}

const (
	// detailInterval is the time between two requests for a detailed status of
	// the entry.
	detailInterval = 10 * time.Second
	// staleDetailInterval replaces detailInterval while the last detailed
	// status is of another revision than the last status.
	staleDetailInterval = time.Second
	// minMembersInterval is the minimum time between two full lists of members
	// while no entry joins, leaves or restarts and the leaving upstreams stay
	// the same. With many members the interval is membersIntervalPerMember
	// times their number.
	minMembersInterval       = 4 * time.Second
	membersIntervalPerMember = 200 * time.Millisecond
)

// fillState requests details in st if they are due, and sets the lists of st, or
// Same if the entry already has them.
func (e *entrySync) fillState(now time.Duration, st *link.State, members []link.Member, leaving []string) {
	if now-e.detailRequestedAt >= e.currentDetailInterval() {
		st.Detail, e.detailRequestedAt = true, now
	}
	if decisions := e.quarantine.list(now); quarantine.Missing(decisions, e.status.Quarantined) {
		st.Quarantined = decisions
	}
	listsDue := now-e.sentAt >= max(minMembersInterval, time.Duration(len(members))*membersIntervalPerMember)
	notAcked := e.ackedIncarnation != e.status.Incarnation || !e.alive(now)
	if !listsDue && !notAcked && slices.Equal(leaving, e.sentLeaving) && slices.EqualFunc(members, e.sentMembers, equalExceptLoad) {
		st.Same = true
		return
	}
	st.Members, st.LeavingUpstreams = members, leaving
	e.sentMembers, e.sentLeaving, e.sentAt, e.ackedIncarnation = members, leaving, now, 0
	e.membersInFlight = true
}

// currentDetailInterval returns the time from one request for a detailed status
// to the next.
func (e *entrySync) currentDetailInterval() time.Duration {
	if e.detail.Revision != e.status.Revision {
		return staleDetailInterval
	}
	return detailInterval
}

// equalExceptLoad reports whether a lookup treats a and b alike, apart from their
// spare capacity.
func equalExceptLoad(a, b link.Member) bool {
	return a.ID == b.ID && a.Incarnation == b.Incarnation && a.Leaving == b.Leaving && a.Address == b.Address
}

func newEntrySync() entrySync {
	return entrySync{statusAt: never, detailRequestedAt: never, sentAt: never, leaving: leavingUpstreams{}, quarantine: sharedQuarantine{}}
}

// beginIfDue reports whether a sync is due, and marks it as begun if so.
func (e *entrySync) beginIfDue(now time.Duration) bool {
	if e.syncing || now < e.nextSync {
		return false
	}
	e.syncing, e.nextSync = true, now+syncInterval
	return true
}

// requestSync makes the next sync due without waiting for syncInterval.
func (e *entrySync) requestSync() { e.nextSync = 0 }

// alive reports whether the last successful sync is younger than entryTimeout.
func (e *entrySync) alive(now time.Duration) bool { return now-e.statusAt < entryTimeout }

// finish records the result of a sync; st is nil if it failed.
func (e *entrySync) finish(now time.Duration, st *link.Status) {
	e.syncing = false
	listsSent := e.membersInFlight
	e.membersInFlight = false
	if st == nil {
		e.ackedIncarnation = 0
		return
	}
	if listsSent {
		e.ackedIncarnation = st.Incarnation
	}
	if len(st.Upstreams) > 0 || len(st.Counters) > 0 {
		e.detail = *st
	}
	e.status, e.statusAt = *st, now
	for _, id := range st.LeavingUpstreams {
		e.leaving.addLocal(now, id)
	}
	e.quarantine.add(now, st.Quarantined)
}

// leavingUpstreams holds the upstreams that some entry saw leaving, by ID.
type leavingUpstreams map[string]*leavingRecord

// leavingRecord is the state of one leaving upstream.
type leavingRecord struct {
	expires time.Duration
	// sends counts the messages that carried the current expiry time.
	sends int
}

const (
	// leavingTTL is how long a record is valid after an entry saw the upstream
	// leaving.
	leavingTTL = 10 * time.Second
	// minLeavingExtension is the minimum extension of a record's validity that
	// is applied and sent to peers again.
	minLeavingExtension = 3 * time.Second
	maxLeavingUpstreams = 128
	maxLeavingSends     = 6
)

// addLocal records an upstream that this instance's entry saw leaving.
func (l leavingUpstreams) addLocal(now time.Duration, id string) { l.extend(now, id, now+leavingTTL) }

// addRemote records leaving upstreams from a peer's message. The TTL is capped at
// leavingTTL.
func (l leavingUpstreams) addRemote(now time.Duration, upstreams []membership.LeavingUpstream) {
	for _, u := range upstreams {
		l.extend(now, u.ID, now+min(time.Duration(u.TTL)*time.Millisecond, leavingTTL))
	}
}

// extend adds a record for id, or extends its validity. New records are dropped
// while there are maxLeavingUpstreams.
func (l leavingUpstreams) extend(now time.Duration, id string, expires time.Duration) {
	r := l[id]
	switch {
	case r == nil && len(l) < maxLeavingUpstreams:
		l[id] = &leavingRecord{expires: expires}
	case r != nil && expires-r.expires >= minLeavingExtension:
		r.expires, r.sends = expires, 0
	}
}

// activeIDs deletes expired records and returns the IDs of the others, sorted.
func (l leavingUpstreams) activeIDs(now time.Duration) []string {
	var out []string
	for id, r := range l {
		if now >= r.expires {
			delete(l, id)
			continue
		}
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// nextBatch returns the leaving upstreams for the next message and counts them as
// sent: those sent the fewest times, up to maxLeavingSends each.
func (l leavingUpstreams) nextBatch(now time.Duration) []membership.LeavingUpstream {
	var due []string
	for id, r := range l {
		if r.sends < maxLeavingSends && now < r.expires {
			due = append(due, id)
		}
	}
	slices.SortFunc(due, func(a, b string) int { return cmp.Or(cmp.Compare(l[a].sends, l[b].sends), cmp.Compare(a, b)) })
	var out []membership.LeavingUpstream
	for _, id := range due[:min(len(due), membership.MaxLeaving)] {
		l[id].sends++
		out = append(out, membership.LeavingUpstream{ID: id, TTL: uint32((l[id].expires - now).Milliseconds())})
	}
	return out
}
