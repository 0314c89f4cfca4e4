// Package config defines the configuration document and its life cycle:
// validation, plans, their confirmation in the platform's store, and the copy
// that each instance holds.
package config

import (
	"encoding/json"
	"fmt"
	"time"
)

// Document is one complete configuration. A confirmed Document has a revision;
// instances adopt only revisions above their current one.
type Document struct {
	// Site names the deployment in logs and status output.
	Site string `json:"site"`
	// DataCentres lists every data centre that upstreams and entries run in.
	DataCentres []DataCentre `json:"data_centres"`
	// Services lists the services that callers may reach.
	Services []Service `json:"services"`
	// MaxEntries is the maximum number of entry instances that run at once.
	// The probe budget and the connection limit of each upstream are divided
	// by it.
	MaxEntries int `json:"max_entries"`
	// Lookup sets the size and the lifetime of address lookup answers.
	Lookup Lookup `json:"lookup"`
	// PermitKeys sign permits. The first key signs; every key verifies.
	PermitKeys []PermitKey `json:"permit_keys"`
}

// DataCentre is a location that upstreams and entries run in.
type DataCentre struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Lookup configures the answers of the address lookup.
type Lookup struct {
	// Lifetime is how long a caller may use an answer.
	Lifetime Duration `json:"lifetime"`
	// Addresses is the number of entry addresses in an answer.
	Addresses int `json:"addresses"`
}

// PermitKey is a secret key that signs and verifies permits.
type PermitKey struct {
	ID string `json:"id"`
	// Secret is the HMAC key, written in base64 in JSON.
	Secret []byte `json:"secret"`
}

// Service is a named set of upstreams and the rules for calls to them.
type Service struct {
	// Name is the service's name and the Host header that selects it.
	Name      string     `json:"name"`
	Upstreams []Upstream `json:"upstreams"`
	Rules     Rules      `json:"rules"`
}

// Upstream is one server of a service.
type Upstream struct {
	// ID is unique within the document.
	ID string `json:"id"`
	// Address is an IP address and port.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Slots is the number of requests the upstream processes concurrently.
	Slots int `json:"slots"`
	// Connections is the maximum number of connections the upstream accepts.
	Connections int `json:"connections"`
	// Leaving is set while the upstream is drained: it receives no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Rules configure the routing of calls to a service. A zero field takes the
// default that WithDefaults sets.
type Rules struct {
	// Policy is the name of the load balancing policy, by default "hotcold".
	Policy string `json:"policy,omitempty"`
	// Timeout is the time limit of a call that carries no deadline.
	Timeout Duration `json:"timeout,omitempty"`
	// MaxBody is the maximum size of a request body, in bytes.
	MaxBody int `json:"max_body,omitempty"`
	// ProbeBudget is the share of each upstream's slot time that the probes
	// of all entries together may use, between 0 and 1.
	ProbeBudget float64 `json:"probe_budget,omitempty"`
	// ProbeCost is the slot time that one probe uses.
	ProbeCost Duration `json:"probe_cost,omitempty"`
	// RetryBudget is the maximum average number of retries per call.
	RetryBudget float64 `json:"retry_budget,omitempty"`
	// HedgeBudget is the maximum average number of hedges per idempotent
	// call. Zero turns hedging off.
	HedgeBudget float64 `json:"hedge_budget,omitempty"`
	// Queue is the maximum number of calls that wait at an entry for a slot.
	Queue int `json:"queue,omitempty"`
	// LongShare is the maximum share of slots that long work may occupy.
	LongShare float64 `json:"long_share,omitempty"`
	// Routes hold settings by path; the longest matching prefix applies.
	Routes []Route `json:"routes,omitempty"`
}

// Route holds the settings for paths that start with a prefix.
type Route struct {
	Prefix string `json:"prefix"`
	// Idempotent states whether a call may run more than once. If nil, the
	// method decides: GET, HEAD, OPTIONS, PUT and DELETE are idempotent.
	Idempotent *bool `json:"idempotent,omitempty"`
	// Long marks calls that run many times longer than the others.
	Long bool `json:"long,omitempty"`
}

// Duration is a time.Duration that is encoded in JSON as a string, such as
// "250ms".
type Duration time.Duration

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalJSON encodes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes a duration from a string.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("duration %s is not a string: write it like \"250ms\"", b)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("invalid duration %q: write it like \"250ms\" or \"8s\"", s)
	}
	*d = Duration(v)
	return nil
}

// Default values of Rules.
const (
	DefaultPolicy      = "hotcold"
	DefaultTimeout     = 2 * time.Second
	DefaultMaxBody     = 1 << 20 // bytes
	DefaultProbeBudget = 0.005
	DefaultProbeCost   = 6 * time.Millisecond
	DefaultRetryBudget = 0.1
	DefaultQueue       = 64
	DefaultLongShare   = 0.5
)

// WithDefaults returns the rules with each zero field set to its default.
func (r Rules) WithDefaults() Rules {
	r.Policy = orDefault(r.Policy, DefaultPolicy)
	r.Timeout = orDefault(r.Timeout, Duration(DefaultTimeout))
	r.MaxBody = orDefault(r.MaxBody, DefaultMaxBody)
	r.ProbeBudget = orDefault(r.ProbeBudget, DefaultProbeBudget)
	r.ProbeCost = orDefault(r.ProbeCost, Duration(DefaultProbeCost))
	r.RetryBudget = orDefault(r.RetryBudget, DefaultRetryBudget)
	r.Queue = orDefault(r.Queue, DefaultQueue)
	r.LongShare = orDefault(r.LongShare, DefaultLongShare)
	return r
}

// Route returns the route whose prefix is the longest match for path, or the
// zero Route if none matches.
func (r *Rules) Route(path string) Route {
	var longest Route
	for _, rt := range r.Routes {
		if len(rt.Prefix) > len(longest.Prefix) && len(path) >= len(rt.Prefix) && path[:len(rt.Prefix)] == rt.Prefix {
			longest = rt
		}
	}
	return longest
}

// IsIdempotent reports whether a call with this method may run more than once.
func (rt Route) IsIdempotent(method string) bool {
	if rt.Idempotent != nil {
		return *rt.Idempotent
	}
	switch method {
	case "GET", "HEAD", "OPTIONS", "PUT", "DELETE":
		return true
	}
	return false
}

// orDefault returns v, or def if v is the zero value.
func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}
