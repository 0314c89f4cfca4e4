package config

import (
	"context"
	"fmt"
)

// NotKeptError says that a revision's document is not kept any longer.
type NotKeptError struct{ Revision uint64 }

// Error names the revision and the remedy.
func (e *NotKeptError) Error() string {
	return fmt.Sprintf("document of revision %d is not kept: name a revision confirmed within %v of its plan, or the one in force", e.Revision, PlanLifetime)
}

// Comparison is what changes from one accepted revision to another.
type Comparison struct {
	From    uint64   `json:"from"`
	To      uint64   `json:"to"`
	Changes []Change `json:"changes,omitempty"`
}

// Compare returns what changed between two accepted revisions. A to of 0
// means the revision in force; a from of 0 the empty document.
func (c *Committer) Compare(ctx context.Context, from, to uint64) (Comparison, error) {
	h, _, err := c.Head(ctx)
	if err != nil {
		return Comparison{}, c.unavailable("", err)
	}
	if to == 0 {
		to = h.Revision
	}
	a, err := c.documentAt(ctx, h, from)
	if err != nil {
		return Comparison{}, err
	}
	b, err := c.documentAt(ctx, h, to)
	if err != nil {
		return Comparison{}, err
	}
	return Comparison{From: from, To: to, Changes: Diff(a, b)}, nil
}

// documentAt returns the document of an accepted revision; nil for revision 0.
func (c *Committer) documentAt(ctx context.Context, h Head, revision uint64) (*Document, error) {
	if revision == 0 {
		return nil, nil
	}
	if revision == h.Revision {
		return h.document()
	}
	commit, ok := h.Commit(revision)
	if !ok {
		return nil, &NotKeptError{Revision: revision}
	}
	p, err := c.readPlan(ctx, commit.PlanID)
	if err != nil {
		return nil, c.unavailable("", err)
	}
	if p == nil {
		return nil, &NotKeptError{Revision: revision}
	}
	old := Head{Revision: revision, Document: p.Document}
	return old.document()
}
