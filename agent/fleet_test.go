package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/internal/simclock"
	"github.com/catkinrouter/catkinrouter/link"
	"github.com/catkinrouter/catkinrouter/quarantine"
	"github.com/catkinrouter/catkinrouter/store"
)

// fleet simulates a fleet of Nodes on a simulated clock: a network with faults,
// the platform's store and its instance list.
type fleet struct {
	simclock.Clock
	rng    *rand.Rand
	hosts  []*host
	byPeer map[string]*host

	// Network faults: the probabilities of loss and duplication, the maximum
	// one-way delay and the partitioned directions.
	loss, duplication float64
	delay             time.Duration
	partitioned       func(from, to *host) bool

	// The platform.
	head             config.Head
	headKeyRevision  int64
	storeDown        bool
	storeDelay       time.Duration // maximum, one way
	storePartitioned func(h *host) bool
	list             []store.Instance
	storeCalls       int
	watchers         []*watcher

	// onSend, if set, is called with every message between hosts.
	onSend func(from, to *host, v any)
}

// host is one simulated instance: an agent's Node and a fake entry.
type host struct {
	f          *fleet
	id         string
	address    string // shared by the agent and the entry
	region     string
	generation int
	started    time.Duration
	resumed    time.Duration
	down       bool
	paused     bool
	backlog    []func()
	node       *Node
	exited     bool
	entry      fakeEntry
	// highestRevision is the highest revision that was active at the entry in
	// its current run. A lower one afterwards is a revert.
	highestRevision uint64
	violations      []string // reverts of the active revision
}

// GoString returns the ID, which keeps the reports of failed cases short.
func (h *host) GoString() string { return h.id }

type fakeEntry struct {
	down             bool
	incarnation      uint64
	started          time.Duration
	revision         uint64
	leaving          bool
	leavingUpstreams []string
	quarantined      []quarantine.Entry
	state            link.State
	memberCache      link.MemberCache
}

type watcher struct {
	h          *host
	generation int
	done       bool
}

// newFleet starts n hosts in two regions; the list holds all of them.
func newFleet(n int, seed uint64) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 2)), byPeer: map[string]*host{}, delay: 5 * time.Millisecond,
		partitioned: func(_, _ *host) bool { return false }, storePartitioned: func(*host) bool { return false },
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

func (f *fleet) hostAt(peer string) *host {
	return f.byPeer[peer]
}

// advance runs all events of the next d and advances the clock by d.
func (f *fleet) advance(d time.Duration) { f.RunUntil(f.Now + d) }

// advanceUntil advances the clock until done returns true, and returns the time
// that took. It returns false if limit passes first.
func (f *fleet) advanceUntil(limit time.Duration, done func() bool) (time.Duration, bool) {
	from := f.Now
	for !done() {
		if f.Now-from >= limit {
			return f.Now - from, false
		}
		f.advance(100 * time.Millisecond)
	}
	return f.Now - from, true
}

// randomDelay returns the time that one message takes.
func (f *fleet) randomDelay() time.Duration { return time.Duration(f.rng.Int64N(int64(f.delay) + 1)) }

// start starts a new generation of the instance: agent and entry.
func (h *host) start() {
	h.generation++
	h.down, h.paused, h.exited, h.backlog = false, false, false, nil
	h.started = h.f.Now
	h.highestRevision = 0
	h.startEntry()
	h.node = NewNode(Options{
		ID: h.id, DataCentre: h.region + "-1", Region: h.region, PeerAddress: h.address,
		EntryAddress: h.address, Incarnation: uint64(1_700_000_000_000 + h.f.Now.Milliseconds()), Seed: h.f.rng.Uint64(),
	})
	h.tick(h.generation)
}

func (h *host) startEntry() {
	h.entry = fakeEntry{incarnation: h.f.rng.Uint64(), started: h.f.Now}
	h.highestRevision = 0
}

func (h *host) tick(generation int) {
	h.runEvent(generation, func() {
		h.perform(h.node.Tick(h.now()))
		h.f.After(TickInterval, func() { h.tick(generation) })
	})
}

func (h *host) now() time.Duration { return h.f.Now - h.started }

