package gateway

import (
	"cmp"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/admission"
)

// Each load is answered well with the least-cost order, and not with the order by
// priority. Guards against an order that is not in force, or does not help under the load
// for which it is meant.
func TestLeastCostOrderReplays(t *testing.T) {
	for _, l := range replayLoads() {
		t.Run(l.name, func(t *testing.T) {
			on, off := map[int]tally{}, map[int]tally{}
			for seed := range replaySeeds {
				arrivals := l.arrivals(rand.New(rand.NewPCG(3, uint64(seed))))
				addTallies(on, (&replay{paces: l.paces, down: l.down}).run(admission.LeastCost, arrivals))
				addTallies(off, (&replay{paces: l.paces, down: l.down}).run(admission.ByPriority, arrivals))
			}
			logTally(t, l.name, on, off)
			if !l.good(on) {
				t.Errorf("with the least-cost order: %+v", on)
			}
			if l.good(off) {
				t.Errorf("the load tells nothing of the order: with the order by priority %+v", off)
			}
		})
	}
}

// replaySeeds is the number of replays of each load, with different arrival times.
const replaySeeds = 5

// addTallies adds the tallies of m to sum.
func addTallies(sum, m map[int]tally) {
	for p, t := range m {
		sum[p] = sum[p].plus(t)
	}
}

// total adds up the tallies of all priorities.
func total(m map[int]tally) (sum tally) {
	for _, t := range m {
		sum = sum.plus(t)
	}
	return sum
}

// logTally logs a row of the table in docs/CAPACITY.md for each priority.
func logTally(t *testing.T, load string, on, off map[int]tally) {
	t.Helper()
	for p := range 4 {
		if a, b := on[p], off[p]; a != (tally{}) {
			t.Logf("| %s | %d | %d, %d, %d | %d, %d, %d |", load, p, a.inTarget, a.late, a.refused, b.inTarget, b.late, b.refused)
		}
	}
	a, b := total(on), total(off)
	t.Logf("| %s | all | %d, %d, %d | %d, %d, %d |", load, a.inTarget, a.late, a.refused, b.inTarget, b.late, b.refused)
}

// stream adds arrivals like a at a rate per second within [from, to), at random times.
func stream(rng *rand.Rand, list []arrival, perSecond float64, from, to time.Duration, a arrival) []arrival {
	for at := from; ; {
		at += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
		if at >= to {
			return list
		}
		a.at = at
		list = append(list, a)
	}
}

// uniform returns n slots of pace 1.
func uniform(n int) []float64 {
	paces := make([]float64, n)
	for i := range paces {
		paces[i] = 1
	}
	return paces
}

// The callers of the replays: with one retry and a short deadline, with two and a long one,
// and downloads.
var (
	quickCaller   = arrival{target: 500 * time.Millisecond, deadline: 1500 * time.Millisecond, work: 80 * time.Millisecond, retries: 1}
	patientCaller = arrival{target: 800 * time.Millisecond, deadline: 6 * time.Second, work: 120 * time.Millisecond, retries: 2}
	download      = arrival{target: 2500 * time.Millisecond, deadline: 8 * time.Second, work: 600 * time.Millisecond, retries: 2}
)

func (a arrival) with(priority int, work time.Duration) arrival {
	a.priority, a.work = priority, cmp.Or(work, a.work)
	return a
}

// replayLoad is a load, and what its callers must get.
type replayLoad struct {
	name     string
	paces    []float64
	down     func(time.Duration) bool
	arrivals func(*rand.Rand) []arrival
	good     func(map[int]tally) bool
}

func replayLoads() []replayLoad {
	return []replayLoad{burstLoad(), outageLoad(), slowLoad(), floodLoad(), starvingLoad()}
}

