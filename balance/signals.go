package balance

import "time"

// Time constants of the signals.
const (
	// loadWindow smooths the load that others cause.
	loadWindow = 100 * time.Millisecond
	// loadTrust is the age at which half of a load report's weight is gone.
	loadTrust = 500 * time.Millisecond
	// latencyWindow smooths an upstream's latency.
	latencyWindow = 200 * time.Millisecond
	// latencyTrust is the age at which half of a latency's weight is gone.
	latencyTrust = time.Second
	// failureWindow is the time after which a failure counts half.
	failureWindow = time.Second
	// costWindow and othersWindow smooth means over all upstreams.
	costWindow   = time.Second
	othersWindow = time.Second
)

// failurePenalty is the load per slot that an upstream counts for, where all
// its recent requests failed.
const failurePenalty = 4.0

// ewma is a mean weighted by time: a value loses half of its weight once the
// values of a time window came after it.
type ewma struct {
	value float64
	at    time.Duration
	known bool
}

func (e *ewma) add(now time.Duration, v float64, window time.Duration) {
	if !e.known {
		*e = ewma{value: v, at: now, known: true}
		return
	}
	dt := float64(now - e.at)
	e.value += (v - e.value) * dt / (dt + float64(window))
	e.at = now
}

// faded returns the mean, drawn towards prior as it ages.
func (e *ewma) faded(now time.Duration, prior float64, trust time.Duration) float64 {
	if !e.known {
		return prior
	}
	age := float64(max(0, now-e.at))
	return prior + (e.value-prior)*float64(trust)/(float64(trust)+age)
}

// signals is the evidence about one upstream.
type signals struct {
	// others is the load by others: each report less the entry's own
	// requests in flight when it came.
	others   ewma
	reported time.Duration // when the last report came
	working  int           // in the last report
	own      int           // in flight when it came
	probed   time.Duration
	latency  [classes]ewma // seconds
	failures ewma          // share of requests that failed or were shed
}

// finished takes a request's end. A failure is never evidence of low
// latency, nor is a refusal; one that took long is evidence of high latency.
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

// report takes a load report and returns the load by others.
func (s *signals) report(now time.Duration, l Load, own int) float64 {
	v := max(0, float64(l.Working-own))
	s.others.add(now, v, loadWindow)
	s.reported, s.working, s.own = now, l.Working, own
	return v
}

// Load estimates the requests that upstream i works on, per slot: the
// entry's own in flight, and those of others by the last reports, whose
// weight falls towards the mean of all upstreams with their age, and where
// reports show to be old when they come. Recent failures count as load.
func (t *Table) Load(now time.Duration, i int) float64 {
	r := &t.rows[i]
	s := &r.signals
	slots := float64(r.Slots)
	mean := t.others.value * slots
	others := mean + t.trust.value*(s.others.faded(now, mean, loadTrust)-mean)
	load := (float64(t.InFlight(i)) + others) / slots
	if r.weight > 0 {
		load /= r.weight
	}
	return load + failurePenalty*s.failures.faded(now, 0, failureWindow)
}

// Latency estimates the latency of a request of class c at upstream i, in
// seconds. The estimate fades towards the mean of all upstreams.
func (t *Table) Latency(now time.Duration, i int, c Class) float64 {
	return t.rows[i].signals.latency[c].faded(now, t.costs[c].value, latencyTrust)
}

// Evidence returns when upstream i last reported its load, and whether it
// ever did.
func (t *Table) Evidence(i int) (at time.Duration, ok bool) {
	s := &t.rows[i].signals
	return s.reported, s.others.known
}
