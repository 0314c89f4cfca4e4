package main

import (
	"strings"
	"testing"
)

const bench = `goos: linux
pkg: example
BenchmarkSizeCall/size=60-8 	  10	 100 ns/op
BenchmarkSizeCall/size=120-8 	  10	 160 ns/op
BenchmarkOther-8 	  10	 5 ns/op
`

func TestReplaceTablesExtrapolates(t *testing.T) {
	all, err := readBenchmarks(strings.NewReader(bench))
	if err != nil {
		t.Fatal(err)
	}
	page := "a\n<!-- table Call 480 upstreams -->old<!-- end -->\nb <!-- table Absent 9 x -->kept<!-- end -->"
	got, err := replaceTables(page, all)
	if err != nil {
		t.Fatal(err)
	}
	// The line through the points is 40 ns + 1 ns per upstream; the table has seconds.
	for _, want := range []string{"| at 480 |", "5.2e-07 (extrapolated)", "60: 1e-07", "kept<!-- end -->"} {
		if !strings.Contains(got, want) {
			t.Errorf("page lacks %q:\n%s", want, got)
		}
	}
	if strings.Contains(got, "old") {
		t.Errorf("the page still contains the old table:\n%s", got)
	}
}

func TestReplaceTablesRejectsMarkerWithoutEnd(t *testing.T) {
	if _, err := replaceTables("<!-- table Call 480 upstreams -->", nil); err == nil {
		t.Error("got no error for a marker without an end")
	}
}
