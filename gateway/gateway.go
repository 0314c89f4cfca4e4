package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/catkinrouter/catkinrouter/discovery"
	"github.com/catkinrouter/catkinrouter/internal/httpserve"
	"github.com/catkinrouter/catkinrouter/pick"
	"github.com/catkinrouter/catkinrouter/route"
)

// errCancelled ends an attempt that the call gave up before it was sent.
var errCancelled = errors.New("attempt was cancelled")

// Options are a Gateway's fixed settings.
type Options struct {
	DataCentre    string
	DataAddress   string
	ReadyAddress  string
	LookupAddress string
	Limits        Limits
	Now           func() time.Duration
	Seed          uint64
}

// Limits are the settings that may change while a Gateway runs.
type Limits struct {
	Budget BudgetOptions
	// ProbesPerUpstream bounds the health requests of all instances to one
	// upstream, a second.
	ProbesPerUpstream float64
	// MaxLookupLife bounds the lifetime of lookup answers.
	MaxLookupLife time.Duration
}

// Gateway is the data path of one instance.
type Gateway struct {
	opt  Options
	d    Dialect
	log  log.Logger
	now  func() time.Duration
	m    *counters
	pool *pool
	ev   *evidence
	work *works
	view atomic.Pointer[view]

	budgets *budgets
	probes  *probeBudget
	line    *line
	fleet   atomic.Pointer[[]Instance]
	// configured and named close with the first configuration, and with the
	// first instance that lookups can name.
	configured, named chan struct{}
	nameOnce          sync.Once
	firstWait         time.Duration
	phase             atomic.Uint32
	flying            atomic.Int64
	live              atomic.Int64
	// lookupLife is the lifetime of lookup answers, in nanoseconds.
	lookupLife atomic.Int64

	hooks Hooks

	rngMu sync.Mutex
	rng   *rand.Rand
}

// view is what a Gateway serves by. It is not changed once it was set.
type view struct {
	table     *route.Table
	upstreams map[string][]*discovery.Upstream
	byKey     map[uint64]*discovery.Upstream
}

// Instance is an instance of the fleet that callers may use.
type Instance struct {
	Address    string
	DataCentre string
}

// New returns a Gateway without a configuration: it refuses requests.
func New(opt Options, d Dialect, l log.Logger, r gometrics.Registry) *Gateway {
	m := newCounters(r)
	g := &Gateway{
		opt: opt, d: d, hooks: Hooks{Failed: func(uint64, float64) {}, Wanted: func() {}}, log: l, now: opt.Now, m: m, pool: newPool(m), ev: newEvidence(), work: newWorks(),
		budgets: newBudgets(opt.Limits.Budget), probes: newProbeBudget(opt.Limits.ProbesPerUpstream), line: newLine(), configured: make(chan struct{}), named: make(chan struct{}), firstWait: firstWait, rng: rand.New(rand.NewPCG(opt.Seed, 1)),
	}
	g.SetLimits(opt.Limits)
	return g
}

// Serve puts a table of routes and the upstreams in force.
func (g *Gateway) Serve(t *route.Table, upstreams map[string][]*discovery.Upstream) {
	st := &view{table: t, upstreams: upstreams, byKey: map[uint64]*discovery.Upstream{}}
	for _, l := range upstreams {
		for _, u := range l {
			st.byKey[keyOf(u)] = u
		}
	}
	if g.view.Swap(st) == nil {
		close(g.configured)
	}
	g.ev.keep(upstreams)
	g.probes.size(len(st.byKey), 0)
}

// keyOf stands for an upstream in messages between instances.
func keyOf(u *discovery.Upstream) uint64 { return xxhash.Sum64String(u.ID) }

// Hooks are what a Gateway tells the rest of its instance. They must not block.
type Hooks struct {
	// Failed says that an upstream failed a request, with what that counts
	// as part of a request.
	Failed func(key uint64, weight float64)
	// Wanted says that a caller came before there was a configuration.
	Wanted func()
}

// SetHooks must be called before Run.
func (g *Gateway) SetHooks(h Hooks) { g.hooks = h }

// Warned takes another instance's word that an upstream failed.
func (g *Gateway) Warned(key uint64, weight float64) {
	st := g.view.Load()
	if st == nil {
		return
	}
	if u := st.byKey[key]; u != nil {
		g.m.warnings.Inc(1)
		g.ev.record(g.now(), u, true, warnedShare*weight)
	}
}

// warnedShare is what another instance's failure counts beside an own one: the
// others' successes at the upstream are not told.
const warnedShare = 0.5

// Fleet takes the instances that callers may use, and how many live.
func (g *Gateway) Fleet(usable []Instance, live int) {
	g.fleet.Store(&usable)
	if len(usable) > 0 {
		g.nameOnce.Do(func() { close(g.named) })
	}
	g.live.Store(int64(live))
	g.budgets.fleet(g.now(), live)
	g.probes.size(0, live)
}

// SetLimits puts other limits in force.
func (g *Gateway) SetLimits(l Limits) {
	g.lookupLife.Store(int64(min(lookupLife, l.MaxLookupLife)))
	g.budgets.set(l.Budget)
	g.probes.set(l.ProbesPerUpstream)
}

// Ready tells whether requests can be served.
func (g *Gateway) Ready() bool { return g.view.Load() != nil && g.phase.Load() == serving }

func (g *Gateway) order(n int, about func(int) pick.Prospect) []int {
	g.rngMu.Lock()
	defer g.rngMu.Unlock()
	return pick.Order(n, about, g.rng)
}

