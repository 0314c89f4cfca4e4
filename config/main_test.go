package config_test

import (
	"flag"
	"testing"

	"github.com/catkinrouter/catkinrouter/internal/fixedseed"
)

// TestMain sets the default size of rapid runs, which flags can change.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "300", "rapid.steps": "80"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	fixedseed.Main(m)
}
