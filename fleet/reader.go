package fleet

import "time"

// Timing of store reads. Together these values keep an instance's copy younger
// than 2 s, the shortest time within which a change must take effect.
const (
	// watchWait is the longest time between two replies of the store to a
	// hub, minWatchWait the shortest time that a hub's watch waits for a
	// change.
	watchWait    = time.Second
	minWatchWait = 100 * time.Millisecond
	// staleAge is the age of the copy at which an instance that is not a hub
	// reads the store itself. It exceeds the sum of watchWait and
	// HeartbeatInterval.
	staleAge = 1600 * time.Millisecond
	// peerCopyWait is how long a new instance waits for a peer's copy before
	// it reads the store.
	peerCopyWait = 500 * time.Millisecond
	// hubRetry and memberRetry are the minimum delays after a failed read, of
	// a hub and of other members; jitter adds up to as much again.
	hubRetry    = 300 * time.Millisecond
	memberRetry = 900 * time.Millisecond
	// batchDelay is how long a hub waits after a read that returned changes,
	// so that many upstreams that register at once cost few store calls and
	// few messages to the other instances.
	batchDelay = 200 * time.Millisecond
	// blindAfter is the time since the first failed read and since the last
	// confirmation of the copy, also one by a peer, after which another failed
	// read makes an instance declare itself blind (unable to read the store),
	// for blindFor or until a read succeeds.
	blindAfter = 1200 * time.Millisecond
	blindFor   = 8 * time.Second
	// outageAge is the minimum time between two confirmations of the copy
	// that counts as an outage of the store.
	outageAge = 2500 * time.Millisecond
)

// reader decides when this instance reads the store. It does no I/O.
type reader struct {
	// confirmedAt is when the copy was last known to be complete; valid if
	// confirmed is set.
	confirmedAt time.Duration
	confirmed   bool
	// failingSince is when the first read failed after the last successful
	// one; 0 for none.
	failingSince time.Duration
	// blindSince is when the instance declared itself blind; 0 if it is not.
	blindSince time.Duration
	// retryAt is the earliest time of the next read.
	retryAt time.Duration
	// fullReadDue is set when the store no longer has the history after the
	// copy's revision, so that all keys must be read.
	fullReadDue bool
	// skipPeerWait makes the first read start without waiting for a peer's
	// copy.
	skipPeerWait bool
}

// storeCall is the kind of store call that is due.
type storeCall uint8

const (
	callNone storeCall = iota
	callWatch
	callReadAll
)

// due returns the call to make now and, for a watch, how long it waits; for
// callNone it returns the time until a call may be due. rank is the instance's
// place among the hubs, or -1. Seeds read the store at startup, so that the
// other instances can fetch from them.
func (r *reader) due(now time.Duration, rank int, hasCopy, isSeed bool) (storeCall, time.Duration) {
	switch {
	case now < r.retryAt:
		return callNone, r.retryAt - now
	case !hasCopy && !isSeed && !r.skipPeerWait && now < peerCopyWait:
		return callNone, peerCopyWait - now
	case !hasCopy || r.fullReadDue:
		return callReadAll, 0
	case rank >= 0:
		return callWatch, max(minWatchWait, watchWait-r.age(now))
	case r.age(now) >= staleAge:
		return callWatch, watchWait
	}
	return callNone, staleAge - r.age(now)
}

// age returns the time since the copy was last confirmed complete, or since the
// process started if it never was.
func (r *reader) age(now time.Duration) time.Duration {
	if !r.confirmed {
		return now
	}
	return now - r.confirmedAt
}

// confirm records that the copy was complete at a time. It returns true if this
// ends an outage of the store.
func (r *reader) confirm(at time.Duration) (returned bool) {
	returned = r.confirmed && at-r.confirmedAt >= outageAge
	if !r.confirmed || at > r.confirmedAt {
		r.confirmedAt, r.confirmed = at, true
	}
	return returned
}

// callDone records the result of a store call of this instance. A failed call is
// retried after hubRetry or memberRetry, plus jitter (0 to 1) times as much.
func (r *reader) callDone(now time.Duration, rank int, ok bool, jitter float64) {
	if ok {
		r.failingSince, r.blindSince, r.retryAt = 0, 0, 0
		return
	}
	if r.failingSince == 0 {
		r.failingSince = now
	}
	if now-max(r.failingSince, r.confirmedAt) >= blindAfter && r.blindSince == 0 {
		r.blindSince = now
	}
	pause := memberRetry
	if rank >= 0 {
		pause = hubRetry
	}
	r.retryAt = now + pause + time.Duration(jitter*float64(pause))
}

// delayNextRead postpones the next read by batchDelay, for each further rank by
// as much again.
func (r *reader) delayNextRead(now time.Duration, rank int) {
	r.retryAt = now + time.Duration(1+max(0, rank))*batchDelay
}

// blind reports whether other instances must not rely on this instance's reads.
// It ends the blind state after blindFor.
func (r *reader) blind(now time.Duration) bool {
	if r.blindSince > 0 && now-r.blindSince >= blindFor {
		r.blindSince, r.failingSince = 0, 0
	}
	return r.blindSince > 0
}
