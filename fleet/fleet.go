// Package fleet tracks which instances are live and replicates the store's
// keys to all of them. Two instances, the hubs, read the store on behalf of
// the others. Every instance sends heartbeats to the hubs as UDP datagrams;
// changes are then fetched by net/rpc, once for each other data centre, by the
// relay of that data centre. Hubs and relays are not chosen by consensus:
// instances that choose different ones only cause extra calls and traffic, and
// a copy never returns to an older revision. An instance that receives no
// recent confirmation of its copy reads the store itself.
package fleet

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/catkinrouter/catkinrouter/mirror"
)

// Source reads and writes the replicated part of the store.
type Source interface {
	// ReadAll reads all keys.
	ReadAll(ctx context.Context) (mirror.Delta, error)
	// Watch waits for changes after a revision. An error of kind
	// store.NotFound means that the store no longer has this history.
	Watch(ctx context.Context, after int64, wait time.Duration) (mirror.Delta, error)
	// Write writes a key if its current revision equals expect.
	Write(ctx context.Context, key string, value []byte, expect int64) error
}

// Listener receives updates from a Fleet. Its methods must not call the Fleet.
// All but WarningReceived are called with the Fleet's lock held, hence one at a
// time; WarningReceived is called without it by the goroutine that receives
// datagrams.
type Listener interface {
	// ItemsChanged receives changed items of the store. The source is "store" or
	// "peer" with the peer's address.
	ItemsChanged(now time.Duration, items []mirror.Item, source string)
	// StoreRecovered reports the end of an outage of the store.
	StoreRecovered(now time.Duration)
	// MembersChanged receives the live instances.
	MembersChanged(now time.Duration, live []Member)
	// WarningReceived receives a warning that another instance sent.
	WarningReceived(now time.Duration, w Warning)
}

// Options holds the fixed settings of a Fleet.
type Options struct {
	Self  Info
	Seeds []string
	// ReadAtStart makes the instance read the store at startup, without
	// waiting for a peer's copy.
	ReadAtStart bool
	// HubsKey is the store key that holds the addresses of hubs, for
	// instances that cannot reach any of their seeds.
	HubsKey string
	// Now returns the time since the process started.
	Now func() time.Duration
	Log log.Logger
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
	// behindSince is when a peer first reported a revision newer than the
	// copy; 0 for none since the last applied delta.
	behindSince time.Duration
	// syncing holds the peers with a sync queued or in flight.
	syncing         map[string]bool
	notifiedVersion uint64 // version of the member list last passed to the Listener
	loggedHubs      string
	// storedHubs is the hub list read from the store.
	storedHubs hubList

	warningLimiter *rate.Limiter

	conn      *net.UDPConn
	wake      chan struct{}
	syncQueue chan string
}

// syncQueueSize bounds the queued syncs. One that does not fit is dropped and
// queued again on the peer's next heartbeat.
const syncQueueSize = 16

// New returns a Fleet that knows only this instance and the seed addresses.
func New(opt Options, source Source, listener Listener) *Fleet {
	return &Fleet{
		opt: opt, source: source, listener: listener,
		table: NewTable(opt.Self, opt.Seeds), copy: mirror.New(), reader: reader{skipPeerWait: opt.ReadAtStart},
		warningLimiter: rate.NewLimiter(maxWarningsPerSecond, maxWarningsPerSecond),
		memberVersions: map[string]uint64{}, syncing: map[string]bool{},
		wake: make(chan struct{}, 1), syncQueue: make(chan string, syncQueueSize),
	}
}

// Run exchanges state with the peers over sockets until ctx ends, and closes
// them.
func (f *Fleet) Run(ctx context.Context, sockets *Sockets) error {
	f.mu.Lock()
	f.conn = sockets.udp
	f.mu.Unlock()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return f.serve(sockets.tcp) })
	g.Go(f.receive)
	g.Go(func() error { return f.heartbeatLoop(ctx) })
	g.Go(func() error { return f.readLoop(ctx) })
	g.Go(func() error { return f.syncLoop(ctx) })
	g.Go(func() error {
		<-ctx.Done()
		sockets.Close()
		return nil
	})
	return g.Wait()
}

// AddSeeds adds addresses to contact as possible instances.
func (f *Fleet) AddSeeds(addresses []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.AddSeeds(addresses)
}

// RequestCopy makes the instance read the store at once if it has no copy yet,
// since callers are waiting for it; it no longer waits for a peer's copy.
func (f *Fleet) RequestCopy() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.reader.skipPeerWait && f.copy.Revision() == 0 {
		f.reader.skipPeerWait = true
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

// CopyAge returns the time since the copy of the store was last confirmed
// complete, or since the process started if it never was.
func (f *Fleet) CopyAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reader.age(f.opt.Now())
}

// notifyMembers passes the live members to the Listener if the list changed.
func (f *Fleet) notifyMembers() {
	if v := f.table.Version(); v != f.notifiedVersion {
		f.notifiedVersion = v
		f.listener.MembersChanged(f.opt.Now(), f.table.Live())
	}
}

// apply merges a delta into the copy, which is then complete as of confirmedAt.
// It returns false if the delta leaves a gap, so that a full copy is needed.
func (f *Fleet) apply(now time.Duration, d mirror.Delta, confirmedAt time.Duration, source string) bool {
	changed, ok := f.copy.Apply(d)
	if !ok {
		return false
	}
	f.behindSince = 0
	if f.reader.confirm(confirmedAt) {
		level.Info(f.opt.Log).Log("msg", "store recovered", "source", source, "revision", f.copy.Revision())
		f.listener.StoreRecovered(now)
	}
	if len(changed) > 0 {
		f.applyHubList(changed)
		f.listener.ItemsChanged(now, changed, source)
		f.pushHeartbeats()
	}
	return true
}

// pushHeartbeats announces a change of the copy by heartbeats at once: a hub to
// all members, a relay to those of its data centre.
func (f *Fleet) pushHeartbeats() {
	now := f.opt.Now()
	hub, relay := f.table.HubRank(now) >= 0, f.table.Relay(now) == f.opt.Self.Address
	for _, m := range f.table.Live() {
		if m.Address != f.opt.Self.Address && (hub || relay && f.table.sameDataCentre(m.Address)) {
			f.sendHeartbeat(m.Address, 0)
		}
	}
}

// relayWait is how long an instance waits for its data centre's relay to bring
// a change before it fetches it from another data centre itself.
const relayWait = 500 * time.Millisecond

// shouldFetchFrom reports whether this instance fetches changes from the peer:
// if the peer is in the same data centre, if this instance is the relay of its
// data centre, or if it has waited for the relay long enough.
func (f *Fleet) shouldFetchFrom(now time.Duration, from string) bool {
	if f.table.sameDataCentre(from) || f.table.Relay(now) == f.opt.Self.Address {
		return true
	}
	return f.behindSince > 0 && now-f.behindSince >= relayWait
}
