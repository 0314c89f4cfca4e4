// Package fleet tracks which instances are live and replicates the store's keys
// to all of them, along a tree: two instances, the hubs, read the store; the two
// leaders of each data centre fetch changes from them, and the other instances
// from the leaders of their data centre. Heartbeats are UDP datagrams along the
// same tree; changes are fetched by net/rpc over kept connections. So no
// instance's load grows with the fleet but that of the leaders, which grows with
// their data centre. Leaders and hubs are the instances with the most capacity;
// they are not chosen by consensus: instances that choose different ones only
// cause extra calls and traffic, and a copy never returns to an older revision.
// An instance whose copy is confirmed by no peer reads the store itself.
//
// The tree follows the supernode designs of peer-to-peer systems (B. Yang and
// H. Garcia-Molina, "Designing a super-peer network", 2003) rather than gossip:
// changes must reach all instances within a bounded time.
package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	gometrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/catkinrouter/catkinrouter/internal/panics"
	"github.com/catkinrouter/catkinrouter/mirror"
	"github.com/catkinrouter/catkinrouter/store"
)

// Source reads and writes the replicated part of the store.
type Source interface {
	// ReadAll reads all keys.
	ReadAll(ctx context.Context) (mirror.Delta, error)
	// ReadAllStale reads all keys at a fraction of the cost. The result may be
	// seconds old.
	ReadAllStale(ctx context.Context) (mirror.Delta, error)
	// ReadStale returns the value of a key, which may be seconds old. The error
	// of a missing key has kind store.NotFound.
	ReadStale(ctx context.Context, key string) ([]byte, error)
	// Watch waits for changes after a revision. An error of kind
	// store.NotFound means that the store no longer has this history.
	Watch(ctx context.Context, after store.Revision, wait time.Duration) (mirror.Delta, error)
	// Write writes a key if its current revision equals expect.
	Write(ctx context.Context, key string, value []byte, expect store.Revision) error
}

// Listener receives updates from a Fleet. Its methods must not call the Fleet.
// All but WarningReceived, CrashReported, TokensRequested and TokensGranted are called
// with the Fleet's lock held, hence one at a time; these four are called without it by the
// goroutine that receives datagrams.
type Listener interface {
	// ItemsChanged receives changed items of the store. The source is SourceStore or
	// "peer" with the peer's address.
	ItemsChanged(now time.Duration, items []mirror.Item, source string)
	// StoreRecovered reports the end of an outage of the store.
	StoreRecovered(now time.Duration)
	// ActiveVersion returns the version of the configuration in force, 0 for none.
	ActiveVersion() uint64
	// LostConfiguration returns the configuration in force if the store, having
	// come back from an older copy, holds an older one or none.
	LostConfiguration() (mirror.Item, bool)
	// LostConfigurationReceived receives what LostConfiguration returned at the
	// peer.
	LostConfigurationReceived(it mirror.Item, peer string)
	// MembersChanged receives the fleet as this instance sees it.
	MembersChanged(now time.Duration, v View)
	// WarningReceived receives a warning that another instance sent.
	WarningReceived(now time.Duration, w Warning)
	// CrashReported receives a crash report that another instance sent. It returns true
	// if the request was suspected before.
	CrashReported(now time.Duration, r CrashReport) (suspected bool)
	// TokensRequested receives a request for tokens from the instance at the peer address
	// from and returns the reply. TokensGranted receives a reply.
	TokensRequested(now time.Duration, from string, r TokenRequest) TokenReply
	TokensGranted(now time.Duration, r TokenReply)
	// UnstoredQuarantine returns what this instance knows of requests that crash
	// upstreams if the store lacks some of it, else nil.
	UnstoredQuarantine() []byte
	// QuarantineReceived receives what UnstoredQuarantine returned at the peer.
	QuarantineReceived(value []byte, peer string)
}

// Options holds the fixed settings of a Fleet.
type Options struct {
	Self  Info
	Seeds []string
	// FirstStart is set when the whole system starts for the first time: no
	// callers wait yet, so the seeds read the store for all. An instance that
	// starts later receives traffic and needs a copy at once.
	FirstStart bool
	// DirectoryKey is the store key that holds the addresses of leaders, for
	// instances that start or cannot reach any of their seeds.
	DirectoryKey string
	// MaxCopyAge is the age of the copy from which an instance reads the store
	// itself; 0 stands for defaultMaxCopyAge.
	MaxCopyAge time.Duration
	// MaxProvenAge is the CopyAge from which an instance reads the store itself; 0 sets no
	// limit.
	MaxProvenAge time.Duration
	// WatchWait is the longest time between two replies of the store to a hub; 0 stands
	// for watchWait.
	WatchWait time.Duration
	// Now returns the time since the process started, Elapsed the same with the time for
	// which the machine was suspended, which Now does not count; Now if nil.
	Now     func() time.Duration
	Elapsed func() time.Duration
	// Jitter returns random numbers between 0 and 1; rand.Float64 if nil.
	Jitter func() float64
	Log    log.Logger
	// Guard runs what peers' messages and the store's answers cause.
	Guard panics.Guard
	// Metrics counts the peer connections that could not be accepted.
	Metrics gometrics.Registry
	// OnStoreCall is called with the outcome of each call to the store.
	OnStoreCall func(outcome string)
}

