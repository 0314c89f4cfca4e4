package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/customer"
)

// A customer whose callers are all at three of 150 instances must get at least 93% of what
// one bucket with its limit would give them.
func TestLimitReachesFewInstances(t *testing.T) {
	for _, l := range limits {
		s := newSimulation(t, 150, l)
		end := s.clock.Now + 60*time.Second
		b, ideal := bucket{tokens: l.Burst, at: s.clock.Now}, 0
		s.onCall = func() {
			b.refill(s.clock.Now, l.PerSecond, l.Burst)
			ideal += b.take(1)
		}
		s.load(1.2*l.PerSecond, end, s.instances[50], s.instances[51], s.instances[52])
		s.clock.RunUntil(end)
		s.checkBound()
		if want := 0.93 * float64(ideal); float64(len(s.admitted)) < want {
			t.Errorf("%v: %d calls admitted, want %.0f", l, len(s.admitted), want)
		}
	}
}

// Calls within a limit of 2 per second, at any of 146 instances, must not be lost.
func TestSmallLimitLosesNothing(t *testing.T) {
	s := newSimulation(t, 146, customer.Limit{PerSecond: 2, Burst: 4})
	for i := range 120 {
		s.clock.After(time.Duration(i)*550*time.Millisecond, func() { s.instances[s.rng.IntN(146)].call() })
	}
	s.clock.RunUntil(s.clock.Now + 70*time.Second)
	if len(s.admitted) != 120 {
		t.Errorf("%d of 120 calls admitted", len(s.admitted))
	}
}

// While the primary allocator is dead, until another takes over and after, calls within the
// limit must go on: of small customers by the backup, of large ones by leases.
func TestServesWhileAllocatorIsReplaced(t *testing.T) {
	for _, l := range []customer.Limit{{PerSecond: 2, Burst: 4}, {PerSecond: 400, Burst: 400}} {
		s := newSimulation(t, 60, l)
		dies := s.clock.Now + 20*time.Second
		end := dies + 1800*time.Millisecond + warmUp
		s.load(0.6*l.PerSecond, end, s.instances[2:]...)
		s.clock.At(dies, func() {
			s.instances[0].down = true
			s.admitted = nil
		})
		s.clock.At(dies+1800*time.Millisecond, func() { s.setView(59, "i1", "i2") })
		s.clock.RunUntil(end)
		s.checkBound()
		// Calls come at random; a few at once may exceed what is left for the replacement.
		lost := s.refused + s.unknown
		if float64(lost) > 1+0.05*float64(len(s.admitted)) {
			t.Errorf("%v: %d calls lost, %d admitted", l, lost, len(s.admitted))
		}
	}
}

// A lost reply must not lose tokens: the repeated question gets the earlier grant.
func TestRepeatedQuestionIsGrantedOnce(t *testing.T) {
	a := NewAllocator(0, "i0", testQuota)
	a.SetFleet(0, []string{"i0"}, 2, 2)
	l := customer.Limit{PerSecond: 10, Burst: 10}
	now := 10 * time.Second
	for at := time.Duration(0); at < now; at += frozenAfter / 2 {
		a.Alive(at)
	}
	q := Question{Number: 1, Customer: testKey, Want: 6, Waiting: 6}
	for range 3 {
		if r := a.Grant(now, "i1", l, q); r.Granted != 6 {
			t.Errorf("granted %d, want 6", r.Granted)
		}
	}
	if r := a.Grant(now, "i2", l, q); r.Granted != 4 {
		t.Errorf("granted %d to another instance, want the other 4", r.Granted)
	}
}

// A call that was refused without having been sent must not use up the limit.
func TestReturnedTokenIsUsedAgain(t *testing.T) {
	s := newSimulation(t, 3, customer.Limit{PerSecond: 1, Burst: 1})
	in := s.instances[2]
	in.call()
	s.clock.RunUntil(s.clock.Now + 10*time.Millisecond)
	if len(s.admitted) != 1 {
		t.Fatal("the first call was not admitted")
	}
	expires := s.clock.Now + 500*time.Millisecond
	in.account.Return(s.clock.Now, Decision{Verdict: Admitted, expires: expires})
	if d := in.account.Take(s.clock.Now, true, false); d.Verdict != Admitted || d.expires != expires {
		t.Errorf("got %+v, want the returned token", d)
	}
	if d := in.account.Take(s.clock.Now, true, true); d.Verdict == Admitted {
		t.Error("the token was used twice")
	}
}

// Callers who return after the time that they were told must be served.
func TestRetryAfterIsTrue(t *testing.T) {
	for _, at := range []int{1, 10} {
		s := newSimulation(t, 20, customer.Limit{PerSecond: 20, Burst: 10})
		again := 0
		s.onRefusal = func(in *simInstance, d Decision) {
			again++
			s.clock.After(max(40*time.Millisecond, d.RetryAfter)+30*time.Millisecond, in.call)
		}
		for i := range 40 {
			s.clock.After(time.Duration(i)*time.Millisecond, s.instances[2+i%at].call)
		}
		s.clock.RunUntil(s.clock.Now + 5*time.Second)
		s.t.Logf("at %d instances: %d admitted, %d refusals", at, len(s.admitted), again)
		if len(s.admitted) != 40 {
			t.Errorf("%d of 40 calls admitted", len(s.admitted))
		}
		// The first refusals come from before the calls are spread.
		if again > 60 {
			t.Errorf("%d refusals of 30 calls that had to come back", again)
		}
	}
}

