// Package roundrobin picks the upstreams that take new work in turn. It is a
// baseline to compare other policies with.
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
	next    int
	started bool
}

// Pick implements balance.Picker. The first turn is random, so that entries
// do not go in step.
func (p *picker) Pick(_ time.Duration, q balance.Query, rng *rand.Rand) (int, bool) {
	ready := p.table.Ready()
	if len(ready) == 0 {
		return 0, false
	}
	if !p.started {
		p.started = true
		p.next = rng.IntN(len(ready))
	}
	for range ready {
		p.next = (p.next + 1) % len(ready)
		if i := ready[p.next]; p.table.Usable(i, q) {
			return i, true
		}
	}
	return 0, false
}
