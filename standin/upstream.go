package standin

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/headers"
)

// UpstreamOptions are the fixed properties of an Upstream.
type UpstreamOptions struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
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
	shed    atomic.Int64
	busy    atomic.Int64 // microseconds of slot time on requests
	probing atomic.Int64 // microseconds of slot time on probes

	mu     sync.Mutex
	faults UpstreamFaults
	since  time.Time // when faults were set
	ledger map[string]int
	rng    *rand.Rand
	lag    lagged
}

// longPrefix marks paths of long work.
const longPrefix = "/long"

// NewUpstream returns an idle Upstream.
func NewUpstream(opt UpstreamOptions) *Upstream {
	return &Upstream{
		opt: opt, slots: make(chan struct{}, opt.Slots), ledger: map[string]int{},
		rng: rand.New(rand.NewPCG(opt.Seed, opt.Seed)),
	}
}

// SetFaults switches faults.
func (u *Upstream) SetFaults(f UpstreamFaults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
	u.since = time.Now()
}

// Handle serves requests, probes and health checks.
func (u *Upstream) Handle(ctx *fasthttp.RequestCtx) {
	u.mu.Lock()
	f, since := u.faults, u.since
	u.mu.Unlock()
	switch {
	case f.FailFast:
		ctx.Error("failing", fasthttp.StatusInternalServerError)
		u.report(ctx, f)
		return
	case string(ctx.Path()) == headers.HealthPath:
		ctx.SetBodyString("ok")
		return
	case f.Drain:
		ctx.Response.Header.Set(headers.Leaving, "1")
	}
	if u.working.Add(1) > int64(u.opt.Slots+u.opt.Queue) || !u.takeSlot(ctx) {
		u.working.Add(-1)
		u.refuse(ctx, f)
		return
	}
	u.run(ctx, f.factor(time.Since(since)))
	<-u.slots
	u.working.Add(-1)
	u.report(ctx, f)
	if f.LoseReplies {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(closeConn)
	}
}

// takeSlot waits for a slot until the request's deadline.
func (u *Upstream) takeSlot(ctx *fasthttp.RequestCtx) bool {
	select {
	case u.slots <- struct{}{}:
		return true
	default:
	}
	ms, err := strconv.Atoi(string(ctx.Request.Header.Peek(headers.Deadline)))
	if err != nil || ms <= 0 {
		u.slots <- struct{}{}
		return true
	}
	t := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer t.Stop()
	select {
	case u.slots <- struct{}{}:
		return true
	case <-t.C:
		return false
	}
}

// refuse says that the request was not run.
func (u *Upstream) refuse(ctx *fasthttp.RequestCtx, f UpstreamFaults) {
	u.shed.Add(1)
	ctx.Error("shed", fasthttp.StatusServiceUnavailable)
	ctx.Response.Header.Set(headers.Shed, "1")
	if f.Drain {
		ctx.Response.Header.Set(headers.Leaving, "1")
	}
	u.report(ctx, f)
}

// run holds a slot for the time of the work.
func (u *Upstream) run(ctx *fasthttp.RequestCtx, factor float64) {
	path := string(ctx.Path())
	if path == headers.ProbePath {
		u.probes.Add(1)
		u.probing.Add(u.opt.ProbeWork.Microseconds())
		time.Sleep(u.opt.ProbeWork)
		return
	}
	u.served.Add(1)
	mean := u.opt.Work
	if strings.HasPrefix(path, longPrefix) {
		mean = u.opt.LongWork
	}
	if key := string(ctx.Request.Header.Peek(headers.Key)); key != "" {
		u.mu.Lock()
		u.ledger[key]++
		u.mu.Unlock()
	}
	start := time.Now()
	time.Sleep(u.serviceTime(mean, factor))
	u.busy.Add(time.Since(start).Microseconds())
	fmt.Fprintf(ctx, "%s %s %s\n", u.opt.ID, path, ctx.Request.Header.Peek("X-Request"))
}

// serviceTime draws from a half-fixed, half-exponential distribution.
func (u *Upstream) serviceTime(mean time.Duration, factor float64) time.Duration {
	u.mu.Lock()
	x := u.rng.ExpFloat64()
	u.mu.Unlock()
	return time.Duration(float64(mean) * (0.5 + 0.5*x) * factor)
}

func (u *Upstream) report(ctx *fasthttp.RequestCtx, f UpstreamFaults) {
	working := u.working.Load()
	if f.ReportLagMillis > 0 {
		u.mu.Lock()
		working = u.lag.read(time.Now(), time.Duration(f.ReportLagMillis)*time.Millisecond, working)
		u.mu.Unlock()
	}
	ctx.Response.Header.Set(headers.Load, fmt.Sprintf("%d/%d", working, u.opt.Slots))
}

// UpstreamCounts tells what an Upstream is and did.
type UpstreamCounts struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Slots      int    `json:"slots"`
	// WorkMicros is the mean service time.
	WorkMicros int64 `json:"work_us"`
	Served     int64 `json:"served"`
	Probes     int64 `json:"probes"`
	Shed       int64 `json:"shed"`
	// BusyMicros and ProbeMicros are slot time spent.
	BusyMicros  int64          `json:"busy_us"`
	ProbeMicros int64          `json:"probe_us"`
	Ledger      map[string]int `json:"ledger,omitempty"`
}

// Counts returns a copy of the counts and the ledger.
func (u *Upstream) Counts() UpstreamCounts {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := UpstreamCounts{
		ID: u.opt.ID, Service: u.opt.Service, Address: u.opt.Address, DataCentre: u.opt.DataCentre,
		Slots: u.opt.Slots, WorkMicros: u.opt.Work.Microseconds(),
		Served: u.served.Load(), Probes: u.probes.Load(), Shed: u.shed.Load(),
		BusyMicros: u.busy.Load(), ProbeMicros: u.probing.Load(), Ledger: map[string]int{},
	}
	for k, n := range u.ledger {
		c.Ledger[k] = n
	}
	return c
}
