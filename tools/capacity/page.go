package main

import (
	"fmt"
	"math"
	"strings"
)

// Markers around a table of the page. The first one contains the name of the
// benchmark, the size to estimate and the unit of size:
//
//	<!-- table Call 480 upstreams -->
//	...
//	<!-- end -->
const (
	markBegin = "<!-- table "
	markClose = " -->"
	markEnd   = "<!-- end -->"
)

// replaceTables returns text with every marked table replaced. A table without
// results in all stays as it is.
func replaceTables(text string, all []series) (string, error) {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(text, markBegin)
		out.WriteString(before)
		if !found {
			return out.String(), nil
		}
		head, body, ok := strings.Cut(rest, markClose)
		old, after, closed := strings.Cut(body, markEnd)
		if !ok || !closed {
			return "", fmt.Errorf("marker %q has no end: close it with %q", head, markEnd)
		}
		table, err := renderTable(head, all)
		if err != nil {
			return "", err
		}
		if table == "" {
			table = old
		}
		out.WriteString(markBegin + head + markClose + table + markEnd)
		text = after
	}
}

// renderTable returns the table for the text head of a marker, or "" if all has no
// results of its benchmark.
func renderTable(head string, all []series) (string, error) {
	var name, what string
	var at float64
	if _, err := fmt.Sscanf(head, "%s %g %s", &name, &at, &what); err != nil {
		return "", fmt.Errorf("marker %q: write \"table NAME SIZE UNIT\"", head)
	}
	var rows strings.Builder
	for _, s := range all {
		if s.name == name {
			rows.WriteString(s.row(at))
		}
	}
	if rows.Len() == 0 {
		return "", nil
	}
	return fmt.Sprintf("\n| figure | measured (%s: value) | at 0 | slope a unit | at %s |\n|---|---|---|---|---|\n%s", what, number(at), &rows), nil
}

// row returns the table row of a series, with the value estimated for size at.
func (s series) row(at float64) string {
	var measured []string
	var largest float64
	for _, p := range s.points {
		measured = append(measured, number(p.size)+": "+number(p.value))
		largest = max(largest, p.size)
	}
	a, b := fitLine(s.points)
	note := ""
	if at > largest {
		note = " (extrapolated)"
	}
	return fmt.Sprintf("| %s | %s | %s | %s | %s%s |\n", s.unit, strings.Join(measured, ", "), number(a), number(b), number(a+b*at), note)
}

// number formats x with three significant digits, and without decimals from 1000.
func number(x float64) string {
	if x == 0 {
		return "0"
	}
	if math.Abs(x) >= 1000 {
		return fmt.Sprintf("%.0f", x)
	}
	return fmt.Sprintf("%.3g", x)
}
