package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/customer"
	"github.com/catkinrouter/catkinrouter/internal/simclock"
)

var testQuota = Quota{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}

const testKey Key = 7

// simulation is a fleet whose instances exchange questions and replies with a delay.
type simulation struct {
	t         *testing.T
	clock     simclock.Clock
	rng       *rand.Rand
	limit     customer.Limit
	instances []*simInstance
	// delay is that of one message, lost its chance to be lost.
	delay time.Duration
	lost  float64
	// admitted holds the times of admitted calls.
	admitted         []time.Duration
	refused, unknown int
	questions        int
	// onRefusal is called with refused calls.
	onRefusal func(in *simInstance, d Decision)
	onCall    func()
}

// simInstance is one instance. Messages pass only between instances of the same side.
type simInstance struct {
	s         *simulation
	name      string
	side      int
	down      bool
	account   *Account
	allocator *Allocator
	waiters   []time.Duration // when each must end
}

// newSimulation returns a fleet of n instances that ran for long before.
func newSimulation(t *testing.T, n int, limit customer.Limit) *simulation {
	s := &simulation{t: t, rng: rand.New(rand.NewPCG(1, uint64(n))), limit: limit, delay: time.Millisecond}
	for i := range n {
		in := &simInstance{s: s, name: fmt.Sprint("i", i)}
		in.start()
		in.live()
		s.instances = append(s.instances, in)
	}
	s.setView(n, "i0", "i1")
	s.clock.RunUntil(10 * time.Second)
	return s
}

// start starts the process of the instance without any state.
func (in *simInstance) start() {
	now := in.s.clock.Now
	in.account = NewAccount(testKey, rand.New(rand.NewPCG(in.s.rng.Uint64(), 1)))
	in.allocator = NewAllocator(now, in.name, testQuota)
	in.waiters, in.down = nil, false
}

// live tells the allocator that the process runs.
func (in *simInstance) live() {
	if !in.down {
		in.allocator.Alive(in.s.clock.Now)
	}
	in.s.clock.After(250*time.Millisecond, in.live)
}

// setView makes the instances, all or the given ones, see live instances and allocators.
func (s *simulation) setView(live int, primary, backup string, only ...*simInstance) {
	if only == nil {
		only = s.instances
	}
	for _, in := range only {
		in.account.SetAllocators(primary, backup)
		// The tests choose the primary allocator, which is the only one that the others know.
		in.allocator.SetFleet(s.clock.Now, []string{primary}, live, 0)
		in.account.SetLimit(s.limit, testQuota, in.allocator.Instances(s.clock.Now))
	}
}

func (s *simulation) instance(name string) *simInstance {
	for _, in := range s.instances {
		if in.name == name {
			return in
		}
	}
	return nil
}

// deliver calls do after the delay, unless the message is lost.
func (s *simulation) deliver(from, to *simInstance, do func()) {
	if from.side != to.side || s.rng.Float64() < s.lost {
		return
	}
	s.clock.After(s.delay, func() {
		if !to.down && from.side == to.side {
			do()
		}
	})
}

// call is one call of the customer at the instance.
func (in *simInstance) call() {
	if in.down {
		return
	}
	if in.s.onCall != nil {
		in.s.onCall()
	}
	until := in.s.clock.Now + ReplyTimeout
	d := in.account.Take(in.s.clock.Now, true, false)
	if d.Verdict == Wait {
		in.s.clock.At(until, in.wake)
	}
	in.decide(d, until)
	in.ask()
}

func (in *simInstance) decide(d Decision, until time.Duration) {
	switch d.Verdict {
	case Admitted:
		in.s.admitted = append(in.s.admitted, in.s.clock.Now)
	case Wait:
		in.waiters = append(in.waiters, until)
	case OverLimit:
		in.s.refused++
		if in.s.onRefusal != nil {
			in.s.onRefusal(in, d)
		}
	case Unknown:
		in.s.unknown++
	}
}

// wake decides about the waiting calls again.
func (in *simInstance) wake() {
	now, waiters := in.s.clock.Now, in.waiters
	in.waiters = nil
	for _, until := range waiters {
		in.account.StopWaiting()
		in.decide(in.account.Take(now, false, now >= until), until)
	}
	in.ask()
}

// ask sends the questions that are due.
func (in *simInstance) ask() {
	for {
		address, q, ok := in.account.Ask(in.s.clock.Now)
		if !ok {
			return
		}
		in.s.questions++
		account, to := in.account, in.s.instance(address)
		in.s.deliver(in, to, func() {
			r := to.allocator.Grant(in.s.clock.Now, in.name, in.s.limit, q)
			in.s.deliver(to, in, func() {
				if in.account == account && in.account.Receive(in.s.clock.Now, r) {
					in.wake()
				}
			})
		})
		for _, d := range []time.Duration{RepeatAfter, ReplyTimeout} {
			in.s.clock.After(d, func() {
				if in.account == account && !in.down {
					in.wake()
				}
			})
		}
	}
}

// load makes the customer call at random moments, perSecond in sum, at the instances
// until end.
func (s *simulation) load(perSecond float64, end time.Duration, at ...*simInstance) {
	next := s.clock.Now + seconds(s.rng.ExpFloat64()/perSecond)
	if next >= end {
		return
	}
	s.clock.At(next, func() {
		at[s.rng.IntN(len(at))].call()
		s.load(perSecond, end, at...)
	})
}

// checkBound fails if any window holds more calls than the bound.
func (s *simulation) checkBound() {
	s.t.Helper()
	bound := s.limit.PerSecond*testQuota.Window.Seconds() + s.limit.Burst + testQuota.tolerance(s.limit)
	most, first := 0, 0
	for i, at := range s.admitted {
		for s.admitted[first] <= at-testQuota.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	s.t.Logf("most calls in a window: %d, bound %.0f; admitted %d, refused %d, unknown %d, questions %d",
		most, bound, len(s.admitted), s.refused, s.unknown, s.questions)
	if float64(most) > bound {
		s.t.Errorf("%d calls in a window, the bound is %.1f", most, bound)
	}
}
