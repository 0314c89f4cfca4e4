package fleet

import "time"

// Timing of store reads. Together these values keep the copy of an instance of a
// small fleet younger than 2 s, the shortest time within which a change must take
// effect.
const (
	// watchWait is the longest time between two replies of the store to a
	// hub, minWatchWait the shortest time that a hub's watch waits for a
	// change.
	watchWait    = time.Second
	minWatchWait = 100 * time.Millisecond
	// defaultMaxCopyAge is the default of Options.MaxCopyAge. It exceeds the sum
	// of watchWait and HeartbeatInterval.
	defaultMaxCopyAge = 1600 * time.Millisecond
	// firstStartWait is how long a new instance waits for a peer's copy at the
	// first start of the fleet, restartWait at a later start. Jitter adds up to
	// firstStartJitter and restartJitter, so that the instances of a large fleet
	// do not all read the store at once.
	firstStartWait   = 500 * time.Millisecond
	firstStartJitter = 3 * time.Second
	restartWait      = 250 * time.Millisecond
	restartJitter    = 500 * time.Millisecond
	// smallFleet is the number of instances up to which each may read the store
	// itself without delay. In a larger one, the leaders read first, and the
	// members whose copy is old while they do hear from peers wait for
	// staleWaitShare of the copy's maximum age, and a random part of as much again:
	// a leader that can read brings them the copy before. Both together end before
	// a change must be in force.
	smallFleet     = 32
	staleWaitShare = 0.08
	// While the store answers no one, members wait for a random part of
	// outageJitterPerInstance times the instances above smallFleet, at most
	// maxOutageJitter: there is nothing to be in time for.
	outageJitterPerInstance = 10 * time.Millisecond
	maxOutageJitter         = 4 * time.Second
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
	// suspended is the time since confirmedAt for which the machine stood still;
	// the clock does not count it. suspensionSeenAt is when that was last noticed.
	suspended, suspensionSeenAt time.Duration
	// failingSince is when the first read failed after the last successful
	// one; 0 for none.
	failingSince time.Duration
	// failedAt is when the last read failed; 0 if it succeeded.
	failedAt time.Duration
	// blindSince is when the instance declared itself blind; 0 if it is not.
	blindSince time.Duration
	// retryAt is the earliest time of the next read.
	retryAt time.Duration
	// fullReadDue is set when the store no longer has the history after the
	// copy's revision, so that all keys must be read.
	fullReadDue bool
	// directoryDue is set at the start until the directory was read.
	directoryDue bool
	// firstReadAt is when an instance without a copy reads the store.
	firstReadAt time.Duration
	// maxAge is the age of the copy from which an instance that is not a hub
	// reads the store itself.
	maxAge time.Duration
	// maxProvenAge is the same for the time since the copy was proven complete; 0 sets no
	// limit.
	maxProvenAge time.Duration
	// watchWait replaces the constant of this name, unless it is 0.
	watchWait time.Duration
	// staleReadAt is when the copy, now older than maxAge, leads to a read; 0
	// while it is not that old.
	staleReadAt time.Duration
}

// start sets when an instance that starts reads the store. At the first start of
// the fleet the seeds read it and the others wait for a copy of a peer; later an
// instance first reads the directory, if there is one.
func (r *reader) start(firstStart, isSeed, hasDirectory bool, jitter float64) {
	switch {
	case firstStart && !isSeed:
		r.firstReadAt = firstStartWait + time.Duration(jitter*float64(firstStartJitter))
	case !firstStart:
		r.directoryDue = hasDirectory
	}
}

// directoryRead records the end of the attempt to read the directory and how long
// to wait for a peer's copy.
func (r *reader) directoryRead(now, wait time.Duration) {
	r.directoryDue = false
	r.firstReadAt = now + wait
}

// storeCall is the kind of store call that is due.
type storeCall uint8

const (
	callNone storeCall = iota
	callDirectory
	// callReadFirst reads the first copy, callReadAll a copy that replaces one.
	callReadFirst
	callReadAll
	callWatch
)

