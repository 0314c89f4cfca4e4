// Package mirror keeps a copy of a part of the platform's store that
// instances pass on to each other: items by key, each with the store's
// revision that wrote it. Nothing in it ever goes back to an older revision.
package mirror

import "sort"

// Item is one key of the store.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool
}

// Delta is what changed in the store up to Revision.
type Delta struct {
	// Base is the revision that the Items follow; a Full delta has none and
	// holds all items.
	Base     int64
	Full     bool
	Revision int64
	Items    []Item
}

// maxTombstones bounds the deletions remembered; who is further behind gets a
// full copy.
const maxTombstones = 2048

// Mirror is the copy. It is not safe for concurrent use.
type Mirror struct {
	items    map[string]Item
	revision int64
	// floor is the newest revision up to which deletions are not all known.
	floor      int64
	tombstones int
}

// New returns an empty Mirror.
func New() *Mirror { return &Mirror{items: map[string]Item{}} }

// Revision returns the store's revision up to which the copy is complete; 0
// for none yet.
func (m *Mirror) Revision() int64 { return m.revision }

// Apply takes a delta and returns the items that changed. It returns false
// where the delta leaves a gap: then Since(Revision) of its sender, or a full
// copy, is needed.
func (m *Mirror) Apply(d Delta) (changed []Item, ok bool) {
	if !d.Full && d.Base > m.revision {
		return nil, false
	}
	before := m.revision
	late := !d.Full || d.Revision < before
	if d.Full {
		changed = m.dropMissing(d)
	}
	if d.Full && !late {
		// Keys that came and went since are not known by name.
		m.floor = d.Revision
	}
	for _, it := range d.Items {
		old, known := m.items[it.Key]
		if known && old.Revision >= it.Revision {
			continue
		}
		if late && it.Revision <= before {
			continue // this copy is complete up to there: it is gone since
		}
		m.put(it)
		changed = append(changed, it)
	}
	m.revision = max(m.revision, d.Revision)
	m.forget()
	sort.Slice(changed, func(i, j int) bool { return changed[i].Revision < changed[j].Revision })
	return changed, true
}

// dropMissing deletes the items that a full copy no longer has.
func (m *Mirror) dropMissing(d Delta) (changed []Item) {
	has := make(map[string]bool, len(d.Items))
	for _, it := range d.Items {
		has[it.Key] = true
	}
	for key, it := range m.items {
		if has[key] || it.Deleted || it.Revision > d.Revision {
			continue
		}
		gone := Item{Key: key, Revision: d.Revision, Deleted: true}
		m.put(gone)
		changed = append(changed, gone)
	}
	return changed
}

func (m *Mirror) put(it Item) {
	if old, ok := m.items[it.Key]; ok && old.Deleted {
		m.tombstones--
	}
	if it.Deleted {
		m.tombstones++
	}
	m.items[it.Key] = it
}

// forget drops all deletions once there are too many.
func (m *Mirror) forget() {
	if m.tombstones <= maxTombstones {
		return
	}
	for key, it := range m.items {
		if it.Deleted {
			delete(m.items, key)
		}
	}
	m.floor, m.tombstones = m.revision, 0
}

// Since returns what changed after a revision that another copy has, or all
// items where it is too far behind.
func (m *Mirror) Since(revision int64) Delta {
	if revision < m.floor || revision == 0 {
		return m.all()
	}
	d := Delta{Base: revision, Revision: m.revision}
	for _, it := range m.items {
		if it.Revision > revision {
			d.Items = append(d.Items, it)
		}
	}
	return d
}

func (m *Mirror) all() Delta {
	d := Delta{Full: true, Revision: m.revision}
	for _, it := range m.items {
		if !it.Deleted {
			d.Items = append(d.Items, it)
		}
	}
	return d
}
