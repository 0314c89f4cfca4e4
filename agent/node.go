package agent

import (
	"slices"
	"time"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/link"
	"github.com/catkinrouter/catkinrouter/membership"
	"github.com/catkinrouter/catkinrouter/store"
)

// Options configure a Node.
type Options struct {
	ID           string
	DataCentre   string
	Region       string
	PeerAddress  string
	EntryAddress string
	// Incarnation must be above that of earlier runs of the instance's agent,
	// such as the Unix time in milliseconds.
	Incarnation uint64
	// Seed seeds the random choices of the Table.
	Seed uint64
}

// Intervals, timeouts and thresholds of a Node.
const (
	// TickInterval is the maximum time between two calls of Tick.
	TickInterval = 100 * time.Millisecond
	// syncInterval is the time between two syncs with the entry.
	syncInterval = 250 * time.Millisecond
	// entryTimeout is the age of the last successful sync at which the entry
	// counts as down.
	entryTimeout = time.Second
	// bootstrapPeerCount is the number of peers that must have replied to a new
	// instance, with the revisions they hold, before lookups may return it
	// while the store is unreachable. If it knows fewer peers, that number is
	// enough.
	bootstrapPeerCount = 4
	// minBootstrapTime is the minimum duration of a bootstrap from peers.
	// After maxBootstrapTime a reply of one peer is enough.
	minBootstrapTime = 2 * time.Second
	maxBootstrapTime = 10 * time.Second
	// stopTimeout bounds a planned stop if the entry does not exit.
	stopTimeout = 90 * time.Second
	// stopLinger is how long a stopping agent keeps running after its entry
	// counts as down.
	stopLinger = 1500 * time.Millisecond
)

// Node is the control state machine of one instance: its methods take events and
// return actions. It does no I/O, starts no goroutines and reads no clock; the
// parameter now is the time since the agent started. It is not safe for
// concurrent use.
type Node struct {
	opt       Options
	table     *membership.Table
	replica   configReplica
	scheduler platformScheduler
	entry     entrySync
	// bootstrapped is set once the instance has read the store, or learned the
	// newest revision from enough peers.
	bootstrapped     bool
	bootstrapPeers   map[string]bool // addresses of the peers that replied before
	bootstrapRegions map[string]bool // regions of these peers
	// stopStarted is when a planned stop began; 0 for none.
	stopStarted time.Duration
}

// NewNode returns a Node with no peers and no configuration.
func NewNode(opt Options) *Node {
	info := membership.Info{
		ID: opt.ID, PeerAddress: opt.PeerAddress, DataAddress: opt.EntryAddress,
		DataCentre: opt.DataCentre, Region: opt.Region,
	}
	return &Node{
		opt: opt, table: membership.New(info, opt.Incarnation, opt.Seed), scheduler: newPlatformScheduler(),
		entry: newEntrySync(), bootstrapPeers: map[string]bool{}, bootstrapRegions: map[string]bool{},
	}
}

// Head returns the newest configuration that the Node holds.
func (n *Node) Head() config.Head { return n.replica.current.Head() }

// Table returns the Node's view of the instances.
func (n *Node) Table() *membership.Table { return n.table }

// Tick returns the actions that are due. It must be called at least every
// TickInterval.
func (n *Node) Tick(now time.Duration) []Action {
	n.updateState(now)
	out := n.exchangeActions(now, n.table.Tick(now))
	out = append(out, n.scheduler.dueCalls(now, n.table)...)
	if n.entry.beginIfDue(now) {
		out = append(out, SyncEntry{State: n.linkState(now)})
	}
	if n.stopComplete(now) {
		out = append(out, Exit{})
	}
	return out
}

// exchangeActions returns an Exchange with each of the peers at addresses.
func (n *Node) exchangeActions(now time.Duration, addresses []string) []Action {
	var out []Action
	for _, a := range addresses {
		out = append(out, Exchange{Address: a, Message: n.completeMessage(now, n.table.Request(now, a))})
	}
	return out
}