// readState is what the due call depends on beside the reader.
type readState struct {
	// rank is the instance's place among the hubs, or -1.
	rank int
	// hasCopy is set once there is a copy of the store.
	hasCopy bool
	// live is the number of live instances in the fleet.
	live int
	// isolated is set if no other instance is known to be reachable.
	isolated bool
	// leader is set if the instance serves others of its data centre.
	leader bool
	// lacksStore is set if the store most likely answers no instance.
	lacksStore bool
	// provenAge is the time since the copy was proven complete.
	provenAge time.Duration
}

// due returns the call to make now and, for a watch, how long it waits; for
// callNone it returns the time until a call may be due. The jitter is between 0
// and 1.
func (r *reader) due(now time.Duration, s readState, jitter float64) (storeCall, time.Duration) {
	switch {
	case now < r.retryAt:
		return callNone, r.retryAt - now
	case !s.hasCopy && r.directoryDue:
		return callDirectory, 0
	case !s.hasCopy && now < r.firstReadAt:
		return callNone, r.firstReadAt - now
	case !s.hasCopy:
		return callReadFirst, 0
	case r.fullReadDue:
		return callReadAll, 0
	case s.rank >= 0:
		return callWatch, max(minWatchWait, r.longestWatch()-r.age(now))
	case r.freshFor(now, s) > 0:
		r.staleReadAt = 0
		return callNone, r.freshFor(now, s)
	}
	if wait := r.staleWait(s, jitter); r.staleReadAt == 0 || wait == 0 {
		r.staleReadAt = now + wait
	}
	if now < r.staleReadAt {
		return callNone, r.staleReadAt - now
	}
	r.staleReadAt = 0
	return callWatch, r.longestWatch()
}

// freshFor returns for how long the copy needs no read yet, 0 or less if it is too old.
func (r *reader) freshFor(now time.Duration, s readState) time.Duration {
	fresh := r.maxAge - r.age(now)
	if r.maxProvenAge > 0 {
		fresh = min(fresh, r.maxProvenAge-s.provenAge)
	}
	return fresh
}

// longestWatch returns how long a watch waits for changes at most.
func (r *reader) longestWatch() time.Duration {
	if r.watchWait > 0 {
		return r.watchWait
	}
	return watchWait
}

// countSuspension records that the machine was suspended since the copy's last confirmation.
func (r *reader) countSuspension(now, lost time.Duration) {
	r.suspended += lost
	r.suspensionSeenAt = now
}

// staleWait returns how long an instance with an old copy waits before it reads
// the store. In a large fleet, an instance that hears from peers gets a newer copy
// from them most of the time.
func (r *reader) staleWait(s readState, jitter float64) time.Duration {
	switch {
	case s.isolated || s.leader || s.live <= smallFleet:
		return 0
	case s.lacksStore:
		return time.Duration(jitter * float64(min(maxOutageJitter, time.Duration(s.live-smallFleet)*outageJitterPerInstance)))
	}
	return time.Duration((1 + jitter) * staleWaitShare * float64(r.maxAge))
}

// age returns the time since the copy was last confirmed complete, or since the
// process started if it never was.
func (r *reader) age(now time.Duration) time.Duration {
	if !r.confirmed {
		return now
	}
	return now - r.confirmedAt + r.suspended
}

// confirm records that the copy was complete at a time. It returns true if this
// ends an outage of the store; time for which the machine was suspended is none. A time
// before a suspension was noticed may be one before the suspension.
func (r *reader) confirm(at time.Duration) (returned bool) {
	returned = r.confirmed && at-r.confirmedAt >= outageAge
	if !r.confirmed || at > r.confirmedAt {
		r.confirmedAt, r.confirmed = at, true
		if at > r.suspensionSeenAt {
			r.suspended = 0
		}
	}
	return returned
}

// failing reports whether this instance's last read failed and nothing has confirmed
// the copy since.
func (r *reader) failing() bool { return r.failedAt > 0 && r.failedAt >= r.confirmedAt }

// callDone records the result of a store call of this instance. A failed call is
// retried after hubRetry or memberRetry, plus jitter (0 to 1) times as much.
func (r *reader) callDone(now time.Duration, rank int, ok bool, jitter float64) {
	if ok {
		r.failingSince, r.failedAt, r.blindSince, r.retryAt = 0, 0, 0, 0
		return
	}
	r.failedAt = now
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
