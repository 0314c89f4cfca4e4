// Package balance picks the upstream for a request.
package balance

import "time"

// Load is the load that an upstream reports for itself.
type Load struct {
	// Outstanding is the number of requests running or queued at the upstream.
	Outstanding int
	Slots       int
	// Leaving is set if the upstream reports that it is draining.
	Leaving bool
}

// Class distinguishes short from long requests.
type Class uint8

// Classes of requests.
const (
	Short Class = iota
	Long
	classes = 2
)

// Query describes a request to pick an upstream for.
type Query struct {
	Class Class
	// Exclude lists the IDs of upstreams already tried for this call.
	Exclude []string
	// Depth is the number of calls above this one in the call tree.
	Depth int
	// NonIdempotent is set for calls that must not go to upstreams on trial.
	NonIdempotent bool
}

// Upstream describes an upstream to a Table.
type Upstream struct {
	ID         string
	DataCentre string
	// Slots is the number of requests that it runs concurrently.
	Slots int
}

// Done describes how a request to an upstream ended.
type Done struct {
	Class   Class
	Latency time.Duration
	// Failed is set for errors, timeouts and statuses of 500 and above.
	Failed bool
	// Shed is set if the upstream refused the request without running it.
	Shed bool
	// Cancelled is set if this entry cancelled the request.
	Cancelled bool
	// Leaving is set if the upstream replied that it is draining.
	Leaving bool
	// Load is the load report in the reply, or nil.
	Load *Load
}
