package agent

import (
	"cmp"
	"container/heap"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/link"
	"github.com/catkinrouter/catkinrouter/store"
)

// fleet drives whole Nodes on a clock of its own, over a network with faults,
// with a store and a list that are values.
type fleet struct {
	now    time.Duration
	rng    *rand.Rand
	events eventHeap
	seq    int
	hosts  []*host
	byPeer map[string]*host

	// Faults of the network.
	loss, dup float64
	delay     time.Duration // longest, one way
	cut       func(from, to *host) bool

	// The platform.
	head      config.Head
	key       int64
	storeDown bool
	storeWait time.Duration // longest, one way
	storeCut  func(h *host) bool
	list      []store.Instance
	calls     int
	waiters   []*waiter

	// onSend sees every message between hosts.
	onSend func(from, to *host, v any)
}

// host is one instance: an agent's Node and a fake entry.
type host struct {
	f       *fleet
	id      string
	address string // of the agent and the entry
	region  string
	life    int
	started time.Duration
	resumed time.Duration
	down    bool
	paused  bool
	backlog []func()
	node    *Node
	exited  bool
	entry   fakeEntry
	// highest is the highest revision ever in force at the host's entry in
	// this life, to see reverts.
	highest uint64
	faults  []string
}

// GoString keeps the reports of failed cases short.
func (h *host) GoString() string { return h.id }

type fakeEntry struct {
	down        bool
	incarnation uint64
	started     time.Duration
	revision    uint64
	leaving     bool
	sees        []string // leaving upstreams
	state       link.State
	inbox       link.Inbox
}

type waiter struct {
	h    *host
	life int
	done bool
}

type timed struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []timed

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].seq, e[j].seq)) < 0
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(v any)   { *e = append(*e, v.(timed)) }
func (e *eventHeap) Pop() any {
	l := *e
	v := l[len(l)-1]
	*e = l[:len(l)-1]
	return v
}

// newFleet starts n hosts in two regions; the list holds all of them.
func newFleet(n int, seed uint64) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 2)), byPeer: map[string]*host{}, delay: 5 * time.Millisecond,
		cut: func(_, _ *host) bool { return false }, storeCut: func(*host) bool { return false },
	}
	for i := range n {
		h := &host{f: f, id: fmt.Sprintf("instance-%03d", i), region: []string{"sierra-norte", "addis"}[i%2]}
		h.address = fmt.Sprintf("127.1.%d.%d:9000", i/200, i%200+1)
		f.hosts = append(f.hosts, h)
		f.byPeer[h.address] = h
		f.list = append(f.list, store.Instance{ID: h.id, Address: h.address, Region: h.region})
	}
	for _, h := range f.hosts {
		h.start()
	}
	return f
}

func (f *fleet) at(peer string) *host {
	return f.byPeer[peer]
}

func (f *fleet) after(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.events, timed{f.now + d, f.seq, run})
}

// run lets time pass.
func (f *fleet) run(d time.Duration) {
	end := f.now + d
	for len(f.events) > 0 && f.events[0].at <= end {
		e := heap.Pop(&f.events).(timed)
		f.now = e.at
		e.run()
	}
	f.now = end
}

// until lets time pass until ok, and returns how long that took; false past
// the limit.
func (f *fleet) until(limit time.Duration, ok func() bool) (time.Duration, bool) {
	from := f.now
	for !ok() {
		if f.now-from >= limit {
			return f.now - from, false
		}
		f.run(100 * time.Millisecond)
	}
	return f.now - from, true
}

func (f *fleet) wire() time.Duration { return time.Duration(f.rng.Int64N(int64(f.delay) + 1)) }

// start begins a new life of the instance: agent and entry.
func (h *host) start() {
	h.life++
	h.down, h.paused, h.exited, h.backlog = false, false, false, nil
	h.started = h.f.now
	h.highest = 0
	h.startEntry()
	h.node = NewNode(Options{
		ID: h.id, DataCentre: h.region + "-1", Region: h.region, PeerAddress: h.address,
		EntryAddress: h.address, Incarnation: uint64(1_700_000_000_000 + h.f.now.Milliseconds()), Seed: h.f.rng.Uint64(),
	})
	h.tick(h.life)
}

