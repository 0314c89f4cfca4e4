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

// OfferError reports why a Keeper refused a head.
type OfferError struct {
	Kind     OfferKind
	Revision uint64 // revision of the refused head
	Current  uint64 // revision that the Keeper holds
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

// KeeperCounts counts the heads offered to a Keeper by result.
type KeeperCounts struct {
	Adopted, Unchanged, Older, Conflict, Corrupt, Undecodable int64
}

// Keeper holds an instance's copy of the configuration. It adopts only higher
// revisions, from the store or from peers. The zero Keeper holds no
// configuration. It is not safe for concurrent use.
type Keeper struct {
	head   Head
	doc    *Document
	counts KeeperCounts
}

// Offer adopts h if its revision is above the current one and its revision,
// plan ID, digest and document match. It returns true if h was adopted, an
// *OfferError if h was refused, and false and nil if h is the current head.
// The Keeper keeps a reference to h's document, which must not be changed.
// Recent may be empty.
func (k *Keeper) Offer(h Head) (bool, error) {
	switch {
	case h.Revision < k.head.Revision:
		k.counts.Older++
		return false, k.refusal(OfferOlder, h, nil)
	case h.Revision == k.head.Revision && h.Digest == k.head.Digest:
		k.counts.Unchanged++
		return false, nil
	case !h.consistent():
		k.counts.Corrupt++
		return false, k.refusal(OfferCorrupt, h, nil)
	case h.Revision == k.head.Revision:
		k.counts.Conflict++
		return false, k.refusal(OfferConflict, h, nil)
	}
	doc, err := h.Decode()
	if err != nil {
		k.counts.Undecodable++
		return false, k.refusal(OfferUndecodable, h, err)
	}
	k.head, k.doc = h, doc
	k.counts.Adopted++
	return true, nil
}

// Version returns the current version.
func (k *Keeper) Version() Version {
	return Version{Revision: k.head.Revision, Digest: k.head.Digest}
}

// Head returns the current head, or the zero Head if there is none.
func (k *Keeper) Head() Head { return k.head }

// Document returns the current document, or nil if there is none. It must not
// be changed.
func (k *Keeper) Document() *Document { return k.doc }

// Counts returns the counts since the Keeper was created.
func (k *Keeper) Counts() KeeperCounts { return k.counts }

func (k *Keeper) refusal(kind OfferKind, h Head, err error) error {
	return &OfferError{Kind: kind, Revision: h.Revision, Current: k.head.Revision, Err: err}
}

// consistent reports whether the revision, plan ID, digest and document match
// and the document is within its size limit. The plan ID is derived from the
// revision, so that it also protects the revision.
func (h *Head) consistent() bool {
	return h.Revision > 0 && len(h.Document) <= MaxDocumentSize &&
		h.Digest == Digest(h.Document) && h.PlanID == planID(h.Revision-1, h.Document)
}