// Fleet runs membership and replication for one instance.
type Fleet struct {
	opt      Options
	source   Source
	listener Listener

	mu     sync.Mutex
	table  *Table
	copy   *mirror.Mirror
	reader reader
	state  State
	// memberVersions maps a peer's address to the version of its member list
	// that was last merged.
	memberVersions map[string]uint64
	// listSources holds the peers whose member lists are fetched.
	listSources []string
	// publishedVersion is the version of the member list in heartbeats. It
	// follows the table's once per tick, so that many changes cause one sync.
	publishedVersion uint64
	// behindSince is when a peer first reported a revision newer than the
	// copy; 0 for none since the last applied delta.
	behindSince time.Duration
	// syncing holds the peers with a sync queued or in flight, by the time at
	// which it was queued.
	syncing         map[string]time.Duration
	notifiedVersion uint64 // version of the member list last passed to the Listener
	// notifiedAllocators is the version of the leaders last passed to the Listener.
	notifiedAllocators uint64
	// notifiedStored is the number of instances in the directory last passed to the Listener.
	notifiedStored int
	live           int // number of live instances
	loggedRoles    string
	// storedDirectory is the directory read from the store.
	storedDirectory directory
	packed          packedDeltas
	counts          Status // only the counters are set
	// suspended is the suspension of the machine since the start that the copy's age
	// includes.
	suspended time.Duration
	// aliveAt is the time of the last tick, resumedAt when this process was last seen to
	// have stood still, both by Options.Elapsed; 0 for never.
	aliveAt, resumedAt time.Duration
	late               lateHeartbeats // since the last tick
	// synced is set once a sync with a peer has ended. peersVersion is the newest version of
	// a configuration that a peer has said to be in force there.
	synced       bool
	peersVersion uint64
	// proof is when the copy was last proven complete, published its copy for CopyAge, nil
	// until the first copy counts.
	proof     proof
	published atomic.Pointer[proof]

	warningLimiter, forwardLimiter *rate.Limiter
	crashReports, crashForwards    crashLimiter

	// send sends a datagram; it does nothing before Run.
	send    func(to string, p []byte)
	peers   *peerClients
	wake    chan struct{}
	tickNow chan struct{}
	syncs   syncQueues
	// namedLeaders holds the leaders of this data centre that the directory named
	// at the start.
	namedLeaders []string
}

// New returns a Fleet that knows only this instance and the seed addresses.
func New(opt Options, source Source, listener Listener) *Fleet {
	if opt.MaxCopyAge == 0 {
		opt.MaxCopyAge = defaultMaxCopyAge
	}
	if opt.Metrics == nil {
		opt.Metrics = gometrics.NewRegistry()
	}
	if opt.Jitter == nil {
		opt.Jitter = rand.Float64
	}
	if opt.Elapsed == nil {
		opt.Elapsed = opt.Now
	}
	f := &Fleet{
		opt: opt, source: source, listener: listener,
		table: NewTable(opt.Self, opt.Seeds), copy: mirror.New(), reader: reader{maxAge: opt.MaxCopyAge, maxProvenAge: opt.MaxProvenAge, watchWait: opt.WatchWait},
		warningLimiter: rate.NewLimiter(maxWarningsPerSecond, maxWarningsPerSecond),
		forwardLimiter: rate.NewLimiter(maxForwardsPerSecond, maxForwardsPerSecond),
		crashReports:   newCrashLimiter(maxCrashReportsPerSecond), crashForwards: newCrashLimiter(maxCrashForwardsPerSecond),
		send:           func(string, []byte) {},
		memberVersions: map[string]uint64{}, syncing: map[string]time.Duration{}, live: 1,
		peers: newPeerClients(), wake: make(chan struct{}, 1), tickNow: make(chan struct{}, 1), syncs: newSyncQueues(),
	}
	f.reader.start(opt.FirstStart, slices.Contains(opt.Seeds, opt.Self.Address), opt.DirectoryKey != "", opt.Jitter())
	return f
}