func (h *host) startEntry() {
	h.entry = fakeEntry{incarnation: h.f.rng.Uint64(), started: h.f.now}
	h.highest = 0
}

func (h *host) tick(life int) {
	h.do(life, func() {
		h.act(h.node.Tick(h.now()))
		h.f.after(TickInterval, func() { h.tick(life) })
	})
}

func (h *host) now() time.Duration { return h.f.now - h.started }

// do runs an event of the host's life, once it is not paused.
func (h *host) do(life int, run func()) {
	switch {
	case h.down || h.exited || h.life != life:
	case h.paused:
		h.backlog = append(h.backlog, func() { h.do(life, run) })
	default:
		run()
	}
}

func (h *host) kill() { h.down = true }

func (h *host) pause() { h.paused = true }

func (h *host) resume() {
	h.paused, h.resumed = false, h.f.now
	l := h.backlog
	h.backlog = nil
	for _, run := range l {
		run()
	}
}

func (h *host) act(out []Action) {
	for _, a := range out {
		switch a := a.(type) {
		case Exchange:
			h.exchange(a)
		case Fetch:
			h.fetch(a)
		case ReadStore:
			h.readStore()
		case WatchStore:
			h.watchStore(a)
		case ListInstances:
			h.listInstances()
		case SyncEntry:
			h.syncEntry(a)
		case Exit:
			h.exited = true
		}
	}
}

// rpc carries a call from h to the host at addr. Serve runs there; done runs
// here, with false where no answer came in time.
func (h *host) rpc(addr string, serve func(to *host) any, done func(answer any)) {
	f, life := h.f, h.life
	to := f.at(addr)
	over := false
	end := func(answer any) {
		h.do(life, func() {
			if !over {
				over = true
				done(answer)
			}
		})
	}
	f.after(callLimit, func() { end(nil) })
	if to == nil || to.down || f.cut(h, to) || f.rng.Float64() < f.loss {
		return
	}
	toLife := to.life
	deliver := func() {
		to.do(toLife, func() {
			answer := serve(to)
			if answer == nil || f.cut(to, h) || f.rng.Float64() < f.loss {
				return
			}
			f.after(f.wire(), func() { end(answer) })
		})
	}
	f.after(f.wire(), deliver)
	if f.rng.Float64() < f.dup {
		f.after(f.wire()+f.wire(), deliver)
	}
}

func (h *host) send(to *host, v any) {
	if h.f.onSend != nil {
		h.f.onSend(h, to, v)
	}
}

func (h *host) exchange(a Exchange) {
	h.send(h.f.at(a.Address), &a.Message)
	h.rpc(a.Address, func(to *host) any {
		m := a.Message
		answer, out, err := to.node.Asked(to.now(), &m)
		to.act(out)
		if err != nil {
			return nil
		}
		to.send(h, &answer)
		return &answer
	}, func(answer any) {
		m, _ := answer.(*membershipMessage)
		h.act(h.node.Exchanged(h.now(), a.Address, m))
	})
}

func (h *host) fetch(a Fetch) {
	h.send(h.f.at(a.Address), &a.Request)
	h.rpc(a.Address, func(to *host) any {
		p, err := to.node.AskedPart(a.Request)
		if err != nil {
			return nil
		}
		to.send(h, &p)
		return &p
	}, func(answer any) {
		p, ok := answer.(*Part)
		var err error
		if !ok {
			p, err = &Part{}, errBusy
		}
		h.act(h.node.Fetched(h.now(), a.Address, p, err))
	})
}

var errStore = errors.New("store down")

func (f *fleet) reaches(h *host) bool { return !f.storeDown && !f.storeCut(h) }

// slow is the time that a message to or from the store takes.
func (f *fleet) slow() time.Duration {
	return f.wire() + time.Duration(f.rng.Int64N(int64(f.storeWait)+1))
}

