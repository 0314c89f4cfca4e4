package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/internal/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

func info(i int) Info {
	return Info{Address: fmt.Sprintf("10.0.0.%02d:1", i), DataAddress: fmt.Sprintf("10.0.0.%02d:2", i), DataCentre: "ibarra", Incarnation: 1}
}

// tableWith returns a Table of instance self, with the others updated at now.
func tableWith(now time.Duration, self int, others ...int) *Table {
	t := NewTable(info(self), nil)
	for _, o := range others {
		t.UpdateMember(now, info(o), State{Ready: true})
	}
	return t
}

func TestHubsAreLowestAddressesWithStoreAccess(t *testing.T) {
	table := tableWith(time.Second, 3, 1, 2, 4)
	want := func(why string, addresses ...int) {
		t.Helper()
		got := table.Hubs(time.Second)
		for i, a := range addresses {
			if i >= len(got) || got[i] != info(a).Address {
				t.Fatalf("%s: hubs %v", why, got)
			}
		}
	}
	want("all can read the store", 1, 2)
	table.UpdateMember(time.Second, info(1), State{Ready: true, Blind: true, Count: 1})
	want("the first is blind", 2, 3)
	table.UpdateMember(time.Second, info(2), State{Ready: true, Leaving: true, Count: 1})
	want("the second is leaving", 3, 4)
}

// A hub that does not answer must be replaced after hubTimeout, be retried
// periodically, and become a hub again once it answers.
func TestSilentHubIsReplacedAndRetried(t *testing.T) {
	now := time.Second
	table := tableWith(now, 3, 1, 2)
	table.Tick(now)
	if got := table.Hubs(now + hubTimeout); got[0] != info(3).Address {
		t.Fatalf("hubs %v after hubTimeout without a reply", got)
	}
	retried := false
	for end := now + 2*silentRetryInterval; now < end; now += HeartbeatInterval {
		for _, a := range table.Tick(now) {
			retried = retried || a == info(1).Address && now > time.Second+hubTimeout
		}
	}
	if !retried {
		t.Error("the silent hub was not retried")
	}
	table.ReceiveHeartbeat(now, info(1).Address, 1, State{Ready: true})
	if got := table.Hubs(now); got[0] != info(1).Address {
		t.Errorf("hubs %v once it answers", got)
	}
}

// Only hubs mark members silent: other instances receive heartbeats from their
// hubs only.
func TestOnlyHubsMarkMembersSilent(t *testing.T) {
	for _, c := range []struct {
		self int
		live int
	}{{1, 1}, {9, 3}} {
		now := time.Second
		table := tableWith(now, c.self, 4, 5)
		if c.self == 9 {
			table = tableWith(now, 9, 4, 5)
		}
		for end := now + 3*memberTimeout; now < end; now += HeartbeatInterval {
			if c.self == 9 {
				for _, h := range []int{4, 5} { // its hubs reply
					table.ReceiveHeartbeat(now, info(h).Address, 1, State{Ready: true})
				}
			}
			table.Tick(now)
		}
		if n := len(table.Live()); n != c.live {
			t.Errorf("instance %d sees %d live, want %d", c.self, n, c.live)
		}
	}
}

func TestSilentMemberIsRemoved(t *testing.T) {
	table := tableWith(time.Second, 3, 1)
	for now := time.Second; now < 2*forgetTimeout; now += time.Second {
		table.Tick(now)
	}
	if n := len(table.members); n != 1 {
		t.Errorf("%d members left after forgetTimeout", n)
	}
}

// State that a member sent itself must not be replaced by older state in a hub's
// list, and a new incarnation must replace the previous one.
func TestMergeKeepsNewerState(t *testing.T) {
	table := tableWith(time.Second, 3, 1)
	table.UpdateMember(time.Second, info(2), State{Ready: false, Leaving: true, Count: 5})
	table.MergeMembers(time.Second, []Member{{Info: info(2), State: State{Ready: true, Count: 4}}})
	if m := table.members[info(2).Address]; !m.Leaving {
		t.Error("older state replaced newer state")
	}
	// The clock may have stepped back before the restart, so incarnations have
	// no order; only a recent heartbeat takes precedence over a list.
	for _, incarnation := range []uint64{7, 5} {
		next := info(2)
		next.Incarnation = incarnation
		list := []Member{{Info: next, State: State{Ready: true}}}
		table.MergeMembers(time.Second, list)
		if m := table.members[info(2).Address]; m.Incarnation != 1 && incarnation == 7 {
			t.Error("a list replaced the incarnation just heard from")
		}
		table.MergeMembers(time.Second+hubTimeout, list)
		if m := table.members[info(2).Address]; m.Leaving || m.Incarnation != incarnation {
			t.Errorf("incarnation %d did not replace the previous one", incarnation)
		}
	}
	table.MergeMembers(time.Second, []Member{{Info: info(3), Silent: true}})
	if len(table.Live()) != 3 {
		t.Error("a list replaced the entry of this instance")
	}
}

