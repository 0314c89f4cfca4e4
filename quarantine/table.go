package quarantine

import (
	"slices"
	"time"
)

// When a request is quarantined, and for how long.
const (
	// settleTime is how long a request is only held back once its crashes suffice: the
	// other instances' reports may yet tell that another request ran at the same
	// upstreams and crashed more of them, or that this one was answered.
	settleTime = 300 * time.Millisecond
	// quarantineTerm is how long a quarantined request is kept from the upstreams.
	quarantineTerm = 10 * time.Minute
	// probationTerm is how long after that one more crash suffices.
	probationTerm = time.Hour
	// suspicionTerm is how long a crash counts.
	suspicionTerm = 10 * time.Minute
)

// Limits of what a Table holds.
const (
	maxSuspects          = 2048
	maxCrashesPerSuspect = 12
	maxCrashedUpstreams  = 1024
	// MaxEntries bounds the quarantined requests, which all instances share.
	MaxEntries = 256
)

// entry is the decision about a request.
type entry struct {
	// sequence orders the decisions about a request.
	sequence uint32
	lifted   bool
	// until is the end of the quarantine, or when it was lifted.
	until time.Duration
	// since is when the last run began that crashed an upstream, as far as this
	// instance knows.
	since time.Duration
}

// blocks reports whether the request is kept from the upstreams.
func (e *entry) blocks(now time.Duration) bool { return !e.lifted && now < e.until }

// Decision is a change of what is quarantined.
type Decision struct {
	Content Content
	// Lifted is set if the request was answered after all.
	Lifted bool
	// Crashes is the number of crashes for which the request was quarantined.
	Crashes int
}

// Table holds what one instance knows of requests that crash upstreams. It is not
// safe for concurrent use.
type Table struct {
	suspects map[Content]*suspect
	// held holds the suspects with heldSince set.
	held      map[Content]*suspect
	entries   map[Content]*entry
	crashed   crashedUpstreams
	answered  answers
	decisions []Decision
}

// New returns an empty Table.
func New() *Table {
	return &Table{
		suspects: map[Content]*suspect{}, held: map[Content]*suspect{}, entries: map[Content]*entry{},
		crashed: crashedUpstreams{}, answered: answers{at: map[Content]answer{}},
	}
}

// Empty reports whether the Table holds neither suspicion nor decision, so that it
// blocks nothing.
func (t *Table) Empty() bool { return len(t.suspects)+len(t.entries) == 0 }

// Effect is what a crash says about its request.
type Effect uint8

const (
	// Exonerated: an upstream has answered the request since that run began, so it is
	// not to blame.
	Exonerated Effect = iota + 1
	// Counted: the crash counts.
	Counted
	// Held: with this crash there are enough, and the request is held back.
	Held
)

// RecordCrash records a crash that this or another instance has seen.
func (t *Table) RecordCrash(now time.Duration, c Crash) Effect {
	if t.answered.since(c.Began, c.Content) {
		t.crashed.add(c, false)
		return Exonerated
	}
	if e := t.entries[c.Content]; e != nil && !e.lifted {
		t.crashed.add(c, true)
		e.since = max(e.since, c.Began)
		if !e.blocks(now) {
			t.decide(now, c.Content, []Crash{c})
		}
		return Counted
	}
	t.crashed.add(c, false)
	s := t.suspects[c.Content]
	if s == nil {
		t.makeRoom()
		s = &suspect{}
		t.suspects[c.Content] = s
	}
	s.add(c)
	if s.heldSince > 0 || !t.conclusive(s) {
		return Counted
	}
	s.heldSince = max(now, 1)
	t.held[c.Content] = s
	return Held
}

// HeldCrashes returns the crashes for which a request is held back until it is
// decided about.
func (t *Table) HeldCrashes(content Content) []Crash {
	if s := t.held[content]; s != nil {
		return slices.Clone(s.crashes)
	}
	return nil
}

// Crashes returns the number of crashes that count against a request.
func (t *Table) Crashes(content Content) int {
	if s := t.suspects[content]; s != nil {
		return len(s.crashes)
	}
	return 0
}

// RecordAnswer records that an upstream answered the request at a time: the crashes
// of runs that had begun by then are not its fault. It returns true if that was in
// doubt, so that others should know.
func (t *Table) RecordAnswer(now, at time.Duration, content Content) (doubted bool) {
	t.answered.add(at, content)
	if e := t.entries[content]; e != nil && !e.lifted && at >= e.since {
		t.lift(now, content, e)
		doubted = true
	}
	return t.clear(at, content) || doubted
}

