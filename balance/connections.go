package balance

import "github.com/catkinrouter/catkinrouter/internal/rendezvous"

const (
	// subsetConnections is the number of connections that an entry needs to use
	// an upstream well. An entry with a smaller equal part gets this number to a
	// subset of the upstreams.
	subsetConnections = 4
	// unseenReplacements is the number of entries that may have been replaced
	// without all other entries having seen it yet.
	unseenReplacements = 2
)

// Fleet is an entry's view of the fleet.
type Fleet struct {
	// Self is the ID of this entry.
	Self string
	// Live holds the IDs of the entries that this entry sees as live.
	Live []string
	// Max is the maximum number of entries that run at the same time.
	Max int
}

func (f Fleet) maxSize() int { return max(1, f.Max, len(f.Live)) }

// ConnectionLimit returns how many connections the entry may hold to an
// upstream that accepts allowed connections in total, and whether the upstream
// is in the entry's subset.
//
// Each entry may hold an equal part of the allowed connections, so that the sum
// over the fleet stays within them even if the entries' views of the fleet
// differ. If that part is below subsetConnections, the remainder raises as many
// entries as possible to subsetConnections: those with the highest rendezvous
// hash (D. Thaler and C. Ravishankar, 1998). Entries that may run without being
// seen count as ranked before this one. So differing views never give the
// upstream to too many entries; they only leave some connections unused.
func (f Fleet) ConnectionLimit(upstream string, allowed int) (limit int, inSubset bool) {
	n := f.maxSize()
	part := allowed / n
	if part >= subsetConnections {
		return part, true
	}
	subsetSize := (allowed - part*n) / (subsetConnections - part)
	rank := n - len(f.Live) + unseenReplacements
	if len(f.Live) == 0 {
		rank = n
	}
	rank += rendezvous.Rank(f.Self, f.Live, upstream, len(f.Live))
	if rank < subsetSize {
		return subsetConnections, true
	}
	return part, false
}
