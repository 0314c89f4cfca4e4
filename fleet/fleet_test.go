package fleet

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/catkinrouter/catkinrouter/mirror"
)

// instance is a running Fleet with its Listener.
type instance struct {
	*recordingListener
	f    *Fleet
	id   string
	stop context.CancelFunc
	done chan struct{} // closed when Run has returned err
	err  error
}

// unusedAddress is an address at which no instance listens.
const unusedAddress = "127.0.0.1:9"

func listen(t *testing.T) *Sockets {
	t.Helper()
	sockets, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return sockets
}

// startInstance starts an instance; without seeds it is its own seed.
func startInstance(t *testing.T, s *fakeStore, seeds ...string) *instance {
	t.Helper()
	return startOn(t, s, listen(t), seeds...)
}

func startOn(t *testing.T, s *fakeStore, sockets *Sockets, seeds ...string) *instance {
	t.Helper()
	began, address := time.Now(), sockets.Address()
	if len(seeds) == 0 {
		seeds = []string{address}
	}
	in := &instance{recordingListener: &recordingListener{values: map[string]string{}}, id: address, done: make(chan struct{})}
	ctx, stop := context.WithCancel(context.Background())
	in.stop = stop
	in.f = New(Options{
		Self: Info{Address: address, DataAddress: address, DataCentre: "ibarra", Incarnation: uint64(began.UnixNano())}, Seeds: seeds, DirectoryKey: "directory",
		Now: func() time.Duration { return time.Since(began) }, Log: log.NewNopLogger(), OnStoreCall: func(string) {},
	}, storeClient{s, address}, in.recordingListener)
	go func() {
		defer close(in.done)
		in.err = in.f.Run(ctx, sockets)
	}()
	return in
}

func (in *instance) stopAndWait(t *testing.T) {
	t.Helper()
	in.stop()
	<-in.done
	if in.err != nil {
		t.Errorf("Run of %s returned %v", in.id, in.err)
	}
}

