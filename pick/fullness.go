package pick

import (
	"math"
	"time"
)

// Weights of a Fullness.
const (
	// slowWhenFull is the factor from which room ends at fullFrom.
	slowWhenFull = 1.35
	// Requests count between fullnessLeast and fullnessMost, beside
	// priorWeight requests that are as fast as expected; the last
	// fullnessWeight requests count most.
	fullnessLeast  = 0.5
	fullnessMost   = 2.5
	priorWeight    = 2.0
	fullnessWeight = 20.0
	// fullnessWindow is the time after which half of it is forgotten.
	fullnessWindow = 8 * time.Second
	// shareStep is the weight of one report in the share of upstreams that
	// are nearly full, busyShare the share that leaves none to spare.
	shareStep = 0.05
	busyShare = 0.3
)

// Fullness follows how much longer work takes at a service's upstreams that
// are nearly full, and how many are.
type Fullness struct {
	// open and full are mean times of requests, as multiples of what was
	// expected.
	open, full mean
	// share is the share of upstreams asked that were nearly full.
	share float64
}

// mean is a mean of which the first values count most and old ones fade.
type mean struct {
	value  float64
	weight float64
	at     time.Duration
}

// add takes a value between fullnessLeast and fullnessMost.
func (m *mean) add(now time.Duration, v float64) {
	m.fade(now)
	m.weight++
	m.value += (min(max(v, fullnessLeast), fullnessMost) - m.value) / m.weight
	m.weight = min(m.weight, fullnessWeight)
}

// fade draws the mean towards 1 with time, so that what was learned once is
// tried again.
func (m *mean) fade(now time.Duration) {
	if m.weight == 0 {
		*m = mean{value: 1, weight: priorWeight, at: now}
	}
	f := math.Exp2(-float64(max(0, now-m.at)) / float64(fullnessWindow))
	m.value = 1 + (m.value-1)*f
	m.weight = priorWeight + (m.weight-priorWeight)*f
	m.at = max(m.at, now)
}

// Add takes the time of a request, as a multiple of what was expected, that
// began at an upstream with a slot free.
func (f *Fullness) Add(now time.Duration, ratio float64, nearlyFull bool) {
	if nearlyFull {
		f.full.add(now, ratio)
	} else {
		f.open.add(now, ratio)
	}
}

// Asked takes a report.
func (f *Fullness) Asked(nearlyFull bool) {
	v := 0.0
	if nearlyFull {
		v = 1
	}
	f.share += shareStep * (v - f.share)
}

// Busy tells whether so many upstreams are nearly full that none has room to
// spare for a second try of the same request.
func (f Fullness) Busy() bool { return f.share > busyShare }

// Factor is how much longer work takes at nearly full upstreams.
func (f Fullness) Factor(now time.Duration) float64 {
	f.open.fade(now)
	f.full.fade(now)
	return max(1, f.full.value/f.open.value)
}

// Room tells whether the upstream can take one more request without delay to
// it or to those that it works on.
func (f Fullness) Room(now time.Duration, r *Report, sentSince int) bool {
	return r.Free(sentSince) && (!r.NearlyFull(sentSince) || f.Factor(now) < slowWhenFull)
}