func (h *host) readStore() {
	f, life, began := h.f, h.life, h.now()
	f.calls++
	f.after(f.slow(), func() {
		head, key, err := f.head, f.key, error(nil)
		if !f.reaches(h) {
			head, key, err = config.Head{}, 0, errStore
		}
		f.after(f.slow(), func() {
			h.do(life, func() { h.act(h.node.StoreRead(h.now(), began, head, key, err)) })
		})
	})
}

func (h *host) watchStore(a WatchStore) {
	f := h.f
	f.calls++
	w := &waiter{h: h, life: h.life}
	end := func(changed bool, err error) {
		if w.done {
			return
		}
		w.done = true
		head, key := f.head, f.key
		f.after(f.slow(), func() {
			h.do(w.life, func() { h.act(h.node.StoreWatched(h.now(), head, key, changed, err)) })
		})
	}
	switch {
	case !f.reaches(h):
		end(false, errStore)
	case f.key > a.After:
		end(true, nil)
	default:
		f.waiters = append(f.waiters, w)
		f.after(a.Wait, func() { end(false, nil) })
	}
}

func (h *host) listInstances() {
	f, life := h.f, h.life
	list, err := f.list, error(nil)
	if !f.reaches(h) {
		list, err = nil, errStore
	}
	f.after(f.wire(), func() {
		h.do(life, func() { h.node.Listed(h.now(), list, err) })
	})
}

func (h *host) syncEntry(a SyncEntry) {
	f, life := h.f, h.life
	f.after(time.Millisecond, func() {
		h.do(life, func() { h.act(h.node.Synced(h.now(), h.entrySync(a.State))) })
	})
}

// entrySync is the entry's side of a sync.
func (h *host) entrySync(st link.State) *link.Status {
	e := &h.entry
	if e.down {
		return nil
	}
	e.inbox.Fill(h.f.now, &st)
	e.state = st
	if len(st.Document) > 0 {
		e.revision = st.Revision
	}
	if e.revision < h.highest {
		h.faults = append(h.faults, fmt.Sprintf("%s: revision %d after %d", h.id, e.revision, h.highest))
	}
	h.highest = max(h.highest, e.revision)
	return &link.Status{
		Incarnation: e.incarnation, Uptime: h.f.now - e.started, Revision: e.revision, Spare: 0.5,
		Leaving: e.leaving, LeavingUpstreams: e.sees,
	}
}

// confirm accepts the next revision in the store; its watchers hear of it,
// and so does by, unless nil.
func (f *fleet) confirm(by *host) config.Head {
	doc, err := json.Marshal(config.Document{Site: fmt.Sprint("site ", f.head.Revision+1)})
	if err != nil {
		panic(err)
	}
	f.head = config.NewHead(f.head.Revision+1, doc)
	f.key++
	l := f.waiters
	f.waiters = nil
	head, key := f.head, f.key
	for _, w := range l {
		if w.done || !f.reaches(w.h) {
			continue
		}
		w.done = true
		f.after(f.slow(), func() {
			w.h.do(w.life, func() { w.h.act(w.h.node.StoreWatched(w.h.now(), head, key, true, nil)) })
		})
	}
	if by != nil {
		by.do(by.life, func() { by.act(by.node.Accept(by.now(), head)) })
	}
	return head
}

// sees tells whether h's entry would hand out o.
func (h *host) sees(o *host) bool {
	for _, m := range h.entry.state.Members {
		if m.ID == o.id && !m.Leaving {
			return m.Incarnation == o.entry.incarnation
		}
	}
	return false
}

// meet tells whether every host of l hands out every other.
func meet(l []*host) bool {
	for _, h := range l {
		for _, o := range l {
			if !h.sees(o) {
				return false
			}
		}
	}
	return true
}

// inForce tells whether every host of l has the revision in force.
func inForce(l []*host, revision uint64) bool {
	for _, h := range l {
		if h.entry.revision < revision {
			return false
		}
	}
	return true
}
