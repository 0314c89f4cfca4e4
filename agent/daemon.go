// Package agent implements the control process of an instance: configuration,
// membership, exchange with peers and the operators' intent API. A Node makes
// the decisions and does no I/O; a Daemon runs the Node in an event loop and
// performs its actions in worker goroutines.
package agent

import (
	"context"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/internal/connlimit"
	"github.com/catkinrouter/catkinrouter/internal/metrics"
	"github.com/catkinrouter/catkinrouter/link"
	"github.com/catkinrouter/catkinrouter/membership"
	"github.com/catkinrouter/catkinrouter/operator"
	"github.com/catkinrouter/catkinrouter/settings"
	"github.com/catkinrouter/catkinrouter/store"
)

// Queue sizes, timeouts and memory bounds of a Daemon.
const (
	eventQueueSize = 256
	peerQueueSize  = 64
	// peerWorkers is the number of concurrent calls to peers.
	peerWorkers = 8
	// platformReadTimeout bounds one read of the store or the instance list.
	platformReadTimeout = 2 * time.Second
	// memoryLimitBytes is the soft memory limit of the Go runtime.
	memoryLimitBytes = 24 << 20
	// gcPercent is the heap growth, in percent, that starts a garbage
	// collection.
	gcPercent = 50
)

// event calls the Node about something that happened. The event loop runs it.
type event func(n *Node, now time.Duration) []Action

// Daemon runs one agent.
type Daemon struct {
	cfg          Settings
	log          log.Logger
	metrics      gometrics.Registry
	store        store.Store
	listClient   *store.ListClient
	headReader   *config.Committer
	started      time.Time
	node         *Node // owned by the event loop
	events       chan event
	peerClients  *clientPool
	entryClients *clientPool
	status       atomic.Pointer[operator.Status]

	// publishedAt and publishedRevision are the time of the last status
	// snapshot and the entry's revision in it.
	publishedAt       time.Duration
	publishedRevision uint64

	// Queues of pending actions by kind, each with its own workers.
	peerCalls    chan Action
	storeReads   chan ReadStore
	storeWatches chan WatchStore
	headWrites   chan RestoreHead
	listReads    chan ListInstances
	entrySyncs   chan SyncEntry
}

// NewDaemon returns a Daemon for cfg, whose Check must have passed, and the
// platform's store.
func NewDaemon(cfg Settings, c store.Store, l log.Logger) *Daemon {
	r := gometrics.NewRegistry()
	now := time.Now()
	return &Daemon{
		cfg: cfg, log: l, metrics: r, store: c, listClient: store.NewListClient(cfg.ListAddress), headReader: config.NewCommitter(c), started: now,
		node: NewNode(Options{
			ID: cfg.ID, DataCentre: cfg.DataCentre, Region: cfg.Region, PeerAddress: cfg.PeerAddress,
			EntryAddress: cfg.EntryAddress, Incarnation: uint64(now.UnixMilli()), Seed: uint64(now.UnixNano()),
		}),
		events: make(chan event, eventQueueSize), peerClients: newClientPool(r, "peer"), entryClients: newClientPool(r, "entry"),
		peerCalls: make(chan Action, peerQueueSize), storeReads: make(chan ReadStore, 1), storeWatches: make(chan WatchStore, 1),
		headWrites: make(chan RestoreHead, 1), listReads: make(chan ListInstances, 1), entrySyncs: make(chan SyncEntry, 1),
	}
}

