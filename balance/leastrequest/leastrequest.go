// Package leastrequest picks the upstream with the fewest requests of this entry
// in flight per slot, among all upstreams. It is a baseline for comparison with
// other policies.
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

// Build returns a Picker over t and sets it as the Observer of t.
func (Builder) Build(t *balance.Table) balance.Picker {
	p := &picker{table: t}
	for i := range t.Len() {
		p.loadOrder.nodes = append(p.loadOrder.nodes, node{upstream: i, load: p.load(i)})
		p.loadOrder.pos = append(p.loadOrder.pos, i)
	}
	heap.Init(&p.loadOrder)
	t.Observe(p)
	return p
}

type picker struct {
	table     *balance.Table
	loadOrder loadOrder
	seq       uint64 // sequence number of the last pick
	started   bool
}

// Pick implements balance.Picker. Among upstreams with equal load it picks the
// one picked longest ago.
func (p *picker) Pick(_ time.Duration, q balance.Query, rng *rand.Rand) (int, bool) {
	if !p.started {
		p.shuffle(rng)
	}
	pos := p.best(0, q)
	if pos < 0 {
		return 0, false
	}
	p.seq++
	p.loadOrder.nodes[pos].seq = p.seq
	i := p.loadOrder.nodes[pos].upstream
	heap.Fix(&p.loadOrder, pos)
	return i, true
}

// shuffle puts upstreams with equal load in random order, so that entries do not
// pick the same upstreams in lockstep.
func (p *picker) shuffle(rng *rand.Rand) {
	p.started = true
	for k, seq := range rng.Perm(len(p.loadOrder.nodes)) {
		p.loadOrder.nodes[k].seq = uint64(seq)
	}
	p.seq = uint64(len(p.loadOrder.nodes))
	heap.Init(&p.loadOrder)
}

// best returns the position of the first usable upstream in the subtree of the
// heap at pos, or -1. It descends only below unusable upstreams, which are few.
func (p *picker) best(pos int, q balance.Query) int {
	if pos >= len(p.loadOrder.nodes) || math.IsInf(p.loadOrder.nodes[pos].load, 1) {
		return -1
	}
	if p.table.Usable(p.loadOrder.nodes[pos].upstream, q) {
		return pos
	}
	left, right := p.best(2*pos+1, q), p.best(2*pos+2, q)
	if left < 0 || right >= 0 && p.loadOrder.Less(right, left) {
		return right
	}
	return left
}

// Changed implements balance.Observer.
func (p *picker) Changed(i int) {
	pos := p.loadOrder.pos[i]
	p.loadOrder.nodes[pos].load = p.load(i)
	heap.Fix(&p.loadOrder, pos)
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
	seq      uint64 // sequence number of the last pick
}

// loadOrder is a heap of upstreams, ordered by load and then by the sequence
// number of the last pick.
type loadOrder struct {
	nodes []node
	pos   []int // position of each upstream in nodes
}

func (h *loadOrder) Len() int { return len(h.nodes) }

func (h *loadOrder) Less(a, b int) bool {
	x, y := &h.nodes[a], &h.nodes[b]
	if x.load != y.load {
		return x.load < y.load
	}
	return x.seq < y.seq
}

func (h *loadOrder) Swap(a, b int) {
	h.nodes[a], h.nodes[b] = h.nodes[b], h.nodes[a]
	h.pos[h.nodes[a].upstream], h.pos[h.nodes[b].upstream] = a, b
}

// Push implements heap.Interface. It panics because the heap has a fixed size.
func (h *loadOrder) Push(any) { panic("leastrequest: the heap has a fixed size") }

// Pop implements heap.Interface. It panics because the heap has a fixed size.
func (h *loadOrder) Pop() any { panic("leastrequest: the heap has a fixed size") }
