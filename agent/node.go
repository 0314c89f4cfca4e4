package agent

import (
	"slices"
	"time"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/link"
	"github.com/catkinrouter/catkinrouter/membership"
	"github.com/catkinrouter/catkinrouter/store"
)

// Options are a Node's fixed settings.
type Options struct {
	ID           string
	DataCentre   string
	Region       string
	PeerAddress  string
	EntryAddress string
	// Incarnation must be above that of earlier runs of the instance's
	// agent; the time of day in milliseconds will do.
	Incarnation uint64
	Seed        uint64
}

// Times of a Node.
const (
	// TickInterval is the longest time between two calls of Tick.
	TickInterval = 100 * time.Millisecond
	// syncInterval is the time between two syncs with the entry.
	syncInterval = 250 * time.Millisecond
	// entryLimit is the age of the last sync at which the entry counts as
	// gone.
	entryLimit = time.Second
	// askedPeers is the number of peers that a fresh instance asks for
	// their configuration where the store is out.
	askedPeers = 4
	// settleLeast and settleLimit are when a fresh instance takes what it
	// has at the earliest, and where it found fewer peers.
	settleLeast = 2 * time.Second
	settleLimit = 10 * time.Second
	// stopLimit bounds a planned stop whose entry does not end.
	stopLimit = 90 * time.Second
	// stopLinger is how long a stopping agent goes on after its entry ended.
	stopLinger = 1500 * time.Millisecond
)

// Node is the control state of one instance: events go in, actions come out.
// It does no I/O, starts no goroutines and reads no clock; every method takes
// the time since the agent started. It is not safe for concurrent use.
type Node struct {
	opt     Options
	table   *membership.Table
	spread  spread
	duty    duty
	sync    entrySync
	settled bool
	asked   map[string]bool // peers that answered while not settled
	regions map[string]bool // regions of those
	// stopping is when a planned stop began; 0 for none.
	stopping time.Duration
}

// NewNode returns a Node that knows no peers and no configuration.
func NewNode(opt Options) *Node {
	info := membership.Info{
		ID: opt.ID, PeerAddress: opt.PeerAddress, DataAddress: opt.EntryAddress,
		DataCentre: opt.DataCentre, Region: opt.Region,
	}
	return &Node{
		opt: opt, table: membership.New(info, opt.Incarnation, opt.Seed), duty: newDuty(),
		sync: newEntrySync(), asked: map[string]bool{}, regions: map[string]bool{},
	}
}

// Head returns the newest configuration that the Node accepted.
func (n *Node) Head() config.Head { return n.spread.keeper.Head() }

// Table returns the Node's view of the instances.
func (n *Node) Table() *membership.Table { return n.table }

// Tick does what is due.
func (n *Node) Tick(now time.Duration) []Action {
	n.state(now)
	out := n.exchanges(now, n.table.Tick(now))
	out = append(out, n.duty.due(now, n.table)...)
	if n.sync.due(now) {
		out = append(out, SyncEntry{State: n.linkState(now)})
	}
	if n.stopped(now) {
		out = append(out, Exit{})
	}
	return out
}

func (n *Node) exchanges(now time.Duration, addresses []string) []Action {
	var out []Action
	for _, a := range addresses {
		out = append(out, Exchange{Address: a, Message: n.fill(now, n.table.Request(now, a))})
	}
	return out
}

// fill adds to a message what the Table does not know.
func (n *Node) fill(now time.Duration, m membership.Message) membership.Message {
	held := n.spread.keeper.Version()
	m.Revision, m.Digest = held.Revision, shortDigest(held.Digest)
	m.ReadAge = n.duty.age(now)
	m.Leaving = n.sync.leaving.message(now)
	return m
}

// Asked takes a peer's request and returns the answer.
func (n *Node) Asked(now time.Duration, m *membership.Message) (membership.Message, []Action, error) {
	if err := n.table.Receive(now, m); err != nil {
		return membership.Message{}, nil, err
	}
	out := n.heard(now, m.Address.String(), m)
	return n.fill(now, n.table.Answer(now, m)), out, nil
}

// Exchanged takes the end of an Exchange; answer is nil where it failed.
func (n *Node) Exchanged(now time.Duration, address string, answer *membership.Message) []Action {
	n.table.Done(address)
	if answer == nil || n.table.Receive(now, answer) != nil {
		return nil
	}
	if !n.settled {
		n.asked[address] = true
		n.regions[n.table.Region(answer.Beats[0].Key)] = true
	}
	return n.heard(now, address, answer)
}

func (n *Node) heard(now time.Duration, address string, m *membership.Message) []Action {
	n.duty.heard(now, m.ReadAge)
	n.sync.leaving.heard(now, m.Leaving)
	return n.spread.offer(now, address, m.Revision, m.Digest)
}

// AskedPart takes a peer's request for a part of the configuration.
func (n *Node) AskedPart(r PartRequest) (Part, error) { return n.spread.part(r) }

