package health

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/catkinrouter/catkinrouter/balance"
)

// oracle is a plain account of what upstreams said and did.
type oracle struct {
	listed   bool
	saidAt   time.Duration
	said     bool
	silent   int
	gone     bool
	answered int
}

func (o *oracle) word(now time.Duration) { *o = oracle{listed: o.listed, said: true, saidAt: now} }

// mayReturn tells whether an upstream that said it leaves may be tried.
func (o *oracle) mayReturn(now time.Duration) bool {
	quiet := now - o.saidAt
	return o.answered >= 2 && (o.gone && quiet >= 10*time.Second || quiet >= 5*time.Minute)
}

func (o *oracle) probed(now time.Duration, ok bool) {
	if !ok {
		o.answered, o.silent = 0, o.silent+1
		o.gone = o.gone || o.silent >= 2
		return
	}
	o.answered, o.silent = o.answered+1, 0
	if o.said && o.mayReturn(now) {
		o.said = false
	}
}

// Whatever upstreams do: one that leaves gets nothing new until it showed to
// be back, never all of the others are out, and an ejected one gets one
// request at a time.
func TestTracker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "upstreams")
		tr := New(n)
		o := make([]oracle, n)
		out := make([]int, n) // trials under way
		now := time.Duration(0)
		pick := func(t *rapid.T) int { return rapid.IntRange(0, n-1).Draw(t, "upstream") }
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 400_000).Draw(t, "ms")) * time.Millisecond / 4
				tr.Tick(now)
			},
			"fail": func(t *rapid.T) {
				i := pick(t)
				for range rapid.IntRange(1, 6).Draw(t, "times") {
					tr.Finished(now, i, balance.Done{Failed: true})
				}
				out[i] = 0
			},
			"answer": func(t *rapid.T) {
				i := pick(t)
				tr.Finished(now, i, balance.Done{Latency: time.Millisecond})
				out[i] = 0
			},
			"say": func(t *rapid.T) {
				i := pick(t)
				tr.Finished(now, i, balance.Done{Shed: true, Failed: true, Leaving: true})
				o[i].word(now)
				out[i] = 0
			},
			"hear": func(t *rapid.T) {
				i := pick(t)
				if tr.OthersWord(now, i); tr.State(i) == Leaving && !o[i].said && !o[i].listed {
					o[i].word(now)
				}
			},
			"probe": func(t *rapid.T) {
				i := pick(t)
				ok := rapid.Bool().Draw(t, "ok")
				var l *balance.Load
				if ok {
					l = &balance.Load{Working: 1, Slots: 6}
				}
				if tr.Probed(now, i, l); o[i].said {
					o[i].probed(now, ok)
				}
			},
			"list": func(t *rapid.T) {
				i := pick(t)
				leaving := rapid.Bool().Draw(t, "leaving")
				if leaving != o[i].listed {
					o[i] = oracle{listed: leaving}
				}
				tr.SetListed(now, i, leaving)
			},
			"try": func(t *rapid.T) {
				i, ok := tr.Trial(now)
				if !ok {
					return
				}
				if o[i].said || o[i].listed {
					t.Fatalf("upstream %d is tried though it leaves", i)
				}
				tr.Sent(i)
				if out[i]++; out[i] > 1 {
					t.Fatalf("upstream %d got %d trials at once", i, out[i])
				}
			},
			"": func(t *rapid.T) { checkTracker(t, tr, o, now) },
		})
	})
}

func checkTracker(t *rapid.T, tr *Tracker, o []oracle, now time.Duration) {
	staying, taking := 0, 0
	for i := range o {
		leaves := o[i].said || o[i].listed
		w := tr.Weight(now, i)
		if leaves && w > 0 {
			t.Fatalf("upstream %d leaves and has weight %v", i, w)
		}
		if !leaves {
			staying++
		}
		if w > 0 {
			taking++
		}
	}
	if least := staying - max(1, staying*3/10); taking < least || staying > 0 && taking == 0 {
		t.Fatalf("%d of %d upstreams that stay take work", taking, staying)
	}
}

// One that fails at once is out after few failures, comes back by trials and
// warms up; one that fails its trial stays out twice as long.
func TestEjectTryWarm(t *testing.T) {
	tr := New(10)
	for range failuresInRow {
		tr.Finished(0, 3, balance.Done{Failed: true})
	}
	if tr.State(3) != Ejected {
		t.Fatalf("state %v after %d failures", tr.State(3), failuresInRow)
	}
	now := firstEjection
	try := func(want bool) {
		t.Helper()
		if i, ok := tr.Trial(now); ok != want || ok && i != 3 {
			t.Fatalf("at %v: trial of %d, %v; want %v", now, i, ok, want)
		}
	}
	try(true)
	tr.Sent(3)
	try(false)
	tr.Finished(now, 3, balance.Done{Failed: true})
	now += 2*firstEjection - 1
	try(false)
	now++
	for range trialsNeeded {
		try(true)
		tr.Sent(3)
		tr.Finished(now, 3, balance.Done{Latency: time.Millisecond})
	}
	for _, c := range []struct {
		after time.Duration
		want  float64
	}{{0, 0.1}, {slowStart / 2, 0.6}, {slowStart, 1}} {
		if w := tr.Weight(now+c.after, 3); w < c.want-0.01 || w > c.want+0.01 {
			t.Errorf("weight %v after %v, want %v", w, c.after, c.want)
		}
	}
}

// An upstream that is slow beyond the others for long is ejected, one that is
// slow for a moment is not.
func TestSlowOutlier(t *testing.T) {
	tr := New(10)
	for w := range 4 {
		for i := range 10 {
			d := 10 * time.Millisecond
			if i == 1 || i == 2 && w == 0 {
				d = 60 * time.Millisecond
			}
			for range slowRequests {
				tr.Finished(0, i, balance.Done{Latency: d})
			}
		}
		tr.Tick(time.Duration(w+1) * window)
	}
	if tr.State(1) != Ejected || tr.State(2) != Ready {
		t.Fatalf("states %v and %v, want ejected and ready", tr.State(1), tr.State(2))
	}
}
