package fleet

import "time"

// Times of reading the store. Together they keep an instance's copy younger
// than the shortest time in which a change must be in force: 2 s.
const (
	// watchWait is the longest time between two answers of the store to a
	// hub, shortWatch the least time that a hub lets it wait for a change.
	watchWait  = time.Second
	shortWatch = 100 * time.Millisecond
	// staleAge is the age of the copy at which an instance that is no hub
	// reads the store itself: above watchWait and BeatInterval together.
	staleAge = 1600 * time.Millisecond
	// startWait is how long a fresh instance waits for a peer's copy.
	startWait = 500 * time.Millisecond
	// hubRetry and memberRetry are the pauses after a failed read.
	hubRetry    = 300 * time.Millisecond
	memberRetry = 900 * time.Millisecond
	// gatherFor is how long a hub lets changes gather after a read that
	// brought some: many upstreams that come at once then cost few calls,
	// and few messages to the other instances.
	gatherFor = 200 * time.Millisecond
	// blindAfter is the time without a successful read after which an
	// instance says that it can't read the store, for blindFor.
	blindAfter = 1200 * time.Millisecond
	blindFor   = 8 * time.Second
	// outageAge is the age of the copy from which on the store counts as
	// having been away.
	outageAge = 2500 * time.Millisecond
)

// reader decides when this instance reads the store. It does no I/O.
type reader struct {
	// proof is when the copy was last known to be complete.
	proof  time.Duration
	proven bool
	// failing is the first failed read since the last good one; 0 for none.
	failing time.Duration
	// blindSince is when the instance declared itself blind; 0 for not.
	blindSince time.Duration
	// retryAt is the earliest time of the next read.
	retryAt time.Duration
	// full asks for a whole copy, since the history is gone or unknown.
	full bool
	// wanted is set where the first copy is read without waiting for a peer's.
	wanted bool
}

// call is what a reader wants of the store.
type call uint8

const (
	callNone call = iota
	callWatch
	callReadAll
)

// due returns the call to make now, and how long a watch is to wait; without a
// call, the time until one may be due. Rank is the instance's place among the
// hubs, or -1. Seeds read at their start, for all others to fetch from.
func (r *reader) due(now time.Duration, rank int, holds, seed bool) (call, time.Duration) {
	switch {
	case now < r.retryAt:
		return callNone, r.retryAt - now
	case !holds && !seed && !r.wanted && now < startWait:
		return callNone, startWait - now
	case !holds || r.full:
		return callReadAll, 0
	case rank >= 0:
		return callWatch, max(shortWatch, watchWait-r.age(now))
	case r.age(now) >= staleAge:
		return callWatch, watchWait
	}
	return callNone, staleAge - r.age(now)
}

// age is the time since the copy was known to be complete.
func (r *reader) age(now time.Duration) time.Duration {
	if !r.proven {
		return now
	}
	return now - r.proof
}

// prove takes the word that the copy was complete at a time. It returns true
// where the store was away until then.
func (r *reader) prove(at time.Duration) (returned bool) {
	returned = r.proven && at-r.proof >= outageAge
	if !r.proven || at > r.proof {
		r.proof, r.proven = at, true
	}
	return returned
}

// done takes the end of an own call; pause is a random part of a retry's.
func (r *reader) done(now time.Duration, rank int, ok bool, jitter float64) {
	if ok {
		r.failing, r.blindSince, r.retryAt = 0, 0, 0
		return
	}
	if r.failing == 0 {
		r.failing = now
	}
	if now-max(r.failing, r.proof) >= blindAfter && r.blindSince == 0 {
		r.blindSince = now
	}
	pause := memberRetry
	if rank >= 0 {
		pause = hubRetry
	}
	r.retryAt = now + pause + time.Duration(jitter*float64(pause))
}

// gather puts off the next read after one that brought changes.
func (r *reader) gather(now time.Duration, rank int) {
	r.retryAt = now + time.Duration(1+max(0, rank))*gatherFor
}

// blind tells whether others must not rely on this instance's reads.
func (r *reader) blind(now time.Duration) bool {
	if r.blindSince > 0 && now-r.blindSince >= blindFor {
		r.blindSince, r.failing = 0, 0
	}
	return r.blindSince > 0
}
