// Package fleet joins the instances: each knows which others live, and holds a
// copy of the store's keys that two of them, the hubs, read for all. Beats go
// as datagrams from every instance to the hubs; what changed is fetched by
// net/rpc. Nothing is agreed upon: instances that take different hubs cost
// further calls of the store, and a copy never goes back. An instance that
// hears no fresh hub reads the store itself.
package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/catkinrouter/catkinrouter/mirror"
	"github.com/catkinrouter/catkinrouter/store"
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
		table: NewTable(opt.Self, opt.Seeds), copy: mirror.New(),
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

// push tells all members at once of a change, where this instance is a hub.
func (f *Fleet) push() {
	if f.table.Rank(f.opt.Now()) < 0 {
		return
	}
	for _, m := range f.table.Live() {
		if m.Address != f.opt.Self.Address {
			f.send(m.Address, 0)
		}
	}
}

// beatLoop sends beats until ctx ends.
func (f *Fleet) beatLoop(ctx context.Context) error {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		t.Reset(f.beatNow())
	}
}

// beatNow sends the beats that are due and returns the time until the next.
func (f *Fleet) beatNow() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opt.Now()
	if b := f.reader.blind(now); b != f.state.Blind {
		f.state.Blind = b
		f.changed()
		level.Info(f.opt.Log).Log("msg", "store access", "blind", b, "copy_age", f.reader.age(now))
	}
	f.sendAll(f.table.Tick(now), 0)
	f.noteHubs(now)
	f.show()
	f.wakeReader()
	if f.copy.Revision() == 0 {
		return firstBeatInterval
	}
	return BeatInterval
}

// noteHubs logs a change of the hubs.
func (f *Fleet) noteHubs(now time.Duration) {
	hubs := ""
	for _, h := range f.table.Hubs(now) {
		hubs += h + " "
	}
	if hubs != f.hubs {
		level.Info(f.opt.Log).Log("msg", "hubs changed", "hubs", hubs, "before", f.hubs, "members", len(f.table.Live()))
		f.hubs = hubs
	}
}

func (f *Fleet) wakeReader() {
	select {
	case f.wake <- struct{}{}:
	default: // it is awake already
	}
}

func (f *Fleet) sendAll(to []string, flags uint8) {
	for _, a := range to {
		f.send(a, flags)
	}
}

// warningsPerSecond bounds the warnings that this instance sends.
const warningsPerSecond = 40

// Warn tells the other instances of a failure at an upstream. Those beyond the
// bound are left out: the upstream is known by then.
func (f *Fleet) Warn(w Warning) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opt.Now()
	if f.conn == nil || !f.warnings.AllowN(time.Unix(0, int64(now)), 1) {
		return
	}
	w.Format = warningFormat
	p := w.encode()
	for _, m := range f.table.Live() {
		if m.Address != f.opt.Self.Address {
			f.write(m.Address, p)
		}
	}
}

// send sends one beat. A lost one is made up for by the next.
func (f *Fleet) send(to string, flags uint8) {
	if f.conn != nil {
		f.write(to, f.own(flags).encode())
	}
}

// write sends a datagram.
func (f *Fleet) write(to string, p []byte) {
	addr, err := netip.ParseAddrPort(to)
	if err != nil {
		level.Warn(f.opt.Log).Log("msg", "peer address can't be read", "address", to, "err", err)
		return
	}
	if _, err := f.conn.WriteToUDPAddrPort(p, addr); err != nil && !errors.Is(err, net.ErrClosed) {
		level.Debug(f.opt.Log).Log("msg", "datagram not sent", "to", to, "err", err)
	}
}

// own returns this instance's beat.
func (f *Fleet) own(flags uint8) beat {
	b := beat{
		Format: beatFormat, Flags: flags, Incarnation: f.opt.Self.Incarnation, Count: f.state.Count,
		Revision: f.copy.Revision(), AgeMillis: noAge, Members: f.table.Version(),
	}
	if f.reader.proven {
		b.AgeMillis = ageMillis(f.reader.age(f.opt.Now()))
	}
	for _, s := range []struct {
		set  bool
		flag uint8
	}{{f.state.Ready, flagReady}, {f.state.Leaving, flagLeaving}, {f.state.Blind, flagBlind}} {
		if s.set {
			b.Flags |= s.flag
		}
	}
	return b
}

// maxDatagram bounds what is read of a datagram, in bytes.
const maxDatagram = 256

// receive takes beats until the socket closes.
func (f *Fleet) receive() error {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := f.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue // the error of an earlier datagram's target
		}
		if w, ok := decodeWarning(buf[:n]); ok {
			f.listen.Warned(f.opt.Now(), w)
			continue
		}
		b, err := decodeBeat(buf[:n])
		if err != nil {
			level.Warn(f.opt.Log).Log("msg", "datagram ignored", "from", from, "err", err)
			continue
		}
		f.heard(from.String(), b)
	}
}

