package entry

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/catkinrouter/catkinrouter/balance"
	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/internal/simclock"
)

// poolSimulation runs pools against fake upstreams on a simulated clock.
// Upstreams have slots and an unbounded queue, and report their load on each
// reply.
type poolSimulation struct {
	simclock.Clock
	rng          *rand.Rand
	pools        []*Pool
	upstreams    map[string]*fakeUpstream
	requestsByDC map[string]int
	// latencies and calls cover the time since the last resetCounts.
	latencies []time.Duration
	calls     int
}

type fakeUpstream struct {
	config.Upstream
	failing   bool
	slow      float64
	reportAge time.Duration // age of the reports
	requests  int
	working   int
	reports   []fakeReport
	waiting   []func()
}

type fakeReport struct {
	at      time.Duration
	working int
}

const (
	meanServiceTime = 30 * time.Millisecond
	remoteRTT       = 3 * time.Millisecond // round trip to another data centre
)

// newPoolSimulation returns a simulation with the given number of entries and
// 20 upstreams of 6 slots in three data centres, the first of which has half
// of the upstreams.
func newPoolSimulation(seed uint64, policy string, entries int) *poolSimulation {
	s := &poolSimulation{rng: rand.New(rand.NewPCG(seed, 9)), upstreams: map[string]*fakeUpstream{}, requestsByDC: map[string]int{}}
	svc := config.Service{Name: "pistas", Rules: config.Rules{Policy: policy}}
	for i := range 20 {
		dc := []string{"quito", "quito", "otavalo", "ibarra"}[i%4]
		u := config.Upstream{ID: fmt.Sprint("u", i), Address: fmt.Sprint("u", i), DataCentre: dc, Slots: 6, Connections: 250}
		svc.Upstreams = append(svc.Upstreams, u)
		s.upstreams[u.ID] = &fakeUpstream{Upstream: u, slow: 1}
	}
	for e := range entries {
		dc := []string{"quito", "otavalo", "ibarra"}[e%3]
		s.pools = append(s.pools, NewPool(svc, FleetView{DataCentre: dc, Entries: entries}, seed+uint64(e)))
	}
	return s
}

// capacity is the number of requests per second that the upstreams can serve.
func (s *poolSimulation) capacity() float64 {
	return float64(len(s.upstreams)*6) / meanServiceTime.Seconds()
}

// run generates load, as a share of capacity, for d. Entry 0 gets firstShare
// of the calls on top of its equal part of the rest. Requests in flight at the
// end continue in the next run.
func (s *poolSimulation) run(d time.Duration, load, firstShare float64) {
	end := s.Now + d
	var arrival, tick func()
	arrival = func() {
		if s.Now >= end {
			return
		}
		e := s.rng.IntN(len(s.pools))
		if s.rng.Float64() < firstShare {
			e = 0
		}
		s.call(s.pools[e])
		s.After(time.Duration(s.rng.ExpFloat64()/(load*s.capacity())*float64(time.Second)), arrival)
	}
	tick = func() {
		if s.Now >= end {
			return
		}
		for _, p := range s.pools {
			p.Probes(s.Now)
		}
		s.After(maintainInterval, tick)
	}
	s.After(0, arrival)
	s.After(0, tick)
	s.RunUntil(end)
}

// resetCounts clears what was measured.
func (s *poolSimulation) resetCounts() {
	s.latencies, s.calls = nil, 0
	clear(s.requestsByDC)
	for _, u := range s.upstreams {
		u.requests = 0
	}
}

func (s *poolSimulation) call(p *Pool) {
	id, _, ok := p.Pick(s.Now, balance.Query{})
	if !ok {
		return
	}
	u := s.upstreams[id]
	p.Sent(s.Now, id, balance.Short)
	s.calls++
	s.requestsByDC[u.DataCentre]++
	u.requests++
	start := s.Now
	finish := func(d balance.Done) {
		rtt := time.Duration(0)
		if u.DataCentre != p.view.DataCentre {
			rtt = remoteRTT
		}
		s.After(rtt, func() {
			d.Latency = s.Now - start
			p.Finished(s.Now, id, d)
			if !d.Failed {
				s.latencies = append(s.latencies, d.Latency)
			}
		})
	}
	if u.failing {
		finish(balance.Done{Failed: true, Load: &balance.Load{Slots: u.Slots}})
		return
	}
	s.serve(u, func() { finish(balance.Done{Load: s.report(u)}) })
}

func (s *poolSimulation) serve(u *fakeUpstream, done func()) {
	d := time.Duration(float64(meanServiceTime) * u.slow * (0.5 + 0.5*s.rng.ExpFloat64()))
	run := func() {
		s.After(d, func() {
			u.working--
			done()
			if len(u.waiting) > 0 {
				next := u.waiting[0]
				u.waiting = u.waiting[1:]
				next()
			}
		})
	}
	if u.working++; u.working <= u.Slots {
		run()
		return
	}
	u.waiting = append(u.waiting, run)
}

func (s *poolSimulation) report(u *fakeUpstream) *balance.Load {
	u.reports = append(u.reports, fakeReport{s.Now, u.working})
	for len(u.reports) > 1 && s.Now-u.reports[1].at >= u.reportAge {
		u.reports = u.reports[1:]
	}
	return &balance.Load{Outstanding: u.reports[0].working, Slots: u.Slots}
}
