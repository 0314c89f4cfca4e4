package config

import "fmt"

// OfferKind classifies a refused head.
type OfferKind uint8

// Kinds of refused heads.
const (
	// OfferOlder: the current revision is higher.
	OfferOlder OfferKind = iota + 1
	// OfferConflict: the current revision is the same but has another digest.
	OfferConflict
	// OfferCorrupt: the revision, plan ID, digest and document do not match.
	OfferCorrupt
	// OfferUndecodable: the document cannot be decoded.
	OfferUndecodable
)

// String returns the kind's name as it appears in counter names.
func (k OfferKind) String() string {
	switch k {
	case OfferOlder:
		return "older"
	case OfferConflict:
		return "conflict"
	case OfferCorrupt:
		return "corrupt"
	}
	return "undecodable"
}

// OfferError reports why a Replica refused a head.
type OfferError struct {
	Kind     OfferKind
	Revision uint64 // revision of the refused head
	Current  uint64 // revision that the Replica holds
	Err      error  // cause for OfferUndecodable, else nil
}

// Error returns the revisions, the reason and the remedy.
func (e *OfferError) Error() string {
	msg := fmt.Sprintf("revision %d refused, current revision is %d: ", e.Revision, e.Current)
	switch e.Kind {
	case OfferOlder:
		return msg + "older than the current one: no action needed"
	case OfferConflict:
		return msg + "same revision with another digest: compare the digests of the instances and restart the one that differs from the store"
	case OfferCorrupt:
		return msg + "revision, plan ID, digest and document do not match: fetch it again from the store or another peer"
	}
	return fmt.Sprintf("%scannot decode the document: upgrade this instance: %v", msg, e.Err)
}

// Unwrap returns the underlying error.
func (e *OfferError) Unwrap() error { return e.Err }

// Version identifies the configuration that an instance holds. Its Revision is
// 0 if the instance holds none.
type Version struct {
	Revision uint64
	Digest   string
}

// ReplicaCounts counts the heads offered to a Replica by result.
type ReplicaCounts struct {
	Adopted, Unchanged, Older, Conflict, Corrupt, Undecodable int64
}

// Replica holds an instance's copy of the configuration. It adopts only higher
// revisions, from the store or from peers. The zero Replica holds no
// configuration. It is not safe for concurrent use.
type Replica struct {
	head   Head
	doc    *Document
	counts ReplicaCounts
}

// Offer adopts h if its revision is above the current one and its revision,
// plan ID, digest and document match. It returns true if h was adopted, an
// *OfferError if h was refused, and false and nil if h is the current head.
// The Replica keeps a reference to h's document, which must not be changed.
// Recent may be empty.
func (r *Replica) Offer(h Head) (bool, error) {
	switch {
	case h.Revision < r.head.Revision:
		r.counts.Older++
		return false, r.refusal(OfferOlder, h, nil)
	case h.Revision == r.head.Revision && h.Digest == r.head.Digest:
		r.counts.Unchanged++
		return false, nil
	case !h.consistent():
		r.counts.Corrupt++
		return false, r.refusal(OfferCorrupt, h, nil)
	case h.Revision == r.head.Revision:
		r.counts.Conflict++
		return false, r.refusal(OfferConflict, h, nil)
	}
	doc, err := h.Decode()
	if err != nil {
		r.counts.Undecodable++
		return false, r.refusal(OfferUndecodable, h, err)
	}
	r.head, r.doc = h, doc
	r.counts.Adopted++
	return true, nil
}

// Version returns the current version.
func (r *Replica) Version() Version {
	return Version{Revision: r.head.Revision, Digest: r.head.Digest}
}

// Head returns the current head, or the zero Head if there is none.
func (r *Replica) Head() Head { return r.head }

// Document returns the current document, or nil if there is none. It must not
// be changed.
func (r *Replica) Document() *Document { return r.doc }

// Counts returns the counts since the Replica was created.
func (r *Replica) Counts() ReplicaCounts { return r.counts }

func (r *Replica) refusal(kind OfferKind, h Head, err error) error {
	return &OfferError{Kind: kind, Revision: h.Revision, Current: r.head.Revision, Err: err}
}

// consistent reports whether the revision, plan ID, digest and document match
// and the document is within its size limit. The plan ID is derived from the
// revision, so that it also protects the revision.
func (h *Head) consistent() bool {
	return h.Revision > 0 && len(h.Document) <= MaxDocumentSize &&
		h.Digest == Digest(h.Document) && h.PlanID == planID(h.Revision-1, h.Document)
}
