package entry

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/balance"
	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/limit"
	"github.com/catkinrouter/catkinrouter/link"
)

// Options are the fixed settings of a Node.
type Options struct {
	ID          string
	Address     string
	DataCentre  string
	Incarnation uint64
	Seed        uint64
	// RecordLimits are the limits of the record of keyed calls; the zero value means
	// attempt.DefaultRecordLimits.
	RecordLimits attempt.RecordLimits
}

// Node is the request-handling state of one entry.
type Node struct {
	opt      Options
	now      time.Duration
	revision uint64
	doc      *config.Document
	signer   *attempt.Signer
	record   *attempt.Record
	rng      *rand.Rand
	services map[string]*service
	// ordered holds the services in the order of the configuration document.
	ordered []*service
	// retired holds services that are no longer configured but still have
	// calls in progress or queued.
	retired []*service
	members []string
	// membersAt is the time of the last call of SetMembers.
	membersAt time.Duration

	calls         map[uint64]*call
	attempts      map[uint64]*call
	lastAttemptID uint64
	freeCalls     []*call
	timers        timingWheel
	dueCalls      []uint64
	counters      counters
	crashes       crashes
}

// service is the state of one service at this entry.
type service struct {
	name    string
	rules   config.Rules
	pool    *Pool
	limiter *limit.Limiter
	routes  limit.RouteClassifier
	retries attempt.Budget
	hedges  attempt.Budget
	// tailLatency estimates the hedgeQuantile of the latency of short work; a
	// call that takes longer may be hedged.
	tailLatency attempt.Quantile
	// checkQueue is set when a queued call may be able to start.
	checkQueue bool
}

// New returns a Node without a configuration: it refuses calls until
// Configure.
func New(opt Options) *Node {
	if opt.RecordLimits == (attempt.RecordLimits{}) {
		opt.RecordLimits = attempt.DefaultRecordLimits
	}
	return &Node{
		opt:      opt,
		signer:   attempt.NewSigner(nil),
		record:   attempt.NewRecord(opt.RecordLimits),
		rng:      rand.New(rand.NewPCG(opt.Seed, opt.Incarnation)),
		services: map[string]*service{},
		calls:    map[uint64]*call{},
		attempts: map[uint64]*call{},
		counters: newCounters(),
		crashes:  newCrashes(),
	}
}

// advance returns the current time and keeps it from running backwards: a
// goroutine can read the clock, wait for the Node, and enter it after another
// one that read the clock later.
func (n *Node) advance(now time.Duration) time.Duration {
	n.now = max(n.now, now)
	return n.now
}

// Configure applies a configuration document. A revision that is not higher
// than the current one is ignored. Calls in progress keep the deadline, class
// and idempotency that were set when they started; those of a service that is
// no longer configured still finish.
func (n *Node) Configure(now time.Duration, revision uint64, doc *config.Document) {
	now = n.advance(now)
	if revision <= n.revision {
		return
	}
	n.revision, n.doc = revision, doc
	n.crashes.retain(doc)
	n.signer = attempt.NewSigner(doc.PermitKeys)
	before, old := n.services, slices.Clone(n.ordered)
	n.services = make(map[string]*service, len(doc.Services))
	n.ordered = n.ordered[:0]
	for i, svc := range doc.Services {
		s := before[svc.Name]
		if s == nil {
			s = n.newService(svc, uint64(i))
		}
		n.configure(now, s, svc)
		n.services[svc.Name] = s
		n.ordered = append(n.ordered, s)
	}
	for _, s := range old {
		if n.services[s.name] != s {
			n.retired = append(n.retired, s)
		}
	}
}

func (n *Node) newService(svc config.Service, i uint64) *service {
	rules := svc.Rules.WithDefaults()
	return &service{
		name:    svc.Name,
		pool:    NewPool(svc, n.fleetView(), n.opt.Seed+i),
		limiter: limit.New(n.limits(svc, rules)),
		retries: attempt.NewBudget(rules.RetryBudget),
		hedges:  attempt.NewBudget(rules.HedgeBudget),
	}
}

func (n *Node) configure(now time.Duration, s *service, svc config.Service) {
	s.rules = svc.Rules.WithDefaults()
	s.pool.Update(now, svc, n.fleetView())
	s.limiter.Update(n.limits(svc, s.rules))
	s.retries.SetShare(s.rules.RetryBudget)
	s.hedges.SetShare(s.rules.HedgeBudget)
	s.checkQueue = true
}

func (n *Node) fleetView() FleetView {
	return FleetView{DataCentre: n.opt.DataCentre, Entries: n.doc.MaxEntries, EntryID: n.opt.ID, EntryIDs: n.members}
}

// limits divides the slots of the service's upstreams that are not leaving
// among the live entries, or among MaxEntries if none are known.
func (n *Node) limits(svc config.Service, rules config.Rules) limit.Options {
	slots := 0
	for _, u := range svc.Upstreams {
		if !u.Leaving {
			slots += u.Slots
		}
	}
	entries := len(n.members)
	if entries == 0 {
		entries = max(n.doc.MaxEntries, 1)
	}
	return limit.Options{
		Slots: (slots + entries - 1) / entries, MaxSlots: slots,
		Queue: rules.Queue, LongShare: rules.LongShare,
	}
}

// SetMembers sets the live entries, and the IDs of upstreams that other entries
// saw leaving.
func (n *Node) SetMembers(now time.Duration, members []link.Member, leaving []string) {
	now = n.advance(now)
	n.membersAt = now
	ids := make([]string, 0, len(members))
	for _, m := range members {
		ids = append(ids, m.ID)
	}
	slices.Sort(ids)
	n.members = ids
	for i, s := range n.ordered {
		s.pool.SetMembers(now, ids)
		s.limiter.Update(n.limits(n.doc.Services[i], s.rules))
	}
	for _, s := range n.ordered {
		for _, id := range leaving {
			s.pool.Leaving(now, id)
		}
	}
}

// TickInterval is the longest allowed time between two calls of Tick.
const TickInterval = 5 * time.Millisecond

// expireBatch is the largest number of expired keys that one Tick removes from
// the record.
const expireBatch = 64

// Tick expires keys, handles due timers, plans probes and starts queued calls.
// It must be called at least every TickInterval.
func (n *Node) Tick(now time.Duration, out []Step) []Step {
	now = n.advance(now)
	n.record.Expire(now, expireBatch)
	n.dueCalls = n.timers.advance(now, n.dueCalls[:0])
	for _, id := range n.dueCalls {
		if c := n.calls[id]; c != nil {
			out = n.onTimer(now, c, out)
		}
	}
	for _, s := range n.ordered {
		for _, o := range s.pool.Probes(now) {
			out = append(out, Step{Kind: StepProbe, Service: s.name, Upstream: o.Upstream, Address: o.Address})
		}
		s.checkQueue = true
	}
	n.retired = slices.DeleteFunc(n.retired, func(s *service) bool {
		s.checkQueue = true
		return s.limiter.Running()+s.limiter.Waiting() == 0
	})
	return n.releaseQueued(now, out)
}

// Probed reports the result of a probe; load is nil if it failed.
func (n *Node) Probed(now time.Duration, service, upstream string, load *balance.Load, latency time.Duration) {
	if s := n.services[service]; s != nil {
		s.pool.Probed(n.advance(now), upstream, load, latency)
	}
}
