package limit

import (
	"testing"

	"github.com/catkinrouter/catkinrouter/internal/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.MainWithSize(m, fixedseed.Size{Checks: 2000, Steps: 60}) }