// Run exchanges state with the peers over sockets until ctx ends, and closes
// them.
func (f *Fleet) Run(ctx context.Context, sockets *Sockets) error {
	f.mu.Lock()
	f.send = func(to string, p []byte) { f.sendUDP(sockets.udp, to, p) }
	f.mu.Unlock()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return f.serve(ctx, sockets.tcp) })
	g.Go(func() error { return f.receive(sockets.udp) })
	g.Go(func() error { return f.heartbeatLoop(ctx) })
	g.Go(func() error { return f.readLoop(ctx) })
	for _, queue := range f.syncs {
		for range syncWorkers {
			g.Go(func() error { return f.syncLoop(ctx, queue) })
		}
	}
	g.Go(func() error {
		<-ctx.Done()
		sockets.Close()
		f.peers.close()
		return nil
	})
	return g.Wait()
}

// AddSeeds adds addresses to contact as possible instances.
func (f *Fleet) AddSeeds(addresses []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.AddSeeds(f.opt.Now(), addresses)
}

// RequestCopy makes the instance read the store at once if it has no copy yet,
// since callers are waiting for it; it no longer waits for a peer's copy at the
// first start of the fleet.
func (f *Fleet) RequestCopy() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.opt.FirstStart && f.copy.Revision() == 0 {
		f.reader.firstReadAt = 0
		f.wakeReader()
	}
}

// SetState sets this instance's state and, if it changed, sends heartbeats with
// it at once.
func (f *Fleet) SetState(ready, leaving bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state.Ready == ready && f.state.Leaving == leaving {
		return
	}
	f.state.Ready, f.state.Leaving = ready, leaving
	f.stateChanged()
	f.sendHeartbeats(f.table.Tick(f.opt.Now()), 0)
}

// stateChanged numbers the changed state of this instance as the newest one and
// records it in the table.
func (f *Fleet) stateChanged() {
	f.state.Count++
	f.table.SetSelf(f.state)
	f.notifyMembers()
}

// notifyMembers passes the view of the fleet to the Listener if it changed.
func (f *Fleet) notifyMembers() {
	allocators := f.table.allocatorsVersion(f.opt.Now()) // may change the table's version
	stored := f.storedDirectory.Live
	if v := f.table.Version(); v != f.notifiedVersion || allocators != f.notifiedAllocators || stored != f.notifiedStored {
		f.notifiedVersion, f.notifiedAllocators, f.notifiedStored = v, allocators, stored
		view := f.table.View()
		f.live = view.Live()
		view.Allocators, view.Stored = f.table.allocators(f.opt.Now()), stored
		f.listener.MembersChanged(f.opt.Now(), view)
	}
}

// SourceStore is the source, for Listener.ItemsChanged, of changes that this
// instance read from the store itself.
const SourceStore = "store"

// apply merges a delta into the copy, which is then complete as of confirmedAt, and proven
// complete as of provenAt, both by Options.Elapsed. It returns false if the delta leaves a gap,
// so that a full copy is needed. What is new, and each confirmation by the store, is told to the
// instances that rely on this one.
func (f *Fleet) apply(now time.Duration, d mirror.Delta, confirmedAt, provenAt time.Duration, source string) bool {
	before := f.copy.Revision()
	first := before == 0
	changed, ok := f.copy.Apply(d)
	if !ok {
		return false
	}
	f.behindSince = 0
	restored := !first && f.copy.Revision().Epoch() > before.Epoch()
	if restored {
		level.Warn(f.opt.Log).Log("msg", "store came back from an older copy", "source", source, "revision_before", before, "revision", f.copy.Revision())
	}
	if f.confirm(confirmedAt) || restored {
		level.Info(f.opt.Log).Log("msg", "store recovered", "source", source, "revision", f.copy.Revision())
		f.listener.StoreRecovered(now)
	}
	if first {
		level.Info(f.opt.Log).Log("msg", "first copy of the store", "source", source, "revision", f.copy.Revision(), "items", len(d.Items))
	}
	if len(changed) > 0 {
		f.applyDirectory(changed)
		f.listener.ItemsChanged(now, changed, source)
	}
	f.proof.prove(provenAt)
	f.publishProof()
	if len(changed) > 0 || first || source == SourceStore {
		f.sendHeartbeats(f.table.receivers(now), 0)
	}
	return true
}

// leaderWait is how long an instance waits for a leader of its data centre to
// bring a change before it fetches it from another data centre itself.
const leaderWait = 500 * time.Millisecond

// shouldFetchFrom reports whether this instance fetches changes from the peer:
// if the peer is in the same data centre, if this instance is a leader, or if it
// has waited for its leaders long enough.
func (f *Fleet) shouldFetchFrom(now time.Duration, from string) bool {
	if f.table.sameDataCentre(from) || f.table.IsLeader(now) {
		return true
	}
	return f.behindSince > 0 && now-f.behindSince >= leaderWait
}
