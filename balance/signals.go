package balance

import "time"

// Time constants of the signals.
const (
	// loadWindow is the averaging window of the load by others.
	loadWindow = 150 * time.Millisecond
	// loadHalfAge is the age at which a load report has lost half of its
	// weight.
	loadHalfAge = 500 * time.Millisecond
	// latencyWindow is the averaging window of an upstream's latency.
	latencyWindow = 200 * time.Millisecond
	// latencyHalfAge is the age at which a latency has lost half of its
	// weight.
	latencyHalfAge = time.Second
	// failureWindow is the averaging window of the failure rate, and the age
	// at which it has lost half of its weight.
	failureWindow = time.Second
	// meanLatencyWindow and meanOthersWindow are the averaging windows of the
	// means over all upstreams.
	meanLatencyWindow = time.Second
	meanOthersWindow  = time.Second
)

// failurePenalty is the load per slot that is added to an upstream if all of
// its recent requests failed.
const failurePenalty = 4.0

// ewma is a moving average weighted by time: a value that follows the previous
// one after the time dt gets the weight dt/(dt+window).
type ewma struct {
	value     float64
	updatedAt time.Duration
	known     bool
}

func (e *ewma) add(now time.Duration, v float64, window time.Duration) {
	if !e.known {
		*e = ewma{value: v, updatedAt: now, known: true}
		return
	}
	dt := float64(now - e.updatedAt)
	e.value += (v - e.value) * dt / (dt + float64(window))
	e.updatedAt = now
}

// decayed returns the average, moved towards prior with its age: halfway when
// the age is halfAge.
func (e *ewma) decayed(now time.Duration, prior float64, halfAge time.Duration) float64 {
	if !e.known {
		return prior
	}
	age := float64(max(0, now-e.updatedAt))
	return prior + (e.value-prior)*float64(halfAge)/(float64(halfAge)+age)
}

// signals holds the measurements of one upstream.
type signals struct {
	// others is the load that does not come from this entry: the reported load
	// minus the entry's own requests in flight when the report arrived.
	others      ewma
	reportedAt  time.Duration // arrival of the last report
	outstanding int           // Load.Outstanding of the last report
	own         int           // own requests in flight when it arrived
	probedAt    time.Duration
	latency     [classes]ewma // seconds
	failures    ewma          // share of requests that failed or were shed
}

// finished records the end of a request. A failure or a refusal never lowers
// the latency estimate, because it may come fast; a failed or cancelled request
// that took longer than the estimate raises it.
func (s *signals) finished(now time.Duration, d Done) {
	l := &s.latency[d.Class]
	v := d.Latency.Seconds()
	switch {
	case d.Shed:
	case d.Failed || d.Cancelled:
		if l.known && v > l.value {
			l.add(now, v, latencyWindow)
		}
	default:
		l.add(now, v, latencyWindow)
	}
	if d.Cancelled {
		return
	}
	failed := 0.0
	if d.Failed || d.Shed {
		failed = 1
	}
	s.failures.add(now, failed, failureWindow)
}

// report records a load report and returns the load by others.
func (s *signals) report(now time.Duration, l Load, own int) float64 {
	v := max(0, float64(l.Outstanding-own))
	s.others.add(now, v, loadWindow)
	s.reportedAt, s.outstanding, s.own = now, l.Outstanding, own
	return v
}

// Load estimates the load of upstream i, in requests per slot, divided by its
// weight. It counts the entry's own requests in flight, and the load by others
// from the last reports. The older the reports are, and the more they lag
// already on arrival, the more the mean load by others over all upstreams
// replaces them. Recent failures add up to failurePenalty.
func (t *Table) Load(now time.Duration, i int) float64 {
	r := &t.rows[i]
	s := &r.signals
	slots := float64(r.Slots)
	mean := t.others.value * slots
	others := mean + t.freshness.value*(s.others.decayed(now, mean, loadHalfAge)-mean)
	load := (float64(t.InFlight(i)) + others) / slots
	if r.weight > 0 {
		load /= r.weight
	}
	return load + failurePenalty*s.failures.decayed(now, 0, failureWindow)
}

// Latency estimates the latency of a request of class c at upstream i, in
// seconds. As the estimate ages, it moves towards the mean of all upstreams.
func (t *Table) Latency(now time.Duration, i int, c Class) float64 {
	return t.rows[i].signals.latency[c].decayed(now, t.latencies[c].value, latencyHalfAge)
}

// LastReport returns the time of the last load report of upstream i, and false
// if there was none.
func (t *Table) LastReport(i int) (at time.Duration, ok bool) {
	s := &t.rows[i].signals
	return s.reportedAt, s.others.known
}
