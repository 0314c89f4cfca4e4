package load

import (
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/internal/httpreply/replytest"
	"github.com/catkinrouter/catkinrouter/internal/memtest"
)

// A response without end took catkin-load over all memory.
func TestEndlessResponsesTakeBoundedMemory(t *testing.T) {
	const (
		limit   = 256 << 20 // bytes
		timeout = 2 * time.Second
	)
	r := NewRunner(&Scenario{Callers: 1})
	for _, c := range replytest.Endless {
		t.Run(c.Name, func(t *testing.T) {
			address := replytest.AnswerEndless(t, c, 0)
			memtest.ResidentPeak(t)
			before := memtest.ResidentPeak(t)
			var out callResult
			r.callers(Variant{}, nil)[0].try(&CallMix{Service: "tienda", Path: "/", Method: "GET"}, "call-1", timeout, address, &out)
			if out.outcome != "" || out.reason != "connection" {
				t.Errorf("outcome %q, reason %q; want no response", out.outcome, out.reason)
			}
			if rise := memtest.ResidentPeak(t) - before; rise > limit {
				t.Errorf("resident memory rose by %d bytes, want at most %d", rise, limit)
			}
		})
	}
}
