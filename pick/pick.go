// Package pick chooses an upstream from load reports that are fetched at the
// moment of the choice. The speed of servers can change within milliseconds,
// which makes an older report unreliable. So a few upstreams are probed just
// before each pick, local ones first, and the one with the lowest expected cost
// is chosen. The package does no I/O and reads no clock.
package pick

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Report is the load that an upstream reports for itself.
type Report struct {
	Running int
	Waiting int
	Slots   int
	// Pace is the upstream's current slowdown: the time that requests take
	// now, as a multiple of the usual time. Higher is slower.
	Pace float64
	// Unhealthy is set if the upstream's health check failed.
	Unhealthy bool
}

// Parameters of the delay estimate.
const (
	// nearlyFullUtilization is the share of busy slots from which some
	// upstreams slow down.
	nearlyFullUtilization = 0.8
	// coldSlowdown is the factor by which requests take longer at an upstream
	// that has just started.
	coldSlowdown = 2.0
	// DefaultWork is assumed for a route without a measured Work and without a latency
	// target.
	DefaultWork = 100 * time.Millisecond
	// targetWorkDivisor: a route's latency target divided by it is assumed as its Work.
	targetWorkDivisor = 3
	// noAnswerPace is the pace assumed for an upstream that did not answer. It
	// is added to the pace of an upstream with a failed health check.
	noAnswerPace = 6.0
	// AcceptableDelayFactor is the delay, as a multiple of Job.Work, up to which no
	// further upstreams are probed.
	AcceptableDelayFactor = 1.35
)

// InitialWork returns the Work that is assumed for a route until it is measured. target is the
// route's latency target, 0 for none.
func InitialWork(target time.Duration) time.Duration {
	if target > 0 {
		return target / targetWorkDivisor
	}
	return DefaultWork
}

// ahead returns the number of requests ahead of one more request.
func (r *Report) ahead(sentSince int) int { return r.Running + r.Waiting + sentSince }

// Free reports whether a slot is free for one more request.
func (r *Report) Free(sentSince int) bool { return r.ahead(sentSince) < r.Slots }

// NearlyFull reports whether one more request would take one of the last slots
// or wait for a slot.
func (r *Report) NearlyFull(sentSince int) bool {
	return float64(r.ahead(sentSince)+1) > nearlyFullUtilization*float64(r.Slots)
}

// Candidate is an upstream whose delay is estimated.
type Candidate struct {
	// Report is nil if the upstream did not answer.
	Report *Report
	// SentSince is the number of this instance's own requests that the report
	// does not include.
	SentSince int
	// Cold is set for an upstream that has just started.
	Cold        bool
	FailureRate float64
	// Distance is the network round-trip time to the upstream.
	Distance time.Duration
}

// Job is the request to place.
type Job struct {
	// Work is the service time at an upstream that is neither slow nor nearly
	// full.
	Work time.Duration
	// FullFactor is the factor by which requests take longer at nearly full
	// upstreams of the service.
	FullFactor float64
	// MeanPace is the mean pace of the service's upstreams. It applies to the
	// requests ahead of the job, as the pace may change while they run.
	MeanPace float64
	// FailureCost is the cost of a failed request, as a delay.
	FailureCost time.Duration
}

// Risk returns the expected cost of a failure of the job at the candidate.
func (j Job) Risk(c Candidate) time.Duration {
	return time.Duration(c.FailureRate * float64(j.FailureCost))
}

// Delay estimates how long the job takes at the candidate: the wait for a slot,
// the service time at the candidate's current pace, and the round-trip time.
func (j Job) Delay(c Candidate) time.Duration {
	pace, wait := noAnswerPace, 0.0
	if r := c.Report; r != nil {
		pace = r.Pace
		slots, full := max(1, r.Slots), 1.0
		if r.NearlyFull(c.SentSince) {
			full = j.FullFactor
		}
		if r.Unhealthy {
			pace += noAnswerPace
		}
		pace *= full
		if n := r.ahead(c.SentSince) - slots + 1; n > 0 {
			wait = float64(n) / float64(slots) * full * max(1, j.MeanPace)
		}
	}
	if c.Cold {
		pace *= coldSlowdown
	}
	return time.Duration((pace+wait)*float64(j.Work)) + c.Distance
}

// MeanServiceTime returns the mean time for which one request holds a slot.
func (j Job) MeanServiceTime() time.Duration {
	return time.Duration(max(1, j.MeanPace) * float64(j.Work))
}

// Order returns the indices of n upstreams in the order in which to probe them.
// The order is random, and upstreams with recent failures tend to come later.
// Local upstreams come first, among them those with an idle connection, and
// upstreams in probe backoff last.
func Order(n int, about func(int) Prospect, rng *rand.Rand) []int {
	type scored struct {
		index int
		score float64
	}
	list := make([]scored, 0, n)
	for i := range n {
		// Weighted random sampling without replacement: P. Efraimidis and
		// P. Spirakis, 2006.
		a := about(i)
		weight := (1 - a.FailureRate) * (1 - a.FailureRate)
		score := math.Pow(rng.Float64(), 1/max(weight, 1e-3))
		if a.Local && a.FailureRate < suspectFailureRate {
			score += localBonus
		}
		if a.IdleConn && a.FailureRate < suspectFailureRate {
			score += idleConnBonus
		}
		if a.InBackoff {
			score -= backoffPenalty
		}
		list = append(list, scored{i, score})
	}
	slices.SortFunc(list, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	out := make([]int, len(list))
	for i, d := range list {
		out[i] = d.index
	}
	return out
}

// Prospect is what is known about an upstream before it is probed.
type Prospect struct {
	// Local is set if local upstreams are preferred and this is one.
	Local bool
	// IdleConn is set if a connection to the upstream is open and idle.
	IdleConn bool
	// InBackoff is set while the upstream is in probe backoff.
	InBackoff   bool
	FailureRate float64
}

// Bonuses and penalties on the score of a Prospect, whose random part is
// between 0 and 1.
const (
	localBonus     = 1.0
	idleConnBonus  = 0.5
	backoffPenalty = 3.0
	// suspectFailureRate is the failure rate from which an upstream gets no
	// bonus.
	suspectFailureRate = 0.2
)