// Bounds of callers' connections.
const (
	// maxHeader is above what operators let callers send.
	maxHeader = 20 << 10 // bytes
	maxBody   = 64 << 20 // bytes
	// readTimeout bounds the arrival of a request, idleTimeout the wait for
	// the next; both are above what operators set.
	readTimeout = 10 * time.Second
	idleTimeout = 30 * time.Second
)

// listeners are what a Gateway serves on.
type listeners struct{ front, ready, lookup net.Listener }

func (g *Gateway) listen() (*listeners, error) {
	var l listeners
	for _, a := range []struct {
		addr string
		ln   *net.Listener
	}{{g.opt.DataAddress, &l.front}, {g.opt.ReadyAddress, &l.ready}, {g.opt.LookupAddress, &l.lookup}} {
		ln, err := net.Listen("tcp4", a.addr)
		if err != nil {
			l.close()
			return nil, fmt.Errorf("address %s: %w: is another process using it?", a.addr, err)
		}
		*a.ln = ln
	}
	return &l, nil
}

func (l *listeners) close() {
	for _, ln := range []net.Listener{l.front, l.ready, l.lookup} {
		if ln != nil {
			ln.Close()
		}
	}
}

// Run serves until ctx ends, then stops in order within the limit given.
func (g *Gateway) Run(ctx context.Context, stopLimit time.Duration) error {
	lns, err := g.listen()
	if err != nil {
		return err
	}
	return g.serve(ctx, lns, stopLimit)
}

func (g *Gateway) serve(ctx context.Context, lns *listeners, stopLimit time.Duration) error {
	front := &fasthttp.Server{
		Handler: g.handle, ErrorHandler: g.malformed, ReadBufferSize: maxHeader, MaxRequestBodySize: maxBody,
		ReadTimeout: readTimeout, IdleTimeout: idleTimeout, NoDefaultDate: true, NoDefaultServerHeader: true,
		NoDefaultContentType: true, DisablePreParseMultipartForm: true, LazyRequestTime: true, Logger: httpserve.Quiet{},
	}
	side := &fasthttp.Server{
		Handler: g.handleSide, ReadTimeout: readTimeout, NoDefaultServerHeader: true, NoDefaultDate: true, Logger: httpserve.Quiet{},
	}
	work, stop := context.WithCancel(context.Background())
	defer stop()
	eg, failed := errgroup.WithContext(work)
	eg.Go(func() error { return httpserve.IgnoreClosed(front.Serve(lns.front)) })
	eg.Go(func() error { return httpserve.IgnoreClosed(side.Serve(lns.ready)) })
	eg.Go(func() error { return httpserve.IgnoreClosed(side.Serve(lns.lookup)) })
	eg.Go(func() error { return g.upkeep(failed) })
	eg.Go(func() error {
		select {
		case <-ctx.Done():
			g.stopInTurn(stopLimit, front)
		case <-failed.Done():
		}
		lns.close()
		stop()
		return nil
	})
	err := eg.Wait()
	g.pool.close()
	return err
}

func (g *Gateway) upkeep(ctx context.Context) error {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			g.pool.sweep()
			g.budgets.fleet(g.now(), int(g.live.Load()))
		}
	}
}

// handle serves one request of a caller.
func (g *Gateway) handle(ctx *fasthttp.RequestCtx) {
	arrived := g.now()
	g.flying.Add(1)
	defer g.flying.Add(-1)
	st := g.firstView()
	id := string(ctx.Request.Header.Peek(g.d.RequestID))
	if st == nil {
		g.refuse(ctx, id, fasthttp.StatusServiceUnavailable, "no-configuration")
		return
	}
	r := st.table.Match(string(ctx.Host()), string(ctx.Path()))
	if r == nil {
		g.refuse(ctx, id, fasthttp.StatusNotFound, "no-route")
		return
	}
	c := g.newCall(ctx, st, r, id, arrived)
	e := c.run()
	g.end(c, e)
}

// firstWait is how long the first callers after a start wait for what the
// instance reads just then; the store answers in milliseconds, and a refusal
// would cost them one of their few tries.
const firstWait = 80 * time.Millisecond

// firstView returns what to serve by; a caller that comes before there is a
// configuration waits a moment for it.
func (g *Gateway) firstView() *view {
	if st := g.view.Load(); st != nil {
		return st
	}
	g.hooks.Wanted()
	g.awaitFirst(g.configured)
	return g.view.Load()
}

// awaitFirst waits until ch closes, for at most firstWait.
func (g *Gateway) awaitFirst(ch <-chan struct{}) {
	t := time.NewTimer(g.firstWait)
	defer t.Stop()
	select {
	case <-ch:
	case <-t.C:
	}
}

// newCall takes what the request says.
func (g *Gateway) newCall(ctx *fasthttp.RequestCtx, st *view, r *route.Route, id string, arrived time.Duration) *call {
	name := r.Next()
	svc, _ := st.table.Service(name)
	svc.Name = name
	wait := r.Timeout
	if ms, err := strconv.Atoi(string(ctx.Request.Header.Peek(g.d.Deadline))); err == nil && ms > 0 {
		wait = min(wait, time.Duration(ms)*time.Millisecond)
	}
	c := &call{
		g: g, ctx: ctx, id: id, version: st.table.Version, route: r, service: svc,
		arrived: arrived, deadline: arrived + wait,
		// An attempt can outlive the request, whose buffers are then reused.
		head: g.requestHead(ctx), body: bytes.Clone(ctx.Request.Body()),
		hasBody: ctx.Request.Header.ContentLength() != 0 && !ctx.IsGet() && !ctx.IsHead(), headOnly: ctx.IsHead(),
		tried: map[string]bool{}, results: make(chan *try, maxUnsent+r.MaxAttempts+1),
	}
	g.work.begin(r)
	g.budgets.call(arrived, name)
	return c
}
