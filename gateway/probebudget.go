package gateway

import (
	"sync"
	"time"
)

// Parameters of the probe budget. Balances and reserves are in bucket time.
const (
	// probeSafetyFactor is below 1 because instances may disagree on the
	// fleet's size, and because of the balance that processes start with.
	probeSafetyFactor = 0.7
	// maxProbeBalance caps the unused budget; the budget holds as an average
	// over longer periods.
	maxProbeBalance = 30 * time.Second
	// initialProbeBalance is what a process starts with: after a failure of
	// many instances, the first requests depend most on probes.
	initialProbeBalance = 10 * time.Second
	// probeReserve is kept for first searches.
	probeReserve = time.Second
	// minProbes are allowed for each pick even if the budget is exhausted,
	// because a pick without evidence is a guess. Later picks compensate for
	// them.
	minProbes = 1
)

// probeBudget is this instance's share of the fleet's probe budget, which is
// set in probes per second and upstream. It is a token bucket that holds time:
// the cost of a probe depends on the numbers of upstreams and instances. It is
// safe for concurrent use.
type probeBudget struct {
	// perUpstream is the limit that operators set for the whole fleet, in
	// probes per second and upstream.
	perUpstream float64

	mu         sync.Mutex
	balance    time.Duration
	refilledAt time.Duration
	upstreams  int
	instances  int
}

func newProbeBudget(perUpstream float64) *probeBudget {
	return &probeBudget{perUpstream: perUpstream, instances: 1, upstreams: 1, balance: initialProbeBalance}
}

// setLimits changes the limit that operators set.
func (b *probeBudget) setLimits(perUpstream float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.perUpstream = perUpstream
}

// setCounts sets the numbers of upstreams and of instances; 0 leaves a number
// unchanged.
func (b *probeBudget) setCounts(upstreams, instances int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if upstreams > 0 {
		b.upstreams = upstreams
	}
	if instances > 0 {
		b.instances = instances
	}
}

// cost returns how much of the bucket one probe takes.
func (b *probeBudget) cost() time.Duration {
	perSecond := probeSafetyFactor * b.perUpstream * float64(b.upstreams) / float64(b.instances)
	return time.Duration(float64(time.Second) / perSecond)
}

func (b *probeBudget) refill(now time.Duration) {
	if now > b.refilledAt {
		b.balance = min(b.balance+now-b.refilledAt, maxProbeBalance)
		b.refilledAt = now
	}
}

// take returns how many of n probes may be sent for a first search, at least
// minProbes.
func (b *probeBudget) take(now time.Duration, n int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	cost := b.cost()
	n = min(n, max(minProbes, int(b.balance/cost)))
	b.balance -= time.Duration(n) * cost
	return n
}

// takeSpare takes n probes for a further search. It returns false if that
// would leave less than probeReserve.
func (b *probeBudget) takeSpare(now time.Duration, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	need := time.Duration(n) * b.cost()
	if b.balance < need+probeReserve {
		return false
	}
	b.balance -= need
	return true
}