// completeMessage sets the fields of m that the Table does not fill in.
func (n *Node) completeMessage(now time.Duration, m membership.Message) membership.Message {
	held := n.replica.current.Version()
	m.Revision, m.Digest = held.Revision, shortDigest(held.Digest)
	m.ReadAge = n.scheduler.readAgeMillis(now)
	m.Leaving = n.entry.leaving.nextBatch(now)
	m.Quarantined = n.entry.quarantine.nextBatch(now)
	return m
}

// HandleExchange handles a peer's message and returns the reply.
func (n *Node) HandleExchange(now time.Duration, m *membership.Message) (membership.Message, []Action, error) {
	if err := n.table.Receive(now, m); err != nil {
		return membership.Message{}, nil, err
	}
	out := n.processMessage(now, m.Address.String(), m)
	return n.completeMessage(now, n.table.Reply(now, m)), out, nil
}

// ExchangeDone handles the result of an Exchange; reply is nil if it failed.
func (n *Node) ExchangeDone(now time.Duration, address string, reply *membership.Message) []Action {
	n.table.ExchangeDone(address)
	if reply == nil || n.table.Receive(now, reply) != nil {
		return nil
	}
	if !n.bootstrapped {
		n.bootstrapPeers[address] = true
		n.bootstrapRegions[n.table.Region(reply.Beats[0].Key)] = true
	}
	return n.processMessage(now, address, reply)
}

// processMessage handles the fields of a message that the Table does not read.
func (n *Node) processMessage(now time.Duration, address string, m *membership.Message) []Action {
	if !n.table.Late(now) { // else the read is older than ReadAge
		n.scheduler.observePeerRead(now, m.ReadAge)
	}
	n.entry.leaving.addRemote(now, m.Leaving)
	if n.entry.quarantine.add(now, m.Quarantined) {
		n.entry.requestSync()
	}
	return n.replica.fetchIfNewer(now, address, m.Revision, m.Digest)
}

// HandlePartRequest handles a peer's request for a part of the configuration.
func (n *Node) HandlePartRequest(r PartRequest) (Part, error) { return n.replica.servePart(r) }

// FetchDone handles the result of a Fetch.
func (n *Node) FetchDone(now time.Duration, address string, p *Part, err error) []Action {
	h, complete, out := n.replica.receivePart(now, address, p, err)
	if complete {
		out = append(out, n.Accept(now, h)...)
	}
	return out
}

// Accept handles a configuration that the store has accepted. If its revision is
// above the one held, it is pushed to peers and to the entry at once.
func (n *Node) Accept(now time.Duration, h config.Head) []Action {
	if !n.replica.accept(h) {
		return nil
	}
	n.table.Push()
	n.entry.requestSync()
	return n.Tick(now)
}

// StoreReadDone handles the result of a ReadStore that began at the given time.
// Key is the store revision of the head's key.
func (n *Node) StoreReadDone(now, began time.Duration, h config.Head, key int64, err error) []Action {
	n.scheduler.reading = false
	n.scheduler.readDone(now, began, key, err)
	if err != nil {
		return nil
	}
	n.bootstrapped = true
	return append(n.Accept(now, h), n.replica.restoreIfLost(h, key)...)
}

// StoreWatchDone handles the result of a WatchStore. Key is the store revision of
// the head's key; changed is false if the wait timed out without a change.
func (n *Node) StoreWatchDone(now time.Duration, h config.Head, key int64, changed bool, err error) []Action {
	n.scheduler.watching = false
	if err != nil {
		n.scheduler.nextWatch = now + watchRetryInterval
		return nil
	}
	if !changed {
		return nil
	}
	began := now
	if n.table.Late(now) { // the store may have answered long ago
		began = n.scheduler.lastOwnRead
	}
	n.scheduler.readDone(now, began, key, nil)
	return append(n.Accept(now, h), n.replica.restoreIfLost(h, key)...)
}

