package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/catkinrouter/catkinrouter/standin"
)

// Result is the result of one run.
type Result struct {
	Variant string  `json:"variant,omitempty"`
	Seconds float64 `json:"seconds"`
	Rows    []*Row  `json:"rows"`
	// Shares are each data centre's share of work, by service.
	Shares []Share `json:"shares,omitempty"`
	// ProbeShare is the share of slot time that probes took, on the upstream
	// with the largest such share.
	ProbeShare float64 `json:"probe_share"`
	// Entries are the processor time and memory of each entry.
	Entries []EntryCost `json:"entries,omitempty"`
	// Ledger compares the outcomes that callers got with what upstreams ran.
	Ledger LedgerCheck `json:"ledger"`

	before map[string]standin.UpstreamCounts
}

// Row is the result of one CallMix. Latencies are those of answered calls, in
// microseconds from the intended start to the last byte of the response.
type Row struct {
	Name     string   `json:"name"`
	Calls    int      `json:"calls"`
	Answered int      `json:"answered"`
	NotRun   int      `json:"not_run"`
	Unknown  int      `json:"unknown"`
	Failed   int      `json:"failed"`
	Wrong    int      `json:"wrong"`
	Late     int      `json:"late"`
	Tries    int      `json:"tries"`
	Reasons  []Reason `json:"reasons,omitempty"`
	P50      int64    `json:"p50_us"`
	P90      int64    `json:"p90_us"`
	P99      int64    `json:"p99_us"`
	P999     int64    `json:"p999_us"`
	// Noise99 is the p99 of the delay with which this process started calls
	// after their intended times, in microseconds.
	Noise99 int64 `json:"noise_p99_us"`

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	noise   *hdrhistogram.Histogram
	keys    map[string]string // last outcome by key, warm-up included
}

// Reason is the number of calls that were not answered for one reason.
type Reason struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
}

// Share is a data centre's share of the slot time that a service's upstreams
// spent on requests, and its share of their slots.
type Share struct {
	Service    string  `json:"service"`
	DataCentre string  `json:"data_centre"`
	Work       float64 `json:"work"`
	Capacity   float64 `json:"capacity"`
}

// LedgerCheck counts the keyed calls, and those that violated a guarantee: that
// no key runs twice, that a call with outcome "not-run" did not run, and that an
// answered call ran.
type LedgerCheck struct {
	Keys             int `json:"keys"`
	RanTwice         int `json:"ran_twice"`
	NotRunButRan     int `json:"not_run_but_ran"`
	AnsweredNeverRan int `json:"answered_but_never_ran"`
}

const (
	maxLatencyMicros  = int64(time.Minute / time.Microsecond)
	significantDigits = 3
)

func newResult(s *Scenario, v Variant, before []standin.UpstreamCounts) *Result {
	res := &Result{Variant: v.Name, before: map[string]standin.UpstreamCounts{}}
	for _, u := range before {
		res.before[u.ID] = u
	}
	for _, m := range s.Calls {
		res.Rows = append(res.Rows, &Row{
			Name: m.Name, latency: hdrhistogram.New(1, maxLatencyMicros, significantDigits), noise: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
			keys: map[string]string{},
		})
	}
	return res
}

// rate returns the mix's rate in calls per second. For a mix with Load it is
// that share of the capacity of the service's upstreams: their slots divided by
// the mean service time.
func (res *Result) rate(m *CallMix) float64 {
	if m.Load == 0 {
		return m.Rate
	}
	var capacity float64
	for _, u := range res.before {
		if u.Service == m.Service {
			capacity += float64(u.Slots) / (float64(u.WorkMicros) / 1e6)
		}
	}
	return m.Load * capacity
}

// record adds one call. A call that is not counted (warm-up) only enters its key.
func (r *Row) record(t callResult, counted bool, elapsed, late time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.key != "" {
		r.keys[t.key] = t.outcome
	}
	if !counted {
		return
	}
	r.Calls++
	r.Tries += t.tries
	r.noise.RecordValue(max(1, late.Microseconds()))
	if t.wrong {
		r.Wrong++
	}
	switch t.outcome {
	case "answered":
		r.Answered++
		r.latency.RecordValue(min(maxLatencyMicros, elapsed.Microseconds()))
		return
	case "not-run":
		r.NotRun++
	case "unknown":
		r.Unknown++
	default:
		r.Failed++
	}
	r.reason(t.reason)
}

// reason counts one call that was not answered for the reason name.
func (r *Row) reason(name string) {
	for i := range r.Reasons {
		if r.Reasons[i].Name == name {
			r.Reasons[i].Count++
			return
		}
	}
	r.Reasons = append(r.Reasons, Reason{Name: name, Count: 1})
}

// finish computes the figures of the whole run from the counts at its end.
// Without counts the ledger is not checked.
func (res *Result) finish(after []standin.UpstreamCounts) {
	runCounts := map[string]int{}
	for _, u := range after {
		for k, n := range u.Ledger {
			runCounts[k] += n
		}
		b := res.before[u.ID]
		share := float64(u.ProbeMicros-b.ProbeMicros) / (res.Seconds * 1e6 * float64(u.Slots))
		res.ProbeShare = max(res.ProbeShare, share)
	}
	res.computeShares(after)
	for _, r := range res.Rows {
		r.finish()
		if len(after) > 0 {
			res.Ledger.check(r.keys, runCounts)
		}
	}
}

// check adds the keys, with the last outcome of each, to the counts. runCounts is
// the number of runs by key over all upstreams.
func (l *LedgerCheck) check(keys map[string]string, runCounts map[string]int) {
	for k, outcome := range keys {
		l.Keys++
		switch n := runCounts[k]; {
		case n > 1:
			l.RanTwice++
		case n > 0 && outcome == "not-run":
			l.NotRunButRan++
		case n == 0 && outcome == "answered":
			l.AnsweredNeverRan++
		}
	}
}

// finish computes the percentiles.
func (r *Row) finish() {
	r.P50 = r.latency.ValueAtQuantile(50)
	r.P90 = r.latency.ValueAtQuantile(90)
	r.P99 = r.latency.ValueAtQuantile(99)
	r.P999 = r.latency.ValueAtQuantile(99.9)
	r.Noise99 = r.noise.ValueAtQuantile(99)
}

// computeShares computes each data centre's share of slot time and of slots, by
// service. Services without work are left out.
func (res *Result) computeShares(after []standin.UpstreamCounts) {
	type serviceDC struct{ service, dc string }
	work, slots := map[serviceDC]float64{}, map[serviceDC]float64{}
	sumWork, sumSlots := map[string]float64{}, map[string]float64{}
	var order []serviceDC
	for _, u := range after {
		p := serviceDC{u.Service, u.DataCentre}
		if _, ok := slots[p]; !ok {
			order = append(order, p)
		}
		w := float64(u.BusyMicros - res.before[u.ID].BusyMicros)
		work[p] += w
		sumWork[u.Service] += w
		slots[p] += float64(u.Slots)
		sumSlots[u.Service] += float64(u.Slots)
	}
	for _, p := range order {
		if sumWork[p.service] > 0 {
			res.Shares = append(res.Shares, Share{
				Service: p.service, DataCentre: p.dc,
				Work: work[p] / sumWork[p.service], Capacity: slots[p] / sumSlots[p.service],
			})
		}
	}
}
