// Package operator serves the intent API for operators over HTTP. An operator
// submits an intent, receives a plan of the changes and confirms it; nothing
// takes effect before the confirm.
package operator

import "github.com/catkinrouter/catkinrouter/config"

// Paths of the intent API. PlanPath, IntentPath and ConfirmPath accept POST
// only; the others accept GET and POST.
const (
	// PlanPath accepts a config.Document and returns a config.Plan.
	PlanPath = "/v1/plan"
	// IntentPath accepts a config.Intent and returns a config.Plan.
	IntentPath = "/v1/intent"
	// ConfirmPath accepts a ConfirmRequest and returns a config.Accepted.
	ConfirmPath = "/v1/confirm"
	// ShowPath returns the config.Head in force, secrets included.
	ShowPath = "/v1/show"
	// HistoryPath returns a History.
	HistoryPath = "/v1/history"
	// DiffPath returns a config.Comparison of the two revisions in the
	// query, such as "?from=3&to=5". Without "to" the revision in force is
	// used.
	DiffPath = "/v1/diff"
	// StatusPath returns the Status of the agent that serves the request.
	StatusPath = "/v1/status"
)

// ConfirmRequest is the request body of ConfirmPath.
type ConfirmRequest struct {
	Plan string `json:"plan"` // plan ID
}

// History lists the newest commits, oldest first.
type History struct {
	Commits []config.Commit `json:"commits"`
}

// Kind classifies a refusal.
type Kind string

// Kinds of refusals.
const (
	KindInvalid     Kind = "invalid"   // the document or intent is invalid
	KindMalformed   Kind = "malformed" // the request can't be decoded
	KindStale       Kind = "stale"     // another plan was confirmed on the same base revision
	KindUnknownPlan Kind = "unknown-plan"
	KindUnsettled   Kind = "unsettled"   // the plan is too old to determine whether it was accepted
	KindUnavailable Kind = "unavailable" // this request put nothing in force and won't
	KindIndefinite  Kind = "indefinite"  // the plan may have been accepted; confirm it again
	KindNotKept     Kind = "not-kept"    // the revision's document is no longer stored
	KindCorrupt     Kind = "corrupt"     // a value in the store can't be read
	KindNotFound    Kind = "not-found"
	KindMethod      Kind = "method"
	KindTooLarge    Kind = "too-large"
	KindBusy        Kind = "busy"
	KindInternal    Kind = "internal"
)

// Fault is the response body of a refused request.
type Fault struct {
	Kind Kind `json:"kind"`
	// Faults are messages, each of which names its remedy.
	Faults []string `json:"faults"`
	// Checks are the errors of the document or intent, for KindInvalid.
	Checks []*config.CheckError `json:"checks,omitempty"`
	// Stale holds what changed since the plan was made, for KindStale.
	Stale *config.StaleError `json:"stale,omitempty"`
}

// StatusSource provides the status of an agent. Status must be safe for
// concurrent use and must not block.
type StatusSource interface {
	Status() Status
}

// Status is an agent's view of the site.
type Status struct {
	Instance string `json:"instance"`
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
	// StoreReached reports whether this agent read the store recently;
	// StoreAnswerAgeMillis is the time since it last read the store, and 0 as
	// well if it never did.
	StoreReached         bool             `json:"store_reached"`
	StoreAnswerAgeMillis int64            `json:"store_silent_ms"`
	Instances            []InstanceStatus `json:"instances"`
	Upstreams            []UpstreamStatus `json:"upstreams,omitempty"`
	Shares               []ShareStatus    `json:"shares,omitempty"`
	// Counters hold refusals, retries and similar counts of the instance.
	Counters []Counter `json:"counters,omitempty"`
}

// InstanceStatus is the state of one instance as the agent last received it.
type InstanceStatus struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	Revision   uint64 `json:"revision"`
	// HeartbeatAgeMillis is the time since the newest heartbeat of the instance.
	HeartbeatAgeMillis int64 `json:"heard_ms"`
	Leaving            bool  `json:"leaving,omitempty"`
}

// UpstreamStatus is the state of an upstream as the instance itself sees it.
type UpstreamStatus struct {
	Service string `json:"service"`
	ID      string `json:"id"`
	// State is "ready", "cold", "ejected" or "leaving".
	State    string `json:"state"`
	InFlight int    `json:"in_flight"`
}

// ShareStatus is a data centre's share of a service's work and of its capacity,
// each between 0 and 1.
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
