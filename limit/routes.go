package limit

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/balance"
)

// RouteClassifier classifies the routes of a service as short or long work by
// their latency. A route is the first segment of the path. Routes are hashed to
// buckets, so that memory is constant; routes with the same hash share a class.
type RouteClassifier struct {
	buckets [routeBuckets]routeStats
	median  attempt.Quantile
}

type routeStats struct {
	mean    time.Duration
	samples int
	long    bool
}

const (
	routeBuckets = 256
	// minRouteSamples is the number of samples needed to classify a route.
	minRouteSamples = 8
	// longRatio is the ratio of a route's mean latency to the service's median
	// above which the route becomes long work.
	longRatio = 6
	// shortRatio is the ratio below which the route becomes short work again.
	shortRatio = 3
	// routeSmoothing is the divisor of the moving average of a route's latency:
	// a sample has a weight of 1/routeSmoothing.
	routeSmoothing = 8
)

// Bucket is the index of a route in a RouteClassifier.
type Bucket uint8

// Bucket returns the index of the path's route.
func (r *RouteClassifier) Bucket(path string) Bucket {
	path = strings.TrimPrefix(path, "/")
	if i := strings.IndexByte(path, '/'); i >= 0 {
		path = path[:i]
	}
	return Bucket(xxhash.Sum64String(path) % routeBuckets)
}

// Class returns the current class of the route; it is Short until there is
// evidence that the route is long work.
func (r *RouteClassifier) Class(b Bucket) balance.Class {
	if r.buckets[b].long {
		return balance.Long
	}
	return balance.Short
}

// Observe updates the route's class with the latency of an answered call.
func (r *RouteClassifier) Observe(b Bucket, latency time.Duration) {
	r.median.Add(latency, 0.5)
	s := &r.buckets[b]
	s.samples++
	if s.samples == 1 {
		s.mean = latency
	}
	s.mean += (latency - s.mean) / routeSmoothing
	median, ok := r.median.Value()
	switch {
	case !ok || s.samples < minRouteSamples:
	case s.mean > longRatio*median:
		s.long = true
	case s.mean < shortRatio*median:
		s.long = false
	}
}
