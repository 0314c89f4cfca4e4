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
	// Unready holds, if Usable is empty, data addresses of instances that are neither
	// ready nor leaving, at most maxSummaryAddresses.
	Unready []string
}

// maxSummaryAddresses bounds the addresses in a Summary. Callers of another data
// centre only use them while their own has hardly any usable instance.
const maxSummaryAddresses = 24

// summaryEntry is a Summary with the table's version at its last change.
type summaryEntry struct {
	Summary
	changedVersion uint64
	// ignored holds the peers that sent a different summary while they were not the
	// source of it.
	ignored map[string]bool
}

// newer reports whether s replaces o.
func (s Summary) newer(o Summary) bool {
	return cmp.Or(cmp.Compare(s.Sequence, o.Sequence), cmp.Compare(s.Issuer, o.Issuer)) > 0
}

func (s Summary) equal(o Summary) bool {
	return s.Live == o.Live && slices.Equal(s.Usable, o.Usable) && slices.Equal(s.Unready, o.Unready)
}

// same reports whether s and o are the same summary of the same issuer.
func (s Summary) same(o Summary) bool {
	return s.Sequence == o.Sequence && s.Issuer == o.Issuer && s.equal(o)
}

// storeSummary replaces the summary of a data centre.
func (t *Table) storeSummary(s Summary) {
	t.version++
	e := t.summaries[s.DataCentre]
	if e == nil {
		e = &summaryEntry{ignored: map[string]bool{}}
		t.summaries[s.DataCentre] = e
	}
	e.Summary, e.changedVersion = s, t.version
}

// ownSummary describes this instance's data centre from the member list.
func (t *Table) ownSummary() Summary {
	s := Summary{DataCentre: t.members[t.self].DataCentre, Issuer: t.self}
	var usable, unready []*member
	for _, m := range t.members {
		if !m.infoKnown || m.Silent || m.DataCentre != s.DataCentre {
			continue
		}
		s.Live++
		switch {
		case m.usable():
			usable = insertRanked(usable, m, maxSummaryAddresses)
		case m.unready():
			unready = insertRanked(unready, m, maxSummaryAddresses)
		}
	}
	for _, m := range usable {
		s.Usable = append(s.Usable, m.DataAddress)
	}
	if len(usable) == 0 {
		for _, m := range unready {
			s.Unready = append(s.Unready, m.DataAddress)
		}
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

// MergeSummaries takes summaries received from the peer at the given address. Each data
// centre has one source; only as long as none is known, the newest summary wins. An
// instance that took itself for a first leader may have issued one that looks newer than
// the true leader's, who never learns of it.
func (t *Table) MergeSummaries(now time.Duration, from string, list []Summary) {
	for _, s := range list {
		old := t.summaries[s.DataCentre]
		source := t.summarySource(now, s.DataCentre)
		switch {
		case old == nil:
			t.storeSummary(s)
		case s.same(old.Summary):
		case source == from && source != "", source == "" && s.newer(old.Summary):
			t.storeSummary(s)
		default:
			old.ignored[from] = true
		}
	}
}

// summarySource returns the address from which this instance takes the summary of a data
// centre: a hub the first leader there, a leader the first other hub, another instance its
// first leader. It is one of listSources, or "" if there is none, or this instance for the
// summary that it issues.
func (t *Table) summarySource(now time.Duration, dataCentre string) string {
	leaders := t.rolesAt(now).leaders
	own := t.members[t.self].DataCentre
	switch {
	case dataCentre == own:
		return first(leaders[own])
	case t.HubRank(now) >= 0:
		return first(leaders[dataCentre])
	case t.IsLeader(now):
		return firstOther(t.Hubs(now), t.self)
	}
	return firstOther(leaders[own], t.self)
}

// takeIgnoredSources returns the sources of summaries that sent a different one before they
// were the source, and forgets that they did.
func (t *Table) takeIgnoredSources(now time.Duration) (out []string) {
	for _, dc := range sortedKeys(t.summaries) {
		source, e := t.summarySource(now, dc), t.summaries[dc]
		if e.ignored[source] {
			delete(e.ignored, source)
			out = append(out, source)
		}
	}
	return out
}

// first returns the first address of a list, or "".
func first(list []string) string { return firstOther(list, "") }

// firstOther returns the first address of a list that is not self, or "".
func firstOther(list []string, self string) string {
	for _, a := range list {
		if a != self {
			return a
		}
	}
	return ""
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
	// Unready holds instances that are neither ready nor leaving: all of this data centre,
	// and some of each other one that has no usable instance.
	Unready []Instance
	// Allocators holds the peer addresses of the leaders of all data centres, sorted.
	Allocators []string
	// Stored is the number of live instances that the store's directory names, 0 for none.
	Stored int
}

// Live returns the number of live instances of all data centres.
func (v View) Live() int {
	n := 0
	for _, live := range v.LiveIn {
		n += live
	}
	return n
}

// View returns the current view, with its instances sorted by address.
func (t *Table) View() View {
	own := t.members[t.self].DataCentre
	v := View{LiveIn: map[string]int{}}
	for _, m := range t.members {
		if !m.infoKnown || m.Silent || m.DataCentre != own {
			continue
		}
		v.LiveIn[own]++
		switch {
		case m.usable():
			v.Usable = append(v.Usable, Instance{m.DataAddress, own})
		case m.unready():
			v.Unready = append(v.Unready, Instance{m.DataAddress, own})
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
		for _, a := range s.Unready {
			v.Unready = append(v.Unready, Instance{a, dc})
		}
	}
	byAddress := func(a, b Instance) int { return strings.Compare(a.DataAddress, b.DataAddress) }
	slices.SortFunc(v.Usable, byAddress)
	slices.SortFunc(v.Unready, byAddress)
	return v
}
