package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// Limits of the values in the platform's store, which accepts values of at
// most one megabyte.
const (
	// MaxDocumentSize is the maximum size of an encoded document, in bytes.
	MaxDocumentSize = 600_000
	// MaxRecentCommits is the maximum number of commits that a Head lists.
	MaxRecentCommits = 64
	// PlanIDLength is the length of a plan's ID, in hexadecimal digits.
	PlanIDLength = 16
	// maxSummaryLen is the maximum length of a commit's summary, in bytes.
	maxSummaryLen = 160
)

// Commit is one accepted plan.
type Commit struct {
	Revision uint64 `json:"revision"`
	PlanID   string `json:"plan_id"`
	Digest   string `json:"digest"`
	// At is the time of the confirm by the clock of the agent that wrote the
	// commit, in milliseconds of Unix time. Commits are ordered by
	// Revision, not by this time.
	At int64 `json:"at_ms,omitempty"`
	// Summary describes the plan's changes in one line.
	Summary string `json:"summary,omitempty"`
}

// Head is the configuration in force. It is stored with its document in one
// value, so that no reader sees a head whose document is missing.
type Head struct {
	Revision uint64 `json:"revision"`
	PlanID   string `json:"plan_id"`
	// Digest is the digest of Document.
	Digest string `json:"digest"`
	// Document is the configuration as JSON.
	Document json.RawMessage `json:"document"`
	// Recent lists the newest commits, oldest first, at most MaxRecentCommits.
	// The last one is the commit of this head.
	Recent []Commit `json:"recent,omitempty"`
}

// NewHead returns the head that results from confirming a plan for doc on base
// revision-1.
func NewHead(revision uint64, doc json.RawMessage) Head {
	return Head{Revision: revision, PlanID: planID(revision-1, doc), Digest: Digest(doc), Document: doc}
}

// Decode decodes the head's document. Unknown keys are ignored, so that
// instances of different versions adopt the same revision.
func (h *Head) Decode() (*Document, error) {
	doc := &Document{}
	if err := json.Unmarshal(h.Document, doc); err != nil {
		return nil, err
	}
	return doc, nil
}

// Commit returns the commit of a revision, or false if it is not among the
// recent commits.
func (h *Head) Commit(revision uint64) (Commit, bool) {
	for _, c := range h.Recent {
		if c.Revision == revision {
			return c, true
		}
	}
	return Commit{}, false
}

// commitByPlan returns the commit of a plan, or false if it is not among the
// recent commits.
func (h *Head) commitByPlan(plan string) (Commit, bool) {
	for _, c := range h.Recent {
		if c.PlanID == plan {
			return c, true
		}
	}
	return Commit{}, false
}

// commitsAfter returns the recent commits above a revision.
func (h *Head) commitsAfter(revision uint64) []Commit {
	for i, c := range h.Recent {
		if c.Revision > revision {
			return h.Recent[i:]
		}
	}
	return nil
}

// next returns the head that results from confirming p while h is in force.
func (h *Head) next(p *Plan, atMillis int64) Head {
	n := NewHead(p.Base+1, p.Document)
	latest := Commit{Revision: n.Revision, PlanID: n.PlanID, Digest: n.Digest, At: atMillis, Summary: p.Summary}
	earlier := h.Recent
	if len(earlier) >= MaxRecentCommits {
		earlier = earlier[len(earlier)-MaxRecentCommits+1:]
	}
	n.Recent = append(append([]Commit(nil), earlier...), latest)
	return n
}

// planID derives a plan's ID from its base and document, so that planning the
// same document on the same base again gives the same plan.
func planID(base uint64, doc []byte) string {
	return Digest(fmt.Appendf(nil, "%d %s", base, doc))[:PlanIDLength]
}

// Digest returns the SHA-256 digest of b in hexadecimal.
func Digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}
