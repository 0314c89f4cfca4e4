package gateway

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/catkinrouter/catkinrouter/admission"
	"github.com/catkinrouter/catkinrouter/discovery"
	"github.com/catkinrouter/catkinrouter/internal/connlimit"
	"github.com/catkinrouter/catkinrouter/internal/membudget"
	"github.com/catkinrouter/catkinrouter/internal/panics"
	"github.com/catkinrouter/catkinrouter/pick"
	"github.com/catkinrouter/catkinrouter/quarantine"
	"github.com/catkinrouter/catkinrouter/quota"
	"github.com/catkinrouter/catkinrouter/ratelimit"
	"github.com/catkinrouter/catkinrouter/route"
)

// Options are the fixed settings of a Gateway.
type Options struct {
	DataCentre string
	// Address is the instance's own Instance.Address.
	Address string
	Limits  Limits
	// PeerAddress is the address at which other instances ask this one for tokens.
	PeerAddress string
	// MemoryBytes is the memory of the instance; 0 if it is not known.
	MemoryBytes int64
	// MaxCallers bounds the open connections of callers; 0 sets no bound.
	MaxCallers int
	// QueueOrder is the order in which calls wait for a slot.
	QueueOrder admission.QueueOrder
	// Now returns the time since the process started, Elapsed the same with the time for
	// which the machine was suspended, which Now does not count; Now if nil.
	Now, Elapsed func() time.Duration
	Seed         uint64
}

// Limits are the settings that may change while a Gateway runs.
type Limits struct {
	RetryBudget RetryBudgetOptions
	// ProbesPerUpstream limits the health requests of all instances together
	// to one upstream, per second.
	ProbesPerUpstream float64
	// MaxLookupTTL caps the lifetime of lookup responses.
	MaxLookupTTL time.Duration
	// KeyMaxAge is the age of the copy of the store from which keys are refused; 0 sets
	// no limit.
	KeyMaxAge     time.Duration
	CustomerQuota CustomerQuota
	ColdLimit     ColdLimit
}

// CustomerQuota bounds the requests of a customer that all instances together send in any
// Window: (PerSecond x Window + Burst) x (1 + Overshoot) + Slack, by its customer.Limit.
type CustomerQuota struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64 // requests
}

// ColdLimit bounds the requests that a cold upstream gets from all instances together in
// any second: route.Service.ColdPerSecond x Overshoot + Slack.
type ColdLimit struct {
	Overshoot float64
	Slack     float64 // requests
}

// Gateway is the data path of one instance.
type Gateway struct {
	opt     Options
	proto   Protocol
	log     log.Logger
	now     func() time.Duration
	metrics *metricSet
	guard   panics.Guard
	pool    *pool
	callers *connlimit.Limiter
	// memory is what callers' connections, their requests and the replies may take.
	memory    *membudget.Budget
	evidence  *evidenceTable
	estimates *workEstimates
	snapshot  atomic.Pointer[snapshot]

	retryBudgets *retryBudgets
	probeBudget  *probeBudget
	queue        *waitQueue
	// leastCost replaces queue for services with the least-cost order; nil if there are none.
	leastCost *leastCostQueue
	instances atomic.Pointer[[]Instance]
	// unready holds the instances for lookups while no instance is usable.
	unready atomic.Pointer[[]Instance]
	// configured is closed with the first configuration, instanceKnown with
	// the first instance that lookups can return.
	configured, instanceKnown chan struct{}
	instanceKnownOnce         sync.Once
	startupWait               time.Duration
	phase                     atomic.Uint32
	// stop is set once a planned stop has begun.
	stop      atomic.Pointer[stopTimes]
	inFlight  atomic.Int64
	liveCount atomic.Int64
	// crashChecks is the number of checks for crashed upstreams in progress.
	crashChecks  atomic.Int64
	quarantine   lockedQuarantine
	keys         keyGuard
	silentLosses silentLosses
	// lookupTTL is the lifetime of lookup responses, in nanoseconds.
	lookupTTL atomic.Int64

	customerLimits *customerLimits

	hooks Hooks

	rngMu sync.Mutex
	rng   *rand.Rand
}

