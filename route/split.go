package route

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
)

// split distributes a route's requests among its parts. It is safe for concurrent use. Its
// cost depends on the number of parts, not on their weights.
//
// The parts are asked in turn whether they take a request, each with its share of the
// weight of those that have not been asked. An accumulator grows by that share with each
// request, and the part takes those at which it passes a whole number. It starts at a
// random point, so that the instances of a fleet don't send their first requests to the
// same part.
type split struct {
	services []string
	// shares holds the share of each service but the last, which takes the rest, and
	// points the accumulators, both in units of 2^-64.
	shares []uint64
	points []atomic.Uint64
}

// newSplit returns a split among the parts that have a weight.
func newSplit(parts []Part, rng *rand.Rand) *split {
	s := &split{}
	heaviest := 0.0
	for _, p := range parts {
		heaviest = max(heaviest, p.Weight)
	}
	var weights []float64
	rest := 0.0
	for _, p := range parts {
		if p.Weight > 0 {
			w := p.Weight / heaviest // the sum of the weights themselves may overflow
			s.services, weights, rest = append(s.services, p.Service), append(weights, w), rest+w
		}
	}
	s.points = make([]atomic.Uint64, max(0, len(weights)-1))
	for i := range s.points {
		s.shares = append(s.shares, toFixed(weights[i]/rest))
		s.points[i].Store(rng.Uint64())
		rest -= weights[i]
	}
	return s
}

// toFixed converts a number from 0 to 1 to units of 2^-64.
func toFixed(x float64) uint64 {
	if x >= 1 {
		return math.MaxUint64
	}
	return uint64(math.Ldexp(x, 64))
}

// next returns the service of the next request, empty if no part has a weight.
func (s *split) next() string {
	for i := range s.points {
		if s.points[i].Add(s.shares[i]) < s.shares[i] {
			return s.services[i]
		}
	}
	if len(s.services) == 0 {
		return ""
	}
	return s.services[len(s.services)-1]
}
