// Package gateway is the data path towards callers and upstreams of a
// platform: it finds a request's route, asks a few upstreams for fresh
// evidence, forwards the request to the best, and repeats or refuses it. The
// names of headers and paths come in a Dialect.
package gateway

import (
	"time"

	"github.com/catkinrouter/catkinrouter/pick"
)

// Dialect names the headers and paths that callers and upstreams use.
type Dialect struct {
	// RequestID identifies one try of a caller; upstreams echo it.
	RequestID string
	// Deadline holds the milliseconds that the sender will wait.
	Deadline string
	// ExpectUpstream names the upstream that is meant; any other refuses.
	ExpectUpstream string
	// UpstreamID is how an upstream names itself in health answers.
	UpstreamID string
	// NotRun marks an upstream's answer to a request that it did not run.
	NotRun string
	// Signature marks an upstream's own answers.
	Signature string
	// Load holds an upstream's report of its load.
	Load      string
	ParseLoad func(string) (pick.Report, error)
	// LookupPlace is the query parameter of a lookup that holds the caller's
	// data centre, and EncodeLookup the body of its answer.
	LookupPlace  string
	EncodeLookup func(addresses []string, life time.Duration) ([]byte, error)
	// LookupPath and ReadyPath are served to callers and to the platform.
	LookupPath string
	ReadyPath  string
}
