package health

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/catkinrouter/catkinrouter/balance"
)

// oracle is the expected leaving state of one upstream, kept by simple rules.
type oracle struct {
	listed     bool
	reportedAt time.Duration
	reported   bool
	unanswered int
	seenDown   bool
	answered   int
}

// reportLeaving records a leaving report of the upstream or of another entry.
func (o *oracle) reportLeaving(now time.Duration) {
	*o = oracle{listed: o.listed, reported: true, reportedAt: now}
}

// mayReturn reports whether a leaving upstream may get a trial.
func (o *oracle) mayReturn(now time.Duration) bool {
	age := now - o.reportedAt
	return o.answered >= 2 && (o.seenDown && age >= 10*time.Second || age >= 5*time.Minute)
}

func (o *oracle) probed(now time.Duration, ok bool) {
	if !ok {
		o.answered, o.unanswered = 0, o.unanswered+1
		o.seenDown = o.seenDown || o.unanswered >= 2
		return
	}
	o.answered, o.unanswered = o.answered+1, 0
	if o.reported && o.mayReturn(now) {
		o.reported = false
	}
}

// TestTracker checks for random events that a leaving upstream gets no new work
// until it has shown that it is back, that never all of the other upstreams are
// ejected at once, and that an ejected upstream gets one request at a time.
func TestTracker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "upstreams")
		tr := New(n)
		o := make([]oracle, n)
		inFlight := make([]int, n) // trials in flight
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
				inFlight[i] = 0
			},
			"answer": func(t *rapid.T) {
				i := pick(t)
				tr.Finished(now, i, balance.Done{Latency: time.Millisecond})
				inFlight[i] = 0
			},
			"report leaving": func(t *rapid.T) {
				i := pick(t)
				tr.Finished(now, i, balance.Done{Shed: true, Failed: true, Leaving: true})
				o[i].reportLeaving(now)
				inFlight[i] = 0
			},
			"leaving by peer": func(t *rapid.T) {
				i := pick(t)
				if tr.MarkLeavingByPeer(now, i); tr.State(i) == Leaving && !o[i].reported && !o[i].listed {
					o[i].reportLeaving(now)
				}
			},
			"probe": func(t *rapid.T) {
				i := pick(t)
				ok := rapid.Bool().Draw(t, "ok")
				var l *balance.Load
				if ok {
					l = &balance.Load{Outstanding: 1, Slots: 6}
				}
				if tr.Probed(now, i, l); o[i].reported {
					o[i].probed(now, ok)
				}
			},
			"list leaving": func(t *rapid.T) {
				i := pick(t)
				leaving := rapid.Bool().Draw(t, "leaving")
				if leaving != o[i].listed {
					o[i] = oracle{listed: leaving}
				}
				tr.SetConfiguredLeaving(now, i, leaving)
			},
			"trial": func(t *rapid.T) {
				i, ok := tr.Trial(now)
				if !ok {
					return
				}
				if o[i].reported || o[i].listed {
					t.Fatalf("upstream %d got a trial but is leaving", i)
				}
				tr.Sent(i)
				if inFlight[i]++; inFlight[i] > 1 {
					t.Fatalf("upstream %d has %d trials in flight, want at most 1", i, inFlight[i])
				}
			},
			"": func(t *rapid.T) { checkTracker(t, tr, o, now) },
		})
	})
}

func checkTracker(t *rapid.T, tr *Tracker, o []oracle, now time.Duration) {
	staying, taking := 0, 0
	for i := range o {
		leaving := o[i].reported || o[i].listed
		w := tr.Weight(now, i)
		if leaving && w > 0 {
			t.Fatalf("upstream %d is leaving but has weight %v, want 0", i, w)
		}
		if !leaving {
			staying++
		}
		if w > 0 {
			taking++
		}
	}
	if least := staying - max(1, staying*3/10); taking < least || staying > 0 && taking == 0 {
		t.Fatalf("only %d of %d upstreams that are not leaving take work", taking, staying)
	}
}

