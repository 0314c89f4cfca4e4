// Package health decides which upstreams may take new work: it ejects those
// that fail or are slow beyond the others, tries them again, warms up cold
// ones, and gives nothing to those that are leaving.
package health

import (
	"time"

	"github.com/catkinrouter/catkinrouter/balance"
)

// State is what an upstream may take.
type State uint8

// States of an upstream.
const (
	// Ready upstreams take their full share.
	Ready State = iota
	// Cold upstreams take a share that grows.
	Cold
	// Ejected upstreams take nothing until their time is over.
	Ejected
	// Trial upstreams take one request at a time, to show how they are.
	Trial
	// Leaving upstreams take no new work.
	Leaving
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Ready:
		return "ready"
	case Cold:
		return "cold"
	case Ejected, Trial:
		return "ejected"
	case Leaving:
		return "leaving"
	}
	return "unknown"
}

const (
	// failuresInRow eject.
	failuresInRow = 5
	// failureShare ejects once minRequests were counted.
	failureShare = 0.5
	minRequests  = 10
	// window is the time after which counts are halved and latencies
	// compared.
	window = time.Second
	// firstEjection doubles with each ejection in a row up to maxEjection.
	firstEjection = time.Second
	maxEjection   = time.Minute
	// maxEjected is the largest share of upstreams ejected at once.
	maxEjected = 0.3
	// trialsNeeded is the number of trials that must succeed in a row.
	trialsNeeded = 2
	// trialPause is the time between a trial that was shed and the next.
	trialPause = 500 * time.Millisecond
	// slowStart is how long a cold upstream takes to its full share;
	// coldWeight is the share that it starts with.
	slowStart  = 5 * time.Second
	coldWeight = 0.1
	// forgiveAfter is the time without ejection after which the next one is
	// short again.
	forgiveAfter = time.Minute
)

// Tracker holds the health of the upstreams of one service, by index. It is
// not safe for concurrent use.
type Tracker struct {
	upstreams []upstream
	version   uint64
	nextTrial time.Duration // when the first ejection ends
	trials    int           // upstreams ejected or on trial
	compared  time.Duration
}

type upstream struct {
	state     State
	since     time.Duration
	until     time.Duration // end of an ejection
	ejections int
	listed    bool // leaving by configuration
	trialOut  bool
	trialsOK  int
	errors    errorCount
	slow      slowCount
	word      word
}

// errorCount counts requests; it is halved every window.
type errorCount struct {
	inRow    int
	failed   float64
	finished float64
}

// New returns a Tracker of n upstreams that are all ready.
func New(n int) *Tracker { return &Tracker{upstreams: make([]upstream, n), nextTrial: never} }

const never = time.Duration(1<<63 - 1)

// Keep gives upstream i the health that upstream j had in old.
func (t *Tracker) Keep(i int, old *Tracker, j int) {
	t.upstreams[i] = old.upstreams[j]
	t.recount()
}

// Added marks upstream i as cold: it is new, or runs at another address.
func (t *Tracker) Added(now time.Duration, i int) { t.set(now, i, Cold) }

// Version changes with every change of a state.
func (t *Tracker) Version() uint64 { return t.version }

// State returns the state of upstream i.
func (t *Tracker) State(i int) State {
	if t.upstreams[i].listed {
		return Leaving
	}
	return t.upstreams[i].state
}

// Weight returns the share of its capacity that upstream i may take, 0 to 1.
// It grows in steps of coldWeight.
func (t *Tracker) Weight(now time.Duration, i int) float64 {
	switch t.State(i) {
	case Ready:
		return 1
	case Cold:
		steps := int(float64(now-t.upstreams[i].since) / float64(slowStart) / coldWeight)
		return min(1, coldWeight*float64(1+max(0, steps)))
	}
	return 0
}

// Warming tells whether an upstream's weight still grows.
func (t *Tracker) Warming() bool {
	for i := range t.upstreams {
		if t.State(i) == Cold {
			return true
		}
	}
	return false
}

// Trial returns an upstream that is to take the next request as a trial.
func (t *Tracker) Trial(now time.Duration) (int, bool) {
	if now < t.nextTrial {
		return 0, false
	}
	for i := range t.upstreams {
		u := &t.upstreams[i]
		if t.State(i) == Ejected && now >= u.until {
			t.set(now, i, Trial)
			u.trialsOK = 0
		}
		if t.State(i) == Trial && !u.trialOut && now >= u.until {
			return i, true
		}
	}
	t.recount()
	return 0, false
}

