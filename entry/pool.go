package entry

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/catkinrouter/catkinrouter/balance"
	"github.com/catkinrouter/catkinrouter/balance/hotcold"
	"github.com/catkinrouter/catkinrouter/balance/policies"
	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/health"
	"github.com/catkinrouter/catkinrouter/probe"
)

// Pool holds the upstreams of one service as this entry sees them: the
// picking policy, the probes and the health of each. Like a Node it is not
// safe for concurrent use.
type Pool struct {
	service   string
	rules     config.Rules
	site      Site
	upstreams []config.Upstream
	table     *balance.Table
	picker    balance.Picker
	health    *health.Tracker
	planner   *probe.Planner
	rng       *rand.Rand
	seen      uint64        // version of health that the weights follow
	ticked    time.Duration // when upkeep was last done
	inSubset  []bool
	due       []int // reused by Probes
	begun     bool  // the time is known
}

// ProbeOrder asks for one probe of an upstream.
type ProbeOrder struct {
	Upstream string
	Address  string
}

// Site tells a Pool about this entry and its fleet.
type Site struct {
	// DataCentre is the place of this entry.
	DataCentre string
	// Entries is the largest number of entries that run at once: the
	// measuring budget and the connection limits are divided by it, or by
	// the number of EntryIDs where that is larger.
	Entries int
	// EntryID and EntryIDs place this entry among the live ones.
	EntryID  string
	EntryIDs []string
}

func (s Site) fleet() balance.Fleet {
	return balance.Fleet{Self: s.EntryID, Live: s.EntryIDs, Max: s.Entries}
}

// upkeepInterval is the time between two updates of what changes slowly.
const upkeepInterval = 100 * time.Millisecond

// NewPool returns a Pool for a service that was checked by package config.
// Its measuring budget starts empty with the first Update.
func NewPool(svc config.Service, site Site, seed uint64) *Pool {
	p := &Pool{service: svc.Name, rng: rand.New(rand.NewPCG(seed, 1))}
	p.Update(0, svc, site)
	p.begun = false
	return p
}

// Update takes a new configuration of the service, and keeps what is known
// about the upstreams that stay.
func (p *Pool) Update(now time.Duration, svc config.Service, site Site) {
	rules := svc.Rules.WithDefaults()
	if !p.begun {
		p.planner, p.begun = nil, true
	}
	site.EntryIDs = keepIDs(site.EntryIDs, p.site.EntryIDs)
	described := describe(svc.Upstreams)
	table := balance.NewTable(described, site.DataCentre, p.table)
	p.health = p.nextHealth(now, svc.Upstreams)
	p.planner = probe.NewPlanner(now, budget(rules, site), targets(svc.Upstreams), p.planner)
	p.table, p.upstreams, p.site, p.rules = table, svc.Upstreams, site, rules
	p.picker = builder(rules.Policy).Build(table)
	p.limitConnections()
	p.weigh(now)
}

// keepIDs keeps the known entries where a configuration brings none.
func keepIDs(ids, known []string) []string {
	if len(ids) == 0 {
		return known
	}
	return ids
}

// Members takes the IDs of the live entries, this one included.
func (p *Pool) Members(now time.Duration, ids []string) {
	if slices.Equal(ids, p.site.EntryIDs) {
		return
	}
	p.site.EntryIDs = slices.Clone(ids)
	p.planner.Set(now, budget(p.rules, p.site))
	p.limitConnections()
	p.weigh(now)
}

// builder returns the policy called name, or the default one.
func builder(name string) balance.Builder {
	b, err := policies.Find(name)
	if err != nil {
		return hotcold.Builder{}
	}
	return b
}

func budget(r config.Rules, s Site) probe.Settings {
	return probe.Settings{Share: r.ProbeBudget, Cost: r.ProbeCost.D(), Entries: max(s.Entries, len(s.EntryIDs))}
}

