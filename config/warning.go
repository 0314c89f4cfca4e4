package config

import "fmt"

// WarningKind classifies a warning.
type WarningKind string

// Kinds of warnings.
const (
	// WarnServiceEmpty: a service has no upstream that takes new work.
	WarnServiceEmpty WarningKind = "service-empty"
	// WarnServiceRemoved: a service is removed, and its calls are refused.
	WarnServiceRemoved WarningKind = "service-lost"
	// WarnDataCentreEmptied: a data centre loses all its slots.
	WarnDataCentreEmptied WarningKind = "data-centre-emptied"
	// WarnUpstreamNotDrained: an upstream is removed without being drained
	// first.
	WarnUpstreamNotDrained WarningKind = "upstream-not-drained"
	// WarnCapacityHalved: a service loses half its slots or more.
	WarnCapacityHalved WarningKind = "capacity-halved"
	// WarnSigningKeyRemoved: the signing key is removed or gets another
	// secret, so that permits signed with it become invalid.
	WarnSigningKeyRemoved WarningKind = "signing-key-removed"
	// WarnSigningKeyUnseen: the new signing key was not in the previous
	// configuration or had another secret there, so that instances may not
	// hold it yet.
	WarnSigningKeyUnseen WarningKind = "signing-key-unseen"
	// WarnLifetimeShortened: callers keep earlier lookup answers for their
	// longer lifetime.
	WarnLifetimeShortened WarningKind = "lifetime-shortened"
	// WarnMaxEntriesLowered: each running entry uses a larger share of the
	// budgets and connection limits.
	WarnMaxEntriesLowered WarningKind = "max-entries-lowered"
)

// Warning is a consequence of a plan that an operator may not expect. It does
// not prevent the plan from being confirmed.
type Warning struct {
	Kind WarningKind `json:"kind"`
	// Subject identifies the service, data centre, upstream, key or setting.
	Subject string `json:"subject"`
	// Text describes the consequence and, as a rule, how to avoid it.
	Text string `json:"text"`
}

// warnings returns the consequences of replacing from by to. From is nil if no
// configuration is in force.
func warnings(from, to *Document) []Warning {
	w := warningBuilder{from: from, to: to}
	w.emptyServices()
	if from == nil {
		return w.list
	}
	w.reducedServices()
	w.emptiedDataCentres()
	w.undrainedUpstreams()
	w.signingKey()
	w.loweredLimits()
	return w.list
}

// warningBuilder collects the warnings of a plan.
type warningBuilder struct {
	from, to *Document
	list     []Warning
}

func (w *warningBuilder) add(k WarningKind, subject, format string, args ...any) {
	w.list = append(w.list, Warning{Kind: k, Subject: subject, Text: fmt.Sprintf(format, args...)})
}

func (w *warningBuilder) emptyServices() {
	after := capacities(w.to)
	for _, s := range w.to.Services {
		if after[s.Name].total == 0 {
			w.add(WarnServiceEmpty, s.Name, "service %s has no upstream that takes new work: its calls are refused as not run; add or undrain one", s.Name)
		}
	}
}

// reducedServices warns of services that are removed or lose half their slots
// or more.
func (w *warningBuilder) reducedServices() {
	before, after := capacities(w.from), capacities(w.to)
	for _, s := range w.from.Services {
		c, ok := after[s.Name]
		switch {
		case !ok:
			w.add(WarnServiceRemoved, s.Name, "service %s is removed: its calls are refused as not run", s.Name)
		case c.total > 0 && 2*c.total <= before[s.Name].total:
			w.add(WarnCapacityHalved, s.Name, "service %s goes from %d to %d slots: check that its load still fits", s.Name, before[s.Name].total, c.total)
		}
	}
}

func (w *warningBuilder) emptiedDataCentres() {
	before, after := slotsByDataCentre(w.from), slotsByDataCentre(w.to)
	for _, dc := range w.from.DataCentres {
		if before[dc.Name] > 0 && after[dc.Name] == 0 {
			w.add(WarnDataCentreEmptied, dc.Name, "data centre %s goes from %d slots to none: its rooms go cold; keep an upstream there", dc.Name, before[dc.Name])
		}
	}
}

// slotsByDataCentre returns the slots of all services, without those of
// leaving upstreams.
func slotsByDataCentre(d *Document) map[string]int {
	out := map[string]int{}
	for _, c := range capacities(d) {
		for dc, n := range c.slots {
			out[dc] += n
		}
	}
	return out
}

// undrainedUpstreams warns of upstreams that are removed while they take work.
func (w *warningBuilder) undrainedUpstreams() {
	kept := map[string]bool{}
	for _, s := range w.to.Services {
		for _, u := range s.Upstreams {
			kept[u.ID] = true
		}
	}
	for _, s := range w.from.Services {
		for _, u := range s.Upstreams {
			if !kept[u.ID] && !u.Leaving {
				w.add(WarnUpstreamNotDrained, u.ID, "upstream %s is removed while it takes work: drain it first and remove it later", u.ID)
			}
		}
	}
}

// signingKey warns of key rotations that make permits invalid. To keep permits
// valid, add the new key at the end, move it to the front by a later plan and
// remove the old key by a third one.
func (w *warningBuilder) signingKey() {
	before, after := indexByName(w.from.PermitKeys, keyID), indexByName(w.to.PermitKeys, keyID)
	if len(w.from.PermitKeys) == 0 || len(w.to.PermitKeys) == 0 {
		return
	}
	signing, next := w.from.PermitKeys[0], w.to.PermitKeys[0]
	if k, ok := after[signing.ID]; !ok || string(k.Secret) != string(signing.Secret) {
		w.add(WarnSigningKeyRemoved, signing.ID, "key %s still signs: permits given out under it become void; keep it last for one lookup lifetime", signing.ID)
	}
	if k, ok := before[next.ID]; !ok || string(k.Secret) != string(next.Secret) {
		w.add(WarnSigningKeyUnseen, next.ID, "key %s signs before every instance holds it: put it last first, and in front by a later plan", next.ID)
	}
}

func keyID(k PermitKey) string { return k.ID }

// loweredLimits warns of a shorter lookup lifetime and a lower max_entries.
func (w *warningBuilder) loweredLimits() {
	if a, b := w.from.Lookup.Lifetime.D(), w.to.Lookup.Lifetime.D(); b < a {
		w.add(WarnLifetimeShortened, "lookup", "lookup lifetime goes from %v to %v: callers keep answers given out before for up to %v", a, b, a)
	}
	if a, b := w.from.MaxEntries, w.to.MaxEntries; b < a {
		w.add(WarnMaxEntriesLowered, "max_entries", "max_entries goes from %d to %d: keep it at or above the entries that run, else budgets and connection limits are passed", a, b)
	}
}
