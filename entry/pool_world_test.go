package entry

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/catkinrouter/catkinrouter/balance"
	"github.com/catkinrouter/catkinrouter/config"
)

// fakeSite lets pools send to fake upstreams on a clock of its own. Upstreams
// have slots and a queue without bound, and report their load on each reply.
type fakeSite struct {
	now    time.Duration
	events events
	rng    *rand.Rand
	pools  []*Pool
	ups    map[string]*fakeUpstream
	dcs    map[string]int // requests by data centre
	// latencies and calls were counted since the last reset.
	latencies []time.Duration
	calls     int
}

type fakeUpstream struct {
	config.Upstream
	fail    bool
	slow    float64
	lag     time.Duration // age of the reports
	got     int
	working int
	reports []fakeReport
	waiting []func()
}

type fakeReport struct {
	at      time.Duration
	working int
}

const (
	fakeWork   = 30 * time.Millisecond // mean service time
	fakeRemote = 3 * time.Millisecond  // to another data centre and back
)

// newFakeSite returns entries and 20 upstreams of 6 slots in three data
// centres, of which the first has half of the upstreams.
func newFakeSite(seed uint64, policy string, entries int) *fakeSite {
	s := &fakeSite{rng: rand.New(rand.NewPCG(seed, 9)), ups: map[string]*fakeUpstream{}, dcs: map[string]int{}}
	svc := config.Service{Name: "pistas", Rules: config.Rules{Policy: policy}}
	for i := range 20 {
		dc := []string{"quito", "quito", "otavalo", "ibarra"}[i%4]
		u := config.Upstream{ID: fmt.Sprint("u", i), Address: fmt.Sprint("u", i), DataCentre: dc, Slots: 6, Connections: 250}
		svc.Upstreams = append(svc.Upstreams, u)
		s.ups[u.ID] = &fakeUpstream{Upstream: u, slow: 1}
	}
	for e := range entries {
		dc := []string{"quito", "otavalo", "ibarra"}[e%3]
		s.pools = append(s.pools, NewPool(svc, FleetView{DataCentre: dc, Entries: entries}, seed+uint64(e)))
	}
	return s
}

// capacity is the number of requests a second that the upstreams can do.
func (s *fakeSite) capacity() float64 { return float64(len(s.ups)*6) / fakeWork.Seconds() }

// run makes load for a time, as a share of capacity; requests in flight at its
// end go on in the next run. Entry 0 gets a share of the calls of its own.
func (s *fakeSite) run(d time.Duration, load, first float64) {
	end := s.now + d
	var arrive, tick func()
	arrive = func() {
		if s.now >= end {
			return
		}
		e := s.rng.IntN(len(s.pools))
		if s.rng.Float64() < first {
			e = 0
		}
		s.call(s.pools[e])
		s.after(time.Duration(s.rng.ExpFloat64()/(load*s.capacity())*float64(time.Second)), arrive)
	}
	tick = func() {
		if s.now >= end {
			return
		}
		for _, p := range s.pools {
			p.Probes(s.now)
		}
		s.after(maintainInterval, tick)
	}
	s.after(0, arrive)
	s.after(0, tick)
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.now = end
}

// reset forgets what was measured.
func (s *fakeSite) reset() {
	s.latencies, s.calls = nil, 0
	clear(s.dcs)
	for _, u := range s.ups {
		u.got = 0
	}
}

func (s *fakeSite) call(p *Pool) {
	id, _, ok := p.Pick(s.now, balance.Query{})
	if !ok {
		return
	}
	u := s.ups[id]
	p.Sent(s.now, id, balance.Short)
	s.calls++
	s.dcs[u.DataCentre]++
	u.got++
	start := s.now
	finish := func(d balance.Done) {
		net := time.Duration(0)
		if u.DataCentre != p.view.DataCentre {
			net = fakeRemote
		}
		s.after(net, func() {
			d.Latency = s.now - start
			p.Finished(s.now, id, d)
			if !d.Failed {
				s.latencies = append(s.latencies, d.Latency)
			}
		})
	}
	if u.fail {
		finish(balance.Done{Failed: true, Load: &balance.Load{Slots: u.Slots}})
		return
	}
	s.work(u, func() { finish(balance.Done{Load: s.report(u)}) })
}

func (s *fakeSite) work(u *fakeUpstream, done func()) {
	d := time.Duration(float64(fakeWork) * u.slow * (0.5 + 0.5*s.rng.ExpFloat64()))
	run := func() {
		s.after(d, func() {
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

func (s *fakeSite) report(u *fakeUpstream) *balance.Load {
	u.reports = append(u.reports, fakeReport{s.now, u.working})
	for len(u.reports) > 1 && s.now-u.reports[1].at >= u.lag {
		u.reports = u.reports[1:]
	}
	return &balance.Load{Working: u.reports[0].working, Slots: u.Slots}
}

func (s *fakeSite) after(d time.Duration, do func()) {
	heap.Push(&s.events, event{s.now + d, do})
}

type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}
