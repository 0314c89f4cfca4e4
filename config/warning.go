package config

import "fmt"

// WarningKind classifies a warning.
type WarningKind string

// Kinds of warnings.
const (
	// WarnServiceEmpty: a service has no upstream that takes new work.
	WarnServiceEmpty WarningKind = "service-empty"
	// WarnServiceLost: callers of a service are refused from then on.
	WarnServiceLost WarningKind = "service-lost"
	// WarnDataCentreEmptied: a data centre loses all its capacity.
	WarnDataCentreEmptied WarningKind = "data-centre-emptied"
	// WarnUpstreamCut: an upstream is removed without leaving first.
	WarnUpstreamCut WarningKind = "upstream-not-drained"
	// WarnCapacity: a service loses half its slots or more.
	WarnCapacity WarningKind = "capacity-halved"
	// WarnKeyRemoved: permits signed with a key become void.
	WarnKeyRemoved WarningKind = "signing-key-removed"
	// WarnKeyUnseen: a key signs that instances may not hold yet.
	WarnKeyUnseen WarningKind = "signing-key-unseen"
	// WarnLifetime: callers keep answers of the longer lifetime.
	WarnLifetime WarningKind = "lifetime-shortened"
	// WarnFewerEntries: running entries use larger shares of each budget.
	WarnFewerEntries WarningKind = "max-entries-lowered"
)

// Warning is a consequence that an operator may not expect. It forbids
// nothing.
type Warning struct {
	Kind WarningKind `json:"kind"`
	// Subject names the service, data centre, upstream or key.
	Subject string `json:"subject"`
	// Text says what happens and how to avoid it.
	Text string `json:"text"`
}

func warnings(from, to *Document) []Warning {
	w := warner{from: from, to: to}
	w.emptyServices()
	if from == nil {
		return w.out
	}
	w.lostServices()
	w.emptiedDataCentres()
	w.cutUpstreams()
	w.keys()
	w.limits()
	return w.out
}

type warner struct {
	from, to *Document
	out      []Warning
}

func (w *warner) add(k WarningKind, subject, format string, args ...any) {
	w.out = append(w.out, Warning{Kind: k, Subject: subject, Text: fmt.Sprintf(format, args...)})
}

func (w *warner) emptyServices() {
	now := capacities(w.to)
	for _, s := range w.to.Services {
		if now[s.Name].total == 0 {
			w.add(WarnServiceEmpty, s.Name, "service %s has no upstream that takes new work: its calls are refused as not run; add or undrain one", s.Name)
		}
	}
}

func (w *warner) lostServices() {
	old, now := capacities(w.from), capacities(w.to)
	for _, s := range w.from.Services {
		c, ok := now[s.Name]
		switch {
		case !ok:
			w.add(WarnServiceLost, s.Name, "service %s is removed: its calls are refused as not run", s.Name)
		case c.total > 0 && 2*c.total <= old[s.Name].total:
			w.add(WarnCapacity, s.Name, "service %s goes from %d to %d slots: check that its load still fits", s.Name, old[s.Name].total, c.total)
		}
	}
}

func (w *warner) emptiedDataCentres() {
	old, now := slotsByDataCentre(w.from), slotsByDataCentre(w.to)
	for _, dc := range w.from.DataCentres {
		if old[dc.Name] > 0 && now[dc.Name] == 0 {
			w.add(WarnDataCentreEmptied, dc.Name, "data centre %s goes from %d slots to none: its rooms go cold; keep an upstream there", dc.Name, old[dc.Name])
		}
	}
}

func slotsByDataCentre(d *Document) map[string]int {
	out := map[string]int{}
	for _, c := range capacities(d) {
		for dc, n := range c.slots {
			out[dc] += n
		}
	}
	return out
}

func (w *warner) cutUpstreams() {
	kept := map[string]bool{}
	for _, s := range w.to.Services {
		for _, u := range s.Upstreams {
			kept[u.ID] = true
		}
	}
	for _, s := range w.from.Services {
		for _, u := range s.Upstreams {
			if !kept[u.ID] && !u.Leaving {
				w.add(WarnUpstreamCut, u.ID, "upstream %s is removed while it takes work: drain it first and remove it later", u.ID)
			}
		}
	}
}

// keys warns of rotations that make permits void: a key is to be added, later
// moved to the front, later removed.
func (w *warner) keys() {
	old, now := index(w.from.PermitKeys, keyID), index(w.to.PermitKeys, keyID)
	if len(w.from.PermitKeys) == 0 || len(w.to.PermitKeys) == 0 {
		return
	}
	signing, next := w.from.PermitKeys[0], w.to.PermitKeys[0]
	if k, ok := now[signing.ID]; !ok || string(k.Secret) != string(signing.Secret) {
		w.add(WarnKeyRemoved, signing.ID, "key %s still signs: permits given out under it become void; keep it last for one lookup lifetime", signing.ID)
	}
	if k, ok := old[next.ID]; !ok || string(k.Secret) != string(next.Secret) {
		w.add(WarnKeyUnseen, next.ID, "key %s signs before every instance holds it: put it last first, and in front by a later plan", next.ID)
	}
}

func keyID(k PermitKey) string { return k.ID }

func (w *warner) limits() {
	if a, b := w.from.Lookup.Lifetime.D(), w.to.Lookup.Lifetime.D(); b < a {
		w.add(WarnLifetime, "lookup", "lookup lifetime goes from %v to %v: callers keep answers given out before for up to %v", a, b, a)
	}
	if a, b := w.from.MaxEntries, w.to.MaxEntries; b < a {
		w.add(WarnFewerEntries, "max_entries", "max_entries goes from %d to %d: keep it at or above the entries that run, else budgets and connection limits are passed", a, b)
	}
}
