package ctl_test

import (
	"testing"

	"github.com/catkinrouter/catkinrouter/ctl"
	"github.com/catkinrouter/catkinrouter/internal/httpreply/replytest"
	"github.com/catkinrouter/catkinrouter/internal/memtest"
)

// A server that answered without end took catkinctl over all memory.
func TestEndlessAnswersTakeBoundedMemory(t *testing.T) {
	const limit = 128 << 20 // bytes
	for _, c := range replytest.Endless {
		t.Run(c.Name, func(t *testing.T) {
			a := &agent{t: t, addr: replytest.AnswerEndless(t, c, 0)}
			memtest.ResidentPeak(t)
			before := memtest.ResidentPeak(t)
			if code, out, errs := a.run("confirm", "p1"); code != ctl.ExitIndefinite {
				t.Errorf("exit code %d, output %q, errors %q; want %d", code, out, errs, ctl.ExitIndefinite)
			}
			if rise := memtest.ResidentPeak(t) - before; rise > limit {
				t.Errorf("resident memory rose by %d bytes, want at most %d", rise, limit)
			}
		})
	}
}
