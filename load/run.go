package load

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/standin"
)

// Runner makes the load of a scenario.
type Runner struct {
	s *Scenario
	// Progress takes a line every few seconds; nil for none.
	Progress io.Writer
	// upstreams are those of the site when the run began.
	upstreams []standin.UpstreamCounts
}

// NewRunner returns a Runner for a checked scenario.
func NewRunner(s *Scenario) *Runner { return &Runner{s: s} }

const (
	maxConns         = 8192
	progressInterval = 5 * time.Second
	// callNameStep spaces the seeds of mixes apart.
	callNameStep = 1000
)

// Run makes the load once, as variant v says, and returns what came of it.
func (r *Runner) Run(v Variant) (*Result, error) {
	before, err := r.counts()
	if err != nil {
		return nil, err
	}
	r.upstreams = before
	callers := r.callers(v, before)
	spent := scrape(r.s.Metrics)
	res := newResult(r.s, v, before)
	start := time.Now()
	stop := make(chan struct{})
	var side sync.WaitGroup
	side.Go(func() { r.progress(start, stop) })
	side.Go(func() { r.faults(start, stop) })
	var wg sync.WaitGroup
	for i := range r.s.Calls {
		if v.omits(r.s.Calls[i].Name) {
			continue
		}
		wg.Go(func() { r.mix(i, v, start, callers, res) })
	}
	wg.Wait()
	res.Seconds = time.Since(start).Seconds()
	close(stop)
	side.Wait()
	after, err := r.counts()
	if err != nil {
		return nil, err
	}
	res.Entries = costs(spent, scrape(r.s.Metrics), res.Seconds)
	res.finish(after)
	return res, nil
}

func (v Variant) omits(mix string) bool {
	for _, o := range v.Omit {
		if o == mix {
			return true
		}
	}
	return false
}

func (r *Runner) counts() ([]standin.UpstreamCounts, error) {
	if r.s.Control == "" {
		return nil, nil
	}
	return counts(r.s.Control)
}

func (r *Runner) callers(v Variant, ups []standin.UpstreamCounts) []*caller {
	client := &fasthttp.Client{MaxIdemponentCallAttempts: 1, RetryIfErr: neverRetry, MaxConnsPerHost: maxConns}
	entries := r.s.Entries
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
	out := make([]*caller, r.s.Callers)
	for i := range out {
		out[i] = &caller{
			name: fmt.Sprintf("caller-%02d", i+1), client: client, entries: entries, direct: direct,
			rng: rand.New(rand.NewPCG(r.s.Seed, uint64(i))), known: map[string]answer{}, turn: i,
		}
	}
	return out
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// mix starts the calls of one mix at their intended times and waits for all.
func (r *Runner) mix(i int, v Variant, start time.Time, callers []*caller, res *Result) {
	m := &r.s.Calls[i]
	row := res.Rows[i]
	rng := rand.New(rand.NewPCG(r.s.Seed, uint64(i+1)*callNameStep))
	rate := res.rate(m) * defaultTo(v.RateFactor, 1)
	warm, end := r.s.Warmup.D(), r.s.Warmup.D()+r.s.Duration.D()
	var wg sync.WaitGroup
	n := 0
	for at := time.Duration(0); at < end; at += gap(rng, rate*m.factor(at-warm)) {
		sleepFor(time.Until(start.Add(at)))
		c := callers[rng.IntN(len(callers))]
		if m.Caller != "" {
			c = named(callers, m.Caller)
		}
		n++
		id := fmt.Sprintf("%s-%d-%d", m.Name, start.UnixMilli(), n)
		intended := start.Add(at)
		counted := at >= warm
		wg.Go(func() {
			late := time.Since(intended)
			t := c.do(m, id, r.s.Timeout.D())
			row.add(t, counted, time.Since(intended), late)
		})
	}
	wg.Wait()
}

func named(callers []*caller, name string) *caller {
	for _, c := range callers {
		if c.name == name {
			return c
		}
	}
	return callers[0]
}

// gap draws the time to the next call of a Poisson process.
func gap(rng *rand.Rand, rate float64) time.Duration {
	const most = 100 * time.Millisecond
	if rate <= 0 {
		return most
	}
	d := rng.ExpFloat64() / rate * float64(time.Second)
	return time.Duration(math.Min(d, float64(10*time.Second)))
}

func (r *Runner) progress(start time.Time, stop <-chan struct{}) {
	t := time.NewTicker(progressInterval)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			if r.Progress != nil {
				fmt.Fprintf(r.Progress, "%.0f s of %.0f s\n", time.Since(start).Seconds(), (r.s.Warmup + r.s.Duration).D().Seconds())
			}
		}
	}
}