// TestEjectionTrialAndSlowStart checks that an upstream is ejected after a few
// consecutive failures, stays ejected twice as long if its trial fails, and
// after successful trials rises to its full weight by slow start.
func TestEjectionTrialAndSlowStart(t *testing.T) {
	tr := New(10)
	for range consecutiveFailures {
		tr.Finished(0, 3, balance.Done{Failed: true})
	}
	if tr.State(3) != Ejected {
		t.Fatalf("state %v after %d consecutive failures, want ejected", tr.State(3), consecutiveFailures)
	}
	now := baseEjectionTime
	wantTrial := func(want bool) {
		t.Helper()
		if i, ok := tr.Trial(now); ok != want || ok && i != 3 {
			t.Fatalf("at %v: Trial returned %d, %v; want a trial of upstream 3: %v", now, i, ok, want)
		}
	}
	wantTrial(true)
	tr.Sent(3)
	wantTrial(false)
	tr.Finished(now, 3, balance.Done{Failed: true})
	now += 2*baseEjectionTime - 1
	wantTrial(false)
	now++
	for range requiredTrials {
		wantTrial(true)
		tr.Sent(3)
		tr.Finished(now, 3, balance.Done{Latency: time.Millisecond})
	}
	for _, c := range []struct {
		after time.Duration
		want  float64
	}{{0, 0.1}, {slowStart / 2, 0.6}, {slowStart, 1}} {
		if w := tr.Weight(now+c.after, 3); w < c.want-0.01 || w > c.want+0.01 {
			t.Errorf("weight %v at %v of slow start, want %v", w, c.after, c.want)
		}
	}
}

// TestReturnedUpstreamNeedsAllTrials checks that an upstream that returns after it
// left must succeed in as many trials as any other: one that succeeded before it
// left does not count.
func TestReturnedUpstreamNeedsAllTrials(t *testing.T) {
	tr := New(10)
	for range consecutiveFailures {
		tr.Finished(0, 3, balance.Done{Failed: true})
	}
	now := baseEjectionTime
	trial := func() {
		t.Helper()
		if i, ok := tr.Trial(now); !ok || i != 3 {
			t.Fatalf("at %v: Trial returned %d, %v; want upstream 3", now, i, ok)
		}
		tr.Sent(3)
		tr.Finished(now, 3, balance.Done{Latency: time.Millisecond})
	}
	trial()
	tr.MarkLeaving(now, 3)
	for range downProbes {
		tr.Probed(now, 3, nil)
	}
	now += minLeaving
	for range upProbes {
		tr.Probed(now, 3, &balance.Load{})
	}
	for n := 1; n < requiredTrials; n++ {
		trial()
		if tr.State(3) != Trial {
			t.Fatalf("state %v after %d of %d trials since its return", tr.State(3), n, requiredTrials)
		}
	}
	trial()
	if tr.State(3) != Cold {
		t.Errorf("state %v after all trials, want cold", tr.State(3))
	}
}

// TestLatencyOutlierEjection checks that an upstream that is a latency outlier in
// consecutive windows is ejected, and one that is an outlier in a single window
// is not.
func TestLatencyOutlierEjection(t *testing.T) {
	tr := New(10)
	for w := range 4 {
		for i := range 10 {
			d := 10 * time.Millisecond
			if i == 1 || i == 2 && w == 0 {
				d = 60 * time.Millisecond
			}
			for range minWindowRequests {
				tr.Finished(0, i, balance.Done{Latency: d})
			}
		}
		tr.Tick(time.Duration(w+1) * window)
	}
	if tr.State(1) != Ejected || tr.State(2) != Ready {
		t.Fatalf("states: constant outlier %v, want ejected; single outlier %v, want ready", tr.State(1), tr.State(2))
	}
}
