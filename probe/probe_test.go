package probe

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// process is one process of an entry, with its own clock.
type process struct {
	started time.Duration
	latest  time.Duration // latest time passed to budget, since started
	budget  *Budget
}

// TestFleetStaysWithinBudget checks that the probes of a fleet use at most
//
//	Share * slots * window + Entries * Cost
//
// of an upstream's slot time in any window, even if the entries' views of the
// fleet differ, entries are replaced, or a budget is passed a time earlier than
// the last one. A probe counts at the latest time passed to its entry's budget,
// the only clock that the budget has.
func TestFleetStaysWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Settings{
			Share:   rapid.SampledFrom([]float64{0.001, 0.005, 0.05}).Draw(t, "share"),
			Cost:    time.Duration(rapid.IntRange(1, 10).Draw(t, "cost ms")) * time.Millisecond,
			Entries: rapid.IntRange(1, 18).Draw(t, "entries"),
		}
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		fleet := make([]process, s.Entries)
		var now time.Duration
		for i := range fleet {
			fleet[i] = process{budget: NewBudget(0, s, slots)}
		}
		var probes []time.Duration
		send := func(i int, late time.Duration) {
			p := &fleet[i]
			at := max(0, now-p.started-late)
			p.latest = max(p.latest, at)
			if p.budget.Allow(at) {
				probes = append(probes, p.started+p.latest)
			}
		}
		entry := rapid.IntRange(0, s.Entries-1)
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 20_000_000).Draw(t, "us")) * time.Microsecond
			},
			"all send": func(*rapid.T) {
				for i := range fleet {
					send(i, 0)
				}
			},
			"one sends often": func(t *rapid.T) {
				i := entry.Draw(t, "entry")
				for range 5 {
					send(i, 0)
				}
			},
			"one sends with an old time": func(t *rapid.T) {
				send(entry.Draw(t, "entry"), time.Duration(rapid.IntRange(0, 10_000).Draw(t, "late ms"))*time.Millisecond)
			},
			"replace": func(t *rapid.T) {
				fleet[entry.Draw(t, "entry")] = process{started: now, budget: NewBudget(0, s, slots)}
			},
			"view of the fleet changes": func(t *rapid.T) {
				p := &fleet[entry.Draw(t, "entry")]
				seen := s
				seen.Entries = max(s.Entries, rapid.IntRange(1, 30).Draw(t, "seen"))
				p.latest = now - p.started
				p.budget.Set(p.latest, seen, slots)
			},
		})
		checkWindows(t, s, slots, probes)
	})
}

func checkWindows(t *rapid.T, s Settings, slots int, probes []time.Duration) {
	const rounding = 1e-6 // of a probe
	slices.Sort(probes)
	for i, from := range probes {
		for j := i; j < len(probes); j++ {
			window := (probes[j] - from).Seconds()
			used := float64(j-i+1) * s.Cost.Seconds()
			bound := s.Share*float64(slots)*window + float64(s.Entries)*s.Cost.Seconds()
			if used > bound+rounding*s.Cost.Seconds() {
				t.Fatalf("%d probes within %vs use %vs of slot time, bound %vs", j-i+1, window, used, bound)
			}
		}
	}
}

// TestBudgetStartsEmpty checks that a new budget is empty and accumulates at most
// one probe.
func TestBudgetStartsEmpty(t *testing.T) {
	s := Settings{Share: 0.006, Cost: 6 * time.Millisecond, Entries: 1}
	b := NewBudget(0, s, 1) // one probe per second
	for _, c := range []struct {
		at   time.Duration
		want bool
	}{{0, false}, {999 * time.Millisecond, false}, {time.Second, true}, {time.Minute, true}, {time.Minute, false}} {
		if got := b.Allow(c.at); got != c.want {
			t.Errorf("at %v: %v, want %v", c.at, got, c.want)
		}
	}
}

// TestPlannerProbesOnlyStale checks that only wanted targets with a stale report
// are probed, one probe at a time, and that each is reached within a few calls.
func TestPlannerProbesOnlyStale(t *testing.T) {
	const n = 3 * maxScan
	targets := make([]Target, n)
	for i := range targets {
		targets[i] = Target{ID: string(rune('a' + i)), Slots: 6}
	}
	s := Settings{Share: 0.5, Cost: time.Millisecond, Entries: 1}
	p := NewPlanner(0, s, targets, nil)
	reportAge := func(i int) (time.Duration, bool, bool) {
		return time.Duration(i%2) * 2 * staleAfter, true, i%4 != 3
	}
	probes := map[int]int{}
	for range 6 {
		for _, i := range p.Due(time.Second, reportAge, nil) {
			probes[i]++
		}
	}
	for i := range n {
		want := 0
		if i%4 == 1 {
			want = 1
		}
		if probes[i] != want {
			t.Errorf("target %d was probed %d times, want %d", i, probes[i], want)
		}
	}
}
