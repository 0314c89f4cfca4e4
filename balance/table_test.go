package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func newTable(n int) *Table {
	var ups []Upstream
	for i := range n {
		ups = append(ups, Upstream{ID: fmt.Sprint("u", i), DataCentre: fmt.Sprint("dc", i%3), Slots: 6})
	}
	return NewTable(ups, "dc0", nil)
}

// TestFailureLowersNoEstimate checks that a failed request never lowers the load
// or latency estimate of its upstream, after any history, even if it fails
// fast or its reply reports no load. Else an upstream that fails fast would
// look idle and attract more requests.
func TestFailureLowersNoEstimate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tb := newTable(3)
		now := time.Duration(0)
		latency := func() time.Duration { return time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond }
		for range rapid.IntRange(1, 40).Draw(t, "answers") {
			now += latency()
			i := rapid.IntRange(0, 2).Draw(t, "upstream")
			tb.Sent(now, i, Short)
			tb.Finished(now, i, Done{Latency: latency(), Load: &Load{Outstanding: rapid.IntRange(0, 12).Draw(t, "working"), Slots: 6}})
		}
		now += latency()
		tb.freshness.value = 1
		load, lat := tb.Load(now, 0), tb.Latency(now, 0, Short)
		tb.Sent(now, 0, Short)
		tb.Finished(now, 0, Done{Failed: true, Latency: time.Duration(rapid.IntRange(0, 100).Draw(t, "took")), Load: &Load{Slots: 6}})
		const rounding = 1e-9
		if got := tb.Load(now, 0); got < load-rounding {
			t.Fatalf("load fell from %v to %v", load, got)
		}
		if got := tb.Latency(now, 0, Short); got < lat-rounding {
			t.Fatalf("latency fell from %v to %v", lat, got)
		}
	})
}

// TestLoadCountsOwnRequestsSinceReport checks that requests sent after a report
// add to the reported load at once.
func TestLoadCountsOwnRequestsSinceReport(t *testing.T) {
	tb := newTable(1)
	tb.freshness.value = 1
	tb.Sent(0, 0, Short)
	tb.Finished(0, 0, Done{Latency: time.Millisecond, Load: &Load{Outstanding: 3, Slots: 6}})
	if got := tb.Load(0, 0); got != 0.5 {
		t.Fatalf("load %v after a report of 3 of 6, want 0.5", got)
	}
	tb.Sent(0, 0, Long)
	tb.Sent(0, 0, Short)
	if got := tb.Load(0, 0); got < 5.0/6-1e-9 || got > 5.0/6+1e-9 {
		t.Fatalf("load %v after 2 more requests, want 5/6", got)
	}
}

// TestFreshnessDetectsLag checks that freshness is high if reports follow the
// entry's own requests, and near 0 if they lag by 50 reports.
func TestFreshnessDetectsLag(t *testing.T) {
	for _, lag := range []int{0, 50} {
		rng := rand.New(rand.NewPCG(1, 1))
		var f freshness
		var s signals
		var past []int
		others, own := 10, 0
		for k := range 5000 {
			others = max(0, others+rng.IntN(5)-2)
			own = max(0, own+rng.IntN(3)-1)
			past = append(past, others+own)
			working := past[max(0, k-lag)]
			f.add(&s, working, own)
			s.report(time.Duration(k)*time.Millisecond, Load{Outstanding: working, Slots: 6}, own)
		}
		if lag == 0 && f.value < 0.9 || lag > 0 && f.value > 0.1 {
			t.Errorf("freshness %v with a lag of %d reports", f.value, lag)
		}
	}
}

// TestDrawFollowsCapacity checks that the share of draws of each upstream is
// proportional to its slots times its weight.
func TestDrawFollowsCapacity(t *testing.T) {
	tb := NewTable([]Upstream{{ID: "a", DataCentre: "x", Slots: 2}, {ID: "b", DataCentre: "y", Slots: 6}, {ID: "c", DataCentre: "x", Slots: 4}}, "x", nil)
	tb.SetWeight(2, 0.5)
	rng := rand.New(rand.NewPCG(1, 1))
	var got [3]int
	const draws = 100_000
	for range draws {
		i, _ := tb.Draw(rng)
		got[i]++
	}
	for i, want := range []float64{0.2, 0.6, 0.2} {
		if share := float64(got[i]) / draws; share < want-0.01 || share > want+0.01 {
			t.Errorf("upstream %d drawn %.3f, want %.1f", i, share, want)
		}
	}
}
