package balance

import (
	"math/rand/v2"
	"sort"
)

// sampler draws upstreams that take new work, with a probability proportional
// to their capacity, in a time logarithmic in their number. The upstreams of a
// data centre are contiguous, so that it can draw from a single data centre.
type sampler struct {
	ready      []int
	cumulative []float64 // sum of the capacities of ready up to and including this one
	dcStart    []int     // start of each data centre in ready, plus the end of the last
}

func (s *sampler) build(rows []row, dataCentres int) {
	s.ready, s.cumulative, s.dcStart = s.ready[:0], s.cumulative[:0], s.dcStart[:0]
	sum := 0.0
	for dc := range dataCentres {
		s.dcStart = append(s.dcStart, len(s.ready))
		for i := range rows {
			if rows[i].dc != dc || rows[i].weight <= 0 {
				continue
			}
			sum += rows[i].capacity()
			s.ready = append(s.ready, i)
			s.cumulative = append(s.cumulative, sum)
		}
	}
	s.dcStart = append(s.dcStart, len(s.ready))
}

func (r *row) capacity() float64 { return float64(r.Slots) * r.weight }

func (s *sampler) draw(rng *rand.Rand) (int, bool) { return s.drawRange(rng, 0, len(s.ready)) }

func (s *sampler) drawFrom(rng *rand.Rand, dc int) (int, bool) {
	return s.drawRange(rng, s.dcStart[dc], s.dcStart[dc+1])
}

func (s *sampler) drawRange(rng *rand.Rand, from, to int) (int, bool) {
	if from >= to {
		return 0, false
	}
	low := 0.0
	if from > 0 {
		low = s.cumulative[from-1]
	}
	x := low + rng.Float64()*(s.cumulative[to-1]-low)
	k := sort.SearchFloat64s(s.cumulative[from:to], x)
	return s.ready[from+min(k, to-from-1)], true
}
