package config

import (
	"context"
	"encoding/json"

	"github.com/catkinrouter/catkinrouter/store"
)

// Accepted tells that a plan is or was in force.
type Accepted struct {
	Commit
	// Repeated is set where an earlier confirm put the plan in force.
	Repeated bool `json:"repeated,omitempty"`
	// InForce is the revision now in force, at or above Commit.Revision.
	InForce uint64 `json:"in_force"`
	// Head is the head as last read or written.
	Head Head `json:"-"`
}

// Confirm puts a plan in force. Confirming it again gives the same commit,
// also once later plans are in force.
//
// A plan on base b can only become revision b+1, and one compare-and-swap
// moves the head from b to b+1. So every conclusion rests on what took
// revision b+1, which never changes. Errors are *StaleError (the plan is
// never put in force), *UnknownPlanError, *UnsettledError, *UnavailableError
// (this call put nothing in force, and won't), *IndefiniteError and
// *CorruptError.
func (c *Committer) Confirm(ctx context.Context, id string) (Accepted, error) {
	h, rev, err := c.Head(ctx)
	if err != nil {
		return Accepted{}, c.unavailable(id, err)
	}
	if commit, ok := h.commitOf(id); ok {
		return c.repeated(commit, h), nil
	}
	p, err := c.readPlan(ctx, id)
	if err != nil {
		return Accepted{}, c.unavailable(id, err)
	}
	if p == nil {
		c.count(EventUnknownPlan)
		return Accepted{}, &UnknownPlanError{Plan: id, Kept: len(h.Recent)}
	}
	m := &move{c: c, plan: p, at: c.now().UnixMilli()}
	return m.run(ctx, h, rev)
}

// move is the state of one confirm.
type move struct {
	c    *Committer
	plan *Plan
	at   int64
	// doubt is set once a write's answer was lost: that write may take
	// effect until another write moves the key's revision.
	doubt bool
	// lost is the highest store revision that a doubtful write expects. A
	// read that gives a lower one is stale and settles nothing.
	lost int64
}

// run writes the head and reads it back until one of them settles the plan.
func (m *move) run(ctx context.Context, h Head, rev int64) (Accepted, error) {
	var err error
	for range maxTries {
		if done, a, err := m.settle(ctx, h); done {
			return a, err
		}
		next := h.next(m.plan, m.at)
		err = m.write(ctx, next, rev)
		if err == nil {
			m.c.count(EventAccepted)
			commit, _ := next.Commit(next.Revision)
			return Accepted{Commit: commit, InForce: next.Revision, Head: next}, nil
		}
		if !store.IsKind(err, store.Indefinite) && !store.IsKind(err, store.Conflict) {
			break
		}
		var readErr error
		if h, rev, readErr = m.c.Head(ctx); readErr != nil {
			err = readErr
			break
		}
		if rev > m.lost {
			m.doubt = false // the doubtful writes took effect, or never will
		}
	}
	return Accepted{}, m.failed(err)
}

// settle concludes from a head whose revision is not the plan's base.
func (m *move) settle(ctx context.Context, h Head) (bool, Accepted, error) {
	if h.Revision <= m.plan.Base {
		return false, Accepted{}, nil
	}
	commit, ok := h.Commit(m.plan.Base + 1)
	switch {
	case !ok:
		m.c.count(EventUnsettled)
		return true, Accepted{}, &UnsettledError{Plan: m.plan.ID, Base: m.plan.Base, Revision: h.Revision}
	case commit.PlanID == m.plan.ID:
		return true, m.c.repeated(commit, h), nil
	}
	m.c.count(EventStale)
	return true, Accepted{}, m.c.stale(ctx, m.plan, h)
}

func (m *move) write(ctx context.Context, next Head, expect int64) error {
	b, err := json.Marshal(next)
	if err != nil {
		return err
	}
	_, err = m.c.store.Put(ctx, HeadKey, b, expect, 0)
	switch {
	case store.IsKind(err, store.Indefinite):
		m.doubt, m.lost = true, max(m.lost, expect)
		m.c.count(EventReadBack)
	case store.IsKind(err, store.Conflict):
		m.c.count(EventRetryConflict)
	}
	return err
}

// failed says whether this confirm may still take effect.
func (m *move) failed(err error) error {
	if m.doubt {
		m.c.count(EventIndefinite)
		return &IndefiniteError{Plan: m.plan.ID, Err: err}
	}
	return m.c.unavailable(m.plan.ID, err)
}

func (c *Committer) repeated(commit Commit, h Head) Accepted {
	c.count(EventRepeated)
	return Accepted{Commit: commit, Repeated: true, InForce: h.Revision, Head: h}
}

// stale says what changed since p was made. The document of its base is kept
// as long as the plan that made it.
func (c *Committer) stale(ctx context.Context, p *Plan, h Head) error {
	e := &StaleError{Plan: p.ID, Base: p.Base, Revision: h.Revision, Meanwhile: h.since(p.Base)}
	from, err := c.documentAt(ctx, h, p.Base)
	if err != nil {
		return e
	}
	if to, err := h.Decode(); err == nil {
		e.Changes = Diff(from, to)
	}
	return e
}
