// Package configcheck checks a decoded configuration document of the platform before it is
// submitted, and lists its differences from another. It does no I/O and parses nothing: what the
// decoder of the instances can't read as written is in the document's problems.
package configcheck

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/catkinrouter/catkinrouter/discovery"
	"github.com/catkinrouter/catkinrouter/platform"
	"github.com/catkinrouter/catkinrouter/route"
)

// Severity is the severity of a finding.
type Severity string

// Severities.
const (
	// Warning: the instances accept what was written, but it has no effect or contradicts
	// something else.
	Warning Severity = "warning"
	// Error: the instances can't read the document, or something in it, as written.
	Error Severity = "error"
)

// NoRow is the Row of a finding that is not about a row.
const NoRow = -1

// Finding is one thing to correct, with its location in the document.
type Finding struct {
	Severity Severity `json:"severity"`
	// Section is the table or object of the document.
	Section string `json:"section"`
	// Row is the position in the table, from 0, or NoRow.
	Row   int    `json:"row"`
	Name  string `json:"name,omitempty"`
	Field string `json:"field,omitempty"`
	// What says what is wrong, Remedy what to write instead.
	What   string `json:"what"`
	Remedy string `json:"remedy"`
}

// View is a decoded document.
type View struct {
	Document *route.Document
	// Keys holds the digests of the keys by customer.
	Keys map[string][]platform.KeyDigest
}

// Site is what is known of where the document is meant for.
type Site struct {
	// Instances is the number of instances, 0 if it is not known.
	Instances int
	// Upstreams is nil if they are not known.
	Upstreams []*discovery.Upstream
}

// Decode decodes a document. If it can't be read as a whole, it returns the finding instead.
func Decode(value []byte) (*View, *Finding) {
	doc, err := platform.DecodeDocument(value)
	if err != nil {
		return nil, unreadable(value, err)
	}
	keys, err := platform.DecodeCustomerKeys(value)
	if err != nil {
		return nil, unreadable(value, err)
	}
	return &View{Document: doc, Keys: keys}, nil
}

// unreadable returns the finding for a document that can't be read as a whole.
func unreadable(value []byte, err error) *Finding {
	f := &Finding{
		Severity: Error, Section: "document", Row: NoRow, What: err.Error(),
		Remedy: "write a whole JSON document with a version; instances would keep the configuration before",
	}
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		f.What = fmt.Sprintf("no JSON at %s: %v", position(value, syntax.Offset), syntax)
	case errors.As(err, &wrongType):
		f.Field = wrongType.Field
		f.What = fmt.Sprintf("a value of the wrong type at %s: %s", position(value, wrongType.Offset), wrongType.Value)
	}
	return f
}

// position returns the line and column of the last of the first offset bytes.
func position(value []byte, offset int64) string {
	line, column := 1, 0
	for _, b := range value[:min(max(offset, 0), int64(len(value)))] {
		if column++; b == '\n' {
			line, column = line+1, 0
		}
	}
	return fmt.Sprintf("line %d, column %d", line, column)
}

// Check returns what is to be corrected in a document, errors first.
func Check(v *View, site Site) []Finding {
	var out []Finding
	for _, p := range v.Document.Problems {
		out = append(out, problemFinding(p))
	}
	for _, rule := range rules {
		out = append(out, rule(v, site)...)
	}
	slices.SortStableFunc(out, func(a, b Finding) int { return cmp.Compare(a.Severity, b.Severity) })
	return out
}

// problemFinding returns the finding for what the decoder can't read as written.
func problemFinding(p route.Problem) Finding {
	f := Finding{Severity: Error, Section: p.Table, Row: p.Row, Name: p.Name, Field: p.Field, What: p.Why, Remedy: platform.Remedy(p)}
	if p.Effect != "" {
		f.What += " (" + p.Effect + ")"
	}
	if p.Table == platform.SectionLimits {
		f.Row = NoRow // the limits are one object
	}
	return f
}