func (f *Fleet) heard(from string, b beat) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opt.Now()
	known := f.table.Heard(now, from, b.Incarnation, State{
		Ready: b.Flags&flagReady != 0, Leaving: b.Flags&flagLeaving != 0, Blind: b.Flags&flagBlind != 0, Count: b.Count,
	})
	if !known {
		delete(f.knows, from) // a new incarnation counts its list anew
	}
	if b.Flags&flagAnswer == 0 {
		flags := uint8(flagAnswer)
		if !known {
			flags |= flagUnknown
		}
		f.send(from, flags)
	}
	if b.AgeMillis != noAge && b.Revision <= f.copy.Revision() && f.copy.Revision() > 0 {
		if at := now - time.Duration(b.AgeMillis)*time.Millisecond; at > f.reader.proof && f.reader.prove(at) {
			f.listen.StoreReturned(now)
		}
	}
	behind := b.Revision > f.copy.Revision() || f.isHub(now, from) && f.knows[from] != b.Members
	if behind || !known || b.Flags&flagUnknown != 0 {
		f.askSync(from)
	}
	f.show()
}

func (f *Fleet) isHub(now time.Duration, address string) bool {
	return slices.Contains(f.table.Hubs(now), address)
}

func (f *Fleet) askSync(from string) {
	if f.syncing[from] {
		return
	}
	select {
	case f.syncCh <- from:
		f.syncing[from] = true
	default: // the ring is full: the next beat asks again
	}
}

// syncLoop fetches from peers what this instance lacks.
func (f *Fleet) syncLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case from := <-f.syncCh:
			f.sync(ctx, from)
		}
	}
}

// syncTimeout bounds a fetch.
const syncTimeout = 600 * time.Millisecond

func (f *Fleet) sync(ctx context.Context, from string) {
	f.mu.Lock()
	args := SyncArgs{Info: f.opt.Self, State: f.state, Revision: f.copy.Revision(), Members: f.knows[from]}
	f.mu.Unlock()
	began := f.opt.Now()
	var reply SyncReply
	err := callPeer(ctx, from, "Peer.Sync", &args, &reply)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.syncing, from)
	if err != nil {
		level.Info(f.opt.Log).Log("msg", "peer not reached", "peer", from, "err", err)
		return
	}
	now := f.opt.Now()
	f.table.Introduce(now, reply.Info, reply.State)
	f.table.Learn(now, reply.Members)
	f.knows[from] = reply.Version
	if reply.Delta.Revision > 0 && reply.Proven {
		f.apply(now, reply.Delta, began-reply.Age, "peer "+from)
	}
	f.show()
}

func callPeer(ctx context.Context, to, method string, args, reply any) error {
	d := net.Dialer{Timeout: syncTimeout}
	conn, err := d.DialContext(ctx, "tcp4", to)
	if err != nil {
		return err
	}
	if err := conn.SetDeadline(time.Now().Add(syncTimeout)); err != nil {
		conn.Close()
		return err
	}
	c := rpc.NewClient(conn)
	defer c.Close()
	return c.Call(method, args, reply)
}

// readLoop reads the store when this instance is to.
func (f *Fleet) readLoop(ctx context.Context) error {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.wake:
		case <-t.C:
		}
		pause := time.Duration(0)
		for pause == 0 && ctx.Err() == nil {
			pause = f.readOnce(ctx)
		}
		t.Reset(pause)
	}
}

// readOnce makes the call that is due, or returns the time until one may be.
func (f *Fleet) readOnce(ctx context.Context) time.Duration {
	f.mu.Lock()
	now := f.opt.Now()
	rank, after := f.table.Rank(now), f.copy.Revision()
	what, wait := f.reader.due(now, rank, after > 0, slices.Contains(f.opt.Seeds, f.opt.Self.Address))
	f.mu.Unlock()
	var d mirror.Delta
	var err error
	switch what {
	case callNone:
		return wait
	case callReadAll:
		d, err = f.source.ReadAll(ctx)
	case callWatch:
		d, err = f.source.Watch(ctx, after, wait)
	}
	f.mu.Lock()
	f.readDone(now, rank, what, d, err)
	f.mu.Unlock()
	f.listHubs(ctx)
	return 0
}

// readDone takes the end of a call that began at the time given.
func (f *Fleet) readDone(began time.Duration, rank int, what call, d mirror.Delta, err error) {
	now := f.opt.Now()
	f.opt.StoreCall(outcomeOf(err))
	if what == callWatch && store.IsKind(err, store.NotFound) {
		level.Info(f.opt.Log).Log("msg", "store history gone, reading all", "revision", f.copy.Revision())
		f.reader.full = true
		return
	}
	failedBefore := f.reader.failing > 0
	f.reader.done(now, rank, err == nil, rand.Float64())
	if err != nil {
		if !failedBefore {
			level.Warn(f.opt.Log).Log("msg", "store lost", "copy_age", f.reader.age(now), "revision", f.copy.Revision(), "err", err)
		}
		return
	}
	proof := now
	if what == callReadAll {
		f.reader.full = false
		proof = began
	}
	f.apply(now, d, proof, "store")
	if what == callWatch && len(d.Items) > 0 {
		f.reader.gather(now, rank)
	}
}

func outcomeOf(err error) string {
	var e *store.Error
	if errors.As(err, &e) {
		return e.Kind.String()
	}
	if err != nil {
		return "failed"
	}
	return "ok"
}