// snapshot holds the routes and upstreams that requests are served with. It is
// immutable once it is stored.
type snapshot struct {
	table     *route.Table
	upstreams map[string][]*discovery.Upstream
	byKey     map[uint64]*discovery.Upstream
	evacuated evacuated
}

// Instance is an instance of the fleet that callers may use.
type Instance struct {
	Address    string
	DataCentre string
}

// New returns a Gateway without a configuration, which refuses all requests.
func New(opt Options, proto Protocol, logger log.Logger, registry gometrics.Registry) *Gateway {
	metrics := newMetricSet(registry)
	if opt.Elapsed == nil {
		opt.Elapsed = opt.Now
	}
	g := &Gateway{
		opt: opt, proto: proto, log: logger, now: opt.Now, metrics: metrics, guard: panics.Guard{Log: logger, Count: metrics.panics},
		pool: newPool(metrics), memory: membudget.New(opt.MemoryBytes), evidence: newEvidenceTable(), estimates: newWorkEstimates(), queue: newWaitQueue(),
		retryBudgets: newRetryBudgets(opt.Limits.RetryBudget), probeBudget: newProbeBudget(opt.Limits.ProbesPerUpstream),
		configured: make(chan struct{}), instanceKnown: make(chan struct{}), startupWait: startupWait,
		hooks: Hooks{
			UpstreamFailed: func(uint64, float64) {}, UpstreamLeaving: func(uint64) {}, DataNeeded: func() {},
			CrashFound: func(CrashReport) {}, QuarantineChanged: func() {}, CopyAge: func() time.Duration { return unknownAge },
			AskTokens: func(string, ratelimit.Question) {},
		},
		quarantine: lockedQuarantine{table: quarantine.New()},
		rng:        rand.New(rand.NewPCG(opt.Seed, 1)),
	}
	if opt.QueueOrder == admission.LeastCost || opt.QueueOrder == admission.ByConfiguration {
		g.leastCost = newLeastCostQueue()
	}
	g.callers = connlimit.NewLimiter(connlimit.Options{
		Name: "callers", Max: opt.MaxCallers, Response: rejection, ConnectionBytes: connectionBytes, Memory: g.memory,
	}, registry)
	g.callers.SetTimeouts(defaultTimeouts)
	registerMemory(registry, g.memory)
	g.customerLimits = newCustomerLimits(opt.Elapsed(), opt.PeerAddress, metrics)
	g.SetLimits(opt.Limits)
	g.registerKeysServed(registry)
	return g
}

// SetRoutes replaces the routing table, the usable upstreams and the evacuated data
// centres, whose upstreams are not among the usable ones.
func (g *Gateway) SetRoutes(t *route.Table, upstreams map[string][]*discovery.Upstream, evacuations ...discovery.Evacuation) {
	snap := &snapshot{table: t, upstreams: upstreams, byKey: map[uint64]*discovery.Upstream{}, evacuated: newEvacuated(evacuations)}
	for _, l := range upstreams {
		for _, u := range l {
			snap.byKey[upstreamKey(u)] = u
		}
	}
	if g.snapshot.Swap(snap) == nil {
		close(g.configured)
	}
	g.callers.SetTimeouts(callerTimeouts(t.Limits))
	g.pool.block(snap.evacuatedAddresses())
	g.evidence.retain(upstreams, snap.evacuated.byService)
	g.evidence.setColdTable(t)
	g.customerLimits.setCustomers(t.Customers)
	g.probeBudget.setCounts(len(snap.byKey), 0)
}

// upstreamKey identifies an upstream in messages between instances.
func upstreamKey(u *discovery.Upstream) uint64 { return xxhash.Sum64String(u.ID) }

// Hooks are callbacks into the rest of the instance. They must not block.
type Hooks struct {
	// UpstreamFailed is called when an upstream failed a request, with the weight
	// of the failure relative to a failed request.
	UpstreamFailed func(key uint64, weight float64)
	// UpstreamLeaving is called when an upstream has said to this instance that it is
	// leaving; key identifies its incarnation.
	UpstreamLeaving func(key uint64)
	// DataNeeded is called when a request or lookup arrives before there is data
	// to serve it.
	DataNeeded func()
	// CrashFound is called with what other instances should know of a request
	// under which an upstream crashed.
	CrashFound func(CrashReport)
	// QuarantineChanged is called when this instance has decided that a request
	// crashes upstreams, or that it does not.
	QuarantineChanged func()
	// CopyAge returns the time since the copy of the store was last confirmed complete,
	// also while the machine was suspended; math.MaxInt64 if it never was. The gateway has
	// what the confirmation covers.
	CopyAge func() time.Duration
	// AskTokens is called with a question for the instance at a peer address. The reply is
	// passed to ReceiveTokens.
	AskTokens func(to string, q ratelimit.Question)
}

