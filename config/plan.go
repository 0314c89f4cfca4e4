package config

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Plan is a change that waits to be confirmed.
type Plan struct {
	// ID identifies the intent: the same document on the same base gives
	// the same ID.
	ID string `json:"id"`
	// Base is the revision that the plan was made against.
	Base uint64 `json:"base"`
	// Digest is that of Document.
	Digest   string          `json:"digest"`
	Document json.RawMessage `json:"document,omitempty"`
	// Summary says in a line what the plan changes.
	Summary string `json:"summary"`
	// Unchanged is set where the document is the one in force.
	Unchanged bool      `json:"unchanged,omitempty"`
	Changes   []Change  `json:"changes,omitempty"`
	Shifts    []Shift   `json:"shifts,omitempty"`
	Warnings  []Warning `json:"warnings,omitempty"`
}

// newPlan returns the plan for doc on base, whose document is from; nil for
// none. The document must have been checked.
func newPlan(base uint64, from, to *Document) (*Plan, error) {
	b, err := json.Marshal(to)
	if err != nil {
		return nil, err
	}
	p := &Plan{ID: planID(base, b), Base: base, Digest: Digest(b), Document: b}
	p.Changes = Diff(from, to)
	p.Unchanged = len(p.Changes) == 0 && from != nil
	p.Shifts = shifts(from, to)
	p.Warnings = warnings(from, to)
	p.Summary = summary(p.Changes)
	return p, nil
}

// Shift is a service's capacity in a data centre before and after a plan.
// Leaving upstreams count as no capacity.
type Shift struct {
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	// SlotsFrom and SlotsTo are the slots there.
	SlotsFrom int `json:"slots_from"`
	SlotsTo   int `json:"slots_to"`
	// ShareFrom and ShareTo are the shares of the service's slots, between
	// 0 and 1.
	ShareFrom float64 `json:"share_from"`
	ShareTo   float64 `json:"share_to"`
}

// shifts returns where a service's slots change in a data centre.
func shifts(from, to *Document) []Shift {
	old := capacities(from)
	now := capacities(to)
	var out []Shift
	for _, p := range places(from, to) {
		a, b := old[p.Service], now[p.Service]
		s := Shift{
			Service: p.Service, DataCentre: p.DataCentre,
			SlotsFrom: a.slots[p.DataCentre], SlotsTo: b.slots[p.DataCentre],
			ShareFrom: a.share(p.DataCentre), ShareTo: b.share(p.DataCentre),
		}
		if s.SlotsFrom != s.SlotsTo || s.ShareFrom != s.ShareTo {
			out = append(out, s)
		}
	}
	return out
}

// capacity is the slots of one service that are not leaving.
type capacity struct {
	slots map[string]int // by data centre
	total int
}

func (c capacity) share(dc string) float64 {
	if c.total == 0 {
		return 0
	}
	return float64(c.slots[dc]) / float64(c.total)
}

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

// place is a service in a data centre.
type place struct{ Service, DataCentre string }

// places lists where services of either document have upstreams, in the
// order of the documents.
func places(docs ...*Document) []place {
	seen := map[place]bool{}
	var out []place
	for _, d := range docs {
		if d == nil {
			continue
		}
		for _, s := range d.Services {
			for _, u := range s.Upstreams {
				p := place{s.Name, u.DataCentre}
				if !seen[p] {
					seen[p] = true
					out = append(out, p)
				}
			}
		}
	}
	return out
}

// summary counts changes by subject and kind in one bounded line.
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
	return s[:min(len(s), maxSummary)]
}
