// Package hotcold picks among random candidates: those with more load than
// most, or nearly all slots busy, are hot and ranked by load; the others are
// cold, go before hot ones and are ranked by latency. The rule follows B. Wydrowski and others, "Load is
// not what you should balance: Introducing Prequal", NSDI 2024. Beyond it, each
// data centre's share of work is kept near its share of capacity; locality
// only breaks ties.
package hotcold

import (
	"math/rand/v2"
	"time"

	"github.com/catkinrouter/catkinrouter/balance"
)

const (
	// candidates is the number of upstreams that a pick compares.
	candidates = 8
	// draws bounds the draws of one pick.
	draws = 2 * candidates
	// busyLoad is the load per slot from which a request is likely to wait:
	// above it an upstream is hot whatever the others' load.
	busyLoad = 0.7
	// likeLatency and likeLoad are the differences, as a share and per
	// slot, within which two candidates tie.
	likeLatency = 0.1
	likeLoad    = 0.05
)

// Builder builds the policy.
type Builder struct{}

// Name returns the policy's name.
func (Builder) Name() string { return balance.HotCold }

// Build returns a Picker over t.
func (Builder) Build(t *balance.Table) balance.Picker { return &picker{table: t} }

type picker struct {
	table *balance.Table
	loads quantile
}

type candidate struct {
	upstream int
	over     bool
	hot      bool
	local    bool
	load     float64
	latency  float64
}

// Pick implements balance.Picker.
func (p *picker) Pick(now time.Duration, q balance.Query, rng *rand.Rand) (int, bool) {
	var best candidate
	found := 0
	for range draws {
		i, ok := p.table.DrawShared(rng)
		if !ok {
			return 0, false
		}
		if !p.table.Usable(i, q) || found > 0 && i == best.upstream {
			continue
		}
		c := p.weigh(now, i, q.Class)
		if found == 0 || better(&c, &best) {
			best = c
		}
		if found++; found == candidates {
			break
		}
	}
	if found == 0 {
		return p.table.AnyUsable(q, rng)
	}
	return best.upstream, true
}

func (p *picker) weigh(now time.Duration, i int, class balance.Class) candidate {
	load := p.table.Load(now, i)
	p.loads.add(load)
	return candidate{
		upstream: i,
		over:     p.table.Over(i),
		hot:      load > min(p.loads.value, busyLoad),
		local:    p.table.Local(i),
		load:     load,
		latency:  p.table.Latency(now, i, class),
	}
}

// better tells whether a goes before b.
func better(a, b *candidate) bool {
	switch {
	case a.over != b.over:
		return b.over
	case a.hot != b.hot:
		return b.hot
	case !a.hot && !like(a.latency, b.latency, likeLatency*b.latency):
		return a.latency < b.latency
	case !like(a.load, b.load, likeLoad):
		return a.load < b.load
	}
	return a.local && !b.local
}

func like(a, b, within float64) bool { return a-b <= within && b-a <= within }