// ListDone handles the result of a ListInstances.
func (n *Node) ListDone(now time.Duration, list []store.Instance, err error) {
	n.scheduler.listDone(now, n.table.Live())
	if err != nil {
		return
	}
	seeds := make([]membership.Seed, 0, len(list))
	for _, i := range list {
		seeds = append(seeds, membership.Seed{ID: i.ID, Address: i.Address})
	}
	n.table.SetSeeds(seeds)
}

// EntrySyncDone handles the result of a SyncEntry; st is nil if it failed.
func (n *Node) EntrySyncDone(now time.Duration, st *link.Status) []Action {
	n.entry.finish(now, st)
	n.updateState(now)
	return n.exchangeActions(now, n.table.Tick(now))
}

// Stop begins a planned stop: peers are notified that the entry is leaving, and
// Exit follows once the entry is down.
func (n *Node) Stop(now time.Duration) []Action {
	if n.stopStarted == 0 {
		n.stopStarted = max(now, 1)
	}
	n.updateState(now)
	return n.exchangeActions(now, n.table.Tick(now))
}

// stopComplete reports whether a planned stop is over: the stop began at least
// stopLinger ago and the entry has been down for stopLinger, or stopTimeout has
// passed.
func (n *Node) stopComplete(now time.Duration) bool {
	if n.stopStarted == 0 {
		return false
	}
	lingered := now-n.entry.statusAt >= entryTimeout+stopLinger && now-n.stopStarted >= stopLinger
	return lingered || now-n.stopStarted >= stopTimeout
}

// updateState updates the state of this instance's entry in the Table.
func (n *Node) updateState(now time.Duration) {
	n.updateBootstrapped(now)
	st, live := n.entry.status, n.entry.alive(now)
	s := membership.State{
		Entry: st.Incarnation, Uptime: st.Uptime + now - n.entry.statusAt, Revision: st.Revision, Spare: st.Spare,
		Ready:   live && n.bootstrapped && st.Revision > 0,
		Leaving: st.Leaving || n.stopStarted > 0,
		Store:   n.storeReachable(now),
	}
	n.table.SetState(now, s)
}

// updateBootstrapped sets bootstrapped, after minBootstrapTime, if enough peers
// and one of each known region have replied, or after maxBootstrapTime any peer,
// and no fetch of a newer configuration is in progress. Until then, or until the
// store was read, lookups do not return the instance.
func (n *Node) updateBootstrapped(now time.Duration) {
	if n.bootstrapped || n.replica.fetchPeer != "" || len(n.bootstrapPeers) == 0 || now < minBootstrapTime {
		return
	}
	peers, regions := n.table.Peers()
	enough := len(n.bootstrapPeers) >= min(bootstrapPeerCount, peers) && len(n.bootstrapRegions) >= regions
	n.bootstrapped = enough || now >= maxBootstrapTime
}

// linkState returns the State to send to the entry. It carries the document if the
// entry does not have the newest revision or counts as down.
func (n *Node) linkState(now time.Duration) link.State {
	head := n.Head()
	st := link.State{Revision: head.Revision, Digest: head.Digest}
	n.entry.fillState(now, &st, n.linkMembers(now), n.remoteLeavingUpstreams(now))
	if n.entry.status.Revision != head.Revision || !n.entry.alive(now) {
		st.Document = head.Document
	}
	return st
}

// remoteLeavingUpstreams returns the upstreams that only other entries saw
// leaving.
func (n *Node) remoteLeavingUpstreams(now time.Duration) []string {
	local := n.entry.status.LeavingUpstreams
	return slices.DeleteFunc(n.entry.leaving.activeIDs(now), func(id string) bool { return slices.Contains(local, id) })
}

// linkMembers returns the entries that a lookup may return, and this instance's
// own.
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
