package config

import "fmt"

// OfferKind classifies a refused head.
type OfferKind uint8

// Kinds of refused heads.
const (
	// OfferOlder: a higher revision is held already.
	OfferOlder OfferKind = iota + 1
	// OfferConflict: the revision held has another digest.
	OfferConflict
	// OfferCorrupt: the head's parts do not belong together.
	OfferCorrupt
	// OfferUndecodable: the document cannot be read.
	OfferUndecodable
)

// String returns the kind's name, as counters use it.
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

// OfferError says why a Keeper refused a head.
type OfferError struct {
	Kind     OfferKind
	Revision uint64
	Held     uint64
	Err      error
}

// Error names the revisions, the fault and the remedy.
func (e *OfferError) Error() string {
	msg := fmt.Sprintf("revision %d refused, revision %d is held: ", e.Revision, e.Held)
	switch e.Kind {
	case OfferOlder:
		return msg + "older than the one held: nothing to do"
	case OfferConflict:
		return msg + "same revision with another digest: compare the instances' digests, restart the one that differs from the store"
	case OfferCorrupt:
		return msg + "revision, digest and document do not belong together: fetch it again from the store or another peer"
	}
	return fmt.Sprintf("%sdocument unreadable: update this instance: %v", msg, e.Err)
}

// Unwrap returns the underlying fault.
func (e *OfferError) Unwrap() error { return e.Err }

// Version identifies the configuration that an instance holds. Revision 0
// means none.
type Version struct {
	Revision uint64
	Digest   string
}

// KeeperCounts count what was offered to a Keeper.
type KeeperCounts struct {
	Taken, Same, Older, Conflict, Corrupt, Undecodable int64
}

// Keeper is what one instance holds of the configuration: a state machine
// that takes only higher revisions, from the store or from peers. The zero
// Keeper holds none. It is not safe for concurrent use.
type Keeper struct {
	head   Head
	doc    *Document
	counts KeeperCounts
}

// Offer takes h if its revision is above the one held and its parts belong
// together. It returns true if the Keeper holds a new revision, and an
// *OfferError for a refused head. The head held already is neither. The Keeper
// keeps h's document, which must not be changed; Recent may be left out.
func (k *Keeper) Offer(h Head) (bool, error) {
	switch {
	case h.Revision < k.head.Revision:
		k.counts.Older++
		return false, k.refuse(OfferOlder, h, nil)
	case h.Revision == k.head.Revision && h.Digest == k.head.Digest:
		k.counts.Same++
		return false, nil
	case !h.intact():
		k.counts.Corrupt++
		return false, k.refuse(OfferCorrupt, h, nil)
	case h.Revision == k.head.Revision:
		k.counts.Conflict++
		return false, k.refuse(OfferConflict, h, nil)
	}
	doc, err := h.Decode()
	if err != nil {
		k.counts.Undecodable++
		return false, k.refuse(OfferUndecodable, h, err)
	}
	k.head, k.doc = h, doc
	k.counts.Taken++
	return true, nil
}

// Version returns the version held.
func (k *Keeper) Version() Version {
	return Version{Revision: k.head.Revision, Digest: k.head.Digest}
}

// Head returns the head held; the zero Head for none.
func (k *Keeper) Head() Head { return k.head }

// Document returns the document held, nil for none. It must not be changed.
func (k *Keeper) Document() *Document { return k.doc }

// Counts returns the counts since the Keeper was made.
func (k *Keeper) Counts() KeeperCounts { return k.counts }

func (k *Keeper) refuse(kind OfferKind, h Head, err error) error {
	return &OfferError{Kind: kind, Revision: h.Revision, Held: k.head.Revision, Err: err}
}

// intact tells whether the revision, the plan, the digest and the document
// belong together. The plan's ID covers the revision.
func (h *Head) intact() bool {
	return h.Revision > 0 && len(h.Document) <= MaxDocument &&
		h.Digest == Digest(h.Document) && h.PlanID == planID(h.Revision-1, h.Document)
}
