package config

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/catkinrouter/catkinrouter/platform"
)

// Keys in the platform's store.
const (
	// HeadKey holds the Head.
	HeadKey = "catkin/config/head"
	// PlanPrefix is followed by a plan's ID.
	PlanPrefix = "catkin/config/plan/"
)

// Head is the configuration in force. One write moves it.
type Head struct {
	Revision uint64 `json:"revision"`
	PlanID   string `json:"plan_id"`
	Digest   string `json:"digest"`
	// Document is the configuration as JSON.
	Document json.RawMessage `json:"document"`
}

// Plan is a change that waits to be confirmed.
type Plan struct {
	ID string `json:"id"`
	// Base is the revision that the plan was made against.
	Base     uint64          `json:"base"`
	Document json.RawMessage `json:"document"`
}

// StaleError says that the head moved since a plan was made.
type StaleError struct {
	Plan     string
	Base     uint64
	Revision uint64
}

// Error names the revisions and the remedy.
func (e *StaleError) Error() string {
	return fmt.Sprintf("plan %s was made against revision %d, revision %d is in force: plan again", e.Plan, e.Base, e.Revision)
}

// Committer makes and confirms plans in the platform's store.
type Committer struct {
	store platform.Store
}

// NewCommitter returns a Committer on store.
func NewCommitter(store platform.Store) *Committer { return &Committer{store: store} }

// Head reads the head and the store revision of its key; the zero Head where
// nothing was confirmed yet.
func (c *Committer) Head(ctx context.Context) (Head, int64, error) {
	var h Head
	v, err := c.store.Get(ctx, HeadKey)
	if platform.IsKind(err, platform.NotFound) {
		return h, 0, nil
	}
	if err != nil {
		return h, 0, err
	}
	return h, v.Revision, json.Unmarshal(v.Data, &h)
}

// Plan checks doc, stores a plan for it and returns the plan.
func (c *Committer) Plan(ctx context.Context, doc *Document) (Plan, error) {
	if err := doc.Check(); err != nil {
		return Plan{}, err
	}
	h, _, err := c.Head(ctx)
	if err != nil {
		return Plan{}, err
	}
	b, err := json.Marshal(doc)
	if err != nil {
		return Plan{}, err
	}
	p := Plan{Base: h.Revision, Document: b}
	p.ID = Digest(fmt.Appendf(nil, "%d %s", p.Base, b))[:16]
	b, err = json.Marshal(p)
	if err != nil {
		return Plan{}, err
	}
	_, err = c.store.Put(ctx, PlanPrefix+p.ID, b, 0, 0)
	if platform.IsKind(err, platform.Conflict) {
		err = nil // the same plan was stored before
	}
	return p, err
}

// Confirm puts a plan in force and returns the new head. Confirming the same
// plan again returns the same head.
func (c *Committer) Confirm(ctx context.Context, id string) (Head, error) {
	v, err := c.store.Get(ctx, PlanPrefix+id)
	if err != nil {
		return Head{}, err
	}
	var p Plan
	if err := json.Unmarshal(v.Data, &p); err != nil {
		return Head{}, err
	}
	h, rev, err := c.Head(ctx)
	switch {
	case err != nil:
		return h, err
	case h.PlanID == id:
		return h, nil
	case h.Revision != p.Base:
		return h, &StaleError{Plan: id, Base: p.Base, Revision: h.Revision}
	}
	return c.move(ctx, Head{Revision: p.Base + 1, PlanID: id, Digest: Digest(p.Document), Document: p.Document}, rev)
}

// move writes the head; an answer that was lost is settled by reading back.
func (c *Committer) move(ctx context.Context, next Head, expect int64) (Head, error) {
	b, err := json.Marshal(next)
	if err != nil {
		return Head{}, err
	}
	_, err = c.store.Put(ctx, HeadKey, b, expect, 0)
	if err == nil {
		return next, nil
	}
	now, _, readErr := c.Head(ctx)
	switch {
	case readErr != nil:
		return Head{}, errors.Join(err, readErr)
	case now.PlanID == next.PlanID:
		return now, nil
	case platform.IsKind(err, platform.Conflict):
		return now, &StaleError{Plan: next.PlanID, Base: next.Revision - 1, Revision: now.Revision}
	}
	return now, err
}

// Digest returns the SHA-256 digest of b in hexadecimal.
func Digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}
