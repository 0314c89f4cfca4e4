package agent

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/catkinrouter/catkinrouter/membership"
	"github.com/catkinrouter/catkinrouter/quarantine"
)

const (
	// quarantineTTL is how long a decision is kept after it was made; entries forget it
	// no later.
	quarantineTTL = 70 * time.Minute
	// promptSends is the number of messages that carry a new decision at once; from then
	// on one does each resendInterval, for agents that start.
	promptSends    = 12
	resendInterval = 2 * time.Second
)

// sharedQuarantine holds what entries have decided about calls that crash upstreams,
// the newest decision about each, at most quarantine.MaxEntries of them.
type sharedQuarantine map[quarantine.Content]*quarantineRecord

// quarantineRecord is one decision.
type quarantineRecord struct {
	entry   quarantine.Entry
	expires time.Duration
	// sends counts the messages that carried it, sentAt is when the last one did.
	sends  int
	sentAt time.Duration
}

// due reports whether the next message should carry the decision.
func (r *quarantineRecord) due(now time.Duration) bool {
	return r.sends < promptSends || now-r.sentAt >= resendInterval
}

// add takes decisions that are newer than the known ones. New ones are dropped while
// there are quarantine.MaxEntries. It returns true if it took one.
func (q sharedQuarantine) add(now time.Duration, entries []quarantine.Entry) (changed bool) {
	for _, e := range entries {
		known := q[e.Content]
		if known != nil && known.entry.Sequence >= e.Sequence || known == nil && len(q) >= quarantine.MaxEntries {
			continue
		}
		q[e.Content] = &quarantineRecord{entry: e, expires: now + quarantineTTL}
		changed = true
	}
	return changed
}

// list deletes expired decisions and returns the others, by Content.
func (q sharedQuarantine) list(now time.Duration) []quarantine.Entry {
	var out []quarantine.Entry
	for k, r := range q {
		if now >= r.expires {
			delete(q, k)
			continue
		}
		out = append(out, r.entry)
	}
	slices.SortFunc(out, func(a, b quarantine.Entry) int { return bytes.Compare(a.Content[:], b.Content[:]) })
	return out
}

// nextBatch returns the decisions for the next message and counts them as sent: of those
// that are due the ones sent the fewest times.
func (q sharedQuarantine) nextBatch(now time.Duration) []quarantine.Entry {
	var due []*quarantineRecord
	for _, r := range q {
		if r.due(now) {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, func(a, b *quarantineRecord) int {
		return cmp.Or(cmp.Compare(a.sends, b.sends), bytes.Compare(a.entry.Content[:], b.entry.Content[:]))
	})
	var out []quarantine.Entry
	for _, r := range due[:min(len(due), membership.MaxQuarantined)] {
		r.sends, r.sentAt = r.sends+1, now
		out = append(out, r.entry)
	}
	return out
}