// waitUntil polls until condition holds for all instances of list at once. It
// fails once one of them has ended; it has no other timeout than the test's.
func waitUntil(t *testing.T, list []*instance, condition func(*instance) bool) {
	t.Helper()
	for !allInstances(list, condition) {
		for _, in := range list {
			select {
			case <-in.done:
				t.Fatalf("instance %s ended with %v while the test waited for it", in.id, in.err)
			default:
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func allInstances(list []*instance, condition func(*instance) bool) bool {
	for _, in := range list {
		if !condition(in) {
			return false
		}
	}
	return true
}

// Instances with one common seed must discover each other and copy the store's
// keys. A change must also reach instances that cannot read the store, and all
// remaining ones after both hubs stopped.
func TestStoreChangesReachAllInstances(t *testing.T) {
	s := newFakeStore()
	s.put("op", "1")
	list := []*instance{startInstance(t, s)}
	for range 5 {
		list = append(list, startInstance(t, s, list[0].id))
	}
	waitUntil(t, list, func(in *instance) bool { return in.value("op") == "1" })
	waitUntil(t, list, func(in *instance) bool {
		in.mu.Lock()
		defer in.mu.Unlock()
		return in.live == len(list)
	})

	s.update(func() { s.down[list[1].id], s.down[list[2].id], s.down[list[3].id] = true, true, true })
	s.put("op", "2")
	waitUntil(t, list, func(in *instance) bool { return in.value("op") == "2" })

	now := list[0].f.opt.Now()
	list[0].f.mu.Lock()
	hubs := list[0].f.table.Hubs(now)
	list[0].f.mu.Unlock()
	var rest []*instance
	for _, in := range list {
		if in.id == hubs[0] || in.id == hubs[1] {
			in.stopAndWait(t)
			continue
		}
		rest = append(rest, in)
	}
	s.put("op", "3")
	waitUntil(t, rest, func(in *instance) bool { return in.value("op") == "3" })
	for _, in := range rest {
		in.stopAndWait(t)
	}
}

// An instance that cannot reach its seeds must find the others by the hub list
// in the store.
func TestInstanceWithoutSeedsUsesStoredHubs(t *testing.T) {
	s := newFakeStore()
	s.put("op", "1")
	first := startInstance(t, s)
	waitUntil(t, []*instance{first}, func(in *instance) bool { return in.value("directory") != "" })
	late := startInstance(t, s, unusedAddress)
	waitUntil(t, []*instance{first, late}, func(in *instance) bool {
		in.mu.Lock()
		defer in.mu.Unlock()
		return in.live == 2
	})
	late.stopAndWait(t)
	first.stopAndWait(t)
}

// During an outage of the store instances must keep their copy. After it they
// must report the recovery and apply the changes made meanwhile, even if the
// store has lost its history.
func TestStoreAway(t *testing.T) {
	s := newFakeStore()
	s.put("op", "1")
	first := startInstance(t, s)
	list := []*instance{first, startInstance(t, s, first.id)}
	waitUntil(t, list, func(in *instance) bool { return in.value("op") == "1" })
	s.update(func() { s.down["*"] = true })
	waitUntil(t, list, func(in *instance) bool { return in.f.Status().CopyAge > outageAge+100*time.Millisecond })
	s.put("op", "2")
	s.update(func() { s.down["*"], s.compactedTo = false, s.rev })
	waitUntil(t, list, func(in *instance) bool { return in.value("op") == "2" })
	waitUntil(t, list, func(in *instance) bool {
		in.mu.Lock()
		defer in.mu.Unlock()
		return in.returned > 0
	})
	for _, in := range list {
		in.stopAndWait(t)
	}
}

// A warning must reach the other instances, and a burst of warnings must be
// limited.
func TestWarningsAreSentWithinRateLimit(t *testing.T) {
	s := newFakeStore()
	first := startInstance(t, s)
	list := []*instance{first, startInstance(t, s, first.id)}
	waitUntil(t, list, func(in *instance) bool {
		in.mu.Lock()
		defer in.mu.Unlock()
		return in.live == 2
	})
	for range 10 * maxWarningsPerSecond {
		list[0].f.Warn(Warning{Upstream: 7, Weight: 50})
	}
	waitUntil(t, list[1:], func(*instance) bool {
		list[1].mu.Lock()
		defer list[1].mu.Unlock()
		return len(list[1].warned) > 0 && list[1].warned[0].Upstream == 7
	})
	list[1].mu.Lock()
	if n := len(list[1].warned); n > 5*maxWarningsPerSecond {
		t.Errorf("%d warnings received from one burst", n)
	}
	list[1].mu.Unlock()
	for _, in := range list {
		in.stopAndWait(t)
	}
}

// Malformed data on the TCP and UDP ports must not disturb replication.
func TestMalformedPeers(t *testing.T) {
	s := newFakeStore()
	s.put("op", "1")
	in := startInstance(t, s)
	list := []*instance{in}
	waitUntil(t, list, func(in *instance) bool { return in.value("op") == "1" })
	for i := range 20 {
		if c, err := net.Dial("tcp4", in.id); err == nil {
			fmt.Fprintf(c, "nonsense %d\r\n\r\n", i)
			c.Close()
		}
		if c, err := net.Dial("udp4", in.id); err == nil {
			fmt.Fprintf(c, "nonsense %d", i)
			c.Close()
		}
	}
	s.put("op", "2")
	waitUntil(t, list, func(in *instance) bool { return in.value("op") == "2" })
	in.stopAndWait(t)
}

// A change must be transferred to another data centre by its leaders only. The
// other instances must fetch it from them, or from the hub if they are too slow,
// silent or leaving.
func TestLeadersFetchForTheirDataCentre(t *testing.T) {
	info := func(address, dataCentre string) Info {
		return Info{Address: address, DataCentre: dataCentre, Incarnation: 1}
	}
	const hub, first, second, other = "10.0.0.1:1", "10.0.1.1:1", "10.0.1.2:1", "10.0.1.3:1"
	f := New(Options{Self: info(other, "otavalo")}, nil, nil)
	now := time.Second
	if !f.shouldFetchFrom(now, hub) {
		t.Fatal("an instance without members in its data centre does not fetch from the hub")
	}
	for _, a := range []string{first, second} {
		f.table.UpdateMember(now, info(a, "otavalo"), State{})
	}
	f.table.UpdateMember(now, info(hub, "ibarra"), State{})
	if f.shouldFetchFrom(now, hub) || !f.shouldFetchFrom(now, first) {
		t.Error("changes are not fetched from the leaders only")
	}
	f.behindSince = now
	if !f.shouldFetchFrom(now+leaderWait, hub) {
		t.Error("still waiting for the leaders after leaderWait")
	}
	f.behindSince = 0
	f.table.MergeMembers(now+time.Minute, []Member{{Info: info(first, "otavalo"), Silent: true}}, "otavalo")
	if !f.shouldFetchFrom(now+time.Minute, hub) {
		t.Error("does not take over from a silent leader")
	}
	f.table.UpdateMember(now+time.Minute, info(first, "otavalo"), State{Leaving: true, Count: 2})
	if !f.shouldFetchFrom(now+time.Minute, hub) {
		t.Error("does not take over from a leaving leader")
	}
}

// A first copy from a stale read must hold what was changed since, and must not
// be used before that is known: an upstream that has left, or an older
// configuration, would be in use again.
func TestFirstCopyIsUpToDate(t *testing.T) {
	for _, compacted := range []bool{false, true} {
		s := newFakeStore()
		s.put("op", "1")
		s.put("op", "2")
		s.put("op", "3")
		s.update(func() {
			if s.staleBy = 2; compacted {
				s.compactedTo = s.rev
			}
		})
		in := startInstance(t, s)
		waitUntil(t, []*instance{in}, func(in *instance) bool { return in.value("op") == "3" })
		in.stopAndWait(t)
		if v := in.received[0]; v != "3" {
			t.Errorf("history compacted %v: value %q was in use after the start", compacted, v)
		}
	}
}

// The time for which the machine was suspended counts as age of the copy, so that
// an instance that wakes reads the store, or a peer, before it relies on it.
func TestSuspensionAgesTheCopy(t *testing.T) {
	var slept time.Duration
	f := New(Options{
		Self: Info{Address: "10.0.0.1:1"}, Now: func() time.Duration { return 10 * time.Second },
		Elapsed: func() time.Duration { return 10*time.Second + slept }, Log: log.NewNopLogger(),
	}, nil, &recordingListener{values: map[string]string{}})
	f.reader.confirm(9900 * time.Millisecond)
	slept = 5 * time.Second
	var reply SyncReply
	if err := (&Peer{f}).Sync(&SyncArgs{Info: Info{Address: "10.0.0.2:1"}}, &reply); err != nil {
		t.Fatal(err)
	}
	if f.reader.confirm(10 * time.Second) {
		t.Error("a suspension of the machine counts as an outage of the store")
	}
	if reply.Age < slept {
		t.Errorf("copy confirmed before a suspension of %v is sent as %v old", slept, reply.Age)
	}
}

// A sync with MembersOnly must return no items.
func TestMembersOnly(t *testing.T) {
	f := New(Options{Self: Info{Address: "10.0.0.1:1"}, Now: func() time.Duration { return time.Second }}, nil, &recordingListener{values: map[string]string{}})
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

// An instance that had just learnt who its leader is waited for the leader's next heartbeat
// before it fetched the copy that the last one had told of.
func TestCopyIsFetchedOnceTheLeaderIsKnown(t *testing.T) {
	leader := info(1)
	f := New(Options{
		Self: info(9), Seeds: []string{leader.Address}, Now: func() time.Duration { return time.Second }, Log: log.NewNopLogger(), OnStoreCall: func(string) {},
	}, nil, &recordingListener{values: map[string]string{}})
	f.namedLeaders = []string{leader.Address}
	for i := range 2 { // so that this instance is no leader itself
		f.table.UpdateMember(time.Second, info(2+i), State{Ready: true})
	}
	f.handleHeartbeat(leader.Address, heartbeat{Format: heartbeatFormat, Flags: flagReply, Incarnation: leader.Incarnation, Revision: 10})
	for _, membersOnly := range []bool{true, false} {
		select {
		case <-f.syncs[carrierSyncs]:
		default:
			t.Fatalf("no sync queued, want one with members only %v", membersOnly)
		}
		args := f.syncArgs(leader.Address)
		if args.MembersOnly != membersOnly {
			t.Fatalf("members only %v, want %v", args.MembersOnly, membersOnly)
		}
		f.handleSyncReply(leader.Address, &args, time.Second, &SyncReply{Info: leader, State: State{Ready: true}, Version: 1}, nil)
	}
	if n := len(f.syncs[carrierSyncs]); n > 0 {
		t.Errorf("%d further syncs queued", n)
	}
}
