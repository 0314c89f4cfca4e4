// Package agent is the control process of an instance: configuration,
// membership, peer exchange and the operators' intent API. Its decisions are
// a Node; a Daemon is the thin loop round it, with a goroutine for each duty.
package agent

import (
	"context"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/internal/metrics"
	"github.com/catkinrouter/catkinrouter/link"
	"github.com/catkinrouter/catkinrouter/membership"
	"github.com/catkinrouter/catkinrouter/operator"
	"github.com/catkinrouter/catkinrouter/settings"
	"github.com/catkinrouter/catkinrouter/store"
)

// Bounds of a Daemon.
const (
	maxEvents   = 256
	maxQueue    = 64
	peerWorkers = 8
	readLimit   = 2 * time.Second
	// memoryLimit is the heap that the collector keeps to, in bytes.
	memoryLimit = 24 << 20
	gcPercent   = 50
)

// event is something that happened, for the loop to pass to the Node.
type event func(n *Node, now time.Duration) []Action

// Daemon runs one agent.
type Daemon struct {
	set     Settings
	log     log.Logger
	metrics gometrics.Registry
	store   store.Store
	list    *store.ListClient
	reader  *config.Committer
	started time.Time
	node    *Node // owned by the loop
	events  chan event
	peers   *clients
	entry   *clients
	status  atomic.Pointer[operator.Status]

	// published is when the loop last took a snapshot, with which revision.
	published         time.Duration
	publishedRevision uint64

	// One queue for each duty.
	exchanges chan Action
	reads     chan ReadStore
	watches   chan WatchStore
	lists     chan ListInstances
	syncs     chan SyncEntry
}

// NewDaemon returns a Daemon for checked settings.
func NewDaemon(set Settings, c store.Store, l log.Logger) *Daemon {
	r := gometrics.NewRegistry()
	now := time.Now()
	return &Daemon{
		set: set, log: l, metrics: r, store: c, list: store.NewListClient(set.ListAddress), reader: config.NewCommitter(c), started: now,
		node: NewNode(Options{
			ID: set.ID, DataCentre: set.DataCentre, Region: set.Region, PeerAddress: set.PeerAddress,
			EntryAddress: set.EntryAddress, Incarnation: uint64(now.UnixMilli()), Seed: uint64(now.UnixNano()),
		}),
		events: make(chan event, maxEvents), peers: newClients(r, "peer"), entry: newClients(r, "entry"),
		exchanges: make(chan Action, maxQueue), reads: make(chan ReadStore, 1), watches: make(chan WatchStore, 1),
		lists: make(chan ListInstances, 1), syncs: make(chan SyncEntry, 1),
	}
}

// Run serves until the planned stop that the end of ctx begins is over.
func (d *Daemon) Run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
	oln, err := settings.Listen("operator_address", d.set.OperatorAddress)
	if err != nil {
		return err
	}
	mln, err := settings.Listen("metrics_address", d.set.MetricsAddress)
	if err != nil {
		return err
	}
	pln, err := settings.Listen("peer_address", d.set.PeerAddress)
	if err != nil {
		return err
	}
	srv := &fasthttp.Server{Handler: d.operators(), NoDefaultDate: true, NoDefaultServerHeader: true, CloseOnShutdown: true}
	level.Info(d.log).Log("msg", "serving operators", "address", d.set.OperatorAddress)
	work, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	g, work := errgroup.WithContext(work)
	g.Go(func() error { return srv.Serve(oln) })
	g.Go(func() error { metrics.Serve(mln, d.metrics); return nil })
	g.Go(func() error { return d.servePeers(work, pln) })
	g.Go(func() error { defer end(); return d.loop(work, ctx.Done()) })
	for range peerWorkers {
		g.Go(func() error { return each(work, d.exchanges, d.callPeer) })
	}
	g.Go(func() error { return each(work, d.reads, d.readStore) })
	g.Go(func() error { return each(work, d.watches, d.watchStore) })
	g.Go(func() error { return each(work, d.lists, d.listInstances) })
	g.Go(func() error { return each(work, d.syncs, d.syncEntry) })
	g.Go(func() error {
		<-work.Done()
		mln.Close()
		d.peers.close()
		d.entry.close()
		return srv.Shutdown()
	})
	return g.Wait()
}

// loop owns the Node: it passes events in and hands actions to the duties.
func (d *Daemon) loop(ctx context.Context, stop <-chan struct{}) error {
	t := time.NewTicker(TickInterval)
	defer t.Stop()
	for {
		var out []Action
		select {
		case <-ctx.Done():
			return nil
		case <-stop:
			stop = nil
			level.Info(d.log).Log("msg", "stopping, waiting for the entry to end")
			out = d.node.Stop(d.now())
		case e := <-d.events:
			out = e(d.node, d.now())
		case <-t.C:
			out = d.node.Tick(d.now())
		}
		d.publish()
		for _, a := range out {
			if !d.start(a) {
				return nil
			}
		}
	}
}

