// Package health decides which upstreams may take new work. It ejects upstreams
// that fail or are latency outliers, readmits them after trial requests, brings
// cold upstreams up by slow start, and sends nothing to upstreams that are
// leaving.
package health

import (
	"time"

	"github.com/catkinrouter/catkinrouter/balance"
)

// State is the health of an upstream; it determines what the upstream may take.
type State uint8

// States of an upstream.
const (
	// Ready upstreams take their full share.
	Ready State = iota
	// Cold upstreams take a share that grows to the full one (slow start).
	Cold
	// Ejected upstreams take nothing until the end of their ejection time.
	Ejected
	// Trial upstreams take one request at a time after an ejection or a
	// return, until enough of these have succeeded.
	Trial
	// Leaving upstreams take no new work.
	Leaving
)

// String returns the name of the state; Trial has the name of Ejected.
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
	// consecutiveFailures is the number of failures in a row that eject an
	// upstream.
	consecutiveFailures = 5
	// failureShare is the share of failed requests that ejects an upstream,
	// once minRequests were counted.
	failureShare = 0.5
	minRequests  = 10
	// window is the interval at which request counts are halved and latencies
	// are compared.
	window = time.Second
	// baseEjectionTime is the duration of a first ejection. It doubles with each
	// further ejection up to maxEjectionTime.
	baseEjectionTime = time.Second
	maxEjectionTime  = time.Minute
	// maxEjectedShare is the largest share of upstreams ejected at once.
	maxEjectedShare = 0.3
	// requiredTrials is the number of trials that must succeed without a failure
	// between them.
	requiredTrials = 2
	// shedTrialDelay is the delay of the next trial after one that was shed.
	shedTrialDelay = 500 * time.Millisecond
	// slowStart is the time in which a cold upstream reaches its full share;
	// coldWeight is the share that it starts with, and the step of the rise.
	slowStart  = 5 * time.Second
	coldWeight = 0.1
	// ejectionReset is the time since the end of the last ejection after which
	// the next one lasts only baseEjectionTime again.
	ejectionReset = time.Minute
)

// Tracker holds the health of the upstreams of one service, by index. It is
// not safe for concurrent use.
type Tracker struct {
	upstreams   []upstream
	version     uint64
	nextTrial   time.Duration // earliest time at which an upstream is due for a trial
	ejected     int           // upstreams ejected or on trial
	windowStart time.Duration
}

type upstream struct {
	state             State
	stateSince        time.Duration
	ejectedUntil      time.Duration // end of the ejection, or of the delay after a shed trial
	ejections         int           // number of ejections that set the duration of the next one
	configuredLeaving bool          // listed as leaving in the configuration
	trialInFlight     bool
	succeededTrials   int
	errors            errorCount
	latency           latencyWindow
	leavingReport     leavingReport
}

// errorCount counts requests. Its totals are halved every window, so that older
// requests count less.
type errorCount struct {
	consecutive int // failures since the last success
	failed      float64
	finished    float64
}

// New returns a Tracker of n upstreams, all Ready.
func New(n int) *Tracker { return &Tracker{upstreams: make([]upstream, n), nextTrial: never} }

// never is the time of an event that is not due.
const never = time.Duration(1<<63 - 1)

// CopyFrom copies the health of upstream j in old to upstream i.
func (t *Tracker) CopyFrom(i int, old *Tracker, j int) {
	t.upstreams[i] = old.upstreams[j]
	t.recount()
}

// MarkAdded marks upstream i as Cold, since it is new or has a new address.
func (t *Tracker) MarkAdded(now time.Duration, i int) { t.setState(now, i, Cold) }

// Version returns a number that changes with every change of a state.
func (t *Tracker) Version() uint64 { return t.version }

// State returns the state of upstream i.
func (t *Tracker) State(i int) State {
	if t.upstreams[i].configuredLeaving {
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
		steps := int(float64(now-t.upstreams[i].stateSince) / float64(slowStart) / coldWeight)
		return min(1, coldWeight*float64(1+max(0, steps)))
	}
	return 0
}

// InSlowStart reports whether an upstream is Cold, so that its weight still
// grows.
func (t *Tracker) InSlowStart() bool {
	for i := range t.upstreams {
		if t.State(i) == Cold {
			return true
		}
	}
	return false
}

// Trial returns the upstream that should get the next request as a trial, or
// false if none is due.
func (t *Tracker) Trial(now time.Duration) (int, bool) {
	if now < t.nextTrial {
		return 0, false
	}
	for i := range t.upstreams {
		u := &t.upstreams[i]
		if t.State(i) == Ejected && now >= u.ejectedUntil {
			t.setState(now, i, Trial)
		}
		if t.State(i) == Trial && !u.trialInFlight && now >= u.ejectedUntil {
			return i, true
		}
	}
	t.recount()
	return 0, false
}

