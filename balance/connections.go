package balance

import (
	"github.com/cespare/xxhash/v2"
)

const (
	// enoughConnections is the number to each upstream that serves an entry
	// well; with fewer, a subset of the upstreams gets more.
	enoughConnections = 4
	// replacedUnseen is the number of entries that may have been replaced
	// without all others knowing yet.
	replacedUnseen = 2
)

// Fleet is an entry's view of the fleet.
type Fleet struct {
	// Self is the ID of this entry.
	Self string
	// Live are the IDs of the entries seen live.
	Live []string
	// Max is the largest number of entries that run at once.
	Max int
}

func (f Fleet) size() int { return max(1, f.Max, len(f.Live)) }

// ConnectionLimit returns how many connections the entry may hold to an
// upstream that allows allowed in all, and whether the upstream is in the
// entry's subset.
//
// Each entry may hold an equal part, so that the sum over the fleet holds
// whatever the views. Where that part is too small, the rest goes to as many
// entries as get enough by it: those with the highest rendezvous hash (D.
// Thaler and C. Ravishankar, 1998). Entries that may run unseen count as
// ranked before this one, so that views that differ never let too many hold
// the same upstream; they only cost some connections.
func (f Fleet) ConnectionLimit(upstream string, allowed int) (limit int, inSubset bool) {
	n := f.size()
	part := allowed / n
	if part >= enoughConnections {
		return part, true
	}
	holders := (allowed - part*n) / (enoughConnections - part)
	ahead := n - len(f.Live) + replacedUnseen
	if len(f.Live) == 0 {
		ahead = n
	}
	self := f.hash(f.Self, upstream)
	for _, id := range f.Live {
		if id != f.Self && before(f.hash(id, upstream), self, id, f.Self) {
			ahead++
		}
	}
	if ahead < holders {
		return enoughConnections, true
	}
	return part, false
}

func before(a, b uint64, idA, idB string) bool { return a > b || a == b && idA < idB }

func (f Fleet) hash(entry, upstream string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(entry)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(upstream)
	return d.Sum64()
}
