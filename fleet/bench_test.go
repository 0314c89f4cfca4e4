package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/catkinrouter/catkinrouter/mirror"

	"github.com/catkinrouter/catkinrouter/store"
)

// benchSizes are the numbers of instances, or of items of the store, of the
// benchmarks.
var benchSizes = []int{30, 300, 3000}

// leaderOf returns the Fleet of a leader with n instances in its data centre.
func leaderOf(n int) (*Fleet, time.Duration) {
	now := time.Minute
	f := New(Options{
		Self: benchInfo(0), Now: func() time.Duration { return now }, Log: log.NewNopLogger(),
	}, nil, &recordingListener{values: map[string]string{}})
	for i := 1; i < n; i++ {
		f.table.UpdateMember(now, benchInfo(i), State{Ready: true})
	}
	f.copy.Apply(mirror.Delta{Full: true, Revision: 5})
	f.tick()
	return f, now
}

func benchInfo(i int) Info {
	address := fmt.Sprintf("10.0.%d.%d", i/250, i%250+1)
	return Info{Address: address + ":1", DataAddress: address + ":2", DataCentre: "ibarra", Incarnation: 1}
}

// BenchmarkHeartbeat measures what a leader does for one heartbeat of a member.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f, _ := leaderOf(n)
			beat := heartbeat{Format: heartbeatFormat, Flags: flagReady, Incarnation: 1, Revision: 5, AgeMillis: 3}
			addresses := make([]string, n)
			for i := range addresses {
				addresses[i] = benchInfo(i).Address
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				f.handleHeartbeat(addresses[1+i%(n-1)], beat)
			}
		})
	}
}

// BenchmarkTick measures the work of a leader in each heartbeat interval.
func BenchmarkTick(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f, _ := leaderOf(n)
			b.ReportAllocs()
			for b.Loop() {
				f.tick()
			}
		})
	}
}

// BenchmarkMemberChange measures the work of an instance for one changed member:
// the roles and the view of the fleet are made anew.
func BenchmarkMemberChange(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f, now := leaderOf(n)
			changed := benchInfo(n - 1)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				f.table.UpdateMember(now, changed, State{Ready: i%2 == 0, Count: uint32(i)})
				f.notifyMembers()
				f.table.Leaders(now)
			}
		})
	}
}

// BenchmarkServeChange measures what a leader does to serve one changed item to one
// member.
func BenchmarkServeChange(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f, _ := leaderOf(30)
			d := mirror.Delta{Base: 5, Revision: store.Revision(n) + 10}
			for i := range n {
				d.Items = append(d.Items, mirror.Item{Key: fmt.Sprint("upstream-", i), Value: make([]byte, 200), Revision: store.Revision(i) + 6})
			}
			f.copy.Apply(d)
			args := SyncArgs{Info: benchInfo(1), State: State{Ready: true}, Revision: store.Revision(n) + 4, Members: f.table.Version()}
			b.ReportAllocs()
			for b.Loop() {
				var reply SyncReply
				if err := f.serveSync(&args, &reply); err != nil || len(reply.Delta.Items) != 1 {
					b.Fatalf("%d items, %v", len(reply.Delta.Items), err)
				}
			}
		})
	}
}
