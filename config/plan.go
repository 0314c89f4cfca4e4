package config

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Plan is a proposed configuration, which a confirm puts in force.
type Plan struct {
	// ID is derived from Base and Document: the same document on the same
	// base gives the same ID.
	ID string `json:"id"`
	// Base is the revision in force when the plan was made.
	Base uint64 `json:"base"`
	// Digest is the digest of Document.
	Digest   string          `json:"digest"`
	Document json.RawMessage `json:"document,omitempty"`
	// Summary describes the plan's changes in one line.
	Summary string `json:"summary"`
	// Unchanged is set if the document equals the one in force.
	Unchanged bool      `json:"unchanged,omitempty"`
	Changes   []Change  `json:"changes,omitempty"`
	Shifts    []Shift   `json:"shifts,omitempty"`
	Warnings  []Warning `json:"warnings,omitempty"`
}

// newPlan returns the plan that replaces from, the document of revision base,
// by to. From is nil if no configuration is in force. The caller has checked
// to.
func newPlan(base uint64, from, to *Document) (*Plan, error) {
	encoded, err := json.Marshal(to)
	if err != nil {
		return nil, err
	}
	p := &Plan{ID: planID(base, encoded), Base: base, Digest: Digest(encoded), Document: encoded}
	p.Changes = Diff(from, to)
	p.Unchanged = len(p.Changes) == 0 && from != nil
	p.Shifts = capacityShifts(from, to)
	p.Warnings = warnings(from, to)
	p.Summary = summary(p.Changes)
	return p, nil
}

// Shift is a service's capacity in a data centre before and after a plan.
// Leaving upstreams do not count.
type Shift struct {
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	// SlotsFrom and SlotsTo are the service's slots in the data centre.
	SlotsFrom int `json:"slots_from"`
	SlotsTo   int `json:"slots_to"`
	// ShareFrom and ShareTo are the data centre's shares of all slots of the
	// service, between 0 and 1.
	ShareFrom float64 `json:"share_from"`
	ShareTo   float64 `json:"share_to"`
}

// capacityShifts returns a Shift for each service and data centre in which the
// slots or their share change.
func capacityShifts(from, to *Document) []Shift {
	before := capacities(from)
	after := capacities(to)
	var out []Shift
	for _, l := range serviceLocations(from, to) {
		a, b := before[l.Service], after[l.Service]
		s := Shift{
			Service: l.Service, DataCentre: l.DataCentre,
			SlotsFrom: a.slots[l.DataCentre], SlotsTo: b.slots[l.DataCentre],
			ShareFrom: a.share(l.DataCentre), ShareTo: b.share(l.DataCentre),
		}
		if s.SlotsFrom != s.SlotsTo || s.ShareFrom != s.ShareTo {
			out = append(out, s)
		}
	}
	return out
}

// capacity counts the slots of one service's upstreams that are not leaving.
type capacity struct {
	slots map[string]int // by data centre
	total int
}

// share returns the part of the service's slots that dc has, between 0 and 1.
func (c capacity) share(dc string) float64 {
	if c.total == 0 {
		return 0
	}
	return float64(c.slots[dc]) / float64(c.total)
}

// capacities returns the capacity of each service by name.
func capacities(d *Document) map[string]capacity {
	out := map[string]capacity{}
	if d == nil {
		return out
	}
	for _, s := range d.Services {
		c := capacity{slots: map[string]int{}}
		for _, u := range s.Upstreams {
			if !u.Leaving {
				c.slots[u.DataCentre] += u.Slots
				c.total += u.Slots
			}
		}
		out[s.Name] = c
	}
	return out
}

// serviceLocation is a service in a data centre.
type serviceLocation struct{ Service, DataCentre string }

// serviceLocations lists the data centres in which services have upstreams in
// any of the documents, in the order of the documents.
func serviceLocations(docs ...*Document) []serviceLocation {
	seen := map[serviceLocation]bool{}
	var out []serviceLocation
	for _, d := range docs {
		if d == nil {
			continue
		}
		for _, s := range d.Services {
			for _, u := range s.Upstreams {
				l := serviceLocation{s.Name, u.DataCentre}
				if !seen[l] {
					seen[l] = true
					out = append(out, l)
				}
			}
		}
	}
	return out
}

// summary returns the number of changes by subject and kind in one line of at
// most maxSummaryLen bytes.
func summary(changes []Change) string {
	type key struct {
		subject Subject
		kind    ChangeKind
	}
	counts := map[key]int{}
	var order []key
	for _, c := range changes {
		k := key{c.Subject, c.Kind}
		if counts[k] == 0 {
			order = append(order, k)
		}
		counts[k]++
	}
	parts := make([]string, 0, len(order))
	for _, k := range order {
		parts = append(parts, fmt.Sprintf("%d %s %s", counts[k], k.subject, k.kind))
	}
	if len(parts) == 0 {
		return "nothing changes"
	}
	s := strings.Join(parts, ", ")
	return s[:min(len(s), maxSummaryLen)]
}
