// Package mirror holds a replica of a part of the platform's store that
// instances replicate among each other: items by key, each with the store
// revision that wrote it. Neither an item nor the replica ever returns to an
// older revision.
package mirror

import (
	"sort"

	"github.com/catkinrouter/catkinrouter/store"
)

// Item is one key of the store with its value, or the tombstone of a deleted key.
type Item struct {
	Key      string
	Value    []byte
	Revision store.Revision
	Deleted  bool
}

// Delta holds changes of the store up to Revision.
type Delta struct {
	// Base is the revision after which the Items changed. A Full delta has no
	// Base and holds all items.
	Base     store.Revision
	Full     bool
	Revision store.Revision
	Items    []Item
}

// Append returns d followed by next, a delta after d's revision, with only the
// newest item of each key.
func (d Delta) Append(next Delta) Delta {
	replaced := make(map[string]bool, len(next.Items))
	for _, it := range next.Items {
		replaced[it.Key] = true
	}
	out := Delta{Base: d.Base, Full: d.Full, Revision: max(d.Revision, next.Revision)}
	for _, it := range d.Items {
		if !replaced[it.Key] {
			out.Items = append(out.Items, it)
		}
	}
	newest := map[string]int{} // index in out.Items
	for _, it := range next.Items {
		if i, ok := newest[it.Key]; ok {
			out.Items[i] = it
			continue
		}
		newest[it.Key] = len(out.Items)
		out.Items = append(out.Items, it)
	}
	return out
}

// maxTombstones bounds the tombstones kept; replicas that are further behind get
// a full copy.
const maxTombstones = 2048

// Mirror is a replica of the store. It is not safe for concurrent use.
type Mirror struct {
	items    map[string]Item
	revision store.Revision
	// tombstoneFloor is the revision up to which tombstones may be missing.
	tombstoneFloor store.Revision
	tombstones     int
}

// New returns an empty Mirror.
func New() *Mirror { return &Mirror{items: map[string]Item{}} }

// Revision returns the store revision up to which the replica is complete; 0 if
// it is empty.
func (m *Mirror) Revision() store.Revision { return m.revision }

// Apply merges a delta and returns the items that changed, by revision. It
// returns false if the delta leaves a gap: then the sender's Since(Revision) or
// a full copy is needed.
func (m *Mirror) Apply(d Delta) (changed []Item, ok bool) {
	if !d.Full && d.Base > m.revision {
		return nil, false
	}
	before := m.revision
	skipOlder := !d.Full || d.Revision < before
	if d.Full {
		changed = m.dropMissing(d)
	}
	if d.Full && !skipOlder {
		// Keys that were created and deleted meanwhile have no tombstones here.
		m.tombstoneFloor = d.Revision
	}
	for _, it := range d.Items {
		old, known := m.items[it.Key]
		if known && old.Revision >= it.Revision {
			continue
		}
		if skipOlder && it.Revision <= before {
			continue // the replica is complete up to before, so this item is outdated
		}
		m.put(it)
		changed = append(changed, it)
	}
	m.revision = max(m.revision, d.Revision)
	m.dropTombstones()
	sort.Slice(changed, func(i, j int) bool { return changed[i].Revision < changed[j].Revision })
	return changed, true
}

// dropMissing replaces items that are absent from a full copy with tombstones
// and returns these.
func (m *Mirror) dropMissing(d Delta) (changed []Item) {
	present := make(map[string]bool, len(d.Items))
	for _, it := range d.Items {
		present[it.Key] = true
	}
	for key, it := range m.items {
		if present[key] || it.Deleted || it.Revision > d.Revision {
			continue
		}
		tombstone := Item{Key: key, Revision: d.Revision, Deleted: true}
		m.put(tombstone)
		changed = append(changed, tombstone)
	}
	return changed
}

// put stores an item and keeps count of the tombstones.
func (m *Mirror) put(it Item) {
	if old, ok := m.items[it.Key]; ok && old.Deleted {
		m.tombstones--
	}
	if it.Deleted {
		m.tombstones++
	}
	m.items[it.Key] = it
}

// dropTombstones removes all tombstones once there are more than maxTombstones.
func (m *Mirror) dropTombstones() {
	if m.tombstones <= maxTombstones {
		return
	}
	for key, it := range m.items {
		if it.Deleted {
			delete(m.items, key)
		}
	}
	m.tombstoneFloor, m.tombstones = m.revision, 0
}

// Since returns the changes after the revision of another replica, or a full
// copy if tombstones after that revision may be missing.
func (m *Mirror) Since(revision store.Revision) Delta {
	if revision < m.tombstoneFloor || revision == 0 {
		return m.full()
	}
	d := Delta{Base: revision, Revision: m.revision}
	for _, it := range m.items {
		if it.Revision > revision {
			d.Items = append(d.Items, it)
		}
	}
	return d
}

// full returns a full copy.
func (m *Mirror) full() Delta {
	d := Delta{Full: true, Revision: m.revision}
	for _, it := range m.items {
		if !it.Deleted {
			d.Items = append(d.Items, it)
		}
	}
	return d
}
