package membership

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/catkinrouter/catkinrouter/internal/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

func drawBeat(t *rapid.T) Beat {
	u := rapid.Uint64()
	return Beat{
		Key: Key(rapid.Uint32().Draw(t, "key")), Incarnation: u.Draw(t, "incarnation"), Count: u.Draw(t, "count"),
		Version: u.Draw(t, "version"), Revision: u.Draw(t, "revision"),
		Age:   time.Duration(rapid.IntRange(0, maxAgeSteps).Draw(t, "age")) * ageStep,
		Spare: rapid.Uint8Range(0, MaxSpare).Draw(t, "spare"),
		Ready: rapid.Bool().Draw(t, "ready"), Leaving: rapid.Bool().Draw(t, "leaving"), Store: rapid.Bool().Draw(t, "store"),
	}
}

func TestBeatsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := Beats(rapid.SliceOfN(rapid.Custom(drawBeat), 1, MaxBeats).Draw(t, "beats"))
		b, err := want.MarshalBinary()
		if err != nil {
			t.Fatal(err)
		}
		var got Beats
		if err := got.UnmarshalBinary(b); err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(want, got); d != "" {
			t.Fatal(d)
		}
	})
}

// Arbitrary bytes must be refused or decode to a list of at most MaxBeats.
func TestBeatsUnmarshalArbitraryBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Beats
		if err := l.UnmarshalBinary(rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")); err == nil && len(l) > MaxBeats {
			t.Fatalf("%d heartbeats", len(l))
		}
	})
}

func newTable(id string) *Table {
	return New(Info{ID: id, PeerAddress: "127.0.0.1:1", DataAddress: "127.0.0.1:2", DataCentre: "bole", Region: "addis"}, 5, 1)
}

func TestMalformedMessagesAreRefused(t *testing.T) {
	beat := Beats{{Key: 1, Incarnation: 1, Count: 1}}
	addr := netip.MustParseAddrPort("127.0.0.1:3")
	info := Info{ID: "a", PeerAddress: "127.0.0.1:1", DataAddress: "127.0.0.1:2", DataCentre: "bole", Region: "addis"}
	bad := func(change func(*Info)) []Info {
		i := info
		change(&i)
		return []Info{i}
	}
	for name, m := range map[string]Message{
		"empty":           {},
		"no address":      {Beats: beat},
		"no heartbeat":    {Address: addr},
		"many heartbeats": {Address: addr, Beats: make(Beats, MaxBeats+1)},
		"many wants":      {Address: addr, Beats: beat, Want: make([]Key, MaxInfos+1)},
		"many stale":      {Address: addr, Beats: beat, Stale: make([]Key, maxStale+1)},
		"many leaving":    {Address: addr, Beats: beat, Leaving: make([]LeavingUpstream, MaxLeaving+1)},
		"upstream ID":     {Address: addr, Beats: beat, Leaving: []LeavingUpstream{{ID: string(make([]byte, maxTextBytes+1))}}},
		"no ID":           {Address: addr, Beats: beat, Infos: bad(func(i *Info) { i.ID = "" })},
		"host name":       {Address: addr, Beats: beat, Infos: bad(func(i *Info) { i.DataAddress = "localhost:1" })},
		"uptime":          {Address: addr, Beats: beat, Infos: bad(func(i *Info) { i.Uptime = -1 })},
	} {
		table := newTable("self")
		if err := table.Receive(0, &m); err == nil || table.Counts().Malformed != 1 || table.Live() != 1 {
			t.Errorf("%s: error %v, counts %+v", name, err, table.Counts())
		}
	}
}

// A heartbeat of an earlier run of this instance with a higher incarnation, from
// a clock that was ahead, must be superseded by a still higher incarnation.
func TestHigherIncarnationOfSelfIsRefuted(t *testing.T) {
	table := newTable("self")
	m := Message{Address: netip.MustParseAddrPort("127.0.0.1:3"), Beats: Beats{
		{Key: 1, Incarnation: 1, Count: 1}, {Key: KeyOf("self"), Incarnation: 99, Count: 7},
	}}
	if err := table.Receive(0, &m); err != nil {
		t.Fatal(err)
	}
	if b := table.Request(0, "127.0.0.1:3").Beats[0]; b.Incarnation <= 99 || table.Counts().Refuted != 1 {
		t.Errorf("heartbeat %+v, counts %+v", b, table.Counts())
	}
}

// Heartbeats of many forged instances must not grow the Table beyond maxMembers.
func TestTableIsBounded(t *testing.T) {
	table := newTable("self")
	for k := range Key(2 * maxMembers) {
		m := Message{Address: netip.MustParseAddrPort("127.0.0.1:3"), Beats: Beats{{Key: k + 1, Incarnation: 1, Count: 1}}}
		if err := table.Receive(0, &m); err != nil {
			t.Fatal(err)
		}
	}
	if table.Live() > maxMembers+1 || table.Counts().Full == 0 {
		t.Errorf("%d live, counts %+v", table.Live(), table.Counts())
	}
}
