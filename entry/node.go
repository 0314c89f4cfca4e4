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

// Options are a Node's fixed settings.
type Options struct {
	ID          string
	Address     string
	DataCentre  string
	Incarnation uint64
	Seed        uint64
	// Record bounds the record of keyed calls; the zero value takes
	// attempt.DefaultRecordLimits.
	Record attempt.RecordLimits
}

// Node is the state of one entry.
type Node struct {
	opt      Options
	now      time.Duration
	revision uint64
	doc      *config.Document
	signer   *attempt.Signer
	record   *attempt.Record
	rng      *rand.Rand
	services map[string]*service
	// ordered holds the services in the document's order.
	ordered []*service
	// retired services are no longer configured but have calls to finish.
	retired []*service
	members []string
	heard   time.Duration

	calls    map[uint64]*call
	attempts map[uint64]*call
	last     uint64
	free     []*call
	timers   wheel
	due      []uint64
	counts   counts
}

// service is the state of one service at this entry.
type service struct {
	name    string
	rules   config.Rules
	pool    *Pool
	limiter *limit.Limiter
	routes  limit.Routes
	retries attempt.Budget
	hedges  attempt.Budget
	// tail follows the latency after which a call is hedged.
	tail attempt.Quantile
	// freed is set where a call may leave the queue.
	freed bool
}

// New returns a Node without a configuration.
func New(opt Options) *Node {
	if opt.Record == (attempt.RecordLimits{}) {
		opt.Record = attempt.DefaultRecordLimits
	}
	return &Node{
		opt:      opt,
		signer:   attempt.NewSigner(nil),
		record:   attempt.NewRecord(opt.Record),
		rng:      rand.New(rand.NewPCG(opt.Seed, opt.Incarnation)),
		services: map[string]*service{},
		calls:    map[uint64]*call{},
		attempts: map[uint64]*call{},
		counts:   newCounts(),
	}
}

// advance keeps time from running backwards: a goroutine can read the clock,
// wait for the Node, and come after one that read it later.
func (n *Node) advance(now time.Duration) time.Duration {
	n.now = max(n.now, now)
	return n.now
}

// Configure puts a document in force. Lower and equal revisions are ignored.
// Calls in progress end under the rules they began with.
func (n *Node) Configure(now time.Duration, revision uint64, doc *config.Document) {
	now = n.advance(now)
	if revision <= n.revision {
		return
	}
	n.revision, n.doc = revision, doc
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
		pool:    NewPool(svc, n.site(), n.opt.Seed+i),
		limiter: limit.New(n.limits(svc, rules)),
		retries: attempt.NewBudget(rules.RetryBudget),
		hedges:  attempt.NewBudget(rules.HedgeBudget),
	}
}

func (n *Node) configure(now time.Duration, s *service, svc config.Service) {
	s.rules = svc.Rules.WithDefaults()
	s.pool.Update(now, svc, n.site())
	s.limiter.Update(n.limits(svc, s.rules))
	s.retries.SetShare(s.rules.RetryBudget)
	s.hedges.SetShare(s.rules.HedgeBudget)
	s.freed = true
}

func (n *Node) site() Site {
	return Site{DataCentre: n.opt.DataCentre, Entries: n.doc.MaxEntries, EntryID: n.opt.ID, EntryIDs: n.members}
}

// limits divides the service's slots among the entries known to be live.
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

// Members takes the live entries and the upstreams that others saw leaving.
func (n *Node) Members(now time.Duration, members []link.Member, leaving []string) {
	now = n.advance(now)
	n.heard = now
	ids := make([]string, 0, len(members))
	for _, m := range members {
		ids = append(ids, m.ID)
	}
	slices.Sort(ids)
	n.members = ids
	for i, s := range n.ordered {
		s.pool.Members(now, ids)
		s.limiter.Update(n.limits(n.doc.Services[i], s.rules))
	}
	for _, s := range n.ordered {
		for _, id := range leaving {
			s.pool.Leaving(now, id)
		}
	}
}

// TickInterval is the longest time between two calls of Tick.
const TickInterval = 5 * time.Millisecond

// expireBatch bounds the keys that a Tick drops from the record.
const expireBatch = 64

// Tick does what is due: it must be called every TickInterval or sooner.
func (n *Node) Tick(now time.Duration, out []Step) []Step {
	now = n.advance(now)
	n.record.Expire(now, expireBatch)
	n.due = n.timers.advance(now, n.due[:0])
	for _, id := range n.due {
		if c := n.calls[id]; c != nil {
			out = n.attend(now, c, out)
		}
	}
	for _, s := range n.ordered {
		for _, o := range s.pool.Probes(now) {
			out = append(out, Step{Kind: StepProbe, Service: s.name, Upstream: o.Upstream, Address: o.Address})
		}
		s.freed = true
	}
	n.retired = slices.DeleteFunc(n.retired, func(s *service) bool {
		s.freed = true
		return s.limiter.Running()+s.limiter.Waiting() == 0
	})
	return n.release(now, out)
}

// Probed takes the answer to a probe; load is nil where it failed.
func (n *Node) Probed(now time.Duration, service, upstream string, load *balance.Load, latency time.Duration) {
	if s := n.services[service]; s != nil {
		s.pool.Probed(n.advance(now), upstream, load, latency)
	}
}
