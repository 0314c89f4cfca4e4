package fleet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/catkinrouter/catkinrouter/mirror"
	"github.com/catkinrouter/catkinrouter/store"
)

// fakeStore is a Source that can fail for some instances.
type fakeStore struct {
	mu      sync.Mutex
	items   []mirror.Item
	rev     int64
	changed chan struct{}
	calls   int
	down    map[string]bool
	lost    int64 // history up to this revision is gone
}

func newFakeStore() *fakeStore {
	return &fakeStore{changed: make(chan struct{}), down: map[string]bool{}}
}

func (s *fakeStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.items = append(s.items, mirror.Item{Key: key, Value: []byte(value), Revision: s.rev})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) set(do func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do()
}

// client is the store as one instance sees it.
type client struct {
	s  *fakeStore
	id string
}

func (c client) begin() error {
	c.s.calls++
	if c.s.down[c.id] || c.s.down["*"] {
		return &store.Error{Kind: store.Unavailable}
	}
	return nil
}

func (c client) ReadAll(context.Context) (mirror.Delta, error) {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if err := c.begin(); err != nil {
		return mirror.Delta{}, err
	}
	newest := map[string]mirror.Item{}
	for _, it := range c.s.items {
		newest[it.Key] = it
	}
	d := mirror.Delta{Full: true, Revision: max(1, c.s.rev)}
	for _, it := range newest {
		d.Items = append(d.Items, it)
	}
	return d, nil
}

func (c client) Watch(ctx context.Context, after int64, wait time.Duration) (mirror.Delta, error) {
	timeout := time.After(wait)
	for {
		c.s.mu.Lock()
		err := c.begin()
		if err == nil && after < c.s.lost {
			err = &store.Error{Kind: store.NotFound}
		}
		d := mirror.Delta{Base: after, Revision: max(after, c.s.rev)}
		for _, it := range c.s.items {
			if it.Revision > after {
				d.Items = append(d.Items, it)
			}
		}
		changed := c.s.changed
		c.s.mu.Unlock()
		if err != nil || len(d.Items) > 0 {
			return d, err
		}
		select {
		case <-changed:
		case <-timeout:
			return d, nil
		case <-ctx.Done():
			return d, ctx.Err()
		}
	}
}

func (c client) Write(_ context.Context, key string, value []byte, expect int64) error {
	c.s.mu.Lock()
	err := c.begin()
	for _, it := range c.s.items {
		if err == nil && it.Key == key && it.Revision > expect {
			err = &store.Error{Kind: store.Conflict}
		}
	}
	c.s.mu.Unlock()
	if err == nil {
		c.s.put(key, string(value))
	}
	return err
}

// learned is a Listener that keeps what it heard.
type learned struct {
	mu       sync.Mutex
	values   map[string]string
	live     int
	returned int
	warned   []Warning
}

func (l *learned) Items(_ time.Duration, items []mirror.Item, _ string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, it := range items {
		l.values[it.Key] = string(it.Value)
	}
}

func (l *learned) StoreReturned(time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.returned++
}

func (l *learned) Members(_ time.Duration, live []Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.live = len(live)
}

func (l *learned) Warned(_ time.Duration, w Warning) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.warned = append(l.warned, w)
}

func (l *learned) value(key string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.values[key]
}

// instance is a Fleet in this process.
type instance struct {
	*learned
	f    *Fleet
	id   string
	stop context.CancelFunc
	done chan error
}

func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func start(t *testing.T, s *fakeStore, address string, seeds ...string) *instance {
	t.Helper()
	began := time.Now()
	in := &instance{learned: &learned{values: map[string]string{}}, id: address, done: make(chan error, 1)}
	ctx, stop := context.WithCancel(context.Background())
	in.stop = stop
	in.f = New(Options{
		Self: Info{Address: address, DataAddress: address, DataCentre: "ibarra", Incarnation: uint64(began.UnixNano())}, Seeds: seeds, HubsKey: "hubs",
		Now: func() time.Duration { return time.Since(began) }, Log: log.NewNopLogger(), StoreCall: func(string) {},
	}, client{s, address}, in.learned)
	go func() { in.done <- in.f.Run(ctx) }()
	return in
}

