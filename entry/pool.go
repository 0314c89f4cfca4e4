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
	"github.com/catkinrouter/catkinrouter/notice"
	"github.com/catkinrouter/catkinrouter/probe"
)

// Pool holds this entry's view of the upstreams of one service: the balancing
// policy, the probes, and the health of each upstream. Like a Node it is not
// safe for concurrent use.
type Pool struct {
	service       string
	rules         config.Rules
	view          FleetView
	upstreams     []config.Upstream
	table         *balance.Table
	picker        balance.Picker
	health        *health.Tracker
	planner       *probe.Planner
	rng           *rand.Rand
	healthVersion uint64        // version of health at the last update of the weights
	maintainedAt  time.Duration // time of the last run of maintain
	inSubset      []bool
	dueProbes     []int // reused by Probes
	// notices holds what each upstream has said of itself. pausing is set while some
	// upstream has weight 0 for that.
	notices []notice.State
	pausing bool
	started bool // Update has been called with the time
}

// ProbeTarget is an upstream that is to be probed once.
type ProbeTarget struct {
	Upstream string
	Address  string
}

// FleetView is what a Pool needs to know about this entry and the fleet of
// entries.
type FleetView struct {
	// DataCentre is the data centre of this entry.
	DataCentre string
	// Entries is the largest number of entries that run at once. The probe
	// budget and the connection limits are divided by it, or by the number of
	// EntryIDs if that is larger.
	Entries int
	// EntryID is this entry's ID; EntryIDs are those of the live entries.
	EntryID  string
	EntryIDs []string
}

func (s FleetView) fleet() balance.Fleet {
	return balance.Fleet{Self: s.EntryID, Live: s.EntryIDs, Max: s.Entries}
}

// maintainInterval is the time between two runs of maintain.
const maintainInterval = 100 * time.Millisecond

// NewPool returns a Pool for a service that package config has validated. Its
// probe budget starts empty at the first call of Update, which brings the
// time.
func NewPool(svc config.Service, view FleetView, seed uint64) *Pool {
	p := &Pool{service: svc.Name, rng: rand.New(rand.NewPCG(seed, 1))}
	p.Update(0, svc, view)
	p.started = false
	return p
}

// Update applies a new configuration of the service. What is known about
// upstreams that remain is kept.
func (p *Pool) Update(now time.Duration, svc config.Service, view FleetView) {
	rules := svc.Rules.WithDefaults()
	if !p.started {
		p.planner, p.started = nil, true
	}
	view.EntryIDs = idsOrKnown(view.EntryIDs, p.view.EntryIDs)
	tableUpstreams := balanceUpstreams(svc.Upstreams)
	table := balance.NewTable(tableUpstreams, view.DataCentre, p.table)
	p.health = p.carryOverHealth(now, svc.Upstreams)
	p.notices = p.carryOverNotices(svc.Upstreams)
	p.planner = probe.NewPlanner(now, probeSettings(rules, view), probeTargets(svc.Upstreams), p.planner)
	p.table, p.upstreams, p.view, p.rules = table, svc.Upstreams, view, rules
	p.picker = policyBuilder(rules.Policy).Build(table)
	p.setConnectionLimits()
	p.updateWeights(now)
}

// idsOrKnown returns known if ids is empty, so that an update without entry
// IDs keeps the known ones.
func idsOrKnown(ids, known []string) []string {
	if len(ids) == 0 {
		return known
	}
	return ids
}

// SetMembers sets the IDs of the live entries, this one included.
func (p *Pool) SetMembers(now time.Duration, ids []string) {
	if slices.Equal(ids, p.view.EntryIDs) {
		return
	}
	p.view.EntryIDs = slices.Clone(ids)
	p.planner.Set(now, probeSettings(p.rules, p.view))
	p.setConnectionLimits()
	p.updateWeights(now)
}

// policyBuilder returns the named policy, or the default one for an unknown
// name.
func policyBuilder(name string) balance.Builder {
	b, err := policies.Find(name)
	if err != nil {
		return hotcold.Builder{}
	}
	return b
}