// runEvent runs an event of the given generation of the host. If the host is
// paused, the event runs on resume; if the generation has ended, it is dropped.
func (h *host) runEvent(generation int, run func()) {
	switch {
	case h.down || h.exited || h.generation != generation:
	case h.paused:
		h.backlog = append(h.backlog, func() { h.runEvent(generation, run) })
	default:
		run()
	}
}

func (h *host) kill() { h.down = true }

func (h *host) pause() { h.paused = true }

func (h *host) resume() {
	h.paused, h.resumed = false, h.f.Now
	waiting := h.backlog
	h.backlog = nil
	for _, run := range waiting {
		run()
	}
}

func (h *host) perform(out []Action) {
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

// call simulates an RPC from h to the host at addr. It runs serve there and done
// here, with the reply or, after callTimeout, with nil.
func (h *host) call(addr string, serve func(to *host) any, done func(reply any)) {
	f, generation := h.f, h.generation
	to := f.hostAt(addr)
	finished := false
	finish := func(reply any) {
		h.runEvent(generation, func() {
			if !finished {
				finished = true
				done(reply)
			}
		})
	}
	f.After(callTimeout, func() { finish(nil) })
	if to == nil || to.down || f.partitioned(h, to) || f.rng.Float64() < f.loss {
		return
	}
	toGeneration := to.generation
	deliver := func() {
		to.runEvent(toGeneration, func() {
			reply := serve(to)
			if reply == nil || f.partitioned(to, h) || f.rng.Float64() < f.loss {
				return
			}
			f.After(f.randomDelay(), func() { finish(reply) })
		})
	}
	f.After(f.randomDelay(), deliver)
	if f.rng.Float64() < f.duplication {
		f.After(f.randomDelay()+f.randomDelay(), deliver)
	}
}

func (h *host) recordSend(to *host, v any) {
	if h.f.onSend != nil {
		h.f.onSend(h, to, v)
	}
}

func (h *host) exchange(a Exchange) {
	h.recordSend(h.f.hostAt(a.Address), &a.Message)
	h.call(a.Address, func(to *host) any {
		m := a.Message
		reply, out, err := to.node.HandleExchange(to.now(), &m)
		to.perform(out)
		if err != nil {
			return nil
		}
		to.recordSend(h, &reply)
		return &reply
	}, func(reply any) {
		m, _ := reply.(*message)
		h.perform(h.node.ExchangeDone(h.now(), a.Address, m))
	})
}

func (h *host) fetch(a Fetch) {
	h.recordSend(h.f.hostAt(a.Address), &a.Request)
	h.call(a.Address, func(to *host) any {
		p, err := to.node.HandlePartRequest(a.Request)
		if err != nil {
			return nil
		}
		to.recordSend(h, &p)
		return &p
	}, func(reply any) {
		p, ok := reply.(*Part)
		var err error
		if !ok {
			p, err = &Part{}, errBusy
		}
		h.perform(h.node.FetchDone(h.now(), a.Address, p, err))
	})
}

var errStoreDown = errors.New("store down")

func (f *fleet) storeReachable(h *host) bool { return !f.storeDown && !f.storePartitioned(h) }

// randomStoreDelay returns the time that one message to or from the store takes.
func (f *fleet) randomStoreDelay() time.Duration {
	return f.randomDelay() + time.Duration(f.rng.Int64N(int64(f.storeDelay)+1))
}

func (h *host) readStore() {
	f, generation, began := h.f, h.generation, h.now()
	f.storeCalls++
	f.After(f.randomStoreDelay(), func() {
		head, headKeyRevision, err := f.head, f.headKeyRevision, error(nil)
		if !f.storeReachable(h) {
			head, headKeyRevision, err = config.Head{}, 0, errStoreDown
		}
		f.After(f.randomStoreDelay(), func() {
			h.runEvent(generation, func() { h.perform(h.node.StoreReadDone(h.now(), began, head, headKeyRevision, err)) })
		})
	})
}

func (h *host) watchStore(a WatchStore) {
	f := h.f
	f.storeCalls++
	w := &watcher{h: h, generation: h.generation}
	end := func(changed bool, err error) {
		if w.done {
			return
		}
		w.done = true
		head, headKeyRevision := f.head, f.headKeyRevision
		f.After(f.randomStoreDelay(), func() {
			h.runEvent(w.generation, func() { h.perform(h.node.StoreWatchDone(h.now(), head, headKeyRevision, changed, err)) })
		})
	}
	switch {
	case !f.storeReachable(h):
		end(false, errStoreDown)
	case f.headKeyRevision > a.After:
		end(true, nil)
	default:
		f.watchers = append(f.watchers, w)
		f.After(a.Wait, func() { end(false, nil) })
	}
}

func (h *host) listInstances() {
	f, generation := h.f, h.generation
	list, err := f.list, error(nil)
	if !f.storeReachable(h) {
		list, err = nil, errStoreDown
	}
	f.After(f.randomDelay(), func() {
		h.runEvent(generation, func() { h.node.ListDone(h.now(), list, err) })
	})
}

func (h *host) syncEntry(a SyncEntry) {
	f, generation := h.f, h.generation
	f.After(time.Millisecond, func() {
		h.runEvent(generation, func() { h.perform(h.node.EntrySyncDone(h.now(), h.handleEntrySync(a.State))) })
	})
}

// handleEntrySync is the entry's side of a sync. It returns nil if the entry is down.
func (h *host) handleEntrySync(st link.State) *link.Status {
	e := &h.entry
	if e.down {
		return nil
	}
	e.memberCache.Resolve(h.f.Now, &st)
	e.state = st
	if len(st.Document) > 0 {
		e.revision = st.Revision
	}
	if quarantine.Missing(st.Quarantined, e.quarantined) {
		e.quarantined = st.Quarantined
	}
	if e.revision < h.highestRevision {
		h.violations = append(h.violations, fmt.Sprintf("%s: active revision %d after %d", h.id, e.revision, h.highestRevision))
	}
	h.highestRevision = max(h.highestRevision, e.revision)
	return &link.Status{
		Incarnation: e.incarnation, Uptime: h.f.Now - e.started, Revision: e.revision, Spare: 0.5,
		Leaving: e.leaving, LeavingUpstreams: e.leavingUpstreams, Quarantined: e.quarantined,
	}
}

// confirm accepts the next revision in the store and notifies the store's
// watchers. The agent of by, if not nil, accepts it at once.
func (f *fleet) confirm(by *host) config.Head {
	doc, err := json.Marshal(config.Document{Site: fmt.Sprint("site ", f.head.Revision+1)})
	if err != nil {
		panic(err)
	}
	f.head = config.NewHead(f.head.Revision+1, doc)
	f.headKeyRevision++
	waiting := f.watchers
	f.watchers = nil
	head, headKeyRevision := f.head, f.headKeyRevision
	for _, w := range waiting {
		if w.done || !f.storeReachable(w.h) {
			continue
		}
		w.done = true
		f.After(f.randomStoreDelay(), func() {
			w.h.runEvent(w.generation, func() { w.h.perform(w.h.node.StoreWatchDone(w.h.now(), head, headKeyRevision, true, nil)) })
		})
	}
	if by != nil {
		by.runEvent(by.generation, func() { by.perform(by.node.Accept(by.now(), head)) })
	}
	return head
}

// advertises reports whether lookups at h's entry may return the current run of
// o's entry.
func (h *host) advertises(o *host) bool {
	for _, m := range h.entry.state.Members {
		if m.ID == o.id && !m.Leaving {
			return m.Incarnation == o.entry.incarnation
		}
	}
	return false
}

// viewsConverged reports whether each of hosts advertises all of them.
func viewsConverged(hosts []*host) bool {
	for _, h := range hosts {
		for _, o := range hosts {
			if !h.advertises(o) {
				return false
			}
		}
	}
	return true
}

// revisionActive reports whether at least the given revision is active at the
// entries of all hosts.
func revisionActive(hosts []*host, revision uint64) bool {
	for _, h := range hosts {
		if h.entry.revision < revision {
			return false
		}
	}
	return true
}
