package probe

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// process is one entry process in a slot of the fleet, with its own clock.
type process struct {
	started time.Duration
	last    time.Duration // latest time told, since started
	budget  *Budget
}

// Whatever the entries see of each other, and however they are replaced, the
// probes of a fleet use at most
//
//	Share * slots * window + Entries * Cost
//
// of an upstream's slot time in any window. A probe counts at the latest time
// that its entry was told: an entry knows no other.
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
		ask := func(i int, late time.Duration) {
			p := &fleet[i]
			told := max(0, now-p.started-late)
			p.last = max(p.last, told)
			if p.budget.Take(told) {
				probes = append(probes, p.started+p.last)
			}
		}
		entry := rapid.IntRange(0, s.Entries-1)
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 20_000_000).Draw(t, "us")) * time.Microsecond
			},
			"all ask": func(*rapid.T) {
				for i := range fleet {
					ask(i, 0)
				}
			},
			"ask often": func(t *rapid.T) {
				i := entry.Draw(t, "entry")
				for range 5 {
					ask(i, 0)
				}
			},
			"ask with an old time": func(t *rapid.T) {
				ask(entry.Draw(t, "entry"), time.Duration(rapid.IntRange(0, 10_000).Draw(t, "late ms"))*time.Millisecond)
			},
			"replace": func(t *rapid.T) {
				fleet[entry.Draw(t, "entry")] = process{started: now, budget: NewBudget(0, s, slots)}
			},
			"see more or less": func(t *rapid.T) {
				p := &fleet[entry.Draw(t, "entry")]
				seen := s
				seen.Entries = max(s.Entries, rapid.IntRange(1, 30).Draw(t, "seen"))
				p.last = now - p.started
				p.budget.Set(p.last, seen, slots)
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

// A fresh budget is empty, and does not save up more than one probe.
func TestBudgetStartsEmpty(t *testing.T) {
	s := Settings{Share: 0.006, Cost: 6 * time.Millisecond, Entries: 1}
	b := NewBudget(0, s, 1) // one probe a second
	for _, c := range []struct {
		at   time.Duration
		want bool
	}{{0, false}, {999 * time.Millisecond, false}, {time.Second, true}, {time.Minute, true}, {time.Minute, false}} {
		if got := b.Take(c.at); got != c.want {
			t.Errorf("at %v: %v, want %v", c.at, got, c.want)
		}
	}
}

// Only upstreams with old evidence are probed, one probe at a time, and each
// is looked at within a bounded number of calls.
func TestPlannerOnlyOldEvidence(t *testing.T) {
	const n = 3 * perTick
	targets := make([]Target, n)
	for i := range targets {
		targets[i] = Target{ID: string(rune('a' + i)), Slots: 6}
	}
	s := Settings{Share: 0.5, Cost: time.Millisecond, Entries: 1}
	p := NewPlanner(0, s, targets, nil)
	evidence := func(i int) (time.Duration, bool, bool) {
		return time.Duration(i%2) * 2 * staleAfter, true, i%4 != 3
	}
	asked := map[int]int{}
	for range 6 {
		for _, i := range p.Due(time.Second, evidence, nil) {
			asked[i]++
		}
	}
	for i := range n {
		want := 0
		if i%4 == 1 {
			want = 1
		}
		if asked[i] != want {
			t.Errorf("target %d was probed %d times, want %d", i, asked[i], want)
		}
	}
}