func (in *instance) end(t *testing.T) {
	t.Helper()
	in.stop()
	if err := <-in.done; err != nil {
		t.Errorf("%s ended with %v", in.id, err)
	}
}

// eventually waits until what holds, without a bound of its own: the test's
// timeout is the bound.
func eventually(t *testing.T, what func() bool) {
	t.Helper()
	for !what() {
		time.Sleep(5 * time.Millisecond)
	}
}

func all(list []*instance, what func(*instance) bool) func() bool {
	return func() bool {
		for _, in := range list {
			if !what(in) {
				return false
			}
		}
		return true
	}
}

// Instances that know one seed find each other and the store's keys; a change
// reaches all, also those that the store refuses, and after both hubs died.
func TestFleetFollowsTheStore(t *testing.T) {
	s := newFakeStore()
	s.put("op", "1")
	var addresses []string
	for range 6 {
		addresses = append(addresses, freeAddress(t))
	}
	var list []*instance
	for _, a := range addresses {
		list = append(list, start(t, s, a, addresses[0]))
	}
	eventually(t, all(list, func(in *instance) bool { return in.value("op") == "1" }))
	eventually(t, all(list, func(in *instance) bool {
		in.mu.Lock()
		defer in.mu.Unlock()
		return in.live == len(list)
	}))

	s.set(func() { s.down[addresses[1]], s.down[addresses[2]], s.down[addresses[3]] = true, true, true })
	s.put("op", "2")
	eventually(t, all(list, func(in *instance) bool { return in.value("op") == "2" }))

	now := list[0].f.opt.Now()
	list[0].f.mu.Lock()
	hubs := list[0].f.table.Hubs(now)
	list[0].f.mu.Unlock()
	var rest []*instance
	for _, in := range list {
		if in.id == hubs[0] || in.id == hubs[1] {
			in.end(t)
			continue
		}
		rest = append(rest, in)
	}
	s.put("op", "3")
	eventually(t, all(rest, func(in *instance) bool { return in.value("op") == "3" }))
	for _, in := range rest {
		in.end(t)
	}
}

// An instance whose seeds are gone finds the others by the store's list.
func TestSeedsGone(t *testing.T) {
	s := newFakeStore()
	s.put("op", "1")
	a := freeAddress(t)
	first := start(t, s, a, a)
	eventually(t, func() bool { return first.value("hubs") != "" })
	late := start(t, s, freeAddress(t), freeAddress(t))
	eventually(t, all([]*instance{first, late}, func(in *instance) bool {
		in.mu.Lock()
		defer in.mu.Unlock()
		return in.live == 2
	}))
	late.end(t)
	first.end(t)
}

// With the store away for all, instances keep what they have; at its return
// they say so and follow, also where its history is gone.
func TestStoreAway(t *testing.T) {
	s := newFakeStore()
	s.put("op", "1")
	a, b := freeAddress(t), freeAddress(t)
	list := []*instance{start(t, s, a, a), start(t, s, b, a)}
	eventually(t, all(list, func(in *instance) bool { return in.value("op") == "1" }))
	s.set(func() { s.down["*"] = true })
	eventually(t, all(list, func(in *instance) bool { return in.f.Age() > outageAge+100*time.Millisecond }))
	s.put("op", "2")
	s.set(func() { s.down["*"], s.lost = false, s.rev })
	eventually(t, all(list, func(in *instance) bool { return in.value("op") == "2" }))
	eventually(t, all(list, func(in *instance) bool {
		in.mu.Lock()
		defer in.mu.Unlock()
		return in.returned > 0
	}))
	for _, in := range list {
		in.end(t)
	}
}

