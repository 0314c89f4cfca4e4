package gateway

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/catkinrouter/catkinrouter/discovery"
	"github.com/catkinrouter/catkinrouter/pick"
	"github.com/catkinrouter/catkinrouter/route"
)

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
		opt: opt, d: d, log: l, now: opt.Now, m: m,
		pool: newPool(m), ev: newEvidence(), work: newWorks(), line: newLine(),
		budgets: newBudgets(opt.Limits.Budget), probes: newProbeBudget(opt.Limits.ProbesPerUpstream),
		configured: make(chan struct{}), named: make(chan struct{}), firstWait: firstWait,
		hooks: Hooks{Failed: func(uint64, float64) {}, Wanted: func() {}},
		rng:   rand.New(rand.NewPCG(opt.Seed, 1)),
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
