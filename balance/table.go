package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Table holds the state of the upstreams of one service as one entry sees them,
// by index. It is not safe for concurrent use.
type Table struct {
	rows      []row
	index     map[string]int
	shares    shares
	sampler   sampler
	stale     bool          // sampler and shares of capacity must be rebuilt
	latencies [classes]ewma // mean over all upstreams, in seconds
	others    ewma          // mean load per slot by others, over all upstreams
	freshness freshness
	observer  Observer
}

type row struct {
	Upstream
	dc       int // index in shares.dataCentres
	local    bool
	weight   float64 // 0 for no new work, up to 1 for the full share
	limit    int     // maximum number of requests in flight
	inFlight [classes]int
	signals  signals
}

// NewTable returns a Table of upstreams for an entry in the data centre local.
// It takes over the state of prev for the upstreams that remain. prev may be
// nil and must not be used afterwards.
func NewTable(upstreams []Upstream, local string, prev *Table) *Table {
	t := &Table{index: make(map[string]int, len(upstreams)), stale: true}
	for i, u := range upstreams {
		r := row{Upstream: u, dc: t.shares.dcIndex(u.DataCentre), local: u.DataCentre == local, weight: 1, limit: NoLimit}
		if j, ok := prev.lookup(u.ID); ok {
			r.weight, r.inFlight, r.signals = prev.rows[j].weight, prev.rows[j].inFlight, prev.rows[j].signals
		}
		t.index[u.ID] = i
		t.rows = append(t.rows, r)
	}
	if prev != nil {
		t.latencies, t.others, t.freshness = prev.latencies, prev.others, prev.freshness
		t.shares.copyWork(&prev.shares)
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

// Index returns the index of the upstream with this ID, or false if there is
// none.
func (t *Table) Index(id string) (int, bool) { return t.lookup(id) }

// Len returns the number of upstreams.
func (t *Table) Len() int { return len(t.rows) }

// Upstream returns the description of upstream i.
func (t *Table) Upstream(i int) Upstream { return t.rows[i].Upstream }

// Local reports whether upstream i is in the entry's own data centre.
func (t *Table) Local(i int) bool { return t.rows[i].local }

// Observe sets the Observer to notify of changes; nil for none.
func (t *Table) Observe(o Observer) { t.observer = o }

// SetWeight sets the share of its capacity that upstream i is used for, from 0
// for no new work to 1.
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

// NoLimit is the Limit of an upstream without a limit.
const NoLimit = math.MaxInt

// SetLimit sets the maximum number of the entry's own requests in flight to
// upstream i.
func (t *Table) SetLimit(i, n int) { t.rows[i].limit = n }

// Limit returns the maximum number of the entry's own requests in flight to
// upstream i.
func (t *Table) Limit(i int) int { return t.rows[i].limit }

// InFlight returns the number of the entry's own requests in flight to upstream
// i.
func (t *Table) InFlight(i int) int {
	f := &t.rows[i].inFlight
	return f[Short] + f[Long]
}

// InFlightOf returns the number of the entry's own requests of class c in
// flight to upstream i.
func (t *Table) InFlightOf(i int, c Class) int { return t.rows[i].inFlight[c] }

// Usable reports whether upstream i may take a request for q: its weight is not
// 0, its limit is not reached, and q does not exclude it.
func (t *Table) Usable(i int, q Query) bool {
	r := &t.rows[i]
	if r.weight <= 0 || t.InFlight(i) >= r.limit {
		return false
	}
	return len(q.Exclude) == 0 || !slices.Contains(q.Exclude, r.ID)
}

// Ready returns the indices of the upstreams that take new work. The Table
// owns the slice; callers must not modify it.
func (t *Table) Ready() []int {
	t.refresh()
	return t.sampler.ready
}

// Draw returns a random upstream that takes new work, with a probability
// proportional to its slots times its weight.
func (t *Table) Draw(rng *rand.Rand) (int, bool) {
	t.refresh()
	return t.sampler.draw(rng)
}

// AnyUsable returns the first upstream usable for q, searching from a random
// start. It takes time linear in the number of upstreams and is meant for the
// rare query for which all draws gave unusable upstreams.
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

// Sent records that a request of class c is sent to upstream i.
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
		t.latencies[d.Class].add(now, d.Latency.Seconds(), meanLatencyWindow)
	}
	t.changed(i)
}

// Probed records the load report in upstream i's answer to a probe.
func (t *Table) Probed(now time.Duration, i int, l Load) {
	t.report(now, i, l)
	t.rows[i].signals.probedAt = now
}

func (t *Table) report(now time.Duration, i int, l Load) {
	r := &t.rows[i]
	own := t.InFlight(i)
	t.freshness.add(&r.signals, l.Outstanding, own)
	others := r.signals.report(now, l, own)
	t.others.add(now, others/float64(r.Slots), meanOthersWindow)
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
	t.sampler.build(t.rows, len(t.shares.dataCentres))
	t.shares.setCapacity(t.rows)
}

// cost returns the mean latency of a request of class c as a multiple of that
// of class Short; at least 1.
func (t *Table) cost(c Class) float64 {
	if c == Short || t.latencies[Short].value <= 0 {
		return 1
	}
	return max(1, t.latencies[c].value/t.latencies[Short].value)
}