// SetHooks sets the callbacks. It must be called before Run.
func (g *Gateway) SetHooks(h Hooks) { g.hooks = h }

// RecordRemoteFailure records a failure of an upstream that another instance
// reported.
func (g *Gateway) RecordRemoteFailure(key uint64, weight float64) {
	snap := g.snapshot.Load()
	if snap == nil {
		return
	}
	if u := snap.byKey[key]; u != nil {
		g.metrics.warnings.Inc(1)
		g.evidence.recordOutcome(g.now(), u, true, remoteFailureWeight*weight)
	}
}

// remoteFailureWeight is the weight of a failure that another instance
// reported, relative to one seen by this instance. It is lower because the
// other instances' successes at the upstream are not reported.
const remoteFailureWeight = 0.5

// Fleet is the fleet as the instance sees it.
type Fleet struct {
	// Usable holds the instances that callers may use: all of this instance's
	// data centre and some of each other one.
	Usable []Instance
	// Unready holds live instances that are neither ready nor leaving.
	Unready []Instance
	// Live is the number of live instances of each data centre.
	Live map[string]int
	// Allocators holds the sorted peer addresses of the instances that allocate customers'
	// tokens.
	Allocators []string
	// Stored is the number of live instances that the store's directory names, 0 for none.
	Stored int
}

// SetFleet sets the instances that callers may use, and the numbers of instances
// among which the limits of the fleet are divided.
func (g *Gateway) SetFleet(f Fleet) {
	g.instances.Store(&f.Usable)
	g.unready.Store(&f.Unready)
	if len(f.Usable) > 0 {
		g.instanceKnownOnce.Do(func() { close(g.instanceKnown) })
	}
	live := 0
	for _, n := range f.Live {
		live += n
	}
	now := g.now()
	g.liveCount.Store(int64(live))
	g.retryBudgets.setInstances(now, live)
	g.probeBudget.setCounts(0, live)
	g.customerLimits.setFleet(g.opt.Elapsed(), f, live)
	own := quota.Fleet{Self: g.opt.Address, DataCentre: g.opt.DataCentre, Live: f.Live, Usable: addressesIn(f.Usable, g.opt.DataCentre)}
	if len(own.Usable) == 0 && g.keys.maxAge.Load() > 0 {
		// They still serve: without holders, the upstreams' limits would admit nothing.
		own.Usable = addressesIn(f.Unready, g.opt.DataCentre)
	}
	g.evidence.setFleet(now, own)
}

// addressesIn returns the addresses of the instances in a data centre.
func addressesIn(list []Instance, dataCentre string) (out []string) {
	for _, in := range list {
		if in.DataCentre == dataCentre {
			out = append(out, in.Address)
		}
	}
	return out
}

// SetLimits replaces the limits.
func (g *Gateway) SetLimits(l Limits) {
	g.lookupTTL.Store(int64(min(lookupTTL, l.MaxLookupTTL)))
	g.retryBudgets.setLimits(l.RetryBudget)
	g.probeBudget.setLimits(l.ProbesPerUpstream)
	g.keys.maxAge.Store(int64(l.KeyMaxAge))
	g.evidence.setColdLimit(l.ColdLimit)
	g.customerLimits.setQuota(l.CustomerQuota)
}

// Ready reports whether requests can be served, and those with keys for a while to come.
func (g *Gateway) Ready() bool {
	return g.snapshot.Load() != nil && g.phase.Load() == serving && g.keys.freshness().ready(g.copyAge())
}

func (g *Gateway) probeOrder(n int, prospect func(int) pick.Prospect) []int {
	g.rngMu.Lock()
	defer g.rngMu.Unlock()
	return pick.Order(n, prospect, g.rng)
}
