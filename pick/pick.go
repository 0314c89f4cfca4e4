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

// Times and weights of the estimate.
const (
	// failureWindow is the time after which an outcome counts half.
	failureWindow = 4 * time.Second
	// priorRequests weigh priorFailures against an upstream's own outcomes.
	priorRequests = 2.0
	priorFailures = 0.01
	// fullFrom is the share of busy slots from which work slows down, and
	// fullPace how much.
	fullFrom = 0.8
	fullPace = 1.4
	// coldPace is how much longer work takes at an upstream just started.
	coldPace = 2.0
	// DefaultWork is taken for a route whose work was not yet measured.
	DefaultWork = 100 * time.Millisecond
	// silentPace is assumed of an upstream that did not answer.
	silentPace = 6.0
	// GoodEnough is the cost, as a multiple of undisturbed work, below which
	// no further upstream is asked.
	GoodEnough = 1.35
)

// outcomes counts requests to one upstream; older ones count less.
type outcomes struct {
	total, failed float64
	at            time.Duration
}

func (o *outcomes) fade(now time.Duration) {
	if dt := now - o.at; dt > 0 {
		f := math.Exp2(-float64(dt) / float64(failureWindow))
		o.total, o.failed, o.at = o.total*f, o.failed*f, now
	}
}

// Evidence is what this instance knows of one incarnation of an upstream
// beside its reports. It is not safe for concurrent use.
type Evidence struct {
	outcomes outcomes
	// inFlight are this instance's own requests at the upstream.
	inFlight int
	// sent counts the requests sent, to tell which a report knows of.
	sent int
}

// Sent counts a request that goes to the upstream.
func (e *Evidence) Sent() { e.inFlight++; e.sent++ }

// Ended counts the end of a request.
func (e *Evidence) Ended() { e.inFlight-- }

// Mark returns a mark for Since.
func (e *Evidence) Mark() int { return e.sent }

// Since returns the number of requests sent since a Mark.
func (e *Evidence) Since(mark int) int { return e.sent - mark }

// Record takes an outcome. Weight is 1 for a request of this instance, less
// for weaker evidence.
func (e *Evidence) Record(now time.Duration, failed bool, weight float64) {
	e.outcomes.fade(now)
	e.outcomes.total += weight
	if failed {
		e.outcomes.failed += weight
	}
}

// FailureRate estimates the chance that a request fails.
func (e *Evidence) FailureRate(now time.Duration) float64 {
	e.outcomes.fade(now)
	return (e.outcomes.failed + priorRequests*priorFailures) / (e.outcomes.total + priorRequests)
}

// Candidate is an upstream to estimate.
type Candidate struct {
	// Report is nil where the upstream did not answer.
	Report *Report
	// Slots is taken where there is no report.
	Slots int
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
	// FailureCost is what a failure costs, in time.
	FailureCost time.Duration
}

// Cost estimates the time that the job takes at the candidate, with the cost
// of its possible failure.
func (j Job) Cost(c Candidate) time.Duration {
	pace, ahead, slots := silentPace, 0, max(1, c.Slots)
	if r := c.Report; r != nil {
		pace, slots = r.Pace, max(1, r.Slots)
		ahead = r.Running + r.Waiting + c.SentSince
		if r.Unwell {
			pace += silentPace
		}
	}
	if c.Cold {
		pace *= coldPace
	}
	if float64(ahead+1) > fullFrom*float64(slots) {
		pace *= fullPace
	}
	turns := 1.0
	if ahead >= slots {
		turns += float64(ahead-slots+1) / float64(slots)
	}
	t := time.Duration(pace * turns * float64(j.Work))
	return t + c.Distance + time.Duration(c.FailureRate*float64(j.FailureCost))
}

// Order returns the indices of n upstreams in the order in which to ask them:
// drawn at random, near ones first, and those that failed lately less often.
func Order(n int, near func(int) bool, failureRate func(int) float64, rng *rand.Rand) []int {
	type drawn struct {
		index int
		key   float64
	}
	list := make([]drawn, 0, n)
	for i := range n {
		// Weighted sampling without replacement after Efraimidis and Spirakis.
		p := failureRate(i)
		weight := (1 - p) * (1 - p)
		key := math.Pow(rng.Float64(), 1/max(weight, 1e-3))
		if near(i) && p < suspectRate {
			key++
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

// suspectRate is the failure rate from which an upstream's nearness no longer
// counts.
const suspectRate = 0.2
