package store

import "strconv"

// Revision numbers the changes of the store. The store counts them; when it comes
// back from an older copy of its data, the count goes back and is given out again,
// and the store's epoch rises. A Revision holds both, so that of two Revisions the
// later one is higher.
type Revision int64

// countBits is the number of bits of the count in a Revision; the epoch has the
// others.
const countBits = 40

// MaxEpoch is the highest epoch that a Revision can hold.
const MaxEpoch = 1<<(63-countBits) - 1

// NewRevision returns the Revision of a count in an epoch, both at least 0, the
// epoch at most MaxEpoch.
func NewRevision(epoch, count int64) Revision { return Revision(epoch<<countBits | count) }

// Epoch returns the epoch.
func (r Revision) Epoch() int64 { return int64(r >> countBits) }

// Count returns the store's own number.
func (r Revision) Count() int64 { return int64(r & (1<<countBits - 1)) }

// String returns the count, after the epoch if that is not 0.
func (r Revision) String() string {
	count := strconv.FormatInt(r.Count(), 10)
	if r.Epoch() == 0 {
		return count
	}
	return strconv.FormatInt(r.Epoch(), 10) + "/" + count
}
