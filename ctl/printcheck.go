package ctl

import (
	"fmt"
	"io"
	"strings"

	"github.com/catkinrouter/catkinrouter/configcheck"
)

// printCheck prints the report of check as text.
func (c *command) printCheck(r *checkReport) {
	errorCount, warningCount := r.count()
	version := "unreadable"
	if r.readable {
		version = fmt.Sprintf("version %d", r.Version)
	}
	fmt.Fprintf(c.stdout, "%s, %s: %d errors, %d warnings\n", r.File, version, errorCount, warningCount)
	for _, f := range r.Findings {
		fmt.Fprintf(c.stdout, "%s: %s: %s\n  remedy: %s\n", f.Severity, locationOf(&f), f.What, f.Remedy)
	}
	switch {
	case r.NotCompared != "":
		fmt.Fprintf(c.stdout, "the version in force can't be read from %s: %s\n", r.Against, r.NotCompared)
	case !r.readable:
	case r.Against != "" && len(r.Differences) == 0:
		fmt.Fprintf(c.stdout, "no differences from %s\n", r.Against)
	case r.Against != "":
		fmt.Fprintf(c.stdout, "differences from %s:\n", r.Against)
		writeTable(c.stdout, func(w io.Writer) {
			for _, d := range r.Differences {
				fmt.Fprintf(w, "  %s\t%s\t%s\t%s\t%s\n", d.Kind, d.Section, d.Name, d.Field, formatChange(&d))
			}
		})
	}
}

// locationOf returns the location of a finding in the document.
func locationOf(f *configcheck.Finding) string {
	parts := []string{f.Section}
	if f.Row != configcheck.NoRow {
		parts = append(parts, fmt.Sprintf("row %d", f.Row))
	}
	for _, s := range []string{f.Name, f.Field} {
		if s != "" {
			parts = append(parts, s)
		}
	}
	return strings.Join(parts, ", ")
}

// formatChange returns the values of a difference.
func formatChange(d *configcheck.Difference) string {
	switch {
	case d.Field == "":
		return ""
	case d.Kind == configcheck.Added:
		return d.To
	}
	return orNone(d.From) + " -> " + orNone(d.To)
}