// Sent records that a request goes to upstream i.
func (t *Tracker) Sent(i int) {
	if u := &t.upstreams[i]; u.state == Trial {
		u.trialOut = true
		t.recount()
	}
}

// Finished records how a request to upstream i ended.
func (t *Tracker) Finished(now time.Duration, i int, d balance.Done) {
	if d.Leaving || d.Load != nil && d.Load.Leaving {
		t.OwnWord(now, i)
		return
	}
	switch u := &t.upstreams[i]; u.state {
	case Trial:
		t.finishedTrial(now, i, d)
	case Ready, Cold:
		if d.Shed || d.Cancelled {
			return
		}
		u.errors.add(d.Failed)
		if !d.Failed && d.Class == balance.Short {
			u.slow.add(d.Latency)
		}
		if u.errors.bad() {
			t.eject(now, i)
		}
	}
}

func (c *errorCount) add(failed bool) {
	c.finished++
	if !failed {
		c.inRow = 0
		return
	}
	c.failed++
	c.inRow++
}

func (c *errorCount) bad() bool {
	return c.inRow >= failuresInRow || c.finished >= minRequests && c.failed >= failureShare*c.finished
}

func (t *Tracker) finishedTrial(now time.Duration, i int, d balance.Done) {
	u := &t.upstreams[i]
	u.trialOut = false
	switch {
	case d.Cancelled:
	case d.Shed:
		u.until = now + trialPause
	case d.Failed:
		t.startEjection(now, i)
		return
	default:
		if u.trialsOK++; u.trialsOK >= trialsNeeded {
			t.set(now, i, Cold)
			return
		}
	}
	t.recount()
}

// eject takes upstream i out, unless too many are out already.
func (t *Tracker) eject(now time.Duration, i int) {
	if t.trials < ejectable(t.active()) {
		t.startEjection(now, i)
	}
}

// active is the number of upstreams that are not leaving.
func (t *Tracker) active() int {
	n := 0
	for i := range t.upstreams {
		if t.State(i) != Leaving {
			n++
		}
	}
	return n
}

// relax takes back ejections that are too many since others left, the one
// that ends first before the others.
func (t *Tracker) relax(now time.Duration) {
	for t.trials > ejectable(t.active()) {
		first := -1
		for i := range t.upstreams {
			if s := t.State(i); s != Ejected && s != Trial {
				continue
			}
			if first < 0 || t.upstreams[i].until < t.upstreams[first].until {
				first = i
			}
		}
		t.set(now, first, Cold)
	}
}

// ejectable is the number of upstreams, of n that are not leaving, that may be
// out at once: never all.
func ejectable(n int) int { return min(max(1, int(maxEjected*float64(n))), max(0, n-1)) }

func (t *Tracker) startEjection(now time.Duration, i int) {
	u := &t.upstreams[i]
	if now-u.until > forgiveAfter {
		u.ejections = 0
	}
	d := firstEjection << min(u.ejections, 10)
	u.ejections++
	u.until = now + min(d, maxEjection)
	t.set(now, i, Ejected)
}

// set changes a state and forgets the evidence that led to it.
func (t *Tracker) set(now time.Duration, i int, s State) {
	u := &t.upstreams[i]
	u.state, u.since, u.trialOut = s, now, false
	u.errors, u.slow = errorCount{}, slowCount{}
	t.version++
	t.recount()
}

// recount finds the number of upstreams out and the time of the next trial.
func (t *Tracker) recount() {
	t.trials, t.nextTrial = 0, never
	for i := range t.upstreams {
		u := &t.upstreams[i]
		if s := t.State(i); s != Ejected && s != Trial {
			continue
		}
		t.trials++
		if !u.trialOut {
			t.nextTrial = min(t.nextTrial, u.until)
		}
	}
}

// Tick does what is due; call it at least every window.
func (t *Tracker) Tick(now time.Duration) {
	for i := range t.upstreams {
		if u := &t.upstreams[i]; u.state == Cold && now-u.since >= slowStart {
			u.state = Ready
			t.version++
		}
	}
	if now-t.compared < window {
		return
	}
	t.compared = now
	t.compare(now)
	for i := range t.upstreams {
		u := &t.upstreams[i]
		u.errors.failed /= 2
		u.errors.finished /= 2
	}
}
