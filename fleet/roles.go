package fleet

import (
	"maps"
	"slices"
	"time"
)

const (
	// leaderCount is the number of instances of a data centre that serve the
	// others there: they receive their heartbeats and send them the member
	// list and the changes of the store.
	leaderCount = 2
	// hubCount is the number of instances that read the store for all.
	hubCount = 2
)

// roles are the duties of the members as one instance sees them. Other instances
// may see them differently for a while, which causes extra calls and traffic but
// no wrong data.
type roles struct {
	// leaders holds the leaders of each data centre, hubs the hubs, each the
	// highest-ranking first.
	leaders map[string][]string
	hubs    []string
}

// rolesAt returns the current roles. They are computed again after a change.
func (t *Table) rolesAt(now time.Duration) *roles {
	if !t.rolesValid || now-t.rolesComputedAt >= rolesMaxAge {
		t.computeRoles(now)
	}
	return &t.roles
}

// rolesMaxAge bounds the age of the computed roles, since members also become
// unreachable without an event.
const rolesMaxAge = HeartbeatInterval / 4

// computeRoles computes the roles. A new leader counts as a changed member.
func (t *Table) computeRoles(now time.Duration) {
	byDataCentre := map[string][]*member{}
	var hubs, fallbackHubs []*member
	for a, m := range t.members {
		if a != t.self && m.unreachable(now) {
			continue
		}
		if !m.infoKnown || m.Leaving || m.Blind {
			fallbackHubs = insertRanked(fallbackHubs, m, hubCount)
		} else {
			hubs = insertRanked(hubs, m, hubCount)
		}
		if m.infoKnown && !m.Leaving {
			byDataCentre[m.DataCentre] = insertRanked(byDataCentre[m.DataCentre], m, leaderCount)
		}
	}
	before := t.roles.leaders
	defer func() {
		if !maps.EqualFunc(before, t.roles.leaders, slices.Equal) {
			t.leadersVersion++
		}
	}()
	t.roles = roles{leaders: make(map[string][]string, len(byDataCentre))}
	for _, dc := range sortedKeys(byDataCentre) {
		list := byDataCentre[dc]
		t.roles.leaders[dc] = addressesOf(list)
		for _, m := range list {
			if !slices.Contains(before[dc], m.Address) {
				t.markChanged(m) // instances of other data centres only hear of leaders
			}
		}
	}
	hubs = append(hubs, fallbackHubs...)
	t.roles.hubs = addressesOf(hubs[:min(len(hubs), hubCount)])
	t.rolesValid, t.rolesComputedAt = true, now
}

// insertRanked inserts m into a list of at most limit members by rank.
func insertRanked(list []*member, m *member, limit int) []*member {
	i := len(list)
	for i > 0 && compareRank(m, list[i-1]) < 0 {
		i--
	}
	if i == limit {
		return list
	}
	return slices.Insert(list, i, m)[:min(len(list)+1, limit)]
}

func addressesOf(list []*member) []string {
	out := make([]string, len(list))
	for i, m := range list {
		out[i] = m.Address
	}
	return out
}

// Hubs returns the addresses of the members that read the store, which may
// include this instance. Members that are blind, leaving or of unknown Info are
// used only if there are too few others.
func (t *Table) Hubs(now time.Duration) []string { return t.rolesAt(now).hubs }

// Leaders returns the addresses of the leaders of this instance's data centre,
// which may include this instance.
func (t *Table) Leaders(now time.Duration) []string {
	return t.rolesAt(now).leaders[t.members[t.self].DataCentre]
}

// IsLeader reports whether this instance is a leader of its data centre.
func (t *Table) IsLeader(now time.Duration) bool { return slices.Contains(t.Leaders(now), t.self) }

// HubRank returns this instance's place among the hubs, or -1. It also tracks
// since when this instance is a hub.
func (t *Table) HubRank(now time.Duration) int {
	rank := slices.Index(t.Hubs(now), t.self)
	if rank < 0 {
		t.hubSince = 0
	} else if t.hubSince == 0 {
		t.hubSince = now
	}
	return rank
}

// allLeaders returns the leaders of all data centres, this instance excluded.
func (t *Table) allLeaders(now time.Duration) []string {
	var out []string
	for _, list := range t.rolesAt(now).leaders {
		for _, a := range list {
			if a != t.self {
				out = append(out, a)
			}
		}
	}
	slices.Sort(out)
	return out
}

// receivers returns the members that this instance tells of a change of the store
// at once: a hub all leaders, a leader all members of its data centre.
func (t *Table) receivers(now time.Duration) []string {
	var out []string
	leader, hub := t.IsLeader(now), t.HubRank(now) >= 0
	if hub {
		out = t.allLeaders(now)
	}
	if leader {
		for a, m := range t.members {
			if a != t.self && !m.Silent && t.sameDataCentre(a) {
				out = append(out, a)
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// listSources returns the peers from which this instance fetches member lists: the
// first leader of its data centre other than itself and, if it is a leader, the
// first hub other than itself. The lists of further ones add nothing, since each
// receives all heartbeats itself. A hub also fetches the summary of each data
// centre from its first leader.
func (t *Table) listSources(now time.Duration) []string {
	var out []string
	addFirst := func(list []string) {
		if a := firstOther(list, t.self); a != "" {
			out = append(out, a)
		}
	}
	addFirst(t.Leaders(now))
	if t.IsLeader(now) {
		addFirst(t.Hubs(now))
	}
	if t.HubRank(now) >= 0 {
		leadersOf := t.rolesAt(now).leaders
		for _, dc := range sortedKeys(leadersOf) {
			addFirst(leadersOf[dc][:1])
		}
	}
	return out
}
