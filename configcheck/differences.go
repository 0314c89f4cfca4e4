package configcheck

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/catkinrouter/catkinrouter/platform"
	"github.com/catkinrouter/catkinrouter/route"
)

// Kind is the kind of a difference.
type Kind string

// Kinds of differences.
const (
	Added   Kind = "added"
	Removed Kind = "removed"
	Changed Kind = "changed"
)

// Difference is one difference between two documents.
type Difference struct {
	Kind    Kind   `json:"kind"`
	Section string `json:"section"`
	Name    string `json:"name,omitempty"`
	// Field is empty if the whole entry was added or removed.
	Field string `json:"field,omitempty"`
	From  string `json:"from,omitempty"`
	To    string `json:"to,omitempty"`
}

// field is a field of an entry with its value as text.
type field struct{ name, value string }

// entries are the entries of a section by name.
type entries map[string][]field

// section is a section of a document, and how its entries are read.
type section struct {
	name    string
	entries func(*View) entries
}

// sections are the sections of a document in the order of the differences.
var sections = []section{
	{"document", documentEntry},
	{platform.SectionRoutes, routeEntries},
	{platform.SectionServices, serviceEntries},
	{platform.SectionCustomers, customerEntries},
}

// Compare returns the differences of a document from the one in force. Keys are shown by the
// beginning of their SHA-256.
func Compare(inForce, v *View) (out []Difference) {
	for _, s := range sections {
		from, to := s.entries(inForce), s.entries(v)
		out = append(out, s.removed(from, to)...)
		for _, name := range sortedKeys(to) {
			if before, known := from[name]; known {
				out = append(out, s.changed(name, before, to[name])...)
			} else {
				out = append(out, s.added(name, to[name])...)
			}
		}
	}
	return out
}

// removed returns a difference for each entry that is missing in to.
func (s section) removed(from, to entries) (out []Difference) {
	for _, name := range sortedKeys(from) {
		if _, kept := to[name]; !kept {
			out = append(out, Difference{Kind: Removed, Section: s.name, Name: name})
		}
	}
	return out
}

// added returns the differences for an entry that was added: one for the entry, and one for
// each field with a value.
func (s section) added(name string, fields []field) []Difference {
	out := []Difference{{Kind: Added, Section: s.name, Name: name}}
	for _, f := range fields {
		if f.value != "" {
			out = append(out, Difference{Kind: Added, Section: s.name, Name: name, Field: f.name, To: f.value})
		}
	}
	return out
}

// changed returns a difference for each field whose value changed. The fields of a section
// stand in the same order in all its entries.
func (s section) changed(name string, before, after []field) (out []Difference) {
	for i, f := range after {
		if from := before[i].value; from != f.value {
			out = append(out, Difference{Kind: Changed, Section: s.name, Name: name, Field: f.name, From: from, To: f.value})
		}
	}
	return out
}

// documentEntry returns the fields of the document as a whole as an entry without a name.
func documentEntry(v *View) entries {
	d := v.Document
	needsKey := "no"
	if d.Customers != nil {
		needsKey = "yes"
	}
	return entries{"": {
		{"version", strconv.FormatUint(d.Version, 10)},
		{"requests need a key", needsKey},
		{"limits.maxHeaderBytes", strconv.Itoa(d.Limits.MaxHeaderBytes)},
		{"limits.maxBodyBytes", strconv.Itoa(d.Limits.MaxBodyBytes)},
		{"limits.headerTimeout", d.Limits.HeaderTimeout.String()},
		{"limits.idleTimeout", d.Limits.IdleTimeout.String()},
	}}
}

// routeEntries returns the routes by name.
func routeEntries(v *View) entries {
	out := entries{}
	for i := range v.Document.Rules {
		r := &v.Document.Rules[i]
		out[uniqueName(out, nameOf(r), r.Host+r.Prefix)] = []field{
			{platform.FieldHost, r.Host},
			{platform.FieldPrefix, r.Prefix},
			{platform.FieldService, formatParts(r)},
			{"runs more than once", strconv.FormatBool(r.Idempotent)},
			{platform.FieldTimeout, r.Timeout.String()},
			{platform.FieldTarget, r.TargetLatency.String()},
			{platform.FieldPriority, strconv.Itoa(r.Priority)},
			{platform.FieldMaxAttempts, strconv.Itoa(r.MaxAttempts)},
			{platform.FieldPublic, strconv.FormatBool(r.Public)},
		}
	}
	return out
}

// uniqueName returns a name that no entry has yet: the name itself, or one with its place, or
// else with a number.
func uniqueName(known entries, name, place string) string {
	if _, taken := known[name]; !taken {
		return name
	}
	name += " at " + place
	unique := name
	for n := 2; ; n++ {
		if _, taken := known[unique]; !taken {
			return unique
		}
		unique = fmt.Sprintf("%s (%d)", name, n)
	}
}

// formatParts returns the services of a route with their weights.
func formatParts(r *route.Rule) string {
	switch {
	case r.Unreadable:
		return "can't be read"
	case len(r.Parts) == 1:
		return r.Parts[0].Service
	}
	parts := make([]string, len(r.Parts))
	for i, p := range r.Parts {
		parts[i] = fmt.Sprintf("%s:%g", p.Service, p.Weight)
	}
	return strings.Join(parts, " ")
}

// serviceEntries returns the services by name.
func serviceEntries(v *View) entries {
	out := entries{}
	for _, s := range v.Document.Services {
		// The last of several rows of one name is in force.
		out[s.Name] = []field{
			{platform.FieldHealthPath, s.HealthPath},
			{platform.FieldMaxConns, strconv.Itoa(s.MaxConns)},
			{platform.FieldColdTime, s.ColdTime.String()},
			{platform.FieldColdRate, formatNumber(s.ColdPerSecond)},
		}
	}
	return out
}

// customerEntries returns the customers by name.
func customerEntries(v *View) entries {
	out := entries{}
	for _, name := range customersOf(v) {
		c := v.Document.Customers.ByName(name)
		priority := "of the route"
		if c.HasPriority {
			priority = strconv.Itoa(c.Priority)
		}
		out[name] = []field{
			{platform.FieldPriority, priority},
			{platform.FieldRate, formatNumber(c.Limit.PerSecond)},
			{platform.FieldBurst, formatNumber(c.Limit.Burst)},
			{platform.FieldKeys, formatKeys(v.Keys[name])},
		}
	}
	return out
}

// formatNumber returns a number without trailing zeros.
func formatNumber(x float64) string { return strconv.FormatFloat(x, 'g', -1, 64) }

// shownKeyBytes is how many bytes of a key's digest are shown.
const shownKeyBytes = 4

// formatKeys returns the beginnings of the digests of keys in order.
func formatKeys(keys []platform.KeyDigest) string {
	shown := make([]string, len(keys))
	for i, d := range keys {
		shown[i] = hex.EncodeToString(d[:shownKeyBytes])
	}
	slices.Sort(shown)
	return strings.Join(shown, " ")
}
