// Package fixedseed makes rapid tests choose the same cases in every run.
package fixedseed

import (
	"flag"
	"os"
	"strconv"
	"testing"

	_ "pgregory.net/rapid" // registers the flags
)

// seed is the seed of runs that name none.
const seed = "1"

// Size is the length of a run of a state machine, unless flags say otherwise.
type Size struct {
	// Checks is the number of cases.
	Checks int
	// Steps is the number of actions in a case, on average.
	Steps int
}

// Sized is Main with a size other than rapid's own.
func Sized(m *testing.M, s Size) {
	for name, v := range map[string]string{
		"rapid.checks": strconv.Itoa(s.Checks), "rapid.steps": strconv.Itoa(s.Steps), "rapid.shrinktime": "3s",
	} {
		if err := flag.Set(name, v); err != nil {
			panic(err)
		}
	}
	Main(m)
}

// Main runs a package's tests with a fixed rapid seed, unless the flag
// -rapid.seed gives another; call it from TestMain.
func Main(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		if err := flag.Set("rapid.seed", seed); err != nil {
			panic(err)
		}
	}
	// A failing case is reported with its seed; no file is left behind.
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
