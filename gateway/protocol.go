// Package gateway is the data path between callers and upstreams of a
// platform. It matches a request to a route, probes a few upstreams for their
// current load, forwards the request to the best of them, and retries or
// refuses it. The names of headers and paths are set by a Protocol.
package gateway

import (
	"time"

	"github.com/catkinrouter/catkinrouter/pick"
)

// Protocol holds the names of the headers and paths that callers and upstreams
// use.
type Protocol struct {
	// RequestID identifies one attempt of a caller; upstreams echo it.
	RequestID string
	// Deadline holds the time that the sender waits, in milliseconds.
	Deadline string
	// ExpectUpstream holds the ID of the intended upstream; any other upstream
	// rejects the request.
	ExpectUpstream string
	// UpstreamID holds an upstream's ID in its health replies.
	UpstreamID string
	// NotRun marks an upstream's reply to a request that it did not run.
	NotRun string
	// Signature marks replies that the upstream itself generated.
	Signature string
	// Load holds an upstream's load report, which ParseLoad decodes.
	Load      string
	ParseLoad func(string) (pick.Report, error)
	// RateLimit holds the requests a second that an upstream takes from all
	// instances together, which ParseRateLimit decodes. A reply without it sets
	// no limit.
	RateLimit      string
	ParseRateLimit func(string) (float64, error)
	// Leaving is the header in which an upstream says that it is leaving; IsLeaving
	// decodes its value, empty if there is none.
	Leaving   string
	IsLeaving func(string) bool
	// Customer holds the name of the customer whose request it is; set by this system only.
	Customer string
	// Cold holds, in health replies, for how many milliseconds the upstream stays cold.
	Cold string
	// LookupDataCentre is the query parameter of a lookup that holds the caller's
	// data centre. EncodeLookup encodes the body of the response.
	LookupDataCentre string
	EncodeLookup     func(addresses []string, life time.Duration) ([]byte, error)
	// LookupPath is served to callers, ReadyPath to the platform.
	LookupPath string
	ReadyPath  string
}
