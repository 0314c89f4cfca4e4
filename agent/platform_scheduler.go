package agent

import (
	"time"

	"github.com/catkinrouter/catkinrouter/membership"
)

// Intervals and timeouts of calls to the platform.
const (
	// storeReadInterval is the age of the fleet's newest store read at which
	// the instance with rank 0 reads again. An instance with rank n waits n
	// times storeReadStagger longer, so normally one instance reads for all.
	storeReadInterval = 2500 * time.Millisecond
	storeReadStagger  = 400 * time.Millisecond
	// storeRetryInterval is the minimum time between a failed read of this
	// instance and its next one; the stagger by rank is added to it too.
	storeRetryInterval = 4 * time.Second
	// watchersPerRegion is the number of instances in each region that watch
	// the store.
	watchersPerRegion  = 2
	watchTimeout       = 30 * time.Second
	watchRetryInterval = 2 * time.Second
	// minListInterval is the minimum time between two reads of the instance
	// list by one instance. In large fleets the interval is
	// listIntervalPerInstance times the number of live instances.
	minListInterval         = 10 * time.Second
	listIntervalPerInstance = 2 * time.Second
	// soloListInterval is the list interval of an instance that knows no other
	// live instance.
	soloListInterval = time.Second
	// maxStoreReadAge is the age of this instance's own newest read from which
	// the store counts as unreachable.
	maxStoreReadAge = 90 * time.Second
	// sameRead is the time within which two reads that peers tell of count as one. It is
	// above the time that a message is under way and below storeReadInterval.
	sameRead = time.Second
	// never stands for the time of an event that has not happened.
	never = -time.Hour
)

// platformScheduler decides when this instance calls the platform. Instances
// share the work by rank, so that the fleet's total call rate hardly grows with
// its size.
type platformScheduler struct {
	// reading, watching and listing are set while such a call is in flight.
	reading, watching, listing bool
	// lastRead is when any instance last read the store, lastOwnRead when
	// this one did.
	lastRead, lastOwnRead time.Duration
	lastFailedRead        time.Duration
	nextWatch             time.Duration
	nextList              time.Duration
	// headKeyRevision is the store revision of the head's key; valid if
	// headRead is set.
	headKeyRevision int64
	headRead        bool
}

func newPlatformScheduler() platformScheduler {
	return platformScheduler{lastRead: never, lastOwnRead: never, lastFailedRead: never}
}

// dueCalls returns the platform calls that are due and marks them as in flight.
func (s *platformScheduler) dueCalls(now time.Duration, t *membership.Table) []Action {
	var out []Action
	fleetRank, regionRank := t.Rank()
	if !s.reading && s.readDue(now, fleetRank) {
		s.reading = true
		out = append(out, ReadStore{})
	}
	if !s.watching && s.headRead && regionRank < watchersPerRegion && now >= s.nextWatch {
		s.watching = true
		out = append(out, WatchStore{After: s.headKeyRevision, Wait: watchTimeout})
	}
	if !s.listing && now >= s.nextList {
		s.listing = true
		out = append(out, ListInstances{})
	}
	return out
}

func (s *platformScheduler) readDue(now time.Duration, rank int) bool {
	wait := time.Duration(rank) * storeReadStagger
	return now-s.lastRead >= storeReadInterval+wait && now-s.lastFailedRead >= storeRetryInterval+wait
}

// readDone records the result of this instance's read of the store that began
// at the given time.
func (s *platformScheduler) readDone(now, began time.Duration, headKeyRevision int64, err error) {
	if err != nil {
		s.lastFailedRead = now
		return
	}
	s.lastRead, s.lastOwnRead = max(s.lastRead, began), max(s.lastOwnRead, began)
	s.headKeyRevision, s.headRead = max(s.headKeyRevision, headKeyRevision), true
}

// listDone schedules the next read of the instance list after one that ended
// now. Live is the number of live instances, this one included.
func (s *platformScheduler) listDone(now time.Duration, live int) {
	s.listing = false
	if live == 1 {
		s.nextList = now + soloListInterval
		return
	}
	s.nextList = now + max(minListInterval, time.Duration(live)*listIntervalPerInstance)
}

// observePeerRead records the age in milliseconds of the newest store read that
// a peer knows of; 0 means that it knows of none. The age lacks the time that the message
// was under way, so a read that seems hardly newer is the one that is known.
func (s *platformScheduler) observePeerRead(now time.Duration, age uint32) {
	if at := now - time.Duration(age)*time.Millisecond; age > 0 && at > s.lastRead+sameRead {
		s.lastRead = at
	}
}

// readAgeMillis returns the age of the fleet's newest known store read for a
// message; 0 if no read is known.
func (s *platformScheduler) readAgeMillis(now time.Duration) uint32 {
	if s.lastRead == never {
		return 0
	}
	return uint32(min(max(1, (now-s.lastRead).Milliseconds()), 1<<31))
}
