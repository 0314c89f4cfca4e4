package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/catkinrouter/catkinrouter/standin"
)

// Result is what came of one run.
type Result struct {
	Variant string  `json:"variant,omitempty"`
	Seconds float64 `json:"seconds"`
	Rows    []*Row  `json:"rows"`
	// Shares are each data centre's share of work, by service.
	Shares []Share `json:"shares,omitempty"`
	// ProbeShare is the largest share of an upstream's slot time that
	// probes took.
	ProbeShare float64 `json:"probe_share"`
	// Entries are the processor time and memory of each entry.
	Entries []EntryCost `json:"entries,omitempty"`
	// Ledger compares what callers were told with what ran.
	Ledger LedgerCheck `json:"ledger"`

	before map[string]standin.UpstreamCounts
}

// Row is the result of one CallMix. Latencies are in microseconds from the
// intended start to the last byte of the answer, of answered calls.
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
	// Noise99 is the p99 of the tool's own lateness in starting calls.
	Noise99 int64 `json:"noise_p99_us"`

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	noise   *hdrhistogram.Histogram
	keys    map[string]string // key to the last outcome told
}

// Reason counts why calls were not answered.
type Reason struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
}

// Share is a data centre's share of a service's work and of its capacity.
type Share struct {
	Service    string  `json:"service"`
	DataCentre string  `json:"data_centre"`
	Work       float64 `json:"work"`
	Capacity   float64 `json:"capacity"`
}

// LedgerCheck counts keyed calls that broke their promise.
type LedgerCheck struct {
	Keys       int `json:"keys"`
	RanTwice   int `json:"ran_twice"`
	NotRunRan  int `json:"not_run_but_ran"`
	AnsweredNo int `json:"answered_but_never_ran"`
}

const (
	maxLatency = int64(time.Minute / time.Microsecond)
	digits     = 3
)

func newResult(s *Scenario, v Variant, before []standin.UpstreamCounts) *Result {
	res := &Result{Variant: v.Name, before: map[string]standin.UpstreamCounts{}}
	for _, u := range before {
		res.before[u.ID] = u
	}
	for _, m := range s.Calls {
		res.Rows = append(res.Rows, &Row{
			Name: m.Name, latency: hdrhistogram.New(1, maxLatency, digits), noise: hdrhistogram.New(1, maxLatency, digits),
			keys: map[string]string{},
		})
	}
	return res
}

// rate is the mix's rate in calls per second.
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

func (r *Row) add(t told, counted bool, took, late time.Duration) {
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
		r.latency.RecordValue(min(maxLatency, took.Microseconds()))
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

func (r *Row) reason(name string) {
	for i := range r.Reasons {
		if r.Reasons[i].Name == name {
			r.Reasons[i].Count++
			return
		}
	}
	r.Reasons = append(r.Reasons, Reason{Name: name, Count: 1})
}

// finish works out the figures of the whole run.
func (res *Result) finish(after []standin.UpstreamCounts) {
	runs := map[string]int{}
	for _, u := range after {
		for k, n := range u.Ledger {
			runs[k] += n
		}
		b := res.before[u.ID]
		share := float64(u.ProbeMicros-b.ProbeMicros) / (res.Seconds * 1e6 * float64(u.Slots))
		res.ProbeShare = max(res.ProbeShare, share)
	}
	res.shares(after)
	for _, r := range res.Rows {
		r.finish()
		if len(after) > 0 {
			res.Ledger.check(r.keys, runs)
		}
	}
}

func (l *LedgerCheck) check(keys map[string]string, runs map[string]int) {
	for k, outcome := range keys {
		l.Keys++
		switch n := runs[k]; {
		case n > 1:
			l.RanTwice++
		case n > 0 && outcome == "not-run":
			l.NotRunRan++
		case n == 0 && outcome == "answered":
			l.AnsweredNo++
		}
	}
}

func (r *Row) finish() {
	r.P50 = r.latency.ValueAtQuantile(50)
	r.P90 = r.latency.ValueAtQuantile(90)
	r.P99 = r.latency.ValueAtQuantile(99)
	r.P999 = r.latency.ValueAtQuantile(99.9)
	r.Noise99 = r.noise.ValueAtQuantile(99)
}

// shares works out each data centre's share of slot time by service.
func (res *Result) shares(after []standin.UpstreamCounts) {
	type place struct{ service, dc string }
	work, slots := map[place]float64{}, map[place]float64{}
	sumWork, sumSlots := map[string]float64{}, map[string]float64{}
	var order []place
	for _, u := range after {
		p := place{u.Service, u.DataCentre}
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
