// Package random picks a random upstream that takes new work, with a probability
// proportional to its capacity. It is a baseline for comparison with other
// policies.
package random

import (
	"math/rand/v2"
	"time"

	"github.com/catkinrouter/catkinrouter/balance"
)

// Builder builds the policy.
type Builder struct{}

// Name returns the policy's name.
func (Builder) Name() string { return balance.Random }

// Build returns a Picker over t.
func (Builder) Build(t *balance.Table) balance.Picker { return picker{t} }

type picker struct{ table *balance.Table }

// maxDraws is the maximum number of draws for one pick.
const maxDraws = 4

// Pick implements balance.Picker.
func (p picker) Pick(_ time.Duration, q balance.Query, rng *rand.Rand) (int, bool) {
	for range maxDraws {
		i, ok := p.table.Draw(rng)
		if !ok {
			return 0, false
		}
		if p.table.Usable(i, q) {
			return i, true
		}
	}
	return p.table.AnyUsable(q, rng)
}
