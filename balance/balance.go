// Package balance picks the upstream for a request.
package balance

import "time"

// Load is an upstream's own report of its work.
type Load struct {
	// Working is the number of requests running and queued.
	Working int
	Slots   int
	// Leaving is set where the upstream says that it is draining.
	Leaving bool
}

// Class tells short work from long work.
type Class uint8

// Classes of work.
const (
	Short Class = iota
	Long
	classes = 2
)

// Query describes a request to pick an upstream for.
type Query struct {
	Class Class
	// Exclude names upstreams that this call tried already.
	Exclude []string
	// Depth is the number of calls above this one.
	Depth int
	// NonIdempotent calls are not sent to upstreams that are on trial.
	NonIdempotent bool
}

// Upstream describes an upstream to a Table.
type Upstream struct {
	ID         string
	DataCentre string
	// Slots is the number of requests that it works on at once.
	Slots int
}

// Done tells how a request to an upstream ended.
type Done struct {
	Class   Class
	Latency time.Duration
	// Failed is set for errors, timeouts and statuses of 500 and above.
	Failed bool
	// Shed is set where the upstream refused without running the request.
	Shed bool
	// Cancelled is set where this entry gave the request up.
	Cancelled bool
	// Leaving is set where the upstream said that it is draining.
	Leaving bool
	// Load is the report on the reply; nil for none.
	Load *Load
}
