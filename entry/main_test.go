package entry

import (
	"testing"

	"github.com/catkinrouter/catkinrouter/internal/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.MainWithSize(m, fixedseed.Size{Checks: 1000, Steps: 200}) }