// burstLoad is a burst of 3 times the capacity for 2 s, with three priorities, in a load of
// half of the capacity.
func burstLoad() replayLoad {
	arrivals := func(rng *rand.Rand) (list []arrival) {
		for p := range 3 {
			for _, w := range []time.Duration{40 * time.Millisecond, 200 * time.Millisecond} {
				list = stream(rng, list, 8.3, 0, 10*time.Second, quickCaller.with(p, w))
				list = stream(rng, list, 41.7, 3*time.Second, 5*time.Second, quickCaller.with(p, w))
			}
		}
		return list
	}
	return replayLoad{
		name: "burst of 3 times the capacity", paces: uniform(12), arrivals: arrivals,
		good: func(m map[int]tally) bool {
			return m[0].inTargetShare() > 0.975 && m[0].refusedShare() < 0.01 && total(m).refusedShare() < 0.33 && total(m).inTargetShare() > 0.6
		},
	}
}

// outageLoad is an outage of 1 s under full load; all callers return.
func outageLoad() replayLoad {
	arrivals := func(rng *rand.Rand) (list []arrival) {
		for p := range 3 {
			for _, w := range []time.Duration{40 * time.Millisecond, 200 * time.Millisecond} {
				list = stream(rng, list, 16.7, 0, 10*time.Second, quickCaller.with(p, w))
			}
		}
		return list
	}
	return replayLoad{
		name: "outage of 1 s under full load", paces: uniform(12), arrivals: arrivals,
		down: func(now time.Duration) bool { return now >= 4*time.Second && now < 5*time.Second },
		good: func(m map[int]tally) bool {
			return m[0].inTargetShare() > 0.9 && m[0].refusedShare() < 0.03 && total(m).refusedShare() < 0.11
		},
	}
}

// slowLoad has a share of 0.4 of the upstreams that is 12 times slower.
func slowLoad() replayLoad {
	paces := uniform(20)
	for i := range 8 {
		paces[i] = 12
	}
	arrivals := func(rng *rand.Rand) (list []arrival) {
		for p := range 3 {
			for _, w := range []time.Duration{60 * time.Millisecond, 180 * time.Millisecond} {
				list = stream(rng, list, 20, 0, 10*time.Second, patientCaller.with(p, w))
			}
		}
		return list
	}
	return replayLoad{
		name: "0.4 of the upstreams 12 times slower", paces: paces, arrivals: arrivals,
		good: func(m map[int]tally) bool {
			return total(m).inTargetShare() > 0.85 && total(m).refusedShare() < 0.06 && m[2].refusedShare() < 0.2
		},
	}
}

// floodLoad is a flood of long work of low priority ahead of short urgent work.
func floodLoad() replayLoad {
	arrivals := func(rng *rand.Rand) (list []arrival) {
		list = stream(rng, list, 40, 0, 10*time.Second, download.with(3, 0))
		list = stream(rng, list, 60, 1*time.Second, 10*time.Second, quickCaller.with(0, 0))
		list = stream(rng, list, 40, 1*time.Second, 10*time.Second, quickCaller.with(1, 0))
		return list
	}
	return replayLoad{
		name: "flood of long work of low priority", paces: uniform(12), arrivals: arrivals,
		good: func(m map[int]tally) bool {
			return m[0].inTargetShare() > 0.99 && m[1].inTargetShare() > 0.85 && m[1].refusedShare() < 0.02 && m[3].inTargetShare() > 0.25
		},
	}
}

// starvingLoad is urgent work that takes all capacity for longer than a less urgent call's
// deadline.
func starvingLoad() replayLoad {
	arrivals := func(rng *rand.Rand) (list []arrival) {
		list = stream(rng, list, 160, 0, 15*time.Second, quickCaller.with(0, 0))
		rare := arrival{target: 3600 * time.Millisecond, deadline: 4 * time.Second, work: 80 * time.Millisecond, retries: 2}
		list = stream(rng, list, 10, 1*time.Second, 10*time.Second, rare.with(2, 0))
		return list
	}
	return replayLoad{
		name: "starving priority", paces: uniform(12), arrivals: arrivals,
		good: func(m map[int]tally) bool { return m[2].inTargetShare() > 0.9 && m[0].inTargetShare() > 0.85 },
	}
}
