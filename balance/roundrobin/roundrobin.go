// Package roundrobin picks the upstreams that take new work in turn. It is a
// baseline for comparison with other policies.
package roundrobin

import (
	"math/rand/v2"
	"time"

	"github.com/catkinrouter/catkinrouter/balance"
)

// Builder builds the policy.
type Builder struct{}

// Name returns the policy's name.
func (Builder) Name() string { return balance.RoundRobin }

// Build returns a Picker over t.
func (Builder) Build(t *balance.Table) balance.Picker { return &picker{table: t} }

type picker struct {
	table   *balance.Table
	last    int // index of the last pick among the ready upstreams
	started bool
}

// Pick implements balance.Picker. It starts at a random upstream, so that entries
// do not pick the same upstreams in lockstep.
func (p *picker) Pick(_ time.Duration, q balance.Query, rng *rand.Rand) (int, bool) {
	ready := p.table.Ready()
	if len(ready) == 0 {
		return 0, false
	}
	if !p.started {
		p.started = true
		p.last = rng.IntN(len(ready))
	}
	for range ready {
		p.last = (p.last + 1) % len(ready)
		if i := ready[p.last]; p.table.Usable(i, q) {
			return i, true
		}
	}
	return 0, false
}
