package quarantine

import "time"

const (
	// maxAnswers bounds the remembered answers.
	maxAnswers = 4096
	// MaxAnswerDelay is how long, at random up to it, an instance that knows of an
	// answer to a suspected request waits before it tells the others, so that not all
	// that know of one tell it at once.
	MaxAnswerDelay = settleTime / 3
)

// answer tells when a request was last answered, as durations since the start of
// the instance.
type answer struct {
	at time.Duration
	// shared is the last answer that instances told each other of; 0 for none.
	shared time.Duration
}

// answers remembers when requests were last answered, the newest maxAnswers of
// them.
type answers struct {
	at map[Content]answer
	// ring holds the contents in the order of their answers, next the place of the
	// next one.
	ring []Content
	next int
}

// add records an answer.
func (a *answers) add(at time.Duration, content Content) {
	known, found := a.at[content]
	if !found {
		a.remember(content)
	}
	known.at = max(known.at, at)
	a.at[content] = known
}

// remember takes content into the ring in place of the oldest one.
func (a *answers) remember(content Content) {
	if len(a.ring) < maxAnswers {
		a.ring = append(a.ring, content)
		return
	}
	delete(a.at, a.ring[a.next])
	a.ring[a.next] = content
	a.next = (a.next + 1) % maxAnswers
}

// since reports whether a request was answered at a time or later.
func (a *answers) since(at time.Duration, content Content) bool {
	last, known := a.at[content]
	return known && last.at >= at
}

// ShareAnswer marks that instances know of an answer to the request at a time.
func (t *Table) ShareAnswer(at time.Duration, content Content) {
	if a, known := t.answered.at[content]; known {
		a.shared = max(a.shared, at)
		t.answered.at[content] = a
	}
}

// UnsharedAnswer returns when the request was last answered, and false if the
// instances have told each other of an answer since a time, or none is known.
func (t *Table) UnsharedAnswer(since time.Duration, content Content) (at time.Duration, unshared bool) {
	a := t.answered.at[content]
	return a.at, a.at >= since && a.shared < since
}
