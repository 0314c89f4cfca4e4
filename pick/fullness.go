package pick

import (
	"math"
	"time"
)

// Parameters of a Fullness.
const (
	// maxFullFactor is the Factor from which nearly full upstreams count as
	// having no room.
	maxFullFactor = 1.35
	// Time ratios are clamped to minTimeRatio and maxTimeRatio. A mean starts
	// as if priorWeight requests had taken the expected time (ratio 1), and
	// its weight is capped at maxMeanWeight requests, so that recent requests
	// count most.
	minTimeRatio  = 0.5
	maxTimeRatio  = 2.5
	priorWeight   = 2.0
	maxMeanWeight = 20.0
	// meanHalfLife is the time in which a mean's distance from 1 halves.
	meanHalfLife = 8 * time.Second
	// fullAlpha is the weight of one report in the moving average of
	// the share of upstreams without room.
	fullAlpha = 0.05
	// busyShare is the share of upstreams without room above which a service
	// has no capacity to spare.
	busyShare = 0.3
)

// Fullness tracks how much longer requests take at the nearly full upstreams
// of a service, and the share of its upstreams that have no room.
type Fullness struct {
	// notFullMean and nearlyFullMean are mean request times, as multiples of the
	// expected time, by the state of the upstream when the request was sent.
	notFullMean, nearlyFullMean decayingMean
	// fullShare is the share of load reports from upstreams without room.
	fullShare float64
}

// decayingMean is a mean with a capped weight that decays towards 1.
type decayingMean struct {
	value     float64
	weight    float64
	updatedAt time.Duration
}

// add adds v to the mean, clamped to minTimeRatio and maxTimeRatio.
func (m *decayingMean) add(now time.Duration, v float64) {
	m.decay(now)
	m.weight++
	m.value += (min(max(v, minTimeRatio), maxTimeRatio) - m.value) / m.weight
	m.weight = min(m.weight, maxMeanWeight)
}

// decay moves the mean towards 1 and its weight towards priorWeight, so that
// upstreams avoided because of old measurements are tried again.
func (m *decayingMean) decay(now time.Duration) {
	if m.weight == 0 {
		*m = decayingMean{value: 1, weight: priorWeight, updatedAt: now}
	}
	f := math.Exp2(-float64(max(0, now-m.updatedAt)) / float64(meanHalfLife))
	m.value = 1 + (m.value-1)*f
	m.weight = priorWeight + (m.weight-priorWeight)*f
	m.updatedAt = max(m.updatedAt, now)
}

// Add records the time that a request took, as a multiple of the expected
// time. The upstream had a free slot when the request was sent; nearlyFull is
// set if it was one of the last.
func (f *Fullness) Add(now time.Duration, ratio float64, nearlyFull bool) {
	if nearlyFull {
		f.nearlyFullMean.add(now, ratio)
	} else {
		f.notFullMean.add(now, ratio)
	}
}

// RecordReport records whether a load report showed an upstream with room.
func (f *Fullness) RecordReport(room bool) {
	v := 0.0
	if !room {
		v = 1
	}
	f.fullShare += fullAlpha * (v - f.fullShare)
}

// Busy reports whether so many upstreams have no room that there is no
// capacity for a second attempt of the same request.
func (f Fullness) Busy() bool { return f.fullShare > busyShare }

// Factor returns how much longer requests take at nearly full upstreams than
// at others; at least 1.
func (f Fullness) Factor(now time.Duration) float64 {
	f.notFullMean.decay(now)
	f.nearlyFullMean.decay(now)
	return max(1, f.nearlyFullMean.value/f.notFullMean.value)
}

// Room reports whether the upstream can take one more request without delaying
// it or the requests that are already running there, or serves more requests a second
// with it: at a peak, more callers are answered in time if the last slots are used,
// unless all requests there slow down by more than the slot adds. The second of two
// slots is worth its use up to a Factor of 2, the third of three up to 1.5.
func (f Fullness) Room(now time.Duration, r *Report, sentSince int) bool {
	if !r.Free(sentSince) {
		return false
	}
	ahead := float64(max(1, r.ahead(sentSince)))
	return !r.NearlyFull(sentSince) || f.Factor(now) < max(maxFullFactor, (ahead+1)/ahead)
}