// Run serves until ctx is cancelled and the planned stop that this starts is
// complete.
func (d *Daemon) Run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimitBytes)
	oln, err := settings.Listen("operator_address", d.cfg.OperatorAddress)
	if err != nil {
		return err
	}
	mln, err := settings.Listen("metrics_address", d.cfg.MetricsAddress)
	if err != nil {
		return err
	}
	pln, err := settings.Listen("peer_address", d.cfg.PeerAddress)
	if err != nil {
		return err
	}
	srv := &fasthttp.Server{Handler: d.operatorHandler(), NoDefaultDate: true, NoDefaultServerHeader: true, CloseOnShutdown: true}
	level.Info(d.log).Log("msg", "serving the operator API", "address", d.cfg.OperatorAddress)
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, workCtx := errgroup.WithContext(workCtx)
	g.Go(func() error { return srv.Serve(d.retrying(oln, "operator")) })
	g.Go(func() error { metrics.ServeJSON(d.retrying(mln, "metrics"), d.metrics); return nil })
	g.Go(func() error { return d.servePeers(workCtx, d.retrying(pln, "peers")) })
	g.Go(func() error { defer cancel(); return d.loop(workCtx, ctx.Done()) })
	for range peerWorkers {
		g.Go(func() error { return consume(workCtx, d.peerCalls, d.callPeer) })
	}
	g.Go(func() error { return consume(workCtx, d.storeReads, d.readStore) })
	g.Go(func() error { return consume(workCtx, d.storeWatches, d.watchStore) })
	g.Go(func() error { return consume(workCtx, d.headWrites, d.restoreHead) })
	g.Go(func() error { return consume(workCtx, d.listReads, d.listInstances) })
	g.Go(func() error { return consume(workCtx, d.entrySyncs, d.syncEntry) })
	g.Go(func() error {
		<-workCtx.Done()
		mln.Close()
		d.peerClients.close()
		d.entryClients.close()
		return srv.Shutdown()
	})
	return g.Wait()
}

// retrying returns a listener on ln that goes on when an accept fails.
func (d *Daemon) retrying(ln net.Listener, name string) net.Listener {
	return connlimit.NewListener(ln, name, nil, d.log, d.metrics)
}

// loop is the event loop, which owns the Node: it passes events to the Node and
// dispatches the resulting actions. It returns when ctx ends or the Node exits;
// the end of stop starts a planned stop.
func (d *Daemon) loop(ctx context.Context, stop <-chan struct{}) error {
	t := time.NewTicker(TickInterval)
	defer t.Stop()
	for {
		var actions []Action
		select {
		case <-ctx.Done():
			return nil
		case <-stop:
			stop = nil
			level.Info(d.log).Log("msg", "planned stop started, waiting for the entry to exit")
			actions = d.node.Stop(d.now())
		case e := <-d.events:
			actions = e(d.node, d.now())
		case <-t.C:
			actions = d.node.Tick(d.now())
		}
		d.publishStatus()
		for _, a := range actions {
			if !d.dispatch(a) {
				return nil
			}
		}
	}
}

func (d *Daemon) now() time.Duration { return time.Since(d.started) }

func (d *Daemon) incCounter(name string) { gometrics.GetOrRegisterCounter(name, d.metrics).Inc(1) }

// tryPost queues e for the event loop. It drops e and returns false if the queue
// is full.
func (d *Daemon) tryPost(e event) bool {
	select {
	case d.events <- e:
		return true
	default:
		d.incCounter("events.dropped")
		return false
	}
}

// dispatch queues a for the workers of its kind. It returns false for Exit. If
// the queue is full, a call to a peer fails at once; the Node has at most one
// action of each other kind in flight, so those queues hold one.
func (d *Daemon) dispatch(a Action) bool {
	switch a := a.(type) {
	case Exit:
		return false
	case Exchange:
		if !tryEnqueue[Action](d.peerCalls, a) {
			d.incCounter("peer.dropped.queue")
			d.node.ExchangeDone(d.now(), a.Address, nil)
		}
	case Fetch:
		if !tryEnqueue[Action](d.peerCalls, a) {
			d.incCounter("peer.dropped.queue")
			d.node.FetchDone(d.now(), a.Address, nil, errBusy)
		}
	case ReadStore:
		tryEnqueue(d.storeReads, a)
	case WatchStore:
		tryEnqueue(d.storeWatches, a)
	case RestoreHead:
		tryEnqueue(d.headWrites, a)
	case ListInstances:
		tryEnqueue(d.listReads, a)
	case SyncEntry:
		tryEnqueue(d.entrySyncs, a)
	}
	return true
}

func tryEnqueue[T any](c chan<- T, v T) bool {
	select {
	case c <- v:
		return true
	default:
		return false
	}
}

// consume calls f for each value of c until ctx ends.
func consume[T any](ctx context.Context, c <-chan T, f func(context.Context, T)) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case v := <-c:
			f(ctx, v)
		}
	}
}

// postResult queues the result of an action for the event loop. It blocks while
// the queue is full, because the Node must learn of each result.
func (d *Daemon) postResult(ctx context.Context, e event) {
	select {
	case d.events <- e:
	case <-ctx.Done():
	}
}

