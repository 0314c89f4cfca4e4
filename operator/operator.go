// Package operator serves the operators' intent API over HTTP: state an
// intent, get a plan of what will change, confirm it. Nothing takes effect
// before.
package operator

import "github.com/catkinrouter/catkinrouter/config"

// Paths of the intent API. Plan, intent and confirm take a POST; the others
// take a GET or POST.
const (
	// PlanPath takes a config.Document and answers a config.Plan.
	PlanPath = "/v1/plan"
	// IntentPath takes a config.Intent and answers a config.Plan.
	IntentPath = "/v1/intent"
	// ConfirmPath takes a ConfirmRequest and answers a config.Accepted.
	ConfirmPath = "/v1/confirm"
	// ShowPath answers the config.Head in force, with its secrets.
	ShowPath = "/v1/show"
	// HistoryPath answers a History.
	HistoryPath = "/v1/history"
	// DiffPath answers a config.Comparison of the revisions in its query,
	// "?from=3&to=5"; without to, with the one in force.
	DiffPath = "/v1/diff"
	// StatusPath answers the Status of the agent that is asked.
	StatusPath = "/v1/status"
)

// ConfirmRequest is the body of a confirm.
type ConfirmRequest struct {
	Plan string `json:"plan"`
}

// History is the newest commits, oldest first.
type History struct {
	Commits []config.Commit `json:"commits"`
}

// Kind classifies a refusal.
type Kind string

// Kinds of refusals.
const (
	KindInvalid     Kind = "invalid"   // the document or intent has faults
	KindMalformed   Kind = "malformed" // the request can't be read
	KindStale       Kind = "stale"     // another plan took the revision
	KindUnknownPlan Kind = "unknown-plan"
	KindUnsettled   Kind = "unsettled"   // too old to tell
	KindUnavailable Kind = "unavailable" // this request put nothing in force
	KindIndefinite  Kind = "indefinite"  // ask again with the same plan
	KindNotKept     Kind = "not-kept"
	KindCorrupt     Kind = "corrupt"
	KindNotFound    Kind = "not-found"
	KindMethod      Kind = "method"
	KindTooLarge    Kind = "too-large"
	KindBusy        Kind = "busy"
	KindInternal    Kind = "internal"
)

// Fault is the body of a refusal.
type Fault struct {
	Kind Kind `json:"kind"`
	// Faults are messages, each with its remedy.
	Faults []string `json:"faults"`
	// Checks are the faults of a document, for KindInvalid.
	Checks []*config.CheckError `json:"checks,omitempty"`
	// Stale says what changed meanwhile, for KindStale.
	Stale *config.StaleError `json:"stale,omitempty"`
}

// StatusSource gives the status of an agent. It must be safe for concurrent
// use and must not block.
type StatusSource interface {
	Status() Status
}

// Status is an agent's view of the site.
type Status struct {
	Instance string `json:"instance"`
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
	// StoreReached tells whether the last call of the store was answered;
	// StoreSilentMillis is the time since the last answer.
	StoreReached      bool             `json:"store_reached"`
	StoreSilentMillis int64            `json:"store_silent_ms"`
	Instances         []InstanceStatus `json:"instances"`
	Upstreams         []UpstreamStatus `json:"upstreams,omitempty"`
	Shares            []ShareStatus    `json:"shares,omitempty"`
	// Counters are refusals, retries and the like of the instance, by name.
	Counters []Counter `json:"counters,omitempty"`
}

// InstanceStatus is what an agent knows of one instance.
type InstanceStatus struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	Revision   uint64 `json:"revision"`
	// HeardMillis is the age of the newest word of it.
	HeardMillis int64 `json:"heard_ms"`
	Leaving     bool  `json:"leaving,omitempty"`
}

// UpstreamStatus is the instance's own view of an upstream.
type UpstreamStatus struct {
	Service string `json:"service"`
	ID      string `json:"id"`
	// State is "ready", "cold", "ejected" or "leaving".
	State    string `json:"state"`
	InFlight int    `json:"in_flight"`
}

// ShareStatus is a data centre's share of a service's work and capacity, each
// between 0 and 1.
type ShareStatus struct {
	Service    string  `json:"service"`
	DataCentre string  `json:"data_centre"`
	Work       float64 `json:"work"`
	Capacity   float64 `json:"capacity"`
}

// Counter is a named count since the process started.
type Counter struct {
	Name  string `json:"name"`
	Count int64  `json:"count"`
}
