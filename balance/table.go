package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Table holds what an entry knows about the upstreams of one service, by
// index. It is not safe for concurrent use.
type Table struct {
	rows     []row
	index    map[string]int
	shares   shares
	sampler  sampler
	stale    bool // sampler is out of date
	costs    [classes]ewma
	others   ewma // mean load per slot by others, over all upstreams
	trust    trust
	observer Observer
}

type row struct {
	Upstream
	dc       int
	local    bool
	weight   float64 // 0 takes no new work, 1 its full share
	limit    int     // of requests in flight
	inFlight [classes]int
	signals  signals
}

// NewTable returns a Table of upstreams for an entry in the data centre
// local. It keeps what prev knew about the upstreams that stay; prev may be
// nil, and must not be used afterwards.
func NewTable(upstreams []Upstream, local string, prev *Table) *Table {
	t := &Table{index: make(map[string]int, len(upstreams)), stale: true}
	for i, u := range upstreams {
		r := row{Upstream: u, dc: t.shares.place(u.DataCentre), local: u.DataCentre == local, weight: 1, limit: NoLimit}
		if j, ok := prev.lookup(u.ID); ok {
			r.weight, r.inFlight, r.signals = prev.rows[j].weight, prev.rows[j].inFlight, prev.rows[j].signals
		}
		t.index[u.ID] = i
		t.rows = append(t.rows, r)
	}
	if prev != nil {
		t.costs, t.others, t.trust = prev.costs, prev.others, prev.trust
		t.shares.keep(&prev.shares)
	}
	return t
}

func (t *Table) lookup(id string) (int, bool) {
	if t == nil {
		return 0, false
	}
	i, ok := t.index[id]
	return i, ok
}

// Index returns the index of an upstream.
func (t *Table) Index(id string) (int, bool) { return t.lookup(id) }

// Len returns the number of upstreams.
func (t *Table) Len() int { return len(t.rows) }

// Upstream returns the description of upstream i.
func (t *Table) Upstream(i int) Upstream { return t.rows[i].Upstream }

// Local tells whether upstream i is in the entry's own data centre.
func (t *Table) Local(i int) bool { return t.rows[i].local }

// Observe sets the Picker to tell of changes; nil for none.
func (t *Table) Observe(o Observer) { t.observer = o }

// SetWeight sets the share of its capacity that upstream i is to get,
// between 0 for no new work and 1.
func (t *Table) SetWeight(i int, w float64) {
	if t.rows[i].weight == w {
		return
	}
	t.rows[i].weight = w
	t.stale = true
	t.changed(i)
}

// Weight returns the weight of upstream i.
func (t *Table) Weight(i int) float64 { return t.rows[i].weight }

// NoLimit is the limit of an upstream without one.
const NoLimit = math.MaxInt

// SetLimit bounds the requests in flight to upstream i.
func (t *Table) SetLimit(i, n int) { t.rows[i].limit = n }

// Limit returns the bound on the requests in flight to upstream i.
func (t *Table) Limit(i int) int { return t.rows[i].limit }

// InFlight returns the entry's own requests in flight to upstream i.
func (t *Table) InFlight(i int) int {
	f := &t.rows[i].inFlight
	return f[Short] + f[Long]
}

// InFlightOf returns the entry's own requests of a class in flight to
// upstream i.
func (t *Table) InFlightOf(i int, c Class) int { return t.rows[i].inFlight[c] }

// Usable tells whether upstream i may take a request for q.
func (t *Table) Usable(i int, q Query) bool {
	r := &t.rows[i]
	if r.weight <= 0 || t.InFlight(i) >= r.limit {
		return false
	}
	return len(q.Exclude) == 0 || !slices.Contains(q.Exclude, r.ID)
}

// Ready returns the indices of the upstreams that take new work. The slice
// is the Table's own.
func (t *Table) Ready() []int {
	t.refresh()
	return t.sampler.ready
}

// Draw returns a random upstream that takes new work, each with a chance
// after its slots and weight.
func (t *Table) Draw(rng *rand.Rand) (int, bool) {
	t.refresh()
	return t.sampler.draw(rng)
}

// AnyUsable returns the first upstream usable for q from a random start. Its
// cost grows with the number of upstreams: it is for the rare query whose
// draws all failed.
func (t *Table) AnyUsable(q Query, rng *rand.Rand) (int, bool) {
	ready := t.Ready()
	if len(ready) == 0 {
		return 0, false
	}
	start := rng.IntN(len(ready))
	for k := range ready {
		if i := ready[(start+k)%len(ready)]; t.Usable(i, q) {
			return i, true
		}
	}
	return 0, false
}

// Sent records that a request of class c goes to upstream i.
func (t *Table) Sent(now time.Duration, i int, c Class) {
	r := &t.rows[i]
	r.inFlight[c]++
	t.refresh()
	t.shares.add(now, r.dc, t.cost(c))
	t.changed(i)
}

// Finished records how a request to upstream i ended.
func (t *Table) Finished(now time.Duration, i int, d Done) {
	if d.Shed {
		d.Failed = false
	}
	r := &t.rows[i]
	r.inFlight[d.Class] = max(0, r.inFlight[d.Class]-1)
	r.signals.finished(now, d)
	if d.Load != nil && !d.Failed {
		t.report(now, i, *d.Load)
	}
	if !d.Failed && !d.Shed && !d.Cancelled {
		t.costs[d.Class].add(now, d.Latency.Seconds(), costWindow)
	}
	t.changed(i)
}

// Probed records an upstream's answer to a probe.
func (t *Table) Probed(now time.Duration, i int, l Load) {
	t.report(now, i, l)
	t.rows[i].signals.probed = now
}

func (t *Table) report(now time.Duration, i int, l Load) {
	r := &t.rows[i]
	own := t.InFlight(i)
	t.trust.add(&r.signals, l.Working, own)
	others := r.signals.report(now, l, own)
	t.others.add(now, others/float64(r.Slots), othersWindow)
}

func (t *Table) changed(i int) {
	if t.observer != nil {
		t.observer.Changed(i)
	}
}

func (t *Table) refresh() {
	if !t.stale {
		return
	}
	t.stale = false
	t.sampler.build(t.rows, len(t.shares.places))
	t.shares.setCapacity(t.rows)
}

// cost is the mean cost of a request of class c, in requests of class Short.
func (t *Table) cost(c Class) float64 {
	if c == Short || t.costs[Short].value <= 0 {
		return 1
	}
	return max(1, t.costs[c].value/t.costs[Short].value)
}
