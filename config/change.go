package config

import (
	"encoding/json"
	"fmt"
	"sort"
)

// ChangeKind classifies a change.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "gained"
	Removed ChangeKind = "lost"
	Changed ChangeKind = "changed"
)

// Subject is the kind of object that changes.
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

// Change is one difference between two documents.
type Change struct {
	Kind    ChangeKind `json:"kind"`
	Subject Subject    `json:"subject"`
	// Service is the name of the service concerned, empty if there is none.
	Service string `json:"service,omitempty"`
	// Name identifies the upstream, data centre, key or service concerned.
	Name string `json:"name,omitempty"`
	// Fields are the changed fields, set only for the kind Changed.
	Fields []FieldChange `json:"fields,omitempty"`
}

// FieldChange is one field with its value before and after the change. Values
// are JSON, but a site and the ID of a signing key have no quotes. An absent
// value is empty.
type FieldChange struct {
	Field string `json:"field"`
	From  string `json:"from,omitempty"`
	To    string `json:"to,omitempty"`
}

// Diff returns the differences between two documents in a deterministic order.
// A nil document counts as empty. Secrets are replaced by a prefix of their
// digest.
func Diff(from, to *Document) []Change {
	if from == nil {
		from = &Document{}
	}
	if to == nil {
		to = &Document{}
	}
	d := diffBuilder{}
	d.compareScalar(SubjectSite, from.Site, to.Site)
	d.compareScalar(SubjectMaxEntries, from.MaxEntries, to.MaxEntries)
	d.compareFields(Change{Subject: SubjectLookup}, from.Lookup, to.Lookup)
	compareLists(&d, SubjectDataCentre, "", from.DataCentres, to.DataCentres, func(v DataCentre) string { return v.Name })
	d.comparePermitKeys(from.PermitKeys, to.PermitKeys)
	d.compareServices(from.Services, to.Services)
	return d.changes
}

// diffBuilder collects changes.
type diffBuilder struct{ changes []Change }

func (d *diffBuilder) compareScalar(s Subject, from, to any) {
	if from != to {
		d.changes = append(d.changes, Change{Kind: Changed, Subject: s, Fields: []FieldChange{{Field: string(s), From: formatValue(from), To: formatValue(to)}}})
	}
}

// compareFields compares two values of one struct type by their JSON fields.
func (d *diffBuilder) compareFields(c Change, from, to any) {
	c.Fields = fieldChanges(from, to)
	if len(c.Fields) > 0 {
		c.Kind = Changed
		d.changes = append(d.changes, c)
	}
}

// comparePermitKeys compares keys by ID and by a prefix of the secret's
// digest, so that no change contains a secret. If another key signs, which is
// the first of the list, it reports that as a separate change.
func (d *diffBuilder) comparePermitKeys(from, to []PermitKey) {
	digested := func(keys []PermitKey) (out []PermitKey) {
		for _, k := range keys {
			out = append(out, PermitKey{ID: k.ID, Secret: []byte(Digest(k.Secret)[:6])})
		}
		return out
	}
	compareLists(d, SubjectPermitKey, "", digested(from), digested(to), func(v PermitKey) string { return v.ID })
	if len(from) > 0 && len(to) > 0 && from[0].ID != to[0].ID {
		d.changes = append(d.changes, Change{Kind: Changed, Subject: SubjectPermitKey, Fields: []FieldChange{{Field: "signing", From: from[0].ID, To: to[0].ID}}})
	}
}

func (d *diffBuilder) compareServices(from, to []Service) {
	before := indexByName(from, serviceName)
	for _, s := range to {
		previous, ok := before[s.Name]
		if !ok {
			d.changes = append(d.changes, Change{Kind: Added, Subject: SubjectService, Service: s.Name, Name: s.Name})
		}
		d.compareFields(Change{Subject: SubjectRules, Service: s.Name}, previous.Rules, s.Rules)
		compareLists(d, SubjectUpstream, s.Name, previous.Upstreams, s.Upstreams, upstreamID)
	}
	after := indexByName(to, serviceName)
	for _, s := range from {
		if _, ok := after[s.Name]; !ok {
			d.changes = append(d.changes, Change{Kind: Removed, Subject: SubjectService, Service: s.Name, Name: s.Name})
			compareLists(d, SubjectUpstream, s.Name, s.Upstreams, nil, upstreamID)
		}
	}
}

// compareLists appends a change for each item that was added, removed or
// changed between two lists.
func compareLists[T any](d *diffBuilder, s Subject, service string, from, to []T, name func(T) string) {
	before, after := indexByName(from, name), indexByName(to, name)
	for _, v := range to {
		c := Change{Kind: Added, Subject: s, Service: service, Name: name(v)}
		if previous, ok := before[c.Name]; ok {
			d.compareFields(c, previous, v)
			continue
		}
		d.changes = append(d.changes, c)
	}
	for _, v := range from {
		if _, ok := after[name(v)]; !ok {
			d.changes = append(d.changes, Change{Kind: Removed, Subject: s, Service: service, Name: name(v)})
		}
	}
}

func indexByName[T any](list []T, name func(T) string) map[string]T {
	out := make(map[string]T, len(list))
	for _, v := range list {
		out[name(v)] = v
	}
	return out
}

func serviceName(s Service) string { return s.Name }

func upstreamID(u Upstream) string { return u.ID }

// fieldChanges returns the JSON fields that differ, sorted by name.
func fieldChanges(from, to any) []FieldChange {
	before, after := jsonFields(from), jsonFields(to)
	names := make([]string, 0, len(before)+len(after))
	for n := range before {
		names = append(names, n)
	}
	for n := range after {
		if _, ok := before[n]; !ok {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	var out []FieldChange
	for _, n := range names {
		if string(before[n]) != string(after[n]) {
			out = append(out, FieldChange{Field: n, From: string(before[n]), To: string(after[n])})
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
	if err != nil { // every type of a document encodes as a JSON object
		panic(err)
	}
	return out
}

func formatValue(v any) string { return fmt.Sprint(v) }