// Sent records that a request goes to upstream i.
func (t *Tracker) Sent(i int) {
	if u := &t.upstreams[i]; u.state == Trial {
		u.trialInFlight = true
		t.recount()
	}
}

// Finished records the end of a request to upstream i. It changes the state of
// the upstream if a trial ended, an ejection is due or the upstream reported that
// it is leaving.
func (t *Tracker) Finished(now time.Duration, i int, d balance.Done) {
	if d.Leaving || d.Load != nil && d.Load.Leaving {
		t.MarkLeaving(now, i)
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
			u.latency.add(d.Latency)
		}
		if u.errors.exceeded() {
			t.eject(now, i)
		}
	}
}

func (c *errorCount) add(failed bool) {
	c.finished++
	if !failed {
		c.consecutive = 0
		return
	}
	c.failed++
	c.consecutive++
}

// exceeded reports whether the failures are enough for an ejection.
func (c *errorCount) exceeded() bool {
	return c.consecutive >= consecutiveFailures || c.finished >= minRequests && c.failed >= failureShare*c.finished
}

func (t *Tracker) finishedTrial(now time.Duration, i int, d balance.Done) {
	u := &t.upstreams[i]
	u.trialInFlight = false
	switch {
	case d.Cancelled:
	case d.Shed:
		u.ejectedUntil = now + shedTrialDelay
	case d.Failed:
		t.startEjection(now, i)
		return
	default:
		if u.succeededTrials++; u.succeededTrials >= requiredTrials {
			t.setState(now, i, Cold)
			return
		}
	}
	t.recount()
}

// eject ejects upstream i, unless the largest number of ejections is reached.
func (t *Tracker) eject(now time.Duration, i int) {
	if t.ejected < maxEjections(t.active()) {
		t.startEjection(now, i)
	}
}

// active returns the number of upstreams that are not leaving.
func (t *Tracker) active() int {
	n := 0
	for i := range t.upstreams {
		if t.State(i) != Leaving {
			n++
		}
	}
	return n
}

// liftExcessEjections ends ejections early while there are more than
// maxEjections, which happens when other upstreams start to leave. The ejection
// that would end first is lifted first.
func (t *Tracker) liftExcessEjections(now time.Duration) {
	for t.ejected > maxEjections(t.active()) {
		first := -1
		for i := range t.upstreams {
			if s := t.State(i); s != Ejected && s != Trial {
				continue
			}
			if first < 0 || t.upstreams[i].ejectedUntil < t.upstreams[first].ejectedUntil {
				first = i
			}
		}
		t.setState(now, first, Cold)
	}
}

// maxEjections returns the largest number of upstreams that may be ejected at
// once, of n that are not leaving: maxEjectedShare of them, at least one, but
// never all of them.
func maxEjections(n int) int { return min(max(1, int(maxEjectedShare*float64(n))), max(0, n-1)) }

// startEjection ejects upstream i; the duration depends on its recent
// ejections.
func (t *Tracker) startEjection(now time.Duration, i int) {
	u := &t.upstreams[i]
	if now-u.ejectedUntil > ejectionReset {
		u.ejections = 0
	}
	d := baseEjectionTime << min(u.ejections, 10)
	u.ejections++
	u.ejectedUntil = now + min(d, maxEjectionTime)
	t.setState(now, i, Ejected)
}

// setState changes the state of upstream i. It resets the request counts and
// latencies, so that evidence from before the change does not count again.
func (t *Tracker) setState(now time.Duration, i int, s State) {
	u := &t.upstreams[i]
	u.state, u.stateSince, u.trialInFlight, u.succeededTrials = s, now, false, 0
	u.errors, u.latency = errorCount{}, latencyWindow{}
	t.version++
	t.recount()
}

// recount updates the number of ejected upstreams and the time of the next trial.
func (t *Tracker) recount() {
	t.ejected, t.nextTrial = 0, never
	for i := range t.upstreams {
		u := &t.upstreams[i]
		if s := t.State(i); s != Ejected && s != Trial {
			continue
		}
		t.ejected++
		if !u.trialInFlight {
			t.nextTrial = min(t.nextTrial, u.ejectedUntil)
		}
	}
}

// Tick ends slow starts and windows that are due. Call it at least every window.
func (t *Tracker) Tick(now time.Duration) {
	for i := range t.upstreams {
		if u := &t.upstreams[i]; u.state == Cold && now-u.stateSince >= slowStart {
			u.state = Ready
			t.version++
		}
	}
	if now-t.windowStart < window {
		return
	}
	t.windowStart = now
	t.ejectOutliers(now)
	for i := range t.upstreams {
		u := &t.upstreams[i]
		u.errors.failed /= 2
		u.errors.finished /= 2
	}
}
