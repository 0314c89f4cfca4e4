package policies_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinrouter/catkinrouter/balance"
	"github.com/catkinrouter/catkinrouter/balance/policies"
)

func TestNames(t *testing.T) {
	var names []string
	for _, b := range policies.All() {
		names = append(names, b.Name())
	}
	if diff := cmp.Diff(balance.Names(), names); diff != "" {
		t.Fatal(diff)
	}
	var unknown *policies.UnknownError
	if _, err := policies.Find("fastest"); !errors.As(err, &unknown) || balance.Known("fastest") {
		t.Fatalf("an unknown policy was accepted: Find returned error %v", err)
	}
}

// table returns a Table of n upstreams with 6 slots each in 3 data centres.
func table(n int) *balance.Table {
	var ups []balance.Upstream
	for i := range n {
		ups = append(ups, balance.Upstream{ID: fmt.Sprint("u", i), DataCentre: fmt.Sprint("dc", i%3), Slots: 6})
	}
	return balance.NewTable(ups, "dc0", nil)
}

// TestPicksOnlyUsable checks that every policy skips upstreams that take no new
// work, are excluded or have reached their limit, and finds the only one left.
func TestPicksOnlyUsable(t *testing.T) {
	for _, b := range policies.All() {
		t.Run(b.Name(), func(t *testing.T) {
			tb := table(4)
			p := b.Build(tb)
			rng := rand.New(rand.NewPCG(1, 1))
			tb.SetWeight(0, 0)
			tb.SetLimit(1, 1)
			tb.Sent(0, 1, balance.Short)
			for range 200 {
				i, ok := p.Pick(0, balance.Query{Exclude: []string{"u2"}}, rng)
				if !ok || i != 3 {
					t.Fatalf("picked %d, %v, want 3", i, ok)
				}
			}
			tb.SetWeight(3, 0)
			if i, ok := p.Pick(0, balance.Query{Exclude: []string{"u2"}}, rng); ok {
				t.Fatalf("picked %d although none is usable", i)
			}
		})
	}
}

// TestPickAllocatesNothing checks that a pick with the bookkeeping of its request
// does not allocate while load reports and latencies are in use.
func TestPickAllocatesNothing(t *testing.T) {
	for _, b := range policies.All() {
		tb := table(60)
		step := cycle(tb, b.Build(tb))
		if n := testing.AllocsPerRun(1000, step); n != 0 {
			t.Errorf("%s: %v allocations per pick", b.Name(), n)
		}
	}
}

// cycle returns a function that finishes an earlier request, then picks an
// upstream and records a new request to it.
func cycle(tb *balance.Table, p balance.Picker) func() {
	rng := rand.New(rand.NewPCG(1, 1))
	sent := make([]int, tb.Len()*4)
	at := 0
	now := time.Duration(0)
	load := balance.Load{Outstanding: 3, Slots: 6}
	for k := range sent {
		sent[k] = -1
	}
	return func() {
		now += 20 * time.Microsecond
		if sent[at] >= 0 {
			tb.Finished(now, sent[at], balance.Done{Latency: time.Duration(rng.IntN(9)+1) * time.Millisecond, Load: &load})
		}
		i, _ := p.Pick(now, balance.Query{}, rng)
		tb.Sent(now, i, balance.Short)
		sent[at] = i
		at = (at + 1) % len(sent)
	}
}

// BenchmarkPick measures a pick including the bookkeeping of its request.
func BenchmarkPick(b *testing.B) {
	for _, policy := range policies.All() {
		for _, n := range []int{20, 60, 120, 240, 480} {
			b.Run(fmt.Sprintf("%s/%d", policy.Name(), n), func(b *testing.B) {
				tb := table(n)
				step := cycle(tb, policy.Build(tb))
				b.ReportAllocs()
				for b.Loop() {
					step()
				}
			})
		}
	}
}