func (d *Daemon) callPeer(ctx context.Context, a Action) {
	switch a := a.(type) {
	case Exchange:
		var reply *membership.Message
		var received membership.Message
		if err := d.peerClients.call(a.Address, exchangeMethod, &a.Message, &received); err != nil {
			d.incCounter("peer.failed.exchange")
		} else {
			reply = &received
		}
		d.postResult(ctx, func(n *Node, now time.Duration) []Action { return n.ExchangeDone(now, a.Address, reply) })
	case Fetch:
		var p Part
		err := d.peerClients.call(a.Address, partMethod, &a.Request, &p)
		if err != nil {
			d.incCounter("peer.failed.fetch")
		}
		d.postResult(ctx, func(n *Node, now time.Duration) []Action { return n.FetchDone(now, a.Address, &p, err) })
	}
}

func (d *Daemon) readStore(ctx context.Context, _ ReadStore) {
	began := d.now()
	bounded, cancel := context.WithTimeout(ctx, platformReadTimeout)
	defer cancel()
	d.incCounter("store.reads")
	h, key, err := d.headReader.Head(bounded)
	if err != nil {
		d.incCounter("store.failed.read")
	}
	d.postResult(ctx, func(n *Node, now time.Duration) []Action { return n.StoreReadDone(now, began, h, key, err) })
}

func (d *Daemon) watchStore(ctx context.Context, w WatchStore) {
	bounded, cancel := context.WithTimeout(ctx, w.Wait)
	defer cancel()
	d.incCounter("store.watches")
	var h config.Head
	v, err := d.store.Watch(bounded, config.HeadKey, w.After)
	changed := err == nil
	if changed {
		h, err = config.DecodeHead(v.Data)
	}
	if store.IsKind(err, store.Unchanged) {
		err = nil // the wait timed out without a change
	}
	if err != nil {
		d.incCounter("store.failed.watch")
	}
	d.postResult(ctx, func(n *Node, now time.Duration) []Action { return n.StoreWatchDone(now, h, v.Revision, changed, err) })
}

// restoreHead writes a head that the store has lost back to it. A conflict means
// that another agent did, or that a plan was confirmed meanwhile.
func (d *Daemon) restoreHead(ctx context.Context, r RestoreHead) {
	bounded, cancel := context.WithTimeout(ctx, platformReadTimeout)
	defer cancel()
	d.incCounter("store.head.restores")
	err := d.headReader.Restore(bounded, r.Head, r.Expect)
	if err != nil && !store.IsKind(err, store.Conflict) {
		d.incCounter("store.failed.head.restore")
	}
	level.Warn(d.log).Log("msg", "configuration written back to the store, which had lost it", "revision", r.Head.Revision, "err", err)
}

func (d *Daemon) listInstances(ctx context.Context, _ ListInstances) {
	bounded, cancel := context.WithTimeout(ctx, platformReadTimeout)
	defer cancel()
	d.incCounter("list.reads")
	l, malformed, err := d.listClient.Instances(bounded)
	if err != nil {
		d.incCounter("list.failed")
	}
	d.malformedInstances(malformed)
	d.postResult(ctx, func(n *Node, now time.Duration) []Action { n.ListDone(now, l, err); return nil })
}

// malformedInstances counts and logs the entries of the platform's list that were ignored.
func (d *Daemon) malformedInstances(malformed []*store.MalformedInstance) {
	for range malformed {
		d.incCounter("list.malformed")
	}
	if len(malformed) > 0 {
		level.Warn(d.log).Log("msg", "entries of the platform's list of instances ignored", "entries", len(malformed), "first", malformed[0])
	}
}

func (d *Daemon) syncEntry(ctx context.Context, s SyncEntry) {
	var st *link.Status
	var received link.Status
	if err := d.entryClients.call(d.cfg.EntryLink, link.SyncMethod, &s.State, &received); err != nil {
		d.incCounter("entry.failed")
		level.Debug(d.log).Log("msg", "sync with entry failed", "err", err)
	} else {
		st = &received
	}
	d.postResult(ctx, func(n *Node, now time.Duration) []Action { return n.EntrySyncDone(now, st) })
}
