package gateway

import (
	"sync"
	"time"
)

// Shares of the fleet's measuring budget.
const (
	// probeShareUsed is left below 1 for views of the fleet that differ, and
	// for what processes have at their start.
	probeShareUsed = 0.7
	// probeBurst is the time over which unspent probes pile up; the budget
	// is an average over longer.
	probeBurst = 30 * time.Second
	// startBurst is what a process has at its start: after the failure of
	// many instances the first requests need evidence most.
	startBurst = 10 * time.Second
	// probeReserve is kept for first searches.
	probeReserve = time.Second
	// leastProbes are made for each pick, also beyond the budget: without
	// evidence a pick is a guess. Later picks pay them back.
	leastProbes = 1
)

// probeBudget is this instance's part of the measuring budget, which is set in
// probes a second of each upstream: a bucket of time, of which each probe takes
// a part that follows the numbers of upstreams and instances. It is safe for
// concurrent use.
type probeBudget struct {
	// perUpstream is the operators' bound for the whole fleet.
	perUpstream float64

	mu        sync.Mutex
	saved     time.Duration
	at        time.Duration
	upstreams int
	instances int
}

func newProbeBudget(perUpstream float64) *probeBudget {
	return &probeBudget{perUpstream: perUpstream, instances: 1, upstreams: 1, saved: startBurst}
}

// set changes the operators' bound.
func (b *probeBudget) set(perUpstream float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.perUpstream = perUpstream
}

// size takes the numbers of upstreams and of instances; 0 leaves one as it is.
func (b *probeBudget) size(upstreams, instances int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if upstreams > 0 {
		b.upstreams = upstreams
	}
	if instances > 0 {
		b.instances = instances
	}
}

// cost is the part of the bucket that one probe takes.
func (b *probeBudget) cost() time.Duration {
	perSecond := probeShareUsed * b.perUpstream * float64(b.upstreams) / float64(b.instances)
	return time.Duration(float64(time.Second) / perSecond)
}

func (b *probeBudget) fill(now time.Duration) {
	if now > b.at {
		b.saved = min(b.saved+now-b.at, probeBurst)
		b.at = now
	}
}

// take returns how many of n probes may be made for a first search, at least
// leastProbes.
func (b *probeBudget) take(now time.Duration, n int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now)
	cost := b.cost()
	n = min(n, max(leastProbes, int(b.saved/cost)))
	b.saved -= time.Duration(n) * cost
	return n
}

// spare takes n probes for a further search; false where the budget has none
// to spare for it.
func (b *probeBudget) spare(now time.Duration, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now)
	need := time.Duration(n) * b.cost()
	if b.saved < need+probeReserve {
		return false
	}
	b.saved -= need
	return true
}
