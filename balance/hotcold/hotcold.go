// Package hotcold draws random candidates and picks the best of them. Candidates
// with more load than most upstreams, or with most slots busy, are hot and
// ranked by load. The others are cold, rank before hot ones and are ranked by
// latency. The rule follows B. Wydrowski and others, "Load is not what you should
// balance: Introducing Prequal", NSDI 2024. In addition, each data centre's share
// of work is kept near its share of capacity; locality only breaks ties.
package hotcold

import (
	"math/rand/v2"
	"time"

	"github.com/catkinrouter/catkinrouter/balance"
)

const (
	// maxCandidates is the maximum number of upstreams that a pick compares.
	maxCandidates = 8
	// maxDraws is the maximum number of draws for one pick.
	maxDraws = 2 * maxCandidates
	// busyLoad is the load per slot from which a request is likely to wait for
	// a slot. Above it an upstream is hot, whatever the load of the others.
	busyLoad = 0.7
	// Two candidates tie if their latencies differ by at most the share
	// latencyTolerance, and their loads by at most loadTolerance per slot.
	latencyTolerance = 0.1
	loadTolerance    = 0.05
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
	// aboveShare is set if the data centre has more than its share of work.
	aboveShare bool
	hot        bool
	local      bool
	load       float64
	latency    float64
}

// Pick implements balance.Picker.
func (p *picker) Pick(now time.Duration, q balance.Query, rng *rand.Rand) (int, bool) {
	var best candidate
	found := 0
	for range maxDraws {
		i, ok := p.table.DrawBalanced(rng)
		if !ok {
			return 0, false
		}
		if !p.table.Usable(i, q) || found > 0 && i == best.upstream {
			continue
		}
		c := p.evaluate(now, i, q.Class)
		if found == 0 || better(&c, &best) {
			best = c
		}
		if found++; found == maxCandidates {
			break
		}
	}
	if found == 0 {
		return p.table.AnyUsable(q, rng)
	}
	return best.upstream, true
}

func (p *picker) evaluate(now time.Duration, i int, class balance.Class) candidate {
	load := p.table.Load(now, i)
	p.loads.add(load)
	return candidate{
		upstream:   i,
		aboveShare: p.table.AboveShare(i),
		hot:        load > min(p.loads.value, busyLoad),
		local:      p.table.Local(i),
		load:       load,
		latency:    p.table.Latency(now, i, class),
	}
}

// better reports whether a ranks before b.
func better(a, b *candidate) bool {
	switch {
	case a.aboveShare != b.aboveShare:
		return b.aboveShare
	case a.hot != b.hot:
		return b.hot
	case !a.hot && !approxEqual(a.latency, b.latency, latencyTolerance*b.latency):
		return a.latency < b.latency
	case !approxEqual(a.load, b.load, loadTolerance):
		return a.load < b.load
	}
	return a.local && !b.local
}

func approxEqual(a, b, tolerance float64) bool { return a-b <= tolerance && b-a <= tolerance }
