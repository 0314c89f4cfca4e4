package agent

import (
	"time"

	"github.com/catkinrouter/catkinrouter/membership"
)

// Times of the platform's calls.
const (
	// readBase is the age of the fleet's newest read of the store at which
	// the first instance reads again; the one at place n in the fleet waits
	// n times readStep longer.
	readBase = 2500 * time.Millisecond
	readStep = 400 * time.Millisecond
	// retryBase replaces readBase after a read that failed.
	retryBase = 4 * time.Second
	// watchers is the number of instances of a region that watch the store.
	watchers   = 2
	watchWait  = 30 * time.Second
	watchRetry = 2 * time.Second
	// listInterval is the least time between two reads of the list by one
	// instance; listStep times the live instances where that is longer.
	listInterval = 10 * time.Second
	listStep     = 2 * time.Second
	// listAlone is the time between two reads of an instance that knows
	// no other.
	listAlone = time.Second
	// storeFresh is the age of the own newest read at which the store
	// counts as out of reach.
	storeFresh = 90 * time.Second
	never      = -time.Hour
)

// duty decides when this instance calls the platform, so that the fleet's
// calls hardly grow with its size.
type duty struct {
	reading, watching, listing bool
	// read is when any instance read the store, ownRead when this one did.
	read, ownRead time.Duration
	failedRead    time.Duration
	nextWatch     time.Duration
	nextList      time.Duration
	// key is the store's revision of the head's key, once read.
	key  int64
	seen bool
}

func newDuty() duty {
	return duty{read: never, ownRead: never, failedRead: never}
}

// due returns the platform's calls to begin now.
func (d *duty) due(now time.Duration, t *membership.Table) []Action {
	var out []Action
	fleet, region := t.Rank()
	if !d.reading && d.readDue(now, fleet) {
		d.reading = true
		out = append(out, ReadStore{})
	}
	if !d.watching && d.seen && region < watchers && now >= d.nextWatch {
		d.watching = true
		out = append(out, WatchStore{After: d.key, Wait: watchWait})
	}
	if !d.listing && now >= d.nextList {
		d.listing = true
		out = append(out, ListInstances{})
	}
	return out
}

func (d *duty) readDue(now time.Duration, rank int) bool {
	wait := time.Duration(rank) * readStep
	return now-d.read >= readBase+wait && now-d.failedRead >= retryBase+wait
}

// readDone takes the end of an own read that began at the time given.
func (d *duty) readDone(now, began time.Duration, key int64, err error) {
	if err != nil {
		d.failedRead = now
		return
	}
	d.read, d.ownRead = max(d.read, began), max(d.ownRead, began)
	d.key, d.seen = max(d.key, key), true
}

// listDone takes the end of a read of the list.
func (d *duty) listDone(now time.Duration, live int) {
	d.listing = false
	if live == 1 {
		d.nextList = now + listAlone
		return
	}
	d.nextList = now + max(listInterval, time.Duration(live)*listStep)
}

// heard takes the age of a peer's newest known read.
func (d *duty) heard(now time.Duration, age uint32) {
	if age > 0 {
		d.read = max(d.read, now-time.Duration(age)*time.Millisecond)
	}
}

// age returns the age of the fleet's newest read for a message.
func (d *duty) age(now time.Duration) uint32 {
	if d.read == never {
		return 0
	}
	return uint32(min(max(1, (now-d.read).Milliseconds()), 1<<31))
}
