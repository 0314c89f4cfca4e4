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

// known returns a table of instance self that has heard the others at a time.
func known(now time.Duration, self int, others ...int) *Table {
	t := NewTable(info(self), nil)
	for _, o := range others {
		t.Introduce(now, info(o), State{Ready: true})
	}
	return t
}

func TestHubsAreTheLowestThatRead(t *testing.T) {
	table := known(time.Second, 3, 1, 2, 4)
	want := func(why string, addresses ...int) {
		t.Helper()
		got := table.Hubs(time.Second)
		for i, a := range addresses {
			if i >= len(got) || got[i] != info(a).Address {
				t.Fatalf("%s: hubs %v", why, got)
			}
		}
	}
	want("all well", 1, 2)
	table.Introduce(time.Second, info(1), State{Ready: true, Blind: true, Count: 1})
	want("the first can't read the store", 2, 3)
	table.Introduce(time.Second, info(2), State{Ready: true, Leaving: true, Count: 1})
	want("the second leaves", 3, 4)
}

// A hub that does not answer is passed over after a short silence, and asked
// again now and then.
func TestSilentHubIsPassedOver(t *testing.T) {
	now := time.Second
	table := known(now, 3, 1, 2)
	table.Tick(now)
	if got := table.Hubs(now + hubSilence); got[0] != info(3).Address {
		t.Fatalf("hubs %v after a silence", got)
	}
	asked := false
	for end := now + 2*reviveInterval; now < end; now += BeatInterval {
		for _, a := range table.Tick(now) {
			asked = asked || a == info(1).Address && now > time.Second+hubSilence
		}
	}
	if !asked {
		t.Error("the silent hub was not asked again")
	}
	table.Heard(now, info(1).Address, 1, State{Ready: true})
	if got := table.Hubs(now); got[0] != info(1).Address {
		t.Errorf("hubs %v once it answers", got)
	}
}

// Hubs give up members that fall silent; other instances don't judge.
func TestMemberFallsSilent(t *testing.T) {
	for _, c := range []struct {
		self int
		live int
	}{{1, 1}, {9, 3}} {
		now := time.Second
		table := known(now, c.self, 4, 5)
		if c.self == 9 {
			table = known(now, 9, 4, 5)
		}
		for end := now + 3*memberSilence; now < end; now += BeatInterval {
			if c.self == 9 {
				for _, h := range []int{4, 5} { // its hubs answer
					table.Heard(now, info(h).Address, 1, State{Ready: true})
				}
			}
			table.Tick(now)
		}
		if n := len(table.Live()); n != c.live {
			t.Errorf("instance %d sees %d live, want %d", c.self, n, c.live)
		}
	}
}

func TestSilentIsForgotten(t *testing.T) {
	table := known(time.Second, 3, 1)
	for now := time.Second; now < 2*forgetAfter; now += time.Second {
		table.Tick(now)
	}
	if n := len(table.members); n != 1 {
		t.Errorf("%d members known after a long silence", n)
	}
}

// A member's own newer word stays against a hub's older list, and a new
// incarnation replaces the old.
func TestLearnKeepsNewerWord(t *testing.T) {
	table := known(time.Second, 3, 1)
	table.Introduce(time.Second, info(2), State{Ready: false, Leaving: true, Count: 5})
	table.Learn(time.Second, []Member{{Info: info(2), State: State{Ready: true, Count: 4}}})
	if m := table.members[info(2).Address]; !m.Leaving {
		t.Error("an older word replaced a newer one")
	}
	// A clock may have stepped back before the restart: no order is told by
	// incarnations, only what was heard lately counts more than a list.
	for _, incarnation := range []uint64{7, 5} {
		next := info(2)
		next.Incarnation = incarnation
		list := []Member{{Info: next, State: State{Ready: true}}}
		table.Learn(time.Second, list)
		if m := table.members[info(2).Address]; m.Incarnation != 1 && incarnation == 7 {
			t.Error("a list replaced what was heard just now")
		}
		table.Learn(time.Second+hubSilence, list)
		if m := table.members[info(2).Address]; m.Leaving || m.Incarnation != incarnation {
			t.Errorf("incarnation %d did not replace the one before", incarnation)
		}
	}
	table.Learn(time.Second, []Member{{Info: info(3), Silent: true}})
	if len(table.Live()) != 3 {
		t.Error("another's word about this instance was taken")
	}
}

