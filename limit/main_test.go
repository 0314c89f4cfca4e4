package limit

import (
	"flag"
	"testing"

	"github.com/catkinrouter/catkinrouter/internal/fixedseed"
)

// The size of a run of a state machine, unless flags say otherwise.
const (
	checks = "2000"
	steps  = "60" // per case, on average
)

func TestMain(m *testing.M) {
	for name, v := range map[string]string{"rapid.checks": checks, "rapid.steps": steps, "rapid.shrinktime": "3s"} {
		if err := flag.Set(name, v); err != nil {
			panic(err)
		}
	}
	fixedseed.Main(m)
}
