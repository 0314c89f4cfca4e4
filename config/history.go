package config

import (
	"context"
	"fmt"
)

// NotKeptError reports that a revision's document is no longer kept.
type NotKeptError struct{ Revision uint64 }

// Error returns the revision and the remedy.
func (e *NotKeptError) Error() string {
	return fmt.Sprintf("document of revision %d is not kept: choose a revision planned within the last %v, or the one in force", e.Revision, PlanLifetime)
}

// Comparison lists the changes from one accepted revision to another.
type Comparison struct {
	From    uint64   `json:"from"`
	To      uint64   `json:"to"`
	Changes []Change `json:"changes,omitempty"`
}

// Compare returns the changes between two accepted revisions. If to is 0, it
// stands for the revision in force; if from is 0, for the empty document.
func (c *Committer) Compare(ctx context.Context, from, to uint64) (Comparison, error) {
	h, _, err := c.Head(ctx)
	if err != nil {
		return Comparison{}, c.storeError("", err)
	}
	if to == 0 {
		to = h.Revision
	}
	fromDoc, err := c.documentAt(ctx, h, from)
	if err != nil {
		return Comparison{}, err
	}
	toDoc, err := c.documentAt(ctx, h, to)
	if err != nil {
		return Comparison{}, err
	}
	return Comparison{From: from, To: to, Changes: Diff(fromDoc, toDoc)}, nil
}

// documentAt returns the document of an accepted revision, or nil for revision
// 0. It returns a *NotKeptError if the document is no longer kept.
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
		return nil, c.storeError("", err)
	}
	if p == nil {
		return nil, &NotKeptError{Revision: revision}
	}
	past := Head{Revision: revision, Document: p.Document}
	return past.document()
}