// Equal news changes no version: else two hubs would ask each other for ever.
func TestEqualNewsIsNoChange(t *testing.T) {
	table := known(time.Second, 3, 1, 2)
	v := table.Version()
	table.Introduce(2*time.Second, info(1), State{Ready: true})
	table.Learn(2*time.Second, table.Since(0))
	table.Heard(2*time.Second, info(2).Address, 1, State{Ready: true})
	if table.Version() != v {
		t.Error("the list changed by equal news")
	}
}

func TestReaderDue(t *testing.T) {
	fresh := reader{}
	fresh.prove(time.Second)
	for _, c := range []struct {
		name        string
		r           reader
		now         time.Duration
		rank        int
		holds, seed bool
		want        call
	}{
		{"a fresh instance waits for peers", reader{}, 0, 0, false, false, callNone},
		{"a seed does not", reader{}, 0, 0, false, true, callReadAll},
		{"nor does one that callers wait for", reader{wanted: true}, 0, -1, false, false, callReadAll},
		{"without peers it reads", reader{}, startWait, -1, false, false, callReadAll},
		{"a hub watches", fresh, time.Second, 1, true, false, callWatch},
		{"a follower with a fresh copy does nothing", fresh, time.Second + staleAge - 1, -1, true, false, callNone},
		{"with a stale one it watches", fresh, time.Second + staleAge, -1, true, false, callWatch},
		{"history gone", reader{full: true, proven: true}, 0, 0, true, false, callReadAll},
	} {
		if got, wait := c.r.due(c.now, c.rank, c.holds, c.seed); got != c.want || got == callNone && wait <= 0 {
			t.Errorf("%s: call %d, wait %v", c.name, got, wait)
		}
	}
}

// Under any answers of the store, an instance's copy is older than two seconds
// only if the store failed: hubs and followers ask again in time.
func TestCopyStaysFresh(t *testing.T) {
	var r reader
	r.prove(0)
	for now := time.Duration(0); now < 20*time.Second; {
		what, wait := r.due(now, -1, true, false)
		if what == callNone {
			now += wait
		} else {
			now += 5 * time.Millisecond // the store answers
			r.prove(now)
			r.done(now, -1, true, 0)
		}
		if age := r.age(now); age >= 2*time.Second {
			t.Fatalf("copy %v old", age)
		}
	}
}

func TestReaderBlind(t *testing.T) {
	var r reader
	r.prove(time.Second)
	for now := 2 * time.Second; now < 4*time.Second; now += 100 * time.Millisecond {
		r.done(now, 0, false, 0)
	}
	if !r.blind(4 * time.Second) {
		t.Error("not blind after two seconds of failed reads")
	}
	if r.blind(4*time.Second + blindFor) {
		t.Error("blind for ever")
	}
	r.done(5*time.Second, 0, false, 0)
	r.done(5*time.Second, 0, true, 0)
	if r.blind(5 * time.Second) {
		t.Error("blind after a read")
	}
}

func FuzzDecodeBeat(f *testing.F) {
	f.Add(beat{Format: beatFormat, Flags: flagReady, Incarnation: 7, Revision: 9, AgeMillis: 3}.encode())
	f.Add([]byte{beatFormat})
	f.Fuzz(func(t *testing.T, p []byte) {
		b, err := decodeBeat(p)
		if err == nil && string(b.encode()) != string(p) {
			t.Errorf("%x decodes to %+v, which encodes otherwise", p, b)
		}
	})
}

// An instance that comes back into traffic reads the store without waiting for
// a peer's copy; at a first start it waits.
func TestReadsFirst(t *testing.T) {
	for _, first := range []bool{true, false} {
		f := New(Options{Self: Info{Address: "10.0.0.2:1"}, Seeds: []string{"10.0.0.1:1"}, ReadFirst: first}, nil, nil)
		what, _ := f.reader.due(0, -1, false, false)
		if (what == callReadAll) != first {
			t.Errorf("ReadFirst %v: call %v", first, what)
		}
	}
}