// clear drops the crashes of runs that had begun by a time. It returns true if
// there were any.
func (t *Table) clear(at time.Duration, content Content) bool {
	s := t.suspects[content]
	if s == nil {
		return false
	}
	before := len(s.crashes)
	s.crashes = slices.DeleteFunc(s.crashes, func(c Crash) bool { return c.Began <= at })
	switch {
	case len(s.crashes) == 0:
		t.drop(content)
	case s.heldSince > 0 && !t.conclusive(s):
		t.release(content, s)
	}
	return len(s.crashes) < before
}

// lift ends a quarantine since the request was answered.
func (t *Table) lift(now time.Duration, content Content, e *entry) {
	e.sequence, e.lifted, e.until = e.sequence+1, true, now
	t.decisions = append(t.decisions, Decision{Content: content, Lifted: true})
}

// release no longer holds a suspect back.
func (t *Table) release(content Content, s *suspect) {
	s.heldSince = 0
	delete(t.held, content)
}

// drop ends a suspicion.
func (t *Table) drop(content Content) {
	delete(t.suspects, content)
	delete(t.held, content)
}

// Blocked returns until when a request is kept from the upstreams, and false if
// it is not.
func (t *Table) Blocked(now time.Duration, content Content) (until time.Duration, blocked bool) {
	t.Settle(now)
	if e := t.entries[content]; e != nil && e.blocks(now) {
		return e.until, true
	}
	if s := t.held[content]; s != nil && !t.outweighed(content, s) {
		return s.heldSince + settleTime, true
	}
	return 0, false
}

// Settle decides about the requests that have been held back for settleTime. The
// one with the most crashes is quarantined first, and explains those at which
// others ran beside it.
func (t *Table) Settle(now time.Duration) {
	for len(t.held) > 0 {
		content, s := t.nextToSettle(now)
		if s == nil {
			return
		}
		t.release(content, s)
		if t.conclusive(s) && !t.ties(content, s) {
			t.quarantine(now, content, s)
		}
	}
}

// nextToSettle returns the request with the most unexplained crashes among those
// held back for settleTime, or nil.
func (t *Table) nextToSettle(now time.Duration) (content Content, next *suspect) {
	most := -1
	for k, s := range t.held {
		if now < s.heldSince+settleTime {
			continue
		}
		n := len(t.crashed.unexplained(s.crashes))
		if n > most || n == most && slices.Compare(k[:], content[:]) < 0 {
			content, next, most = k, s, n
		}
	}
	return content, next
}

// quarantine decides that s crashes upstreams.
func (t *Table) quarantine(now time.Duration, content Content, s *suspect) {
	t.explain(s)
	t.drop(content)
	t.decide(now, content, s.crashes)
}

// explain records that the crashes of s are those of a quarantined request.
func (t *Table) explain(s *suspect) {
	for _, c := range s.crashes {
		t.crashed.add(c, true)
	}
}

// decide quarantines a request from now on.
func (t *Table) decide(now time.Duration, content Content, crashes []Crash) {
	sequence := uint32(1)
	if e := t.entries[content]; e != nil {
		sequence = e.sequence + 1
	}
	t.put(content, &entry{sequence: sequence, until: now + quarantineTerm, since: crashes[len(crashes)-1].Began})
	t.decisions = append(t.decisions, Decision{Content: content, Crashes: len(crashes)})
}

// put stores an entry. Of more than MaxEntries the one that ends first is dropped.
func (t *Table) put(content Content, e *entry) {
	t.entries[content] = e
	if len(t.entries) <= MaxEntries {
		return
	}
	first := content
	for k, o := range t.entries {
		if o.until < t.entries[first].until {
			first = k
		}
	}
	delete(t.entries, first)
}

// makeRoom drops the suspect with the fewest crashes, the oldest of these, if
// there are too many.
func (t *Table) makeRoom() {
	if len(t.suspects) < maxSuspects {
		return
	}
	var weakest Content
	var w *suspect
	for k, s := range t.suspects {
		if w == nil || len(s.crashes) < len(w.crashes) || len(s.crashes) == len(w.crashes) && s.last() < w.last() {
			weakest, w = k, s
		}
	}
	t.drop(weakest)
}

// Expire drops what no longer counts.
func (t *Table) Expire(now time.Duration) {
	t.Settle(now)
	for k, s := range t.suspects {
		if now-s.last() >= suspicionTerm {
			t.drop(k)
		}
	}
	for k, e := range t.entries {
		if now-e.until >= probationTerm {
			delete(t.entries, k)
		}
	}
	for u, c := range t.crashed {
		if now-c.at >= suspicionTerm {
			delete(t.crashed, u)
		}
	}
}

// TakeDecisions returns the decisions since the last call.
func (t *Table) TakeDecisions() []Decision {
	out := t.decisions
	t.decisions = nil
	return out
}
