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
	// Queue is the maximum number of requests that wait for a slot. Further ones
	// are shed.
	Queue int
	// Work is the mean service time, LongWork that of paths that begin with
	// /long.
	Work     time.Duration
	LongWork time.Duration
	// ProbeWork is the time for which a probe holds a slot.
	ProbeWork time.Duration
	Seed      uint64
}

// Upstream is a stand-in upstream. It runs at most Slots requests at once, queues
// up to Queue more, reports its load and keeps a ledger: the number of runs of
// each key.
type Upstream struct {
	opt         UpstreamOptions
	slots       chan struct{}
	inFlight    atomic.Int64
	served      atomic.Int64
	probes      atomic.Int64
	shed        atomic.Int64
	busyMicros  atomic.Int64 // microseconds of slot time on requests
	probeMicros atomic.Int64 // microseconds of slot time on probes

	mu              sync.Mutex
	faults          UpstreamFaults
	faultsSince     time.Time // when faults were set
	ledger          map[string]int
	rng             *rand.Rand
	inFlightHistory valueHistory
}

// longPrefix is the prefix of paths that take LongWork.
const longPrefix = "/long"

// NewUpstream returns an idle Upstream.
func NewUpstream(opt UpstreamOptions) *Upstream {
	return &Upstream{
		opt: opt, slots: make(chan struct{}, opt.Slots), ledger: map[string]int{},
		rng: rand.New(rand.NewPCG(opt.Seed, opt.Seed)),
	}
}

// SetFaults replaces the faults.
func (u *Upstream) SetFaults(f UpstreamFaults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
	u.faultsSince = time.Now()
}

// Handle serves requests, probes and health checks.
func (u *Upstream) Handle(ctx *fasthttp.RequestCtx) {
	u.serve(ctx)
	if number := ctx.Request.Header.Peek(headers.Attempt); len(number) > 0 {
		ctx.Response.Header.SetBytesV(headers.Attempt, number)
	}
}

func (u *Upstream) serve(ctx *fasthttp.RequestCtx) {
	u.mu.Lock()
	f, faultsSince := u.faults, u.faultsSince
	u.mu.Unlock()
	switch {
	case f.FailFast:
		ctx.Error("failing", fasthttp.StatusInternalServerError)
		u.setLoadHeader(ctx, f)
		return
	case string(ctx.Path()) == headers.HealthPath:
		ctx.SetBodyString("ok")
		return
	case f.PauseSeconds > 0 && string(ctx.Path()) != headers.ProbePath:
		u.shedRequest(ctx, f)
		return
	case f.Drain:
		ctx.Response.Header.Set(headers.Leaving, "1")
	}
	if u.inFlight.Add(1) > int64(u.opt.Slots+u.opt.Queue) || !u.acquireSlot(ctx) {
		u.inFlight.Add(-1)
		u.shedRequest(ctx, f)
		return
	}
	u.run(ctx, f.slowdown(time.Since(faultsSince)))
	<-u.slots
	u.inFlight.Add(-1)
	u.setLoadHeader(ctx, f)
	if f.LoseReplies {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(closeConn)
	}
}

// acquireSlot waits for a slot until the request's deadline, without limit if it
// has none. It returns false at the deadline.
func (u *Upstream) acquireSlot(ctx *fasthttp.RequestCtx) bool {
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

// shedRequest responds with status 503 and the header Catkin-Shed, which says that
// the request did not run.
func (u *Upstream) shedRequest(ctx *fasthttp.RequestCtx, f UpstreamFaults) {
	u.shed.Add(1)
	ctx.Error("shed", fasthttp.StatusServiceUnavailable)
	ctx.Response.Header.Set(headers.Shed, "1")
	if f.PauseSeconds > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(f.PauseSeconds, 'f', -1, 64))
	}
	if f.Drain {
		ctx.Response.Header.Set(headers.Leaving, "1")
	}
	u.setLoadHeader(ctx, f)
}

// run holds the slot for the service time and enters a keyed request into the
// ledger. Probes take ProbeWork, whatever the faults.
func (u *Upstream) run(ctx *fasthttp.RequestCtx, factor float64) {
	path := string(ctx.Path())
	if path == headers.ProbePath {
		u.probes.Add(1)
		u.probeMicros.Add(u.opt.ProbeWork.Microseconds())
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
	u.busyMicros.Add(time.Since(start).Microseconds())
	fmt.Fprintf(ctx, "%s %s %s\n", u.opt.ID, path, ctx.Request.Header.Peek("X-Request"))
}

// serviceTime draws a service time: half of the mean is fixed, the other half
// exponentially distributed; both are multiplied by factor.
func (u *Upstream) serviceTime(mean time.Duration, factor float64) time.Duration {
	u.mu.Lock()
	x := u.rng.ExpFloat64()
	u.mu.Unlock()
	return time.Duration(float64(mean) * (0.5 + 0.5*x) * factor)
}

// setLoadHeader reports the requests in the upstream, running or queued, and the
// slots.
func (u *Upstream) setLoadHeader(ctx *fasthttp.RequestCtx, f UpstreamFaults) {
	inFlight := u.inFlight.Load()
	if f.ReportLagMillis > 0 {
		u.mu.Lock()
		inFlight = u.inFlightHistory.read(time.Now(), time.Duration(f.ReportLagMillis)*time.Millisecond, inFlight)
		u.mu.Unlock()
	}
	ctx.Response.Header.Set(headers.Load, fmt.Sprintf("%d/%d", inFlight, u.opt.Slots))
}

// UpstreamCounts holds the properties of an Upstream and the counts since its
// start.
type UpstreamCounts struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Slots      int    `json:"slots"`
	// WorkMicros is the mean service time, without long work.
	WorkMicros int64 `json:"work_us"`
	Served     int64 `json:"served"`
	Probes     int64 `json:"probes"`
	Shed       int64 `json:"shed"`
	// BusyMicros and ProbeMicros are the slot time spent on requests and on
	// probes.
	BusyMicros  int64 `json:"busy_us"`
	ProbeMicros int64 `json:"probe_us"`
	// Ledger is the number of runs of each key.
	Ledger map[string]int `json:"ledger,omitempty"`
}

// Counts returns a copy of the counts and the ledger.
func (u *Upstream) Counts() UpstreamCounts {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := UpstreamCounts{
		ID: u.opt.ID, Service: u.opt.Service, Address: u.opt.Address, DataCentre: u.opt.DataCentre,
		Slots: u.opt.Slots, WorkMicros: u.opt.Work.Microseconds(),
		Served: u.served.Load(), Probes: u.probes.Load(), Shed: u.shed.Load(),
		BusyMicros: u.busyMicros.Load(), ProbeMicros: u.probeMicros.Load(), Ledger: map[string]int{},
	}
	for k, n := range u.ledger {
		c.Ledger[k] = n
	}
	return c
}
