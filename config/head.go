package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// Limits of what is kept in the platform's store, whose values hold at most
// a megabyte.
const (
	// MaxDocument is the greatest size of an encoded document, in bytes.
	MaxDocument = 600_000
	// MaxRecent is the number of newest commits that a Head lists.
	MaxRecent = 64
	// PlanIDLength is the length of a plan's ID, in hexadecimal digits.
	PlanIDLength = 16
	// maxSummary bounds the summary of a commit, in bytes.
	maxSummary = 160
)

// Commit is one accepted plan.
type Commit struct {
	Revision uint64 `json:"revision"`
	PlanID   string `json:"plan_id"`
	Digest   string `json:"digest"`
	// At is when an agent's clock took the plan as confirmed, in
	// milliseconds of Unix time. It orders nothing.
	At int64 `json:"at_ms,omitempty"`
	// Summary says in a line what the plan changed.
	Summary string `json:"summary,omitempty"`
}

// Head is the configuration in force. One write moves it, with its document,
// so that no reader sees a head whose document is missing.
type Head struct {
	Revision uint64 `json:"revision"`
	PlanID   string `json:"plan_id"`
	// Digest is that of Document.
	Digest string `json:"digest"`
	// Document is the configuration as JSON.
	Document json.RawMessage `json:"document"`
	// Recent are the newest commits, this one last, at most MaxRecent.
	Recent []Commit `json:"recent,omitempty"`
}

// NewHead returns the head that a plan for doc on revision-1 leads to.
func NewHead(revision uint64, doc json.RawMessage) Head {
	return Head{Revision: revision, PlanID: planID(revision-1, doc), Digest: Digest(doc), Document: doc}
}

// Decode reads the head's document. Keys that this version does not know are
// passed over, so that a fleet of mixed versions takes the same revision.
func (h *Head) Decode() (*Document, error) {
	doc := &Document{}
	if err := json.Unmarshal(h.Document, doc); err != nil {
		return nil, err
	}
	return doc, nil
}

// Commit returns the recent commit of a revision, false where it is not kept.
func (h *Head) Commit(revision uint64) (Commit, bool) {
	for _, c := range h.Recent {
		if c.Revision == revision {
			return c, true
		}
	}
	return Commit{}, false
}

// commitOf returns the recent commit of a plan.
func (h *Head) commitOf(plan string) (Commit, bool) {
	for _, c := range h.Recent {
		if c.PlanID == plan {
			return c, true
		}
	}
	return Commit{}, false
}

// since returns the recent commits above a revision.
func (h *Head) since(revision uint64) []Commit {
	for i, c := range h.Recent {
		if c.Revision > revision {
			return h.Recent[i:]
		}
	}
	return nil
}

// next returns the head that p leads to from h.
func (h *Head) next(p *Plan, at int64) Head {
	n := NewHead(p.Base+1, p.Document)
	c := Commit{Revision: n.Revision, PlanID: n.PlanID, Digest: n.Digest, At: at, Summary: p.Summary}
	old := h.Recent
	if len(old) >= MaxRecent {
		old = old[len(old)-MaxRecent+1:]
	}
	n.Recent = append(append([]Commit(nil), old...), c)
	return n
}

// planID identifies an intent: the same document on the same base.
func planID(base uint64, doc []byte) string {
	return Digest(fmt.Appendf(nil, "%d %s", base, doc))[:PlanIDLength]
}

// Digest returns the SHA-256 digest of b in hexadecimal.
func Digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}
