package quarantine

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Entry is a decision about a request as instances share it.
type Entry struct {
	Content Content `json:"content"`
	// Sequence orders the decisions about a request.
	Sequence uint32 `json:"sequence"`
	// UntilUnixMilli is the end of the quarantine, or when it was lifted, in Unix
	// milliseconds.
	UntilUnixMilli int64 `json:"until_unix_ms"`
	Lifted         bool  `json:"lifted,omitempty"`
}

// maxSharedBytes bounds a list of MaxEntries entries in JSON.
const maxSharedBytes = 64 << 10

// Encode returns entries in JSON.
func Encode(entries []Entry) ([]byte, error) { return json.Marshal(entries) }

// Decode decodes what Encode returned. Entries above MaxEntries are an error.
func Decode(value []byte) ([]Entry, error) {
	if len(value) > maxSharedBytes {
		return nil, fmt.Errorf("quarantine list of %d bytes, want at most %d", len(value), maxSharedBytes)
	}
	var entries []Entry
	if err := json.Unmarshal(value, &entries); err != nil {
		return nil, fmt.Errorf("quarantine list: %w", err)
	}
	if len(entries) > MaxEntries {
		return nil, fmt.Errorf("quarantine list with %d entries, want at most %d", len(entries), MaxEntries)
	}
	return entries, nil
}

// Lift returns entries with the quarantine of a request lifted, as an operator decides;
// false if it is not quarantined.
func Lift(entries []Entry, content Content, wall time.Time) ([]Entry, bool) {
	out := slices.Clone(entries)
	i := slices.IndexFunc(out, func(e Entry) bool { return e.Content == content })
	if i < 0 || !out[i].InForce(wall) {
		return out, false
	}
	out[i].Sequence++
	out[i].Lifted = true
	out[i].UntilUnixMilli = wall.UnixMilli()
	return out, true
}

// InForce reports whether the request is quarantined at a time of day.
func (e Entry) InForce(wall time.Time) bool { return !e.Lifted && wall.UnixMilli() < e.UntilUnixMilli }

// Entries returns the decisions, by Content. wall is the time of day at now.
func (t *Table) Entries(now time.Duration, wall time.Time) []Entry {
	t.Settle(now)
	out := make([]Entry, 0, len(t.entries))
	for k, e := range t.entries {
		out = append(out, Entry{Content: k, Sequence: e.sequence, UntilUnixMilli: wall.Add(e.until - now).UnixMilli(), Lifted: e.lifted})
	}
	slices.SortFunc(out, func(a, b Entry) int { return slices.Compare(a.Content[:], b.Content[:]) })
	return out
}

// Merge takes decisions of other instances that are newer than the known ones. One
// that an answer contradicts is lifted.
func (t *Table) Merge(now time.Duration, wall time.Time, entries []Entry) {
	for _, e := range entries {
		known := t.entries[e.Content]
		if known != nil && known.sequence >= e.Sequence {
			continue
		}
		until := now + min(time.UnixMilli(e.UntilUnixMilli).Sub(wall), quarantineTerm)
		if now-until >= probationTerm {
			continue
		}
		if s := t.suspects[e.Content]; s != nil && !e.Lifted {
			t.explain(s)
		}
		t.drop(e.Content)
		next := &entry{sequence: e.Sequence, lifted: e.Lifted, until: until, since: now}
		t.put(e.Content, next)
		if !e.Lifted && t.answered.since(now-settleTime, e.Content) {
			t.lift(now, e.Content, next) // answered while the other instance held it back
		}
	}
}

// Missing reports whether entries hold a decision that stored lacks or has an
// older one of.
func Missing(entries, stored []Entry) bool {
	known := make(map[Content]Entry, len(stored))
	for _, s := range stored {
		known[s.Content] = s
	}
	return slices.ContainsFunc(entries, func(e Entry) bool {
		s, found := known[e.Content]
		return !found || e.Sequence > s.Sequence
	})
}