// An allocator that knows no limit, or has just started, must not decide.
func TestUnknownCountsAsNoReply(t *testing.T) {
	a := NewAllocator(0, "i0", testQuota)
	l := customer.Limit{PerSecond: 10, Burst: 10}
	if r := a.Grant(startupQuiet-1, "i1", l, Question{Number: 1, Want: 1, Waiting: 1}); !r.Unknown || r.Granted != 0 {
		t.Errorf("got %+v of an allocator that has just started", r)
	}
	if r := a.Grant(time.Minute, "i1", customer.Limit{}, Question{Number: 2, Want: 1, Waiting: 1}); !r.Unknown {
		t.Errorf("got %+v without a limit", r)
	}
}

// A part of the fleet that is cut off does not know what the rest serves: its refusals must
// not say that the customer is over its limit.
func TestCutOffAllocatorDoesNotBlameCustomer(t *testing.T) {
	s := newSimulation(t, 10, customer.Limit{PerSecond: 20, Burst: 1})
	s.setView(2, "i0", "i1")
	s.load(100, s.clock.Now+3*time.Second, s.instances[2:4]...)
	s.clock.RunUntil(s.clock.Now + 3*time.Second)
	if s.refused > 0 || s.unknown == 0 {
		t.Errorf("%d refusals as over the limit, %d as unknown", s.refused, s.unknown)
	}
}

// An instance that is the backup allocator itself asked itself without end, with its lock held,
// while the primary had not answered and the backup's reserve was used up.
func TestEmptyBackupIsNotAskedAtOnce(t *testing.T) {
	a := NewAccount(testKey, rand.New(rand.NewPCG(1, 2)))
	a.SetLimit(customer.Limit{PerSecond: 10, Burst: 10}, testQuota, 10)
	a.SetAllocators("i0", "i1")
	now := time.Second
	a.Take(now, true, false)
	a.Ask(now)
	now += RepeatAfter
	a.Ask(now) // repeated; the backup is next
	to, q, ok := a.Ask(now)
	if !ok || to != "i1" || !q.Backup {
		t.Fatalf("asked %q: %+v, %v", to, q, ok)
	}
	a.Receive(now, Reply{Number: q.Number, Customer: testKey, Backup: true, AskAfter: minAskAfter})
	if to, q, ok := a.Ask(now); ok {
		t.Errorf("asked %q again at once: %+v", to, q)
	}
	if _, _, ok := a.Ask(now + minAskAfter); !ok {
		t.Error("not asked again later")
	}
}

// Callers who are refused while the allocator is new must not all be told to come back at once.
func TestRefusalsOfNewAllocatorAreSpread(t *testing.T) {
	a := NewAccount(testKey, rand.New(rand.NewPCG(1, 2)))
	a.SetLimit(customer.Limit{PerSecond: 10, Burst: 10}, testQuota, 10)
	a.SetAllocators("i0", "i1")
	now := time.Second
	a.Take(now, true, false)
	_, q, _ := a.Ask(now)
	a.StopWaiting()
	a.Receive(now, Reply{Number: q.Number, Customer: testKey, Warming: true, AskAfter: 100 * time.Millisecond, RetryAfter: 50 * time.Millisecond})
	var last Decision
	for range 20 {
		last = a.Take(now, true, false)
	}
	if last.Verdict != Unknown || last.RetryAfter < time.Second {
		t.Errorf("the 20th call is told %+v, at 10 calls a second", last)
	}
}

// Customers and instances that are idle must not use memory for ever.
func TestIdleStateIsDropped(t *testing.T) {
	a := NewAllocator(0, "i0", testQuota)
	l := customer.Limit{PerSecond: 10, Burst: 10}
	for i := range 1000 {
		a.Grant(10*time.Second, "i1", l, Question{Number: 1, Customer: Key(i), Want: 1, Waiting: 1})
	}
	a.Grant(10*time.Second+IdleTime+sweepInterval, "i2", l, Question{Number: 1, Customer: 5000, Want: 1, Waiting: 1})
	if len(a.customers) != 1 {
		t.Errorf("%d customers kept", len(a.customers))
	}
}

// A token that is held must cost a call no allocation.
func TestTakeDoesNotAllocate(t *testing.T) {
	s := newSimulation(t, 3, customer.Limit{PerSecond: 100, Burst: 100})
	a := s.instances[2].account
	a.insert(lot{1000, s.clock.Now + time.Hour})
	if n := testing.AllocsPerRun(100, func() { a.Take(s.clock.Now, true, false); a.Ask(s.clock.Now) }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}
