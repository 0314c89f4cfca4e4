package config

import (
	"context"
	"encoding/json"

	"github.com/catkinrouter/catkinrouter/store"
)

// Accepted describes a confirmed plan, which is or was in force.
type Accepted struct {
	Commit
	// Repeated is set if the plan was found to be accepted already, by an
	// earlier confirm or by a write of this confirm that got no answer.
	Repeated bool `json:"repeated,omitempty"`
	// InForce is the revision in force, at or above Commit.Revision.
	InForce uint64 `json:"in_force"`
	// Head is the head that was last read or written.
	Head Head `json:"-"`
}

// Confirm puts a plan in force. It is idempotent: confirming the plan again
// returns the same commit, also after later plans are in force.
//
// A plan on base b can only become revision b+1, and one compare-and-swap
// advances the head from b to b+1. The outcome of a confirm is therefore
// decided by the plan that became revision b+1, which never changes. Errors
// are *StaleError (the plan can never be put in force), *UnknownPlanError,
// *UnsettledError, *UnavailableError (this call put nothing in force and will
// not take effect later), *IndefiniteError and *CorruptError.
func (c *Committer) Confirm(ctx context.Context, id string) (Accepted, error) {
	h, rev, err := c.Head(ctx)
	if err != nil {
		return Accepted{}, c.storeError(id, err)
	}
	if commit, ok := h.commitByPlan(id); ok {
		return c.repeated(commit, h), nil
	}
	p, err := c.readPlan(ctx, id)
	if err != nil {
		return Accepted{}, c.storeError(id, err)
	}
	if p == nil {
		c.count(EventUnknownPlan)
		return Accepted{}, &UnknownPlanError{Plan: id, Searched: len(h.Recent)}
	}
	cf := &confirmation{c: c, plan: p, atMillis: c.now().UnixMilli()}
	return cf.run(ctx, h, rev)
}

// confirmation is the state of one call of Confirm.
type confirmation struct {
	c        *Committer
	plan     *Plan
	atMillis int64 // time of the commit, Unix time in milliseconds
	// unresolved is set after a write that got no answer. That write may take
	// effect until another write advances the key's store revision.
	unresolved bool
	// unresolvedExpect is the highest store revision that a write without an
	// answer expects. Only a read of a higher one resolves these writes: a
	// lower one is a stale read, and at an equal one the write may still take
	// effect.
	unresolvedExpect int64
}

// run alternates between writing the head and reading it back until the
// outcome of the plan is known, the store fails or maxConfirmTries is reached.
func (cf *confirmation) run(ctx context.Context, h Head, rev int64) (Accepted, error) {
	var err error
	for range maxConfirmTries {
		if known, a, err := cf.outcome(ctx, h); known {
			return a, err
		}
		next := h.next(cf.plan, cf.atMillis)
		err = cf.write(ctx, next, rev)
		if err == nil {
			cf.c.count(EventAccepted)
			commit, _ := next.Commit(next.Revision)
			return Accepted{Commit: commit, InForce: next.Revision, Head: next}, nil
		}
		if !store.IsKind(err, store.Indefinite) && !store.IsKind(err, store.Conflict) {
			break
		}
		var readErr error
		if h, rev, readErr = cf.c.Head(ctx); readErr != nil {
			err = readErr
			break
		}
		if rev > cf.unresolvedExpect {
			cf.unresolved = false // each write without an answer took effect or never will
		}
	}
	return Accepted{}, cf.confirmError(err)
}

// outcome returns the outcome of the plan if h is above the plan's base. The
// first result is false if the outcome is still open.
func (cf *confirmation) outcome(ctx context.Context, h Head) (bool, Accepted, error) {
	if h.Revision <= cf.plan.Base {
		return false, Accepted{}, nil
	}
	commit, ok := h.Commit(cf.plan.Base + 1)
	switch {
	case !ok:
		cf.c.count(EventUnsettled)
		return true, Accepted{}, &UnsettledError{Plan: cf.plan.ID, Base: cf.plan.Base, Revision: h.Revision}
	case commit.PlanID == cf.plan.ID:
		return true, cf.c.repeated(commit, h), nil
	}
	cf.c.count(EventStale)
	return true, Accepted{}, cf.c.staleError(ctx, cf.plan, h)
}

// write replaces the head if the key's store revision is expect.
func (cf *confirmation) write(ctx context.Context, next Head, expect int64) error {
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	_, err = cf.c.store.Put(ctx, HeadKey, value, expect, 0)
	switch {
	case store.IsKind(err, store.Indefinite):
		cf.unresolved, cf.unresolvedExpect = true, max(cf.unresolvedExpect, expect)
		cf.c.count(EventReadBack)
	case store.IsKind(err, store.Conflict):
		cf.c.count(EventRetryConflict)
	}
	return err
}

// confirmError returns an *IndefiniteError if this confirm may have taken
// effect or still can; else the store's error.
func (cf *confirmation) confirmError(err error) error {
	if cf.unresolved {
		cf.c.count(EventIndefinite)
		return &IndefiniteError{Plan: cf.plan.ID, Err: err}
	}
	return cf.c.storeError(cf.plan.ID, err)
}

func (c *Committer) repeated(commit Commit, h Head) Accepted {
	c.count(EventRepeated)
	return Accepted{Commit: commit, Repeated: true, InForce: h.Revision, Head: h}
}

// staleError returns a *StaleError with the changes since p was made, if the
// document of p's base is available. It is kept as long as the plan of that
// revision.
func (c *Committer) staleError(ctx context.Context, p *Plan, h Head) error {
	stale := &StaleError{Plan: p.ID, Base: p.Base, Revision: h.Revision, Intervening: h.commitsAfter(p.Base)}
	from, err := c.documentAt(ctx, h, p.Base)
	if err != nil {
		return stale
	}
	if to, err := h.Decode(); err == nil {
		stale.Changes = Diff(from, to)
	}
	return stale
}
