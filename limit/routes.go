package limit

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/balance"
)

// Routes learns which routes of a service are long work. A route is the first
// segment of the path; routes share buckets by hash, so the space is constant.
type Routes struct {
	buckets [routeBuckets]routeStat
	median  attempt.Quantile
}

type routeStat struct {
	mean    time.Duration
	samples int
	long    bool
}

const (
	routeBuckets = 256
	// routeSamples is the number of samples before a route can be long.
	routeSamples = 8
	// longRise is the mean over the service's median that makes a route long.
	longRise = 6
	// shortFall is the mean over the median that makes it short again.
	shortFall = 3
	// routeWeight is the weight of one sample in a route's mean.
	routeWeight = 8
)

// Bucket is a route's place in Routes.
type Bucket uint8

// Bucket returns the place of the path's route.
func (r *Routes) Bucket(path string) Bucket {
	path = strings.TrimPrefix(path, "/")
	if i := strings.IndexByte(path, '/'); i >= 0 {
		path = path[:i]
	}
	return Bucket(xxhash.Sum64String(path) % routeBuckets)
}

// Class returns what was learned of the route.
func (r *Routes) Class(b Bucket) balance.Class {
	if r.buckets[b].long {
		return balance.Long
	}
	return balance.Short
}

// Learn takes the latency of an answered call.
func (r *Routes) Learn(b Bucket, latency time.Duration) {
	r.median.Add(latency, 0.5)
	s := &r.buckets[b]
	s.samples++
	if s.samples == 1 {
		s.mean = latency
	}
	s.mean += (latency - s.mean) / routeWeight
	median, ok := r.median.Value()
	switch {
	case !ok || s.samples < routeSamples:
	case s.mean > longRise*median:
		s.long = true
	case s.mean < shortFall*median:
		s.long = false
	}
}
