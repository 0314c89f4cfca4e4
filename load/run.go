package load

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/catkinrouter/catkinrouter/standin"
)

// Runner runs the load of a scenario.
type Runner struct {
	scenario *Scenario
	// Progress receives a line of text every few seconds; nil for none.
	Progress io.Writer
	// upstreams holds the counts of the upstreams at the start of the run.
	upstreams []standin.UpstreamCounts
}

// NewRunner returns a Runner for a scenario on which Check returned no error.
func NewRunner(scenario *Scenario) *Runner { return &Runner{scenario: scenario} }

const (
	progressInterval = 5 * time.Second
	// seedStride is the distance between the stream numbers of mixes, which
	// keeps their random numbers apart from those of callers and faults: these
	// use the same seed and the streams 0, 1, 2 and so on.
	seedStride = 1000
)

// Run runs the load once with the traffic settings of variant v. It does not
// apply the rules of v.
func (r *Runner) Run(v Variant) (*Result, error) {
	before, err := r.fetchCounts()
	if err != nil {
		return nil, err
	}
	r.upstreams = before
	callers := r.callers(v, before)
	metricsBefore := scrapeMetrics(r.scenario.Metrics)
	res := newResult(r.scenario, v, before)
	start := time.Now()
	stop := make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() { r.reportProgress(start, stop) })
	background.Go(func() { r.runFaults(start, stop) })
	var wg sync.WaitGroup
	for i := range r.scenario.Calls {
		if v.omits(r.scenario.Calls[i].Name) {
			continue
		}
		wg.Go(func() { r.runMix(i, v, start, callers, res) })
	}
	wg.Wait()
	res.Seconds = time.Since(start).Seconds()
	close(stop)
	background.Wait()
	after, err := r.fetchCounts()
	if err != nil {
		return nil, err
	}
	res.Entries = entryCosts(metricsBefore, scrapeMetrics(r.scenario.Metrics), res.Seconds)
	res.finish(after)
	return res, nil
}

// omits reports whether v leaves out a mix.
func (v Variant) omits(mix string) bool {
	for _, o := range v.Omit {
		if o == mix {
			return true
		}
	}
	return false
}

// fetchCounts returns the counts of all upstreams; nil without a control address.
func (r *Runner) fetchCounts() ([]standin.UpstreamCounts, error) {
	if r.scenario.Control == "" {
		return nil, nil
	}
	return fetchCounts(r.scenario.Control)
}

// callers returns the callers of a run. They share one client, which never
// retries by itself: only the caller counts and repeats tries.
func (r *Runner) callers(v Variant, ups []standin.UpstreamCounts) []*caller {
	client := newClient()
	entries := r.scenario.Entries
	if len(v.Entries) > 0 {
		entries = v.Entries
	}
	var direct map[string][]string
	if v.Direct {
		direct = map[string][]string{}
		for _, u := range ups {
			direct[u.Service] = append(direct[u.Service], u.Address)
		}
	}
	out := make([]*caller, r.scenario.Callers)
	for i := range out {
		out[i] = &caller{
			name: fmt.Sprintf("caller-%02d", i+1), client: client, entries: entries, direct: direct,
			rng: rand.New(rand.NewPCG(r.scenario.Seed, uint64(i))), cache: map[string]cachedLookup{}, directIndex: i,
		}
	}
	return out
}

// runMix starts the calls of mix i at their intended times, each in its own
// goroutine, and waits for all of them.
func (r *Runner) runMix(i int, v Variant, start time.Time, callers []*caller, res *Result) {
	m := &r.scenario.Calls[i]
	row := res.Rows[i]
	rng := rand.New(rand.NewPCG(r.scenario.Seed, uint64(i+1)*seedStride))
	rate := res.rate(m) * defaultTo(v.RateFactor, 1)
	warmup, end := r.scenario.Warmup.D(), r.scenario.Warmup.D()+r.scenario.Duration.D()
	var wg sync.WaitGroup
	n := 0
	for at := time.Duration(0); at < end; at += interarrivalTime(rng, rate*m.factor(at-warmup)) {
		sleepFor(time.Until(start.Add(at)))
		c := callers[rng.IntN(len(callers))]
		if m.Caller != "" {
			c = callerByName(callers, m.Caller)
		}
		n++
		id := fmt.Sprintf("%s-%d-%d", m.Name, start.UnixMilli(), n)
		intended := start.Add(at)
		counted := at >= warmup
		wg.Go(func() {
			late := time.Since(intended)
			t := c.do(m, id, r.scenario.Timeout.D())
			row.record(t, counted, time.Since(intended), late)
		})
	}
	wg.Wait()
}

// callerByName returns the caller with that name, or the first one.
func callerByName(callers []*caller, name string) *caller {
	for _, c := range callers {
		if c.name == name {
			return c
		}
	}
	return callers[0]
}

// interarrivalTime draws the time to the next call of a Poisson process, at most
// 10 s. At rate 0 it returns a fixed step, after which the rate, which may vary
// over time, is read again.
func interarrivalTime(rng *rand.Rand, rate float64) time.Duration {
	const zeroRateStep = 100 * time.Millisecond
	if rate <= 0 {
		return zeroRateStep
	}
	d := rng.ExpFloat64() / rate * float64(time.Second)
	return time.Duration(math.Min(d, float64(10*time.Second)))
}

// reportProgress writes the elapsed time to Progress until stop closes.
func (r *Runner) reportProgress(start time.Time, stop <-chan struct{}) {
	t := time.NewTicker(progressInterval)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			if r.Progress != nil {
				fmt.Fprintf(r.Progress, "%.0f s of %.0f s\n", time.Since(start).Seconds(), (r.scenario.Warmup + r.scenario.Duration).D().Seconds())
			}
		}
	}
}