func probeSettings(r config.Rules, s FleetView) probe.Settings {
	return probe.Settings{Share: r.ProbeBudget, Cost: r.ProbeCost.D(), Entries: max(s.Entries, len(s.EntryIDs))}
}

func balanceUpstreams(ups []config.Upstream) []balance.Upstream {
	out := make([]balance.Upstream, 0, len(ups))
	for _, u := range ups {
		out = append(out, balance.Upstream{ID: u.ID, DataCentre: u.DataCentre, Slots: max(1, u.Slots)})
	}
	return out
}

func probeTargets(ups []config.Upstream) []probe.Target {
	out := make([]probe.Target, 0, len(ups))
	for _, u := range ups {
		out = append(out, probe.Target{ID: u.ID, Slots: max(1, u.Slots)})
	}
	return out
}

// carryOverHealth returns a Tracker for ups. Upstreams that keep their ID and
// address keep their health; others start cold, unless the Pool had no
// upstreams before.
func (p *Pool) carryOverHealth(now time.Duration, ups []config.Upstream) *health.Tracker {
	h := health.New(len(ups))
	for i, u := range ups {
		j, ok := p.find(u.ID)
		switch {
		case ok && p.upstreams[j].Address == u.Address:
			h.CopyFrom(i, p.health, j)
		case len(p.upstreams) > 0:
			h.MarkAdded(now, i)
		}
		h.SetConfiguredLeaving(now, i, u.Leaving)
	}
	return h
}

func (p *Pool) find(id string) (int, bool) {
	if p.table == nil {
		return 0, false
	}
	return p.table.Index(id)
}

// Pick returns the ID and address of an upstream for q. It returns false if
// none may take new work.
func (p *Pool) Pick(now time.Duration, q balance.Query) (id, address string, ok bool) {
	p.refreshWeights(now)
	i, ok := p.pickTrial(now, q)
	if !ok {
		i, ok = p.picker.Pick(now, q, p.rng)
	}
	if !ok || !p.admits(now, i) {
		return "", "", false
	}
	p.take(now, i)
	return p.upstreams[i].ID, p.upstreams[i].Address, true
}

// pickTrial returns an upstream that is due for a trial request, which shows
// whether it has recovered, if q may serve as one: only short idempotent work
// that is not a retry may.
func (p *Pool) pickTrial(now time.Duration, q balance.Query) (int, bool) {
	if q.NonIdempotent || len(q.Exclude) > 0 || q.Class != balance.Short {
		return 0, false
	}
	i, ok := p.health.Trial(now)
	return i, ok && p.admits(now, i)
}

// Sent records that a request of class c is sent to the upstream.
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

// Probes returns the probes that are due and within the probe budget.
func (p *Pool) Probes(now time.Duration) []ProbeTarget {
	p.maintain(now)
	p.dueProbes = p.planner.Due(now, func(i int) (time.Duration, bool, bool) { return p.loadReportAge(now, i) }, p.dueProbes[:0])
	var out []ProbeTarget
	for _, i := range p.dueProbes {
		out = append(out, ProbeTarget{Upstream: p.upstreams[i].ID, Address: p.upstreams[i].Address})
	}
	return out
}

// loadReportAge implements probe.Evidence for upstream i. An upstream in the
// state Leaving counts as one without a report, so that it is probed to find
// out whether it has come back.
func (p *Pool) loadReportAge(now time.Duration, i int) (age time.Duration, known, want bool) {
	at, known := p.table.LastReport(i)
	leaving := p.health.State(i) == health.Leaving
	want = p.inSubset[i] && !p.upstreams[i].Leaving
	return now - at, known && !leaving, want
}

// Probed records the result of a probe; load is nil if it failed.
func (p *Pool) Probed(now time.Duration, id string, load *balance.Load, latency time.Duration) {
	i, ok := p.find(id)
	if !ok {
		return
	}
	p.planner.Finished(i)
	p.health.Probed(now, i, load)
	if load != nil {
		p.table.Probed(now, i, *load)
	}
}

// Leaving records that another entry saw the upstream leaving.
func (p *Pool) Leaving(now time.Duration, id string) {
	if i, ok := p.find(id); ok {
		p.health.MarkLeavingByPeer(now, i)
	}
}
