// Package discovery keeps the upstreams that register themselves, independently
// of the operators' configuration. It does no I/O and does not read the clock.
package discovery

import (
	"time"

	"github.com/catkinrouter/catkinrouter/store"
)

// Upstream is one incarnation of an upstream, as described by the entry with
// which it registered.
type Upstream struct {
	ID         string
	Service    string
	Address    string // IP and port
	DataCentre string
	Slots      int
	// Draining is set if the upstream must get no new requests.
	Draining bool
	// ColdUntil is when the upstream has warmed up to its full speed, as the
	// time since this process started.
	ColdUntil time.Duration
	// StartUnixMilli is the start time of the incarnation in Unix
	// milliseconds; 0 if the entry has none.
	StartUnixMilli int64
	// Sequence increases with each entry that the incarnation writes.
	Sequence int64
	// Revision is the store's revision of the entry, ReceivedAt the time at
	// which this process received it.
	Revision   store.Revision
	ReceivedAt time.Duration
}

// SameIncarnation reports whether u and o are the same run of an upstream.
func (u *Upstream) SameIncarnation(o *Upstream) bool {
	return u.ID == o.ID && u.StartUnixMilli == o.StartUnixMilli && u.Address == o.Address
}

// writtenBefore reports whether the upstream wrote the entry u before o.
func (u *Upstream) writtenBefore(o *Upstream) bool {
	return u.StartUnixMilli < o.StartUnixMilli || u.StartUnixMilli == o.StartUnixMilli && u.Sequence < o.Sequence
}

// recoveryGrace is how long after a store outage an upstream stays in use without
// an entry, so that it can register again: entries expire during an outage.
const recoveryGrace = 2 * time.Second

// Change is the effect of a Put or Remove.
type Change string

// Effects of Put and Remove. Lapsed is an ended entry of an upstream that stays in
// use for recoveryGrace, Gone a removed upstream.
const (
	Ignored  Change = "ignored"
	Added    Change = "added"
	Updated  Change = "updated"
	Draining Change = "draining"
	Lapsed   Change = "lapsed"
	Gone     Change = "gone"
)

// Registry holds the known upstreams. It is not safe for concurrent use.
type Registry struct {
	upstreams map[string]*Upstream
	// keepUntil maps the IDs of upstreams in use without an entry to the time
	// at which Expire removes them.
	keepUntil map[string]time.Duration
	// departed holds the last entries of upstreams whose entry was removed, for
	// departedMemory.
	departed map[string]departure
	// evacuated holds the names of the data centres whose upstreams get no requests.
	evacuated map[string]bool
	// recoveredAt is when the last store outage ended, if there was one.
	recoveredAt time.Duration
	hadOutage   bool
}

// departure is the last entry of an upstream and when it was removed.
type departure struct {
	last *Upstream
	at   time.Duration
}

// departedMemory is how long the entries of upstreams that left are remembered. The
// store may come back from a copy that still has them; such a copy is seconds old.
const departedMemory = time.Minute

// New returns an empty Registry.
func New() *Registry {
	return &Registry{upstreams: map[string]*Upstream{}, keepUntil: map[string]time.Duration{}, departed: map[string]departure{}, evacuated: map[string]bool{}}
}

// Put adds or updates an upstream. It ignores an entry of an older incarnation,
// or with a lower sequence of the same one, if the entry's store revision is
// newer: such an entry was written late, or is in an older copy from which the
// store came back. So is the last entry of an upstream that left, in a later epoch.
func (r *Registry) Put(u *Upstream) Change {
	old := r.upstreams[u.ID]
	if old != nil && u.writtenBefore(old) && old.Revision < u.Revision {
		return Ignored
	}
	if d, left := r.departed[u.ID]; left && old == nil && !d.last.writtenBefore(u) && d.last.Revision.Epoch() < u.Revision.Epoch() {
		return Ignored
	}
	delete(r.departed, u.ID)
	delete(r.keepUntil, u.ID)
	r.upstreams[u.ID] = u
	switch {
	case old == nil || !old.SameIncarnation(u):
		return Added
	case u.Draining && !old.Draining:
		return Draining
	}
	return Updated
}

// Remove handles the end of an entry. Entries of live upstreams expire during a
// store outage; if the end is reported within recoveryGrace after it, an upstream
// that is not draining is kept until then.
func (r *Registry) Remove(now time.Duration, id string) Change {
	old := r.upstreams[id]
	if old == nil {
		return Ignored
	}
	if r.hadOutage && now < r.recoveredAt+recoveryGrace && !old.Draining {
		r.keepUntil[id] = r.recoveredAt + recoveryGrace
		return Lapsed
	}
	delete(r.upstreams, id)
	delete(r.keepUntil, id)
	r.departed[id] = departure{old, now}
	return Gone
}

// StoreRecovered records the end of a store outage, in which entries may have
// expired.
func (r *Registry) StoreRecovered(now time.Duration) { r.recoveredAt, r.hadOutage = now, true }

// Expire removes the upstreams that did not register again within recoveryGrace
// after a store outage, and returns their IDs.
func (r *Registry) Expire(now time.Duration) []string {
	for id, d := range r.departed {
		if now-d.at >= departedMemory {
			delete(r.departed, id)
		}
	}
	var removed []string
	for id, until := range r.keepUntil {
		if now >= until {
			delete(r.upstreams, id)
			delete(r.keepUntil, id)
			removed = append(removed, id)
		}
	}
	return removed
}

// Usable returns the upstreams that may get new requests, by service: those that are
// neither draining nor in an evacuated data centre. The Registry does not change the result
// or the upstreams in it afterwards.
func (r *Registry) Usable() map[string][]*Upstream {
	out := map[string][]*Upstream{}
	for _, u := range r.upstreams {
		if !u.Draining && !r.evacuated[u.DataCentre] {
			out[u.Service] = append(out[u.Service], u)
		}
	}
	return out
}

// Len returns the number of known upstreams, including draining ones.
func (r *Registry) Len() int { return len(r.upstreams) }
