package config

import (
	"errors"
	"fmt"
)

// StaleError says that another plan took the revision that a plan was made
// for. The plan is never put in force.
type StaleError struct {
	Plan     string `json:"plan"`
	Base     uint64 `json:"base"`
	Revision uint64 `json:"revision"` // in force
	// Meanwhile are the commits since Base, oldest first, as far as kept.
	Meanwhile []Commit `json:"meanwhile,omitempty"`
	// Changes are what changed since Base; nil where the document of Base
	// is not kept any longer.
	Changes []Change `json:"changes,omitempty"`
}

// Error names the revisions and the remedy.
func (e *StaleError) Error() string {
	return fmt.Sprintf("plan %s was made against revision %d, revision %d is in force: look at what changed meanwhile and plan again", e.Plan, e.Base, e.Revision)
}

// UnknownPlanError says that no plan of that ID is kept, and that it is none
// of the recent commits.
type UnknownPlanError struct {
	Plan string
	// Kept is the number of recent commits looked through.
	Kept int
}

// Error names the plan and the remedy.
func (e *UnknownPlanError) Error() string {
	return fmt.Sprintf("plan %q is unknown: it is none of the last %d accepted, and plans are kept for %v: plan again", e.Plan, e.Kept, PlanLifetime)
}

// UnsettledError says that a plan's revision is older than the commits kept,
// so that whether it was accepted can't be told any longer.
type UnsettledError struct {
	Plan     string
	Base     uint64
	Revision uint64
}

// Error names the revisions and the remedy.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("plan %s was made against revision %d, revision %d is in force and the commits between are kept no longer: compare with the configuration in force and plan again", e.Plan, e.Base, e.Revision)
}

// UnavailableError says that the store could not be used. This request put
// nothing in force, now or later.
type UnavailableError struct {
	// Plan is the plan to confirm; empty for other requests.
	Plan string
	Err  error
}

// Error names the fault and the remedy.
func (e *UnavailableError) Error() string {
	if e.Plan == "" {
		return fmt.Sprintf("the platform's store can't be used, nothing was put in force: ask again: %v", e.Err)
	}
	return fmt.Sprintf("plan %s not accepted, the platform's store can't be used; this request put nothing in force: ask again with the same plan: %v", e.Plan, e.Err)
}

// Unwrap returns the store's fault.
func (e *UnavailableError) Unwrap() error { return e.Err }

// IndefiniteError says that a confirm may have been accepted, or may be yet.
type IndefiniteError struct {
	Plan string
	Err  error
}

// Error names the plan and the remedy.
func (e *IndefiniteError) Error() string {
	return fmt.Sprintf("indefinite: plan %s may be in force or not: ask again with the same plan, it is put in force at most once: %v", e.Plan, e.Err)
}

// Unwrap returns the store's fault.
func (e *IndefiniteError) Unwrap() error { return e.Err }

// CorruptError says that a value in the store can't be read.
type CorruptError struct {
	Key string
	Err error
}

// Error names the key and the remedy.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("value of %s in the platform's store is unreadable: restore the key, instances go on with what they hold: %v", e.Key, e.Err)
}

// Unwrap returns the underlying fault.
func (e *CorruptError) Unwrap() error { return e.Err }

var errDigest = errors.New("digest, plan and document do not belong together")
