package config

import (
	"encoding/json"
	"fmt"
	"sort"
)

// ChangeKind says what happens to a subject.
type ChangeKind string

// Kinds of changes.
const (
	Gained  ChangeKind = "gained"
	Lost    ChangeKind = "lost"
	Changed ChangeKind = "changed"
)

// Subject is the kind of thing that changes.
type Subject string

// Subjects of changes.
const (
	SubjectSite       Subject = "site"
	SubjectDataCentre Subject = "data_centre"
	SubjectMaxEntries Subject = "max_entries"
	SubjectLookup     Subject = "lookup"
	SubjectPermitKey  Subject = "permit_key"
	SubjectService    Subject = "service"
	SubjectUpstream   Subject = "upstream"
	SubjectRules      Subject = "rules"
)

// Change is one thing that a plan changes.
type Change struct {
	Kind    ChangeKind `json:"kind"`
	Subject Subject    `json:"subject"`
	// Service is the service concerned; empty for none.
	Service string `json:"service,omitempty"`
	// Name is the upstream, data centre, key or service concerned.
	Name string `json:"name,omitempty"`
	// Fields are the fields changed, for Changed alone.
	Fields []FieldChange `json:"fields,omitempty"`
}

// FieldChange is one field with its JSON before and after; empty for absent.
type FieldChange struct {
	Field string `json:"field"`
	From  string `json:"from,omitempty"`
	To    string `json:"to,omitempty"`
}

// Diff returns what changes from one document to another, in a fixed order.
// A nil document is empty. Secrets are not shown.
func Diff(from, to *Document) []Change {
	if from == nil {
		from = &Document{}
	}
	if to == nil {
		to = &Document{}
	}
	d := differ{}
	d.scalar(SubjectSite, from.Site, to.Site)
	d.scalar(SubjectMaxEntries, from.MaxEntries, to.MaxEntries)
	d.fields(Change{Subject: SubjectLookup}, from.Lookup, to.Lookup)
	compare(&d, SubjectDataCentre, "", from.DataCentres, to.DataCentres, func(v DataCentre) string { return v.Name })
	d.keys(from.PermitKeys, to.PermitKeys)
	d.services(from.Services, to.Services)
	return d.out
}

type differ struct{ out []Change }

func (d *differ) scalar(s Subject, from, to any) {
	if from != to {
		d.out = append(d.out, Change{Kind: Changed, Subject: s, Fields: []FieldChange{{Field: string(s), From: text(from), To: text(to)}}})
	}
}

// fields compares two values of one struct type by their JSON fields.
func (d *differ) fields(c Change, from, to any) {
	c.Fields = fieldChanges(from, to)
	if len(c.Fields) > 0 {
		c.Kind = Changed
		d.out = append(d.out, c)
	}
}

func (d *differ) keys(from, to []PermitKey) {
	digest := func(keys []PermitKey) (out []PermitKey) {
		for _, k := range keys {
			out = append(out, PermitKey{ID: k.ID, Secret: []byte(Digest(k.Secret)[:6])})
		}
		return out
	}
	compare(d, SubjectPermitKey, "", digest(from), digest(to), func(v PermitKey) string { return v.ID })
	if len(from) > 0 && len(to) > 0 && from[0].ID != to[0].ID {
		d.out = append(d.out, Change{Kind: Changed, Subject: SubjectPermitKey, Fields: []FieldChange{{Field: "signing", From: from[0].ID, To: to[0].ID}}})
	}
}

func (d *differ) services(from, to []Service) {
	old := index(from, serviceName)
	for _, s := range to {
		was, ok := old[s.Name]
		if !ok {
			d.out = append(d.out, Change{Kind: Gained, Subject: SubjectService, Service: s.Name, Name: s.Name})
		}
		d.fields(Change{Subject: SubjectRules, Service: s.Name}, was.Rules, s.Rules)
		compare(d, SubjectUpstream, s.Name, was.Upstreams, s.Upstreams, upstreamID)
	}
	now := index(to, serviceName)
	for _, s := range from {
		if _, ok := now[s.Name]; !ok {
			d.out = append(d.out, Change{Kind: Lost, Subject: SubjectService, Service: s.Name, Name: s.Name})
			compare(d, SubjectUpstream, s.Name, s.Upstreams, nil, upstreamID)
		}
	}
}

// compare reports the items gained, lost and changed between two lists.
func compare[T any](d *differ, s Subject, service string, from, to []T, name func(T) string) {
	old, now := index(from, name), index(to, name)
	for _, v := range to {
		c := Change{Kind: Gained, Subject: s, Service: service, Name: name(v)}
		if was, ok := old[c.Name]; ok {
			d.fields(c, was, v)
			continue
		}
		d.out = append(d.out, c)
	}
	for _, v := range from {
		if _, ok := now[name(v)]; !ok {
			d.out = append(d.out, Change{Kind: Lost, Subject: s, Service: service, Name: name(v)})
		}
	}
}

func index[T any](list []T, name func(T) string) map[string]T {
	out := make(map[string]T, len(list))
	for _, v := range list {
		out[name(v)] = v
	}
	return out
}

func serviceName(s Service) string { return s.Name }

func upstreamID(u Upstream) string { return u.ID }

func fieldChanges(from, to any) []FieldChange {
	a, b := jsonFields(from), jsonFields(to)
	names := make([]string, 0, len(a)+len(b))
	for n := range a {
		names = append(names, n)
	}
	for n := range b {
		if _, ok := a[n]; !ok {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	var out []FieldChange
	for _, n := range names {
		if string(a[n]) != string(b[n]) {
			out = append(out, FieldChange{Field: n, From: string(a[n]), To: string(b[n])})
		}
	}
	return out
}

func jsonFields(v any) map[string]json.RawMessage {
	out := map[string]json.RawMessage{}
	b, err := json.Marshal(v)
	if err == nil {
		err = json.Unmarshal(b, &out)
	}
	if err != nil { // no type of a document fails to encode as an object
		panic(err)
	}
	return out
}

func text(v any) string { return fmt.Sprint(v) }
