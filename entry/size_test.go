package entry

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/balance"
	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/link"
)

// The benchmarks below provide the figures of docs/CAPACITY.md; each runs at
// several sizes.

const sizeServices = 13

// sizedDocument returns a configuration of 13 services with n upstreams in
// total.
func sizedDocument(n int) *config.Document {
	d := &config.Document{
		Site: "size", MaxEntries: 19, Lookup: config.Lookup{Lifetime: config.Duration(10 * time.Second), Addresses: 3},
		PermitKeys: []config.PermitKey{{ID: "k1", Secret: []byte("0123456789abcdef0123456789abcdef")}},
	}
	for i := range 8 {
		d.DataCentres = append(d.DataCentres, config.DataCentre{Name: fmt.Sprint("dc", i), Region: fmt.Sprint("region", i/4)})
	}
	for s := range sizeServices {
		d.Services = append(d.Services, config.Service{Name: fmt.Sprint("service", s)})
	}
	for i := range n {
		svc := &d.Services[i%sizeServices]
		svc.Upstreams = append(svc.Upstreams, config.Upstream{
			ID: fmt.Sprintf("upstream-%03d", i), Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250+1),
			DataCentre: d.DataCentres[i%8].Name, Slots: 6, Connections: 250,
		})
	}
	return d
}

func sizedNode(n int) *Node {
	node := New(Options{ID: "e", Address: "127.0.0.1:1", DataCentre: "dc0", Incarnation: 1, Seed: 1})
	node.Configure(0, 1, sizedDocument(n))
	return node
}

var upstreamSizes = []int{60, 120, 240, 480}

// heapOf returns the size in bytes of the heap that the result of build holds.
func heapOf[T any](build func() T) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	v := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(v)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkSizeCall measures the decisions for one call, by the total number
// of upstreams.
func BenchmarkSizeCall(b *testing.B) {
	for _, n := range upstreamSizes {
		b.Run(fmt.Sprintf("size=%d", n), func(b *testing.B) {
			node := sizedNode(n)
			load := &balance.Load{Outstanding: 2, Slots: 6}
			var steps []Step
			now := time.Second
			id := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				id++
				now += 100 * time.Microsecond
				steps = node.Start(now, Call{ID: id, Service: "service3", Method: "GET", Path: "/a", Caller: "c"}, steps[:0])
				steps = node.Finished(now+5*time.Millisecond, steps[len(steps)-1].Attempt, Result{MayHaveSent: true, Status: 200, Load: load}, steps[:0])
			}
		})
	}
}

// BenchmarkSizeConfigure measures applying a new revision, and the heap that a
// configured Node holds, by the total number of upstreams.
func BenchmarkSizeConfigure(b *testing.B) {
	for _, n := range upstreamSizes {
		b.Run(fmt.Sprintf("size=%d", n), func(b *testing.B) {
			node, doc := sizedNode(n), sizedDocument(n)
			rev := uint64(1)
			for b.Loop() {
				rev++
				node.Configure(time.Duration(rev)*time.Millisecond, rev, doc)
			}
			b.ReportMetric(heapOf(func() *Node { return sizedNode(n) }), "heap-B")
		})
	}
}

// BenchmarkSizeKeyed measures one keyed call, and the heap that the record of
// answered keys holds, by the number of keys.
func BenchmarkSizeKeyed(b *testing.B) {
	for _, n := range []int{2000, 4000, 8000, 16000} {
		b.Run(fmt.Sprintf("size=%d", n), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(heapOf(func() *Node { return keyedNode(b, n) }), "heap-B")
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/key")
		})
	}
}

// keyedNode returns a Node that has answered n keyed calls with replies of 200
// bytes.
func keyedNode(b *testing.B, n int) *Node {
	node := sizedNode(60)
	permit := node.Permit(0, link.Member{ID: "e", Address: "127.0.0.1:1", Incarnation: 1})
	body := make([]byte, 200)
	var steps []Step
	for i := range n {
		now := time.Duration(i) * 100 * time.Microsecond
		key := fmt.Sprintf("%s/purchase-%d", permit, i)
		steps = node.Start(now, Call{ID: uint64(i + 1), Service: "service3", Method: "POST", Path: "/a", Caller: "c", Key: key, Try: 1}, steps[:0])
		if len(steps) == 0 || steps[0].Kind != StepSend {
			b.Fatalf("key %d was not sent: %+v", i, steps)
		}
		r := Result{MayHaveSent: true, Status: 200, Reply: &attempt.Reply{Status: 200, Body: body}}
		steps = node.Finished(now+50*time.Microsecond, steps[0].Attempt, r, steps[:0])
	}
	return node
}

// BenchmarkSizePermit measures signing and verifying one permit.
func BenchmarkSizePermit(b *testing.B) {
	node := sizedNode(60)
	m := link.Member{ID: "e", Address: "127.0.0.1:1", Incarnation: 1}
	for b.Loop() {
		if _, err := node.signer.ParseKey(node.Permit(0, m) + "/x"); err != nil {
			b.Fatal(err)
		}
	}
}
