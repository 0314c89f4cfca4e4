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
	// fullFrom is the share of busy slots from which some upstreams slow
	// down.
	fullFrom = 0.8
	// slowWhenFull is the factor from which room ends at fullFrom.
	slowWhenFull = 1.35
	// Requests count between fullnessLeast and fullnessMost in a Fullness,
	// beside priorWeight requests that are as fast as expected; the last
	// fullnessWeight requests count most.
	fullnessLeast  = 0.5
	priorWeight    = 2.0
	fullnessWeight = 20.0
	// fullnessWindow is the time after which half of it is forgotten.
	fullnessWindow = 8 * time.Second
	// shareStep is the weight of one report in the share of upstreams that
	// are nearly full, busyShare the share that leaves none to spare.
	shareStep    = 0.05
	busyShare    = 0.3
	fullnessMost = 2.5
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

// Weights of the paces of a service.
const (
	// paceStep is the weight of one report.
	paceStep = 0.02
	// slowPace is the pace from which an upstream counts as slow at this
	// moment.
	slowPace = 2.0
	// mostSlow is the share of slow reports from which slowness is usual,
	// and nothing to wait out.
	mostSlow = 0.7
)

// Paces follows how long work takes at a service's upstreams. The zero value
// has no reports.
type Paces struct {
	mean float64
	// slow is the share of reports that were slow.
	slow float64
}

// Add takes a report's pace.
func (p *Paces) Add(pace float64) {
	if p.mean == 0 {
		p.mean = pace
	}
	p.mean += paceStep * (pace - p.mean)
	v := 0.0
	if pace >= slowPace {
		v = 1
	}
	p.slow += paceStep * (v - p.slow)
}

// Mean is the mean pace, 0 before any report.
func (p Paces) Mean() float64 { return p.mean }

// Slow tells whether a pace is well above what most upstreams have.
func (p Paces) Slow(pace float64) bool { return pace >= slowPace && p.slow < mostSlow }

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
	// crowded is until when a report makes it likely that there is no use
	// in asking again.
	crowded time.Duration
}

// Times for which an upstream is not asked again.
const (
	// crowdedTrust is a part of the expected wait for a slot.
	crowdedTrust = 0.5
	// slowTrust follows a slow pace, silentTrust no answer: most likely the
	// question itself waits for a slot.
	slowTrust   = 75 * time.Millisecond
	silentTrust = 50 * time.Millisecond
)

// Reported takes a report, whether it shows room and whether it is slow; turn
// is the time that a slot takes for one request.
func (e *Evidence) Reported(now time.Duration, r *Report, room, slow bool, turn time.Duration) {
	e.crowded = 0
	if !room {
		n := max(1, r.ahead(0)-r.Slots+1)
		e.crowded = now + time.Duration(crowdedTrust*float64(n)/float64(max(1, r.Slots))*float64(turn))
	}
	if slow {
		e.crowded = max(e.crowded, now+slowTrust)
	}
}

// Silent takes that the upstream did not answer in time.
func (e *Evidence) Silent(now time.Duration) { e.crowded = now + silentTrust }

// Crowded tells whether the upstream has most likely no use for a request yet.
func (e *Evidence) Crowded(now time.Duration) bool { return now < e.crowded }

// Sent counts a request that goes to the upstream.
func (e *Evidence) Sent() { e.inFlight++; e.sent++ }

// Ended counts the end of a request.
func (e *Evidence) Ended() { e.inFlight-- }

// InFlight returns the number of this instance's requests at the upstream.
func (e *Evidence) InFlight() int { return e.inFlight }

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
