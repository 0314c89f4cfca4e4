package agent

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkSizeAgent measures one minute of an idle, converged fleet, by fleet
// size: the bytes that an agent sends and receives, the CPU time and heap memory
// of its Node, and the fleet's calls to the platform's store. Its results go into
// docs/CAPACITY.md.
func BenchmarkSizeAgent(b *testing.B) {
	for _, n := range []int{6, 18, 48, 160} {
		b.Run(fmt.Sprintf("size=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			f := newFleet(n, 1)
			f.confirm(nil)
			if _, ok := f.advanceUntil(time.Minute, func() bool { return viewsConverged(f.hosts) }); !ok {
				b.Fatal("views do not converge")
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			bytes := newByteCount()
			f.onSend = func(_, _ *host, v any) { bytes.add(v) }
			f.storeCalls = 0
			for b.Loop() {
				f.advance(time.Minute)
			}
			minutes := float64(b.N)
			b.ReportMetric(2*float64(bytes.n)/float64(n)/(60*minutes), "agent-B/s")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(n)/(60*minutes), "agent-cpu-us/s")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "agent-heap-B")
			b.ReportMetric(float64(f.storeCalls)/minutes, "store-calls/min")
		})
	}
}
