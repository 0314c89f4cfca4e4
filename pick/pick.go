// Package pick chooses an upstream by evidence asked for at the moment of the
// choice. Servers whose pace changes within milliseconds make any older report
// a guess, so a few upstreams are asked just before each pick, near ones
// first, and the one with the least expected cost is taken. The package does
// no I/O and reads no clock.
package pick

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Report is an upstream's own word about its load.
type Report struct {
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes now, as a multiple of the usual.
	Pace float64
	// Unwell is set where its health answer was not good.
	Unwell bool
}

// Weights of the estimate.
const (
	// fullFrom is the share of busy slots from which some upstreams slow
	// down.
	fullFrom = 0.8
	// coldPace is how much longer work takes at an upstream just started.
	coldPace = 2.0
	// DefaultWork is taken for a route whose work was not yet measured.
	DefaultWork = 100 * time.Millisecond
	// silentPace is assumed of an upstream that did not answer.
	silentPace = 6.0
	// GoodEnough is the delay, as a multiple of undisturbed work, below which
	// no further upstream is asked.
	GoodEnough = 1.35
)

// ahead is the number of requests before one more.
func (r *Report) ahead(sentSince int) int { return r.Running + r.Waiting + sentSince }

// Free tells whether a slot is free for one more request.
func (r *Report) Free(sentSince int) bool { return r.ahead(sentSince) < r.Slots }

// NearlyFull tells whether one more request takes one of the last slots.
func (r *Report) NearlyFull(sentSince int) bool {
	return float64(r.ahead(sentSince)+1) > fullFrom*float64(r.Slots)
}

// Candidate is an upstream to estimate.
type Candidate struct {
	// Report is nil where the upstream did not answer.
	Report *Report
	// SentSince counts own requests that the report can't know of.
	SentSince   int
	Cold        bool
	FailureRate float64
	// Distance is the time to the upstream and back.
	Distance time.Duration
}

// Job is the request to place.
type Job struct {
	// Work is the time that it takes at an undisturbed upstream.
	Work time.Duration
	// FullFactor is how much longer work takes at nearly full upstreams of
	// the service, MeanPace the mean of its upstreams' paces: work that
	// waits before the job is done at any pace.
	FullFactor float64
	MeanPace   float64
	// FailureCost is what a failure costs, in time.
	FailureCost time.Duration
}

// Risk is the cost of the job's possible failure at the candidate.
func (j Job) Risk(c Candidate) time.Duration {
	return time.Duration(c.FailureRate * float64(j.FailureCost))
}

// Delay estimates the time that the job takes at the candidate: its own work
// at the pace of now, after that of those before it.
func (j Job) Delay(c Candidate) time.Duration {
	pace, wait := silentPace, 0.0
	if r := c.Report; r != nil {
		pace = r.Pace
		slots, full := max(1, r.Slots), 1.0
		if r.NearlyFull(c.SentSince) {
			full = j.FullFactor
		}
		if r.Unwell {
			pace += silentPace
		}
		pace *= full
		if n := r.ahead(c.SentSince) - slots + 1; n > 0 {
			wait = float64(n) / float64(slots) * full * max(1, j.MeanPace)
		}
	}
	if c.Cold {
		pace *= coldPace
	}
	return time.Duration((pace+wait)*float64(j.Work)) + c.Distance
}

// Turn is the time that a slot takes for one request, on average.
func (j Job) Turn() time.Duration { return time.Duration(max(1, j.MeanPace) * float64(j.Work)) }

// Order returns the indices of n upstreams in the order in which to ask them:
// drawn at random, those that failed lately less often. Near ones come first,
// among them those with an open connection, and crowded ones last.
func Order(n int, about func(int) Prospect, rng *rand.Rand) []int {
	type drawn struct {
		index int
		key   float64
	}
	list := make([]drawn, 0, n)
	for i := range n {
		// Weighted sampling without replacement after Efraimidis and Spirakis.
		a := about(i)
		weight := (1 - a.FailureRate) * (1 - a.FailureRate)
		key := math.Pow(rng.Float64(), 1/max(weight, 1e-3))
		if a.Near && a.FailureRate < suspectRate {
			key += nearFirst
		}
		if a.Open && a.FailureRate < suspectRate {
			key += openFirst
		}
		if a.Crowded {
			key -= crowdedLast
		}
		list = append(list, drawn{i, key})
	}
	slices.SortFunc(list, func(a, b drawn) int { return cmp.Compare(b.key, a.key) })
	out := make([]int, len(list))
	for i, d := range list {
		out[i] = d.index
	}
	return out
}

// Prospect is what is known of an upstream before it is asked.
type Prospect struct {
	Near bool
	// Open is set where a connection to it is open and idle.
	Open        bool
	Crowded     bool
	FailureRate float64
}

// Weights of a Prospect; a draw is between 0 and 1.
const (
	nearFirst   = 1.0
	openFirst   = 0.5
	crowdedLast = 3.0
	// suspectRate is the failure rate from which nearness and an open
	// connection no longer count.
	suspectRate = 0.2
)
