package membership

import (
	"cmp"
	"slices"
	"time"
)

// Member is an instance as seen by a Table.
type Member struct {
	Info
	Beat Beat
	// Age is the time since the instance issued its newest known heartbeat.
	Age time.Duration
	// Silent is set once the member was dropped: its address is remembered,
	// but it is not usable.
	Silent bool
}

// Usable reports whether callers may be sent to the member's entry.
func (m *Member) Usable() bool { return !m.Silent && m.Beat.Ready && !m.Beat.Leaving && m.Entry != 0 }

// Members returns the instances with known Info, including this one, sorted by
// ID.
func (t *Table) Members(now time.Duration) []Member {
	out := make([]Member, 0, len(t.members)+1)
	out = append(out, Member{Info: t.selfInfo(now), Beat: t.self})
	for _, m := range t.members {
		if !m.infoKnown {
			continue
		}
		i := m.info
		i.Uptime += now - m.infoAt
		out = append(out, Member{Info: i, Beat: m.beat, Age: now - m.sentAt, Silent: m.silent})
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Region returns the region of the instance with key k, or "" if unknown.
func (t *Table) Region(k Key) string {
	if m := t.members[k]; m != nil && m.infoKnown {
		return m.info.Region
	}
	return ""
}

// Rank returns this instance's position, from 0, among all live instances that
// are not leaving and among those of its region. Instances with the same view use
// the same order.
func (t *Table) Rank() (fleet, region int) {
	for k, m := range t.members {
		if m.silent || !m.infoKnown || k > t.self.Key || m.beat.Leaving {
			continue
		}
		fleet++
		if m.info.Region == t.info.Region {
			region++
		}
	}
	return fleet, region
}

// Live returns the number of live instances, including this one.
func (t *Table) Live() int {
	n := 1
	for _, m := range t.members {
		if !m.silent {
			n++
		}
	}
	return n
}

// Peers returns the number of other live instances or the number of listed ones,
// whichever is higher, and the number of regions with other live instances.
func (t *Table) Peers() (peers, regions int) {
	seen := map[string]bool{}
	for _, m := range t.members {
		if m.infoKnown && !m.silent {
			seen[m.info.Region] = true
		}
	}
	return max(t.Live()-1, len(t.seeds)), len(seen)
}
