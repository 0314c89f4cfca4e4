// Package p2c draws two random upstreams and picks the one with fewer requests
// of this entry in flight per slot (M. Mitzenmacher, "The Power of Two Choices in
// Randomized Load Balancing", 1996). It is a baseline for comparison with other
// policies.
package p2c

import (
	"math/rand/v2"
	"time"

	"github.com/catkinrouter/catkinrouter/balance"
)

// Builder builds the policy.
type Builder struct{}

// Name returns the policy's name.
func (Builder) Name() string { return balance.P2C }

// Build returns a Picker over t.
func (Builder) Build(t *balance.Table) balance.Picker { return picker{t} }

type picker struct{ table *balance.Table }

// maxDraws is the maximum number of draws for one pick.
const maxDraws = 6

// Pick implements balance.Picker.
func (p picker) Pick(_ time.Duration, q balance.Query, rng *rand.Rand) (int, bool) {
	first := -1
	for range maxDraws {
		i, ok := p.table.Draw(rng)
		if !ok {
			return 0, false
		}
		switch {
		case i == first || !p.table.Usable(i, q):
		case first < 0:
			first = i
		case p.load(i) < p.load(first):
			return i, true
		default:
			return first, true
		}
	}
	if first >= 0 {
		return first, true
	}
	return p.table.AnyUsable(q, rng)
}

func (p picker) load(i int) float64 {
	return float64(p.table.InFlight(i)) / (float64(p.table.Upstream(i).Slots) * p.table.Weight(i))
}
