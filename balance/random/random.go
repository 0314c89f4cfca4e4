// Package random picks any upstream that takes new work, weighted by its
// capacity. It is a baseline to compare other policies with.
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

// draws bounds the draws of one pick.
const draws = 4

// Pick implements balance.Picker.
func (p picker) Pick(_ time.Duration, q balance.Query, rng *rand.Rand) (int, bool) {
	for range draws {
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