func (d *Daemon) now() time.Duration { return time.Since(d.started) }

func (d *Daemon) count(name string) { gometrics.GetOrRegisterCounter(name, d.metrics).Inc(1) }

// post hands an event to the loop; it returns false where the loop is behind.
func (d *Daemon) post(e event) bool {
	select {
	case d.events <- e:
		return true
	default:
		d.count("events.dropped")
		return false
	}
}

// start hands an action to its duty; it returns false for Exit.
func (d *Daemon) start(a Action) bool {
	switch a := a.(type) {
	case Exit:
		return false
	case Exchange:
		if !offer[Action](d.exchanges, a) {
			d.count("peer.dropped.queue")
			d.node.Exchanged(d.now(), a.Address, nil)
		}
	case Fetch:
		if !offer[Action](d.exchanges, a) {
			d.count("peer.dropped.queue")
			d.node.Fetched(d.now(), a.Address, nil, errBusy)
		}
	case ReadStore:
		offer(d.reads, a)
	case WatchStore:
		offer(d.watches, a)
	case ListInstances:
		offer(d.lists, a)
	case SyncEntry:
		offer(d.syncs, a)
	}
	return true
}

func offer[T any](c chan<- T, v T) bool {
	select {
	case c <- v:
		return true
	default:
		return false
	}
}

// each runs f for every value of c until ctx ends.
func each[T any](ctx context.Context, c <-chan T, f func(context.Context, T)) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case v := <-c:
			f(ctx, v)
		}
	}
}

// report hands the end of an action to the loop; it waits, since the Node
// must hear of each.
func (d *Daemon) report(ctx context.Context, e event) {
	select {
	case d.events <- e:
	case <-ctx.Done():
	}
}

func (d *Daemon) callPeer(ctx context.Context, a Action) {
	switch a := a.(type) {
	case Exchange:
		var answer *membership.Message
		var got membership.Message
		if err := d.peers.call(a.Address, exchangeMethod, &a.Message, &got); err != nil {
			d.count("peer.failed.exchange")
		} else {
			answer = &got
		}
		d.report(ctx, func(n *Node, now time.Duration) []Action { return n.Exchanged(now, a.Address, answer) })
	case Fetch:
		var p Part
		err := d.peers.call(a.Address, partMethod, &a.Request, &p)
		if err != nil {
			d.count("peer.failed.fetch")
		}
		d.report(ctx, func(n *Node, now time.Duration) []Action { return n.Fetched(now, a.Address, &p, err) })
	}
}

func (d *Daemon) readStore(ctx context.Context, _ ReadStore) {
	began := d.now()
	bounded, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	d.count("store.reads")
	h, key, err := d.reader.Head(bounded)
	if err != nil {
		d.count("store.failed.read")
	}
	d.report(ctx, func(n *Node, now time.Duration) []Action { return n.StoreRead(now, began, h, key, err) })
}

func (d *Daemon) watchStore(ctx context.Context, w WatchStore) {
	bounded, cancel := context.WithTimeout(ctx, w.Wait)
	defer cancel()
	d.count("store.watches")
	var h config.Head
	v, err := d.store.Watch(bounded, config.HeadKey, w.After)
	changed := err == nil
	if changed {
		h, err = config.DecodeHead(v.Data)
	}
	if store.IsKind(err, store.Unchanged) {
		err = nil // the time passed
	}
	if err != nil {
		d.count("store.failed.watch")
	}
	d.report(ctx, func(n *Node, now time.Duration) []Action { return n.StoreWatched(now, h, v.Revision, changed, err) })
}

func (d *Daemon) listInstances(ctx context.Context, _ ListInstances) {
	bounded, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	d.count("list.reads")
	l, err := d.list.Instances(bounded)
	if err != nil {
		d.count("list.failed")
	}
	d.report(ctx, func(n *Node, now time.Duration) []Action { n.Listed(now, l, err); return nil })
}

func (d *Daemon) syncEntry(ctx context.Context, s SyncEntry) {
	var st *link.Status
	var got link.Status
	if err := d.entry.call(d.set.EntryLink, link.Method, &s.State, &got); err != nil {
		d.count("entry.failed")
		level.Debug(d.log).Log("msg", "entry not reached", "err", err)
	} else {
		st = &got
	}
	d.report(ctx, func(n *Node, now time.Duration) []Action { return n.Synced(now, st) })
}