// Unchanged information must not raise the version: otherwise two hubs would
// sync with each other endlessly.
func TestEqualUpdatesKeepVersion(t *testing.T) {
	table := tableWith(time.Second, 3, 1, 2)
	v := table.Version()
	table.UpdateMember(2*time.Second, info(1), State{Ready: true})
	table.MergeMembers(2*time.Second, table.ChangedSince(0))
	table.ReceiveHeartbeat(2*time.Second, info(2).Address, 1, State{Ready: true})
	if table.Version() != v {
		t.Error("version raised without a change")
	}
}

func TestReaderDue(t *testing.T) {
	fresh := reader{}
	fresh.confirm(time.Second)
	for _, c := range []struct {
		name            string
		r               reader
		now             time.Duration
		rank            int
		hasCopy, isSeed bool
		want            storeCall
	}{
		{"a new instance waits for peers", reader{}, 0, 0, false, false, callNone},
		{"a seed reads at once", reader{}, 0, 0, false, true, callReadAll},
		{"with skipPeerWait it reads at once", reader{skipPeerWait: true}, 0, -1, false, false, callReadAll},
		{"without a peer's copy it reads after peerCopyWait", reader{}, peerCopyWait, -1, false, false, callReadAll},
		{"a hub watches", fresh, time.Second, 1, true, false, callWatch},
		{"a non-hub with a fresh copy does nothing", fresh, time.Second + staleAge - 1, -1, true, false, callNone},
		{"a non-hub with a stale copy watches", fresh, time.Second + staleAge, -1, true, false, callWatch},
		{"after lost history it reads all", reader{fullReadDue: true, confirmed: true}, 0, 0, true, false, callReadAll},
	} {
		if got, wait := c.r.due(c.now, c.rank, c.hasCopy, c.isSeed); got != c.want || got == callNone && wait <= 0 {
			t.Errorf("%s: call %d, wait %v", c.name, got, wait)
		}
	}
}

// While the store answers, the copy of an instance that is not a hub must not
// become two seconds old, even if no peer confirms it.
func TestCopyStaysFresh(t *testing.T) {
	var r reader
	r.confirm(0)
	for now := time.Duration(0); now < 20*time.Second; {
		what, wait := r.due(now, -1, true, false)
		if what == callNone {
			now += wait
		} else {
			now += 5 * time.Millisecond // duration of the store call
			r.confirm(now)
			r.callDone(now, -1, true, 0)
		}
		if age := r.age(now); age >= 2*time.Second {
			t.Fatalf("copy %v old", age)
		}
	}
}

func TestReaderBlind(t *testing.T) {
	var r reader
	r.confirm(time.Second)
	for now := 2 * time.Second; now < 4*time.Second; now += 100 * time.Millisecond {
		r.callDone(now, 0, false, 0)
	}
	if !r.blind(4 * time.Second) {
		t.Error("not blind after two seconds of failed reads")
	}
	if r.blind(4*time.Second + blindFor) {
		t.Error("still blind after blindFor")
	}
	r.callDone(5*time.Second, 0, false, 0)
	r.callDone(5*time.Second, 0, true, 0)
	if r.blind(5 * time.Second) {
		t.Error("blind after a successful read")
	}
}

func FuzzDecodeHeartbeat(f *testing.F) {
	f.Add(heartbeat{Format: heartbeatFormat, Flags: flagReady, Incarnation: 7, Revision: 9, AgeMillis: 3}.encode())
	f.Add([]byte{heartbeatFormat})
	f.Fuzz(func(t *testing.T, p []byte) {
		b, err := decodeHeartbeat(p)
		if err == nil && string(b.encode()) != string(p) {
			t.Errorf("%x decodes to %+v, which encodes differently", p, b)
		}
	})
}

// An instance that restarts while in use must read the store without waiting for
// a peer's copy; at its first start it must wait.
func TestReadAtStartSkipsPeerWait(t *testing.T) {
	for _, first := range []bool{true, false} {
		f := New(Options{Self: Info{Address: "10.0.0.2:1"}, Seeds: []string{"10.0.0.1:1"}, ReadAtStart: first}, nil, nil)
		what, _ := f.reader.due(0, -1, false, false)
		if (what == callReadAll) != first {
			t.Errorf("ReadAtStart %v: call %v", first, what)
		}
	}
}
