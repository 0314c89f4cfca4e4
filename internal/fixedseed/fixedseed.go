// Package fixedseed gives rapid's property tests a fixed seed, so that they use
// the same cases in every run.
package fixedseed

import (
	"flag"
	"os"
	"strconv"
	"testing"

	_ "pgregory.net/rapid" // registers the rapid.* flags
)

// defaultSeed is used if -rapid.seed is not set.
const defaultSeed = "1"

// Size is the size of a state-machine test. Command-line flags override it.
type Size struct {
	// Checks is the number of generated cases.
	Checks int
	// Steps is the average number of actions per case.
	Steps int
}

// MainWithSize is Main with a size other than rapid's default, and with
// shrinking limited to 3 s.
func MainWithSize(m *testing.M, s Size) {
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
// -rapid.seed sets another, and exits. Call it from TestMain.
func Main(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		if err := flag.Set("rapid.seed", defaultSeed); err != nil {
			panic(err)
		}
	}
	// A failing case is reproduced from the reported seed, so no fail file is
	// needed.
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