// Fetched takes the end of a Fetch.
func (n *Node) Fetched(now time.Duration, address string, p *Part, err error) []Action {
	h, whole, out := n.spread.fetched(now, address, p, err)
	if whole {
		out = append(out, n.Accept(now, h)...)
	}
	return out
}

// Accept takes a configuration that the store holds as accepted. A higher one
// is pushed to peers and the entry at once.
func (n *Node) Accept(now time.Duration, h config.Head) []Action {
	if !n.spread.accept(h) {
		return nil
	}
	n.table.Push()
	n.sync.urgent()
	return n.Tick(now)
}

// StoreRead takes the end of a ReadStore that began at the time given. Key is
// the store's revision of the head's key.
func (n *Node) StoreRead(now, began time.Duration, h config.Head, key int64, err error) []Action {
	n.duty.reading = false
	n.duty.readDone(now, began, key, err)
	if err != nil {
		return nil
	}
	n.settled = true
	return n.Accept(now, h)
}

// StoreWatched takes the end of a WatchStore that began at the time given;
// changed is false where the time passed without a change.
func (n *Node) StoreWatched(now time.Duration, h config.Head, key int64, changed bool, err error) []Action {
	n.duty.watching = false
	if err != nil {
		n.duty.nextWatch = now + watchRetry
		return nil
	}
	if !changed {
		return nil
	}
	n.duty.readDone(now, now, key, nil)
	return n.Accept(now, h)
}

// Listed takes the end of a ListInstances.
func (n *Node) Listed(now time.Duration, list []store.Instance, err error) {
	n.duty.listDone(now, n.table.Live())
	if err != nil {
		return
	}
	seeds := make([]membership.Seed, 0, len(list))
	for _, i := range list {
		seeds = append(seeds, membership.Seed{ID: i.ID, Address: i.Address})
	}
	n.table.Listed(seeds)
}

// Synced takes the end of a SyncEntry; st is nil where it failed.
func (n *Node) Synced(now time.Duration, st *link.Status) []Action {
	n.sync.done(now, st)
	n.state(now)
	return n.exchanges(now, n.table.Tick(now))
}

// Stop begins a planned stop: the entry's leaving is spread, and Exit follows
// once the entry is gone.
func (n *Node) Stop(now time.Duration) []Action {
	if n.stopping == 0 {
		n.stopping = max(now, 1)
	}
	n.state(now)
	return n.exchanges(now, n.table.Tick(now))
}

func (n *Node) stopped(now time.Duration) bool {
	if n.stopping == 0 {
		return false
	}
	gone := now-n.sync.at >= entryLimit+stopLinger && now-n.stopping >= stopLinger
	return gone || now-n.stopping >= stopLimit
}

// state tells the Table about the own entry.
func (n *Node) state(now time.Duration) {
	n.settle(now)
	st, live := n.sync.status, n.sync.alive(now)
	s := membership.State{
		Entry: st.Incarnation, Uptime: st.Uptime + now - n.sync.at, Revision: st.Revision, Spare: st.Spare,
		Ready:   live && n.settled && st.Revision > 0,
		Leaving: st.Leaving || n.stopping > 0,
		Store:   n.readsStore(now),
	}
	n.table.Set(now, s)
}

// settle ends the time in which a fresh instance is not handed out: once the
// store was read, or enough peers of both regions were asked.
func (n *Node) settle(now time.Duration) {
	if n.settled || n.spread.from != "" || len(n.asked) == 0 || now < settleLeast {
		return
	}
	peers, regions := n.table.Peers()
	enough := len(n.asked) >= min(askedPeers, peers) && len(n.regions) >= regions
	n.settled = enough || now >= settleLimit
}

// linkState returns the message to the entry.
func (n *Node) linkState(now time.Duration) link.State {
	head := n.Head()
	st := link.State{Revision: head.Revision, Digest: head.Digest}
	n.sync.fill(now, &st, n.linkMembers(now), n.othersLeaving(now))
	if n.sync.status.Revision != head.Revision || !n.sync.alive(now) {
		st.Document = head.Document
	}
	return st
}

// othersLeaving returns the upstreams that other entries saw leaving.
func (n *Node) othersLeaving(now time.Duration) []string {
	own := n.sync.status.LeavingUpstreams
	return slices.DeleteFunc(n.sync.leaving.ids(now), func(id string) bool { return slices.Contains(own, id) })
}

// linkMembers returns the entries that a lookup may hand out, and the own one.
func (n *Node) linkMembers(now time.Duration) []link.Member {
	var out []link.Member
	for _, m := range n.table.Members(now) {
		if !m.Usable() && m.ID != n.opt.ID {
			continue
		}
		out = append(out, link.Member{
			ID: m.ID, Address: m.DataAddress, DataCentre: m.DataCentre, Region: m.Region, Incarnation: m.Entry,
			Uptime: m.Uptime, Spare: float64(m.Beat.Spare) / membership.MaxSpare, Leaving: m.Beat.Leaving,
		})
	}
	return out
}
