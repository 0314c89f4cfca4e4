package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Summary is what the instances of other data centres need to know of a data
// centre. Its first leader writes it.
type Summary struct {
	DataCentre string
	// Sequence orders the summaries of a data centre, then Issuer, the address
	// of the instance that wrote it: two instances may take themselves for the
	// first leader for a while.
	Sequence uint64
	Issuer   string
	// Live is the number of live instances.
	Live int
	// Usable holds data addresses that callers may use, at most
	// maxSummaryAddresses.
	Usable []string
}

// maxSummaryAddresses bounds the addresses in a Summary. Callers of another data
// centre only use them while their own has hardly any usable instance.
const maxSummaryAddresses = 24

// summaryEntry is a Summary with the table's version at its last change.
type summaryEntry struct {
	Summary
	changedVersion uint64
}

// newer reports whether s replaces o.
func (s Summary) newer(o Summary) bool {
	return cmp.Or(cmp.Compare(s.Sequence, o.Sequence), cmp.Compare(s.Issuer, o.Issuer)) > 0
}

func (s Summary) equal(o Summary) bool { return s.Live == o.Live && slices.Equal(s.Usable, o.Usable) }

// storeSummary replaces the summary of a data centre.
func (t *Table) storeSummary(s Summary) {
	t.version++
	t.summaries[s.DataCentre] = &summaryEntry{Summary: s, changedVersion: t.version}
}

// ownSummary describes this instance's data centre from the member list.
func (t *Table) ownSummary() Summary {
	s := Summary{DataCentre: t.members[t.self].DataCentre, Issuer: t.self}
	var usable []*member
	for _, m := range t.members {
		if !m.infoKnown || m.Silent || m.DataCentre != s.DataCentre {
			continue
		}
		s.Live++
		if m.usable() {
			usable = insertRanked(usable, m, maxSummaryAddresses)
		}
	}
	for _, m := range usable {
		s.Usable = append(s.Usable, m.DataAddress)
	}
	return s
}

// updateSummaries issues a new summary of this instance's data centre if this
// instance is its first leader and the summary changed. A hub also issues an
// empty one for each data centre whose known members are all unreachable.
func (t *Table) updateSummaries(now time.Duration) {
	if l := t.Leaders(now); len(l) > 0 && l[0] == t.self {
		next := t.ownSummary()
		if old := t.summaries[next.DataCentre]; old == nil || !old.equal(next) {
			if old != nil {
				next.Sequence = old.Sequence
			}
			next.Sequence++
			t.storeSummary(next)
		}
	}
	if t.HubRank(now) < 0 || now-t.hubSince < memberTimeout {
		return
	}
	for _, dc := range sortedKeys(t.summaries) {
		s := t.summaries[dc]
		if s.Live > 0 && dc != t.members[t.self].DataCentre && len(t.rolesAt(now).leaders[dc]) == 0 {
			t.storeSummary(Summary{DataCentre: dc, Sequence: s.Sequence + 1, Issuer: t.self})
		}
	}
}

// MergeSummaries keeps the newer one of each summary in list and the known one.
func (t *Table) MergeSummaries(list []Summary) {
	for _, s := range list {
		if old := t.summaries[s.DataCentre]; old == nil || s.newer(old.Summary) {
			t.storeSummary(s)
		}
	}
}

// summariesSince returns the summaries that changed after a version.
func (t *Table) summariesSince(version uint64) []Summary {
	var out []Summary
	for _, s := range t.summaries {
		if s.changedVersion > version {
			out = append(out, s.Summary)
		}
	}
	slices.SortFunc(out, func(a, b Summary) int { return strings.Compare(a.DataCentre, b.DataCentre) })
	return out
}

// Instance is an instance that callers may use.
type Instance struct {
	DataAddress string
	DataCentre  string
}

// View is what an instance knows of the fleet.
type View struct {
	// LiveIn is the number of live instances of each data centre.
	LiveIn map[string]int
	// Usable holds the instances that callers may use: all of this data centre
	// and some of each other one.
	Usable []Instance
}

// Live returns the number of live instances of all data centres.
func (v View) Live() int {
	n := 0
	for _, live := range v.LiveIn {
		n += live
	}
	return n
}

// View returns the current view, with Usable sorted by address.
func (t *Table) View() View {
	own := t.members[t.self].DataCentre
	v := View{LiveIn: map[string]int{}}
	for _, m := range t.members {
		if !m.infoKnown || m.Silent || m.DataCentre != own {
			continue
		}
		v.LiveIn[own]++
		if m.usable() {
			v.Usable = append(v.Usable, Instance{m.DataAddress, own})
		}
	}
	for dc, s := range t.summaries {
		if dc == own {
			continue
		}
		v.LiveIn[dc] = s.Live
		for _, a := range s.Usable {
			v.Usable = append(v.Usable, Instance{a, dc})
		}
	}
	slices.SortFunc(v.Usable, func(a, b Instance) int { return strings.Compare(a.DataAddress, b.DataAddress) })
	return v
}
