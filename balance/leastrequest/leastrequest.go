// Package leastrequest picks the upstream with the fewest requests of this
// entry in flight, per slot, of all upstreams. It is a baseline to compare
// other policies with.
package leastrequest

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/catkinrouter/catkinrouter/balance"
)

// Builder builds the policy.
type Builder struct{}

// Name returns the policy's name.
func (Builder) Name() string { return balance.LeastRequest }

// Build returns a Picker over t, and makes it t's Observer.
func (Builder) Build(t *balance.Table) balance.Picker {
	p := &picker{table: t}
	for i := range t.Len() {
		p.order.nodes = append(p.order.nodes, node{upstream: i, load: p.load(i)})
		p.order.at = append(p.order.at, i)
	}
	heap.Init(&p.order)
	t.Observe(p)
	return p
}

type picker struct {
	table   *balance.Table
	order   order
	turn    uint64
	started bool
}

// Pick implements balance.Picker. Among equals the one picked longest ago is
// next.
func (p *picker) Pick(_ time.Duration, q balance.Query, rng *rand.Rand) (int, bool) {
	if !p.started {
		p.shuffle(rng)
	}
	at := p.best(0, q)
	if at < 0 {
		return 0, false
	}
	p.turn++
	p.order.nodes[at].turn = p.turn
	i := p.order.nodes[at].upstream
	heap.Fix(&p.order, at)
	return i, true
}

// shuffle orders equals at random, so that entries do not go in step.
func (p *picker) shuffle(rng *rand.Rand) {
	p.started = true
	for k, turn := range rng.Perm(len(p.order.nodes)) {
		p.order.nodes[k].turn = uint64(turn)
	}
	p.turn = uint64(len(p.order.nodes))
	heap.Init(&p.order)
}

// best returns the position of the first usable upstream at or below at. It
// looks only below positions that are not usable, which are few.
func (p *picker) best(at int, q balance.Query) int {
	if at >= len(p.order.nodes) || math.IsInf(p.order.nodes[at].load, 1) {
		return -1
	}
	if p.table.Usable(p.order.nodes[at].upstream, q) {
		return at
	}
	left, right := p.best(2*at+1, q), p.best(2*at+2, q)
	if left < 0 || right >= 0 && p.order.Less(right, left) {
		return right
	}
	return left
}

// Changed implements balance.Observer.
func (p *picker) Changed(i int) {
	at := p.order.at[i]
	p.order.nodes[at].load = p.load(i)
	heap.Fix(&p.order, at)
}

func (p *picker) load(i int) float64 {
	w := p.table.Weight(i)
	if w <= 0 {
		return math.Inf(1)
	}
	return float64(p.table.InFlight(i)) / (float64(p.table.Upstream(i).Slots) * w)
}

type node struct {
	upstream int
	load     float64
	turn     uint64
}

// order is a heap of upstreams by load, then by turn.
type order struct {
	nodes []node
	at    []int // position of each upstream in nodes
}

func (o *order) Len() int { return len(o.nodes) }

func (o *order) Less(a, b int) bool {
	x, y := &o.nodes[a], &o.nodes[b]
	if x.load != y.load {
		return x.load < y.load
	}
	return x.turn < y.turn
}

func (o *order) Swap(a, b int) {
	o.nodes[a], o.nodes[b] = o.nodes[b], o.nodes[a]
	o.at[o.nodes[a].upstream], o.at[o.nodes[b].upstream] = a, b
}

// Push and Pop implement heap.Interface; the heap's size is fixed.
func (o *order) Push(any) { panic("leastrequest: the heap has a fixed size") }

func (o *order) Pop() any { panic("leastrequest: the heap has a fixed size") }
