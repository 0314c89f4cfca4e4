package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/catkinrouter/catkinrouter/balance"
	"github.com/catkinrouter/catkinrouter/config"
)

// TestSharesFollowCapacity checks that each data centre's share of the work
// over a minute is within 5 percentage points of its share of capacity,
// although one entry gets most calls and the other data centres are further
// away. This must also hold while some upstreams are slow.
func TestSharesFollowCapacity(t *testing.T) {
	for _, load := range []float64{0.3, 0.8} {
		for _, slow := range []int{0, 3} {
			t.Run(fmt.Sprintf("load %v slow %d", load, slow), func(t *testing.T) {
				s := newPoolSimulation(1, balance.HotCold, 3)
				for i := range slow {
					s.upstreams[fmt.Sprint("u", 4*i)].slow = 1.8
				}
				s.run(time.Minute, load, 0.7)
				for dc, want := range map[string]float64{"quito": 0.5, "otavalo": 0.25, "ibarra": 0.25} {
					got := float64(s.requestsByDC[dc]) / float64(s.calls)
					if got < want-0.05 || got > want+0.05 {
						t.Errorf("%s has %.3f of the work, %.2f of the capacity", dc, got, want)
					}
				}
			})
		}
	}
}

// TestFastFailingUpstreamIsAvoided checks for every policy that after the
// first second under 1% of calls reach an upstream that fails at once and
// reports no load.
func TestFastFailingUpstreamIsAvoided(t *testing.T) {
	for _, policy := range balance.Names() {
		s := newPoolSimulation(2, policy, 4)
		s.run(2*time.Second, 0.6, 0)
		s.upstreams["u7"].failing = true
		s.run(time.Second, 0.6, 0)
		s.resetCounts()
		s.run(10*time.Second, 0.6, 0)
		if requests := s.upstreams["u7"].requests; requests*100 >= s.calls {
			t.Errorf("%s: %d of %d calls reached it", policy, requests, s.calls)
		}
	}
}

// TestStaleReportsCauseNoHerding checks that hotcold, which uses load reports,
// is not slower with reports 500 ms old than the best policy that ignores
// them, within the noise of one seed.
func TestStaleReportsCauseNoHerding(t *testing.T) {
	const noise = 1.05
	var hotcold time.Duration
	best := time.Hour
	for _, policy := range balance.Names() {
		s := newPoolSimulation(3, policy, 4)
		for _, u := range s.upstreams {
			u.reportAge = 500 * time.Millisecond
		}
		s.run(2*time.Second, 0.8, 0)
		s.resetCounts()
		s.run(8*time.Second, 0.8, 0)
		slices.Sort(s.latencies)
		p99 := s.latencies[len(s.latencies)*99/100]
		if policy == balance.HotCold {
			hotcold = p99
			continue
		}
		best = min(best, p99)
	}
	if float64(hotcold) > noise*float64(best) {
		t.Errorf("p99 of hot-cold %v, of the best baseline %v", hotcold, best)
	}
}

// TestPoolInvariants checks that an upstream gets no requests once it, another
// entry or the configuration says that it is leaving, that its requests in
// flight are still counted, and that the connection limit holds.
func TestPoolInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "upstreams")
		svc := config.Service{Name: "pistas", Rules: config.Rules{Policy: rapid.SampledFrom(balance.Names()).Draw(t, "policy")}}
		for i := range n {
			svc.Upstreams = append(svc.Upstreams, config.Upstream{ID: fmt.Sprint("u", i), Slots: 6, Connections: 20})
		}
		view := FleetView{Entries: 4, EntryID: "e0", EntryIDs: []string{"e0", "e1"}}
		p := NewPool(svc, view, 1)
		leaving := map[string]bool{}
		listed := map[string]bool{}
		inFlight := map[string]int{}
		var now time.Duration
		drawUpstream := func(t *rapid.T) string { return fmt.Sprint("u", rapid.IntRange(0, n-1).Draw(t, "upstream")) }
		t.Repeat(map[string]func(*rapid.T){
			"pick": func(t *rapid.T) {
				q := balance.Query{NonIdempotent: rapid.Bool().Draw(t, "non-idempotent")}
				if rapid.Bool().Draw(t, "retry") {
					q.Exclude = []string{drawUpstream(t)}
				}
				id, _, ok := p.Pick(now, q)
				if !ok {
					return
				}
				if leaving[id] || listed[id] || slices.Contains(q.Exclude, id) {
					t.Fatalf("picked %s: leaving %v, listed %v, excluded %v", id, leaving[id], listed[id], q.Exclude)
				}
				if inFlight[id]++; inFlight[id] > p.ConnLimit(id) || p.ConnLimit(id) > 20/4 {
					t.Fatalf("%d requests in flight to %s, limit %d", inFlight[id], id, p.ConnLimit(id))
				}
				p.Sent(now, id, balance.Short)
			},
			"finish": func(t *rapid.T) {
				id := drawUpstream(t)
				if inFlight[id] == 0 {
					return
				}
				inFlight[id]--
				d := balance.Done{Latency: 5 * time.Millisecond, Failed: rapid.Bool().Draw(t, "failed"), Leaving: rapid.Bool().Draw(t, "says leaving")}
				leaving[id] = leaving[id] || d.Leaving
				p.Finished(now, id, d)
			},
			"hear": func(t *rapid.T) {
				id := drawUpstream(t)
				leaving[id] = true
				p.Leaving(now, id)
			},
			"configure": func(t *rapid.T) {
				i := rapid.IntRange(0, n-1).Draw(t, "upstream")
				svc.Upstreams = slices.Clone(svc.Upstreams)
				u := &svc.Upstreams[i]
				u.Leaving = rapid.Bool().Draw(t, "listed")
				if listed[u.ID] != u.Leaving {
					leaving[u.ID] = false
				}
				listed[u.ID] = u.Leaving
				p.Update(now, svc, view)
			},
			"advance": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond
				p.Probes(now)
			},
			"": func(t *rapid.T) {
				for _, u := range svc.Upstreams {
					if got := p.InFlight(u.ID, balance.Short); got != inFlight[u.ID] {
						t.Fatalf("%s: %d in flight, want %d", u.ID, got, inFlight[u.ID])
					}
				}
			},
		})
	})
}