// A warning reaches the other instances, and a flood of them is bounded.
func TestWarn(t *testing.T) {
	s := newFakeStore()
	a, b := freeAddress(t), freeAddress(t)
	list := []*instance{start(t, s, a, a), start(t, s, b, a)}
	eventually(t, all(list, func(in *instance) bool {
		in.mu.Lock()
		defer in.mu.Unlock()
		return in.live == 2
	}))
	for range 10 * warningsPerSecond {
		list[0].f.Warn(Warning{Upstream: 7, Weight: 50})
	}
	eventually(t, func() bool {
		list[1].mu.Lock()
		defer list[1].mu.Unlock()
		return len(list[1].warned) > 0 && list[1].warned[0].Upstream == 7
	})
	list[1].mu.Lock()
	if n := len(list[1].warned); n > 5*warningsPerSecond {
		t.Errorf("%d warnings sent at once", n)
	}
	list[1].mu.Unlock()
	for _, in := range list {
		in.end(t)
	}
}

// Peers that send nonsense, to either port, harm nothing.
func TestMalformedPeers(t *testing.T) {
	s := newFakeStore()
	s.put("op", "1")
	a := freeAddress(t)
	in := start(t, s, a, a)
	eventually(t, func() bool { return in.value("op") == "1" })
	for i := range 20 {
		if c, err := net.Dial("tcp4", a); err == nil {
			fmt.Fprintf(c, "nonsense %d\r\n\r\n", i)
			c.Close()
		}
		if c, err := net.Dial("udp4", a); err == nil {
			fmt.Fprintf(c, "nonsense %d", i)
			c.Close()
		}
	}
	s.put("op", "2")
	eventually(t, func() bool { return in.value("op") == "2" })
	in.end(t)
}

// News cross to another data centre once: its relay, the lowest address that
// lives there, fetches them; the others take them from it, or themselves where
// it does not bring them soon.
func TestRelayFetchesForItsDataCentre(t *testing.T) {
	info := func(address, dataCentre string) Info {
		return Info{Address: address, DataCentre: dataCentre, Incarnation: 1}
	}
	const hub, relay, other = "10.0.0.1:1", "10.0.1.1:1", "10.0.1.2:1"
	f := New(Options{Self: info(other, "otavalo")}, nil, nil)
	now := time.Second
	if !f.fetches(now, hub) {
		t.Fatal("an instance that knows no nearer one fetches itself")
	}
	f.table.Introduce(now, info(hub, "ibarra"), State{})
	f.table.Introduce(now, info(relay, "otavalo"), State{})
	if f.fetches(now, hub) || !f.fetches(now, relay) {
		t.Error("news come from the relay")
	}
	f.behind = now
	if !f.fetches(now+relayWait, hub) {
		t.Error("the relay brings nothing, and the instance waits on")
	}
	f.behind = 0
	f.table.Learn(now+time.Minute, []Member{{Info: info(relay, "otavalo"), Silent: true}})
	if f.table.Relay(now+time.Minute) != other || !f.fetches(now+time.Minute, hub) {
		t.Error("a relay that is silent is still waited for")
	}
	f.table.Introduce(now, info(relay, "otavalo"), State{Leaving: true, Count: 2})
	if f.table.Relay(now) != other {
		t.Error("a relay that leaves is still waited for")
	}
}

// A peer that asks for members only gets no copy.
func TestMembersOnly(t *testing.T) {
	f := New(Options{Self: Info{Address: "10.0.0.1:1"}, Now: func() time.Duration { return time.Second }}, nil, &learned{values: map[string]string{}})
	f.copy.Apply(mirror.Delta{Full: true, Revision: 3, Items: []mirror.Item{{Key: "k", Revision: 2}}})
	p := &Peer{f}
	for _, only := range []bool{true, false} {
		var reply SyncReply
		if err := p.Sync(&SyncArgs{Info: Info{Address: "10.0.0.2:1"}, MembersOnly: only}, &reply); err != nil {
			t.Fatal(err)
		}
		if got := len(reply.Delta.Items) == 0; got != only || len(reply.Members) == 0 {
			t.Errorf("members only %v: %+v", only, reply)
		}
	}
}
