// Package config holds the configuration document that operators put in
// force: what it says, how it is checked, planned, confirmed and spread.
package config

import (
	"encoding/json"
	"fmt"
	"time"
)

// Document is one whole configuration. A confirmed Document has a revision;
// instances take only higher revisions.
type Document struct {
	// Site names the deployment in logs and status output.
	Site string `json:"site"`
	// DataCentres lists every data centre that upstreams and entries run in.
	DataCentres []DataCentre `json:"data_centres"`
	// Services lists the services that callers may reach.
	Services []Service `json:"services"`
	// MaxEntries bounds the number of entry instances that run at once. The
	// measuring budget and the connection limit are divided by it.
	MaxEntries int `json:"max_entries"`
	// Lookup sets how long callers keep looked-up addresses.
	Lookup Lookup `json:"lookup"`
	// PermitKeys sign permits. The first signs, all verify.
	PermitKeys []PermitKey `json:"permit_keys"`
}

// DataCentre is a place that upstreams and entries run in.
type DataCentre struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Lookup sets the lifetime of the answers of the address lookup.
type Lookup struct {
	// Lifetime is how long a caller may use an answer.
	Lifetime Duration `json:"lifetime"`
	// Addresses is the number of entry addresses in an answer.
	Addresses int `json:"addresses"`
}

// PermitKey is a secret that signs permits.
type PermitKey struct {
	ID string `json:"id"`
	// Secret is the HMAC key, in base64 when encoded as JSON.
	Secret []byte `json:"secret"`
}

// Service is a named set of upstreams and the rules for reaching them.
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
	// Slots is the number of requests the upstream works on at once.
	Slots int `json:"slots"`
	// Connections is the number of connections the upstream allows.
	Connections int `json:"connections"`
	// Leaving upstreams receive no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Rules say how a service's callers reach its upstreams. A zero field takes
// the default that WithDefaults gives.
type Rules struct {
	// Policy names the picking policy, by default "hotcold".
	Policy string `json:"policy,omitempty"`
	// Timeout bounds a call that states no deadline of its own.
	Timeout Duration `json:"timeout,omitempty"`
	// MaxBody bounds a request's body, in bytes.
	MaxBody int `json:"max_body,omitempty"`
	// ProbeBudget is the share of each upstream's slot time that probes
	// of the whole fleet may use, between 0 and 1.
	ProbeBudget float64 `json:"probe_budget,omitempty"`
	// ProbeCost is the slot time of one probe.
	ProbeCost Duration `json:"probe_cost,omitempty"`
	// RetryBudget is the number of retries per call, on average.
	RetryBudget float64 `json:"retry_budget,omitempty"`
	// HedgeBudget is the number of hedges per idempotent call, on average.
	// Zero turns hedging off.
	HedgeBudget float64 `json:"hedge_budget,omitempty"`
	// Queue bounds the calls that wait at an entry for a slot.
	Queue int `json:"queue,omitempty"`
	// LongShare is the share of slots that long work may hold.
	LongShare float64 `json:"long_share,omitempty"`
	// Routes give rules by path; the longest matching prefix applies.
	Routes []Route `json:"routes,omitempty"`
}

// Route gives rules for the paths below a prefix.
type Route struct {
	Prefix string `json:"prefix"`
	// Idempotent states whether a call may run more than once. Without it
	// the method decides: GET, HEAD, OPTIONS, PUT and DELETE are idempotent.
	Idempotent *bool `json:"idempotent,omitempty"`
	// Long marks work that runs many times longer than the rest.
	Long bool `json:"long,omitempty"`
}

// Duration is a time.Duration that is written as text, such as "250ms".
type Duration time.Duration

// D returns the duration as the standard library's type.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalJSON writes the duration as text.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads a duration written as text.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("duration %s is not text: write it like \"250ms\"", b)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("duration %q is not valid: write it like \"250ms\" or \"8s\"", s)
	}
	*d = Duration(v)
	return nil
}

// Defaults of Rules.
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
	r.Policy = or(r.Policy, DefaultPolicy)
	r.Timeout = or(r.Timeout, Duration(DefaultTimeout))
	r.MaxBody = or(r.MaxBody, DefaultMaxBody)
	r.ProbeBudget = or(r.ProbeBudget, DefaultProbeBudget)
	r.ProbeCost = or(r.ProbeCost, Duration(DefaultProbeCost))
	r.RetryBudget = or(r.RetryBudget, DefaultRetryBudget)
	r.Queue = or(r.Queue, DefaultQueue)
	r.LongShare = or(r.LongShare, DefaultLongShare)
	return r
}

// Route returns the route with the longest prefix of path; the zero Route
// where none matches.
func (r *Rules) Route(path string) Route {
	var best Route
	for _, rt := range r.Routes {
		if len(rt.Prefix) > len(best.Prefix) && len(path) >= len(rt.Prefix) && path[:len(rt.Prefix)] == rt.Prefix {
			best = rt
		}
	}
	return best
}

// IsIdempotent tells whether a call with this method may run more than once.
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

func or[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}