func describe(ups []config.Upstream) []balance.Upstream {
	out := make([]balance.Upstream, 0, len(ups))
	for _, u := range ups {
		out = append(out, balance.Upstream{ID: u.ID, DataCentre: u.DataCentre, Slots: max(1, u.Slots)})
	}
	return out
}

func targets(ups []config.Upstream) []probe.Target {
	out := make([]probe.Target, 0, len(ups))
	for _, u := range ups {
		out = append(out, probe.Target{ID: u.ID, Slots: max(1, u.Slots)})
	}
	return out
}

// nextHealth carries the health of the upstreams that stay over to ups. New
// ones start cold, unless all are new.
func (p *Pool) nextHealth(now time.Duration, ups []config.Upstream) *health.Tracker {
	h := health.New(len(ups))
	for i, u := range ups {
		j, ok := p.find(u.ID)
		switch {
		case ok && p.upstreams[j].Address == u.Address:
			h.Keep(i, p.health, j)
		case len(p.upstreams) > 0:
			h.Added(now, i)
		}
		h.SetListed(now, i, u.Leaving)
	}
	return h
}

func (p *Pool) find(id string) (int, bool) {
	if p.table == nil {
		return 0, false
	}
	return p.table.Index(id)
}

// Pick returns the ID and address of an upstream for q. It returns false
// where none may take new work.
func (p *Pool) Pick(now time.Duration, q balance.Query) (id, address string, ok bool) {
	p.follow(now)
	i, ok := p.trial(now, q)
	if !ok {
		i, ok = p.picker.Pick(now, q, p.rng)
	}
	if !ok {
		return "", "", false
	}
	return p.upstreams[i].ID, p.upstreams[i].Address, true
}

// trial returns an upstream that is to show by q that it is well again.
func (p *Pool) trial(now time.Duration, q balance.Query) (int, bool) {
	if q.NonIdempotent || len(q.Exclude) > 0 || q.Class != balance.Short {
		return 0, false
	}
	return p.health.Trial(now)
}

// Sent records that a request of class c goes to the upstream.
func (p *Pool) Sent(now time.Duration, id string, c balance.Class) {
	if i, ok := p.find(id); ok {
		p.table.Sent(now, i, c)
		p.health.Sent(i)
	}
}

// Finished records how a request to the upstream ended.
func (p *Pool) Finished(now time.Duration, id string, d balance.Done) {
	if i, ok := p.find(id); ok {
		p.table.Finished(now, i, d)
		p.health.Finished(now, i, d)
	}
}

// Probes returns the probes that are due and within the budget.
func (p *Pool) Probes(now time.Duration) []ProbeOrder {
	p.upkeep(now)
	p.due = p.planner.Due(now, func(i int) (time.Duration, bool, bool) { return p.evidence(now, i) }, p.due[:0])
	var out []ProbeOrder
	for _, i := range p.due {
		out = append(out, ProbeOrder{Upstream: p.upstreams[i].ID, Address: p.upstreams[i].Address})
	}
	return out
}

// evidence tells a probe.Planner what is known about upstream i. One that
// said it leaves is asked whether it came back.
func (p *Pool) evidence(now time.Duration, i int) (age time.Duration, known, want bool) {
	at, known := p.table.Evidence(i)
	said := p.health.State(i) == health.Leaving
	want = p.inSubset[i] && !p.upstreams[i].Leaving
	return now - at, known && !said, want
}

// Probed records the answer to a probe; load is nil where it failed.
func (p *Pool) Probed(now time.Duration, id string, load *balance.Load, latency time.Duration) {
	i, ok := p.find(id)
	if !ok {
		return
	}
	p.planner.Answered(i)
	p.health.Probed(now, i, load)
	if load != nil {
		p.table.Probed(now, i, *load)
	}
}

// Leaving records that the upstream is leaving, by another entry's word.
func (p *Pool) Leaving(now time.Duration, id string) {
	if i, ok := p.find(id); ok {
		p.health.OthersWord(now, i)
	}
}
