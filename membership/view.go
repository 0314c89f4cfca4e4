package membership

import (
	"cmp"
	"slices"
	"time"
)

// Member is an instance as a Table sees it.
type Member struct {
	Info
	Beat Beat
	// Age is the time since its newest heartbeat.
	Age time.Duration
	// Silent members were dropped: they are remembered, not handed out.
	Silent bool
}

// Usable tells whether callers may be sent to the member's entry.
func (m *Member) Usable() bool { return !m.Silent && m.Beat.Ready && !m.Beat.Leaving && m.Entry != 0 }

// Members returns the instances whose Info is known, this one included, in
// the order of their IDs.
func (t *Table) Members(now time.Duration) []Member {
	out := make([]Member, 0, len(t.members)+1)
	out = append(out, Member{Info: t.ownInfo(now), Beat: t.self})
	for _, m := range t.members {
		if !m.known {
			continue
		}
		i := m.info
		i.Uptime += now - m.infoAt
		out = append(out, Member{Info: i, Beat: m.beat, Age: now - m.sent, Silent: m.silent})
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Region returns the region of the instance with key k; empty where unknown.
func (t *Table) Region(k Key) string {
	if m := t.members[k]; m != nil && m.known {
		return m.info.Region
	}
	return ""
}

// Rank returns this instance's place among the live instances, from 0, in an
// order that all instances with the same view share: in the whole fleet and
// in its own region.
func (t *Table) Rank() (fleet, region int) {
	for k, m := range t.members {
		if m.silent || !m.known || k > t.self.Key || m.beat.Leaving {
			continue
		}
		fleet++
		if m.info.Region == t.info.Region {
			region++
		}
	}
	return fleet, region
}

// Live returns the number of live instances, this one included.
func (t *Table) Live() int {
	n := 1
	for _, m := range t.members {
		if !m.silent {
			n++
		}
	}
	return n
}

// Peers returns the number of other instances that are live or listed, and
// the number of regions that live ones are in.
func (t *Table) Peers() (peers, regions int) {
	seen := map[string]bool{}
	for _, m := range t.members {
		if m.known && !m.silent {
			seen[m.info.Region] = true
		}
	}
	return max(t.Live()-1, len(t.listed)), len(seen)
}
