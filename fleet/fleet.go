// Package fleet joins the instances: each knows which others live, and holds a
// copy of the store's keys that two of them, the hubs, read for all. Beats go
// as datagrams from every instance to the hubs; what changed is fetched by
// net/rpc, once for each other data centre, by the relay there. Nothing is
// agreed upon: instances that take different hubs or relays cost further calls
// and bytes, and a copy never goes back. An instance that hears no fresh hub
// reads the store itself.
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

// Source is the store, as far as it is copied.
type Source interface {
	// ReadAll reads all keys.
	ReadAll(ctx context.Context) (mirror.Delta, error)
	// Watch waits for changes after a revision; the kind store.NotFound
	// says that this history is gone.
	Watch(ctx context.Context, after int64, wait time.Duration) (mirror.Delta, error)
	// Write writes a key if its revision is the one expected.
	Write(ctx context.Context, key string, value []byte, expect int64) error
}

// Listener takes what the fleet learned. Its methods are called one at a
// time and must not call the Fleet.
type Listener interface {
	// Items takes changed items of the store, with the age of the news.
	Items(now time.Duration, items []mirror.Item, source string)
	// StoreReturned says that the store was away until now.
	StoreReturned(now time.Duration)
	// Members takes the live instances.
	Members(now time.Duration, live []Member)
	// Warned takes another instance's warning.
	Warned(now time.Duration, w Warning)
}

// Options are a Fleet's fixed settings.
type Options struct {
	Self  Info
	Seeds []string
	// ReadFirst lets the instance read the store at its start, without
	// waiting for a peer's copy.
	ReadFirst bool
	// HubsKey is the store's key that tells where the hubs are, for
	// instances whose seeds are gone.
	HubsKey string
	// Now is the clock of the process: the time since its start.
	Now func() time.Duration
	Log log.Logger
	// StoreCall counts a call of the store by its outcome.
	StoreCall func(outcome string)
}

// Fleet is one instance's part in the fleet.
type Fleet struct {
	opt    Options
	source Source
	listen Listener

	mu     sync.Mutex
	table  *Table
	copy   *mirror.Mirror
	reader reader
	state  State
	// knows is the version of each hub's list that was taken.
	knows map[string]uint64
	// behind is when a peer of another data centre first had news that this
	// instance lacks; 0 for none.
	behind time.Duration
	// syncing holds the peers with a fetch under way.
	syncing map[string]bool
	shown   uint64 // version of the list that the Listener has
	hubs    string
	// listed is what the store's key of the hubs says.
	listed hubList

	warnings *rate.Limiter

	conn   *net.UDPConn
	wake   chan struct{}
	syncCh chan string
}

// syncRing bounds the fetches that wait; one that finds no place is asked for
// again with the next beat.
const syncRing = 16

// New returns a Fleet that has heard of nobody.
func New(opt Options, source Source, listen Listener) *Fleet {
	return &Fleet{
		opt: opt, source: source, listen: listen,
		table: NewTable(opt.Self, opt.Seeds), copy: mirror.New(), reader: reader{wanted: opt.ReadFirst},
		warnings: rate.NewLimiter(warningsPerSecond, warningsPerSecond),
		knows:    map[string]uint64{}, syncing: map[string]bool{},
		wake: make(chan struct{}, 1), syncCh: make(chan string, syncRing),
	}
}

// Run takes part in the fleet until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	addr, err := net.ResolveUDPAddr("udp4", f.opt.Self.Address)
	if err != nil {
		return err
	}
	if f.conn, err = net.ListenUDP("udp4", addr); err != nil {
		return err
	}
	ln, err := net.Listen("tcp4", f.opt.Self.Address)
	if err != nil {
		f.conn.Close()
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return f.serve(ln) })
	g.Go(f.receive)
	g.Go(func() error { return f.beatLoop(ctx) })
	g.Go(func() error { return f.readLoop(ctx) })
	g.Go(func() error { return f.syncLoop(ctx) })
	g.Go(func() error {
		<-ctx.Done()
		f.conn.Close()
		ln.Close()
		return nil
	})
	return g.Wait()
}

// Seed adds addresses at which instances may be.
func (f *Fleet) Seed(addresses []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.Seed(addresses)
}

// Want says that callers wait for the first copy of the store: this instance
// then reads it without waiting for a peer's.
func (f *Fleet) Want() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.reader.wanted && f.copy.Revision() == 0 {
		f.reader.wanted = true
		f.wakeReader()
	}
}

// SetState takes this instance's state and tells the hubs at once.
func (f *Fleet) SetState(ready, leaving bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state.Ready == ready && f.state.Leaving == leaving {
		return
	}
	f.state.Ready, f.state.Leaving = ready, leaving
	f.changed()
	f.sendAll(f.table.Tick(f.opt.Now()), 0)
}

// changed makes the own state known as a newer one.
func (f *Fleet) changed() {
	f.state.Count++
	f.table.SetSelf(f.state)
	f.show()
}

// Age returns the time since the copy of the store was known to be complete.
func (f *Fleet) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reader.age(f.opt.Now())
}

// show tells the Listener of the members where they changed.
func (f *Fleet) show() {
	if v := f.table.Version(); v != f.shown {
		f.shown = v
		f.listen.Members(f.opt.Now(), f.table.Live())
	}
}

// apply takes a delta into the copy; it returns false where a full copy is
// needed.
func (f *Fleet) apply(now time.Duration, d mirror.Delta, proof time.Duration, source string) bool {
	changed, ok := f.copy.Apply(d)
	if !ok {
		return false
	}
	f.behind = 0
	if f.reader.prove(proof) {
		level.Info(f.opt.Log).Log("msg", "store regained", "source", source, "revision", f.copy.Revision())
		f.listen.StoreReturned(now)
	}
	if len(changed) > 0 {
		f.takeHubs(changed)
		f.listen.Items(now, changed, source)
		f.push()
	}
	return true
}

// push tells members at once of a change: a hub all, a relay those of its data
// centre.
func (f *Fleet) push() {
	now := f.opt.Now()
	hub, relay := f.table.Rank(now) >= 0, f.table.Relay(now) == f.opt.Self.Address
	for _, m := range f.table.Live() {
		if m.Address != f.opt.Self.Address && (hub || relay && f.table.near(m.Address)) {
			f.send(m.Address, 0)
		}
	}
}

// relayWait is how long an instance that lacks news waits for its data
// centre's relay before it fetches them from another data centre itself.
const relayWait = 500 * time.Millisecond

// fetches tells whether this instance takes news from a peer itself: one of
// its data centre, or any where it is the relay or has waited for it.
func (f *Fleet) fetches(now time.Duration, from string) bool {
	if f.table.near(from) || f.table.Relay(now) == f.opt.Self.Address {
		return true
	}
	return f.behind > 0 && now-f.behind >= relayWait
}
