// Package fixedseed makes rapid tests choose the same cases in every run.
package fixedseed

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // registers the flags
)

// seed is the seed of runs that name none.
const seed = "1"

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
