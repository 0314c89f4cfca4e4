package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/headers"
)

// UpstreamFaults are the faults that an Upstream shows.
type UpstreamFaults struct {
	// Slow multiplies service times; 0 and 1 leave them.
	Slow float64 `json:"slow"`
	// FailFast answers status 500 at once, and reports no load.
	FailFast bool `json:"fail_fast"`
	// Drain answers with the leaving mark and refuses new work after
	// DrainAfterMillis.
	Drain bool `json:"drain"`
	// ReportLagMillis is the age of the load report.
	ReportLagMillis int `json:"report_lag_ms"`
	// LoseReplies closes the connection after running each request.
	LoseReplies bool `json:"lose_replies"`
}

// UpstreamOptions are the fixed properties of an Upstream.
type UpstreamOptions struct {
	ID    string
	Slots int
	// Queue bounds the requests that wait for a slot; more are shed.
	Queue int
	// Work is the mean service time; LongWork that of paths under /long.
	Work     time.Duration
	LongWork time.Duration
	// ProbeWork is the slot time of a probe.
	ProbeWork time.Duration
	Seed      uint64
}

// Upstream works on a bounded number of requests at once, queues some more,
// reports its load and keeps a ledger of the keyed calls that it ran.
type Upstream struct {
	opt     UpstreamOptions
	slots   chan struct{}
	working atomic.Int64
	served  atomic.Int64
	probes  atomic.Int64
	mu      sync.Mutex
	faults  UpstreamFaults
	ledger  map[string]int
	reports []report
	rng     *rand.Rand
}

type report struct {
	at      time.Time
	working int64
}

// NewUpstream returns an idle Upstream.
func NewUpstream(opt UpstreamOptions) *Upstream {
	return &Upstream{
		opt: opt, slots: make(chan struct{}, opt.Slots), ledger: map[string]int{},
		rng: rand.New(rand.NewPCG(opt.Seed, 7)),
	}
}

// SetFaults switches faults.
func (u *Upstream) SetFaults(f UpstreamFaults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
}

// Handle serves requests, probes and health checks.
func (u *Upstream) Handle(ctx *fasthttp.RequestCtx) {
	u.mu.Lock()
	f := u.faults
	u.mu.Unlock()
	switch {
	case f.FailFast:
		ctx.Error("failing", fasthttp.StatusInternalServerError)
		return
	case string(ctx.Path()) == headers.HealthPath:
		ctx.SetBodyString("ok")
		return
	case f.Drain:
		ctx.Response.Header.Set(headers.Leaving, "1")
	}
	if u.working.Add(1) > int64(u.opt.Slots+u.opt.Queue) {
		u.working.Add(-1)
		ctx.Response.Header.Set(headers.Shed, "1")
		u.setLoad(ctx, f)
		ctx.Error("shed", fasthttp.StatusServiceUnavailable)
		return
	}
	u.slots <- struct{}{}
	u.run(ctx, f)
	<-u.slots
	u.working.Add(-1)
	u.setLoad(ctx, f)
	if f.LoseReplies {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(closeConn)
	}
}

func (u *Upstream) run(ctx *fasthttp.RequestCtx, f UpstreamFaults) {
	if string(ctx.Path()) == headers.ProbePath {
		u.probes.Add(1)
		time.Sleep(u.opt.ProbeWork)
		return
	}
	u.served.Add(1)
	mean := u.opt.Work
	if len(ctx.Path()) >= 5 && string(ctx.Path()[:5]) == "/long" {
		mean = u.opt.LongWork
	}
	if key := string(ctx.Request.Header.Peek(headers.Key)); key != "" {
		u.mu.Lock()
		u.ledger[key]++
		u.mu.Unlock()
	}
	time.Sleep(u.serviceTime(mean, f.Slow))
	fmt.Fprintf(ctx, "%s %s %s\n", u.opt.ID, ctx.Path(), ctx.Request.Header.Peek("X-Request"))
}

// serviceTime draws from a half-fixed, half-exponential distribution.
func (u *Upstream) serviceTime(mean time.Duration, slow float64) time.Duration {
	u.mu.Lock()
	x := u.rng.ExpFloat64()
	u.mu.Unlock()
	d := time.Duration(float64(mean) * (0.5 + 0.5*x))
	if slow > 1 {
		d = time.Duration(float64(d) * slow)
	}
	return d
}

func (u *Upstream) setLoad(ctx *fasthttp.RequestCtx, f UpstreamFaults) {
	working := u.working.Load()
	if f.ReportLagMillis > 0 {
		working = u.lagged(working, time.Duration(f.ReportLagMillis)*time.Millisecond)
	}
	ctx.Response.Header.Set(headers.Load, fmt.Sprintf("%d/%d", working, u.opt.Slots))
}

func (u *Upstream) lagged(working int64, lag time.Duration) int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	u.reports = append(u.reports, report{at: now, working: working})
	for len(u.reports) > 1 && now.Sub(u.reports[1].at) >= lag {
		u.reports = u.reports[1:]
	}
	return u.reports[0].working
}

// UpstreamCounts tells what an Upstream did.
type UpstreamCounts struct {
	ID     string         `json:"id"`
	Served int64          `json:"served"`
	Probes int64          `json:"probes"`
	Ledger map[string]int `json:"ledger,omitempty"`
}

// Counts returns a copy of the counts and the ledger.
func (u *Upstream) Counts() UpstreamCounts {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := UpstreamCounts{ID: u.opt.ID, Served: u.served.Load(), Probes: u.probes.Load(), Ledger: map[string]int{}}
	for k, n := range u.ledger {
		c.Ledger[k] = n
	}
	return c
}

func closeConn(c net.Conn) { c.Close() }
