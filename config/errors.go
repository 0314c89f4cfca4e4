package config

import (
	"errors"
	"fmt"
)

// StaleError reports that another plan has become the revision after the
// plan's base. The plan can never be put in force.
type StaleError struct {
	Plan     string `json:"plan"`
	Base     uint64 `json:"base"`
	Revision uint64 `json:"revision"` // in force
	// Intervening lists the commits after Base that are still kept, oldest
	// first.
	Intervening []Commit `json:"meanwhile,omitempty"`
	// Changes lists the changes since Base. It is nil if a document
	// could not be read, as when that of Base is no longer kept.
	Changes []Change `json:"changes,omitempty"`
}

// Error returns the revisions and the remedy.
func (e *StaleError) Error() string {
	return fmt.Sprintf("plan %s is stale: it was made against revision %d, and revision %d is in force: review the changes since then and plan again", e.Plan, e.Base, e.Revision)
}

// UnknownPlanError reports that a plan is neither stored nor among the recent
// commits.
type UnknownPlanError struct {
	Plan string
	// Searched is the number of recent commits searched.
	Searched int
}

// Error returns the plan and the remedy.
func (e *UnknownPlanError) Error() string {
	return fmt.Sprintf("plan %q not found: it is not among the last %d accepted plans, and plans expire after %v: plan again", e.Plan, e.Searched, PlanLifetime)
}

// UnsettledError reports that the commit after the plan's base is no longer
// kept, so that it cannot be determined whether the plan was accepted.
type UnsettledError struct {
	Plan     string
	Base     uint64
	Revision uint64
}

// Error returns the revisions and the remedy.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("cannot determine whether plan %s was accepted: it was made against revision %d, revision %d is in force and the commits in between are no longer kept: compare with the configuration in force and plan again", e.Plan, e.Base, e.Revision)
}

// UnavailableError reports that the store did not serve the request. The
// request put nothing in force and will not take effect later.
type UnavailableError struct {
	// Plan is the ID of the plan to confirm, empty for other requests.
	Plan string
	Err  error
}

// Error returns the cause and the remedy.
func (e *UnavailableError) Error() string {
	if e.Plan == "" {
		return fmt.Sprintf("the platform's store is unavailable, nothing was put in force: retry: %v", e.Err)
	}
	return fmt.Sprintf("plan %s not accepted: the platform's store is unavailable and this request put nothing in force: retry with the same plan: %v", e.Plan, e.Err)
}

// Unwrap returns the store's error.
func (e *UnavailableError) Unwrap() error { return e.Err }

// IndefiniteError reports that a confirm may have taken effect, or may still
// take effect.
type IndefiniteError struct {
	Plan string
	Err  error
}

// Error returns the plan and the remedy.
func (e *IndefiniteError) Error() string {
	return fmt.Sprintf("indefinite: plan %s may or may not be in force: retry with the same plan, it is put in force at most once: %v", e.Plan, e.Err)
}

// Unwrap returns the store's error.
func (e *IndefiniteError) Unwrap() error { return e.Err }

// CorruptError reports a value in the store that cannot be decoded or is
// inconsistent.
type CorruptError struct {
	Key string
	Err error
}

// Error returns the key and the remedy.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("value of %s in the platform's store is corrupt: restore the key; instances keep their current configuration: %v", e.Key, e.Err)
}

// Unwrap returns the underlying error.
func (e *CorruptError) Unwrap() error { return e.Err }

var errMismatch = errors.New("revision, plan ID, digest and document do not match")
