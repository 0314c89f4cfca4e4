// Package discovery holds the upstreams that registered themselves, apart from
// the operators' configuration. It does no I/O and reads no clock.
package discovery

import (
	"time"
)

// Upstream is one incarnation of an upstream, as its own entry describes it.
type Upstream struct {
	ID         string
	Service    string
	Address    string // IP and port
	DataCentre string
	Slots      int
	// Draining upstreams take no new work.
	Draining bool
	// ColdUntil is when the upstream is as fast as it will be; the time is
	// that of this process.
	ColdUntil time.Duration
	// Born is the Unix millisecond of the incarnation's start; 0 where the
	// entry does not say.
	Born int64
	// Sequence counts the incarnation's entries.
	Sequence int64
	// Revision is the store's revision of the entry, and Seen when this
	// process took it.
	Revision int64
	Seen     time.Duration
}

// SameIncarnation tells whether u and o are the same run of an upstream.
func (u *Upstream) SameIncarnation(o *Upstream) bool {
	return u.ID == o.ID && u.Born == o.Born && u.Address == o.Address
}

// returnGrace is how long an upstream whose entry lapsed while the store was
// away is still used after the store's return, so that it can register again.
const returnGrace = 2 * time.Second

// Change says what Put or Remove did.
type Change string

// Changes.
const (
	Ignored  Change = "ignored"
	Added    Change = "added"
	Updated  Change = "updated"
	Draining Change = "draining"
	Lapsed   Change = "lapsed"
	Gone     Change = "gone"
)

// Registry holds the upstreams. It is not safe for concurrent use.
type Registry struct {
	upstreams map[string]*Upstream
	// lapsed holds when an upstream without an entry is given up.
	lapsed map[string]time.Duration
	// returned is when the store came back from an outage.
	returned time.Duration
	away     bool
}

// New returns an empty Registry.
func New() *Registry {
	return &Registry{upstreams: map[string]*Upstream{}, lapsed: map[string]time.Duration{}}
}

// Put takes an entry. One of an older incarnation, or of an older state of
// the same one, is ignored: it was written late.
func (r *Registry) Put(u *Upstream) Change {
	old := r.upstreams[u.ID]
	if old != nil && (u.Born < old.Born || u.Born == old.Born && u.Sequence < old.Sequence) && old.Revision < u.Revision {
		return Ignored
	}
	delete(r.lapsed, u.ID)
	r.upstreams[u.ID] = u
	switch {
	case old == nil || !old.SameIncarnation(u):
		return Added
	case u.Draining && !old.Draining:
		return Draining
	}
	return Updated
}

// Remove takes the end of an entry. While the store was away, entries of live
// upstreams lapse; those are kept for a while after its return.
func (r *Registry) Remove(now time.Duration, id string) Change {
	old := r.upstreams[id]
	if old == nil {
		return Ignored
	}
	if r.away && now < r.returned+returnGrace && !old.Draining {
		r.lapsed[id] = r.returned + returnGrace
		return Lapsed
	}
	delete(r.upstreams, id)
	delete(r.lapsed, id)
	return Gone
}

// StoreReturned notes that the store answers again after an outage in which
// entries may have lapsed.
func (r *Registry) StoreReturned(now time.Duration) { r.returned, r.away = now, true }

// Expire gives up the upstreams whose entry did not come back, and returns
// their IDs.
func (r *Registry) Expire(now time.Duration) []string {
	var gone []string
	for id, until := range r.lapsed {
		if now >= until {
			delete(r.upstreams, id)
			delete(r.lapsed, id)
			gone = append(gone, id)
		}
	}
	return gone
}

// Usable returns the upstreams that may take new work, by service. The result
// and the upstreams are not changed afterwards.
func (r *Registry) Usable() map[string][]*Upstream {
	out := map[string][]*Upstream{}
	for _, u := range r.upstreams {
		if !u.Draining {
			out[u.Service] = append(out[u.Service], u)
		}
	}
	return out
}

// Len returns the number of upstreams known.
func (r *Registry) Len() int { return len(r.upstreams) }
