// Package load makes open-loop load: calls start at their intended times
// whether or not earlier ones were answered, and latency counts from there.
package load

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/headers"
	"github.com/catkinrouter/catkinrouter/settings"
)

// Scenario is a load to make.
type Scenario struct {
	// Entries are the addresses of the entries.
	Entries  []string        `json:"entries"`
	Duration config.Duration `json:"duration"`
	Timeout  config.Duration `json:"timeout"`
	Calls    []CallMix       `json:"calls"`
}

// CallMix is a stream of like calls.
type CallMix struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// Rate is in calls per second.
	Rate float64 `json:"rate"`
}

// Check returns every fault of the scenario, joined.
func (s *Scenario) Check() error {
	var errs []error
	for _, a := range s.Entries {
		errs = append(errs, settings.CheckAddress("entries", a))
	}
	if len(s.Entries) == 0 || len(s.Calls) == 0 || s.Duration <= 0 || s.Timeout <= 0 {
		errs = append(errs, errors.New("set entries, calls, duration and timeout"))
	}
	return errors.Join(errs...)
}

// Row is the result of one CallMix.
type Row struct {
	Service  string
	Calls    int
	Answered int
	NotRun   int
	Unknown  int
	// Failed calls got no answer of an entry.
	Failed  int
	Latency *hdrhistogram.Histogram // microseconds
}

// Run makes the load and returns a row for each mix.
func Run(s *Scenario) []*Row {
	client := &fasthttp.Client{MaxIdemponentCallAttempts: 1, MaxConnsPerHost: 4096}
	rows := make([]*Row, len(s.Calls))
	var wg sync.WaitGroup
	for i, m := range s.Calls {
		rows[i] = &Row{Service: m.Service, Latency: hdrhistogram.New(1, 60_000_000, 3)}
		wg.Go(func() { runMix(s, m, client, rows[i]) })
	}
	wg.Wait()
	return rows
}

func runMix(s *Scenario, m CallMix, client *fasthttp.Client, row *Row) {
	rng := rand.New(rand.NewPCG(1, uint64(len(m.Service))))
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	var at time.Duration
	for at < s.Duration.D() {
		intended := start.Add(at)
		time.Sleep(time.Until(intended))
		addr := s.Entries[rng.IntN(len(s.Entries))]
		wg.Go(func() {
			outcome := call(client, s, m, addr)
			took := time.Since(intended)
			mu.Lock()
			defer mu.Unlock()
			row.add(outcome, took)
		})
		at += time.Duration(rng.ExpFloat64() / m.Rate * float64(time.Second))
	}
	wg.Wait()
}

func call(client *fasthttp.Client, s *Scenario, m CallMix, addr string) string {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + m.Path)
	req.Header.SetHost(m.Service)
	req.UseHostHeader = true
	req.Header.SetMethod(m.Method)
	if err := client.DoTimeout(req, resp, s.Timeout.D()); err != nil {
		return ""
	}
	return string(resp.Header.Peek(headers.Outcome))
}

func (r *Row) add(outcome string, took time.Duration) {
	r.Calls++
	switch outcome {
	case "answered":
		r.Answered++
		r.Latency.RecordValue(took.Microseconds())
	case "not-run":
		r.NotRun++
	case "unknown":
		r.Unknown++
	default:
		r.Failed++
	}
}

// Table writes the rows as a table.
func Table(w io.Writer, rows []*Row) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "service\tcalls\tanswered\tnot run\tunknown\tfailed\tp50 ms\tp99 ms\t")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t\n", r.Service, r.Calls, r.Answered, r.NotRun, r.Unknown, r.Failed,
			float64(r.Latency.ValueAtQuantile(50))/1000, float64(r.Latency.ValueAtQuantile(99))/1000)
	}
	t.Flush()
}
