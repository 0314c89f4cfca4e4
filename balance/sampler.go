package balance

import (
	"math/rand/v2"
	"sort"
)

// sampler draws upstreams that take new work, weighted by capacity, in a
// time logarithmic in their number. The upstreams of a data centre stand
// together, so that it can draw from one data centre alone.
type sampler struct {
	ready []int
	upTo  []float64 // sum of the capacities of ready, this one included
	first []int     // of each data centre, in ready; one more for the end
}

func (s *sampler) build(rows []row, places int) {
	s.ready, s.upTo, s.first = s.ready[:0], s.upTo[:0], s.first[:0]
	sum := 0.0
	for dc := range places {
		s.first = append(s.first, len(s.ready))
		for i := range rows {
			if rows[i].dc != dc || rows[i].weight <= 0 {
				continue
			}
			sum += rows[i].capacity()
			s.ready = append(s.ready, i)
			s.upTo = append(s.upTo, sum)
		}
	}
	s.first = append(s.first, len(s.ready))
}

func (r *row) capacity() float64 { return float64(r.Slots) * r.weight }

func (s *sampler) draw(rng *rand.Rand) (int, bool) { return s.drawRange(rng, 0, len(s.ready)) }

func (s *sampler) drawFrom(rng *rand.Rand, dc int) (int, bool) {
	return s.drawRange(rng, s.first[dc], s.first[dc+1])
}

func (s *sampler) drawRange(rng *rand.Rand, from, to int) (int, bool) {
	if from >= to {
		return 0, false
	}
	low := 0.0
	if from > 0 {
		low = s.upTo[from-1]
	}
	x := low + rng.Float64()*(s.upTo[to-1]-low)
	k := sort.SearchFloat64s(s.upTo[from:to], x)
	return s.ready[from+min(k, to-from-1)], true
}
