package ratelimit

import (
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/customer"
)

// limits are those of a customer with few calls, a usual one, the largest, and one whose
// burst is small beside its rate.
var limits = []customer.Limit{{PerSecond: 2, Burst: 2}, {PerSecond: 10, Burst: 10}, {PerSecond: 30, Burst: 30}, {PerSecond: 400, Burst: 400}, {PerSecond: 400, Burst: 20}}

// forLimits runs a test for each limit, with a fleet of 60 instances.
func forLimits(t *testing.T, test func(s *simulation, end time.Duration)) {
	for _, l := range limits {
		t.Run("", func(t *testing.T) {
			s := newSimulation(t, 60, l)
			end := s.clock.Now + 30*time.Second
			test(s, end)
			s.clock.RunUntil(end)
			s.checkBound()
		})
	}
}

// steps runs do at the given times after now.
func (s *simulation) after(d time.Duration, do func()) { s.clock.After(d, do) }

// A customer that sends 7.5 times its limit at all instances must not exceed the bound,
// and must get its limit.
func TestBoundUnderExcessDemand(t *testing.T) {
	forLimits(t, func(s *simulation, end time.Duration) {
		s.load(7.5*s.limit.PerSecond, end, s.instances...)
		s.clock.RunUntil(end)
		if want := 0.93 * s.limit.PerSecond * 30; float64(len(s.admitted)) < want {
			s.t.Errorf("%d calls admitted, want %.0f", len(s.admitted), want)
		}
	})
}

// Instances that are cut off from all others while demand rises must not add their rates
// to what the others get.
func TestBoundWhileInstancesAreCutOff(t *testing.T) {
	for _, cut := range []int{1, 20, 40, 59} {
		forLimits(t, func(s *simulation, end time.Duration) {
			s.load(0.8*s.limit.PerSecond, s.clock.Now+8*time.Second, s.instances...)
			s.after(8*time.Second, func() {
				for i, in := range s.instances[2 : cut+1] {
					in.side = i + 1
				}
				s.load(7.5*s.limit.PerSecond, end, s.instances...)
			})
			s.after(11*time.Second, func() { s.setView(61-cut, "i0", "i1") })
			s.after(20*time.Second, func() {
				for _, in := range s.instances {
					in.side = 0
				}
			})
			s.after(21*time.Second, func() { s.setView(60, "i0", "i1") })
		})
	}
}

// Two halves of a fleet, each with allocators of its own, must not both grant the whole
// limit.
func TestBoundWhileHalvesAreCutOff(t *testing.T) {
	forLimits(t, func(s *simulation, end time.Duration) {
		s.load(7.5*s.limit.PerSecond, end, s.instances...)
		half := s.instances[30:]
		s.after(8*time.Second, func() {
			for _, in := range half {
				in.side = 1
			}
		})
		s.after(9500*time.Millisecond, func() { s.setView(60, "i30", "i31", half...) })
		s.after(11*time.Second, func() {
			s.setView(30, "i30", "i31", half...)
			s.setView(30, "i0", "i1", s.instances[:30]...)
		})
		s.after(22*time.Second, func() {
			for _, in := range half {
				in.side = 0
			}
			s.setView(60, "i0", "i1")
		})
	})
}

// An allocator that dies and the one that takes over must not both spend the limit, also
// while some instances still ask the old one, which was only cut off from the others.
func TestBoundWhileAllocatorChanges(t *testing.T) {
	for _, dies := range []bool{true, false} {
		forLimits(t, func(s *simulation, end time.Duration) {
			s.load(0.8*s.limit.PerSecond, s.clock.Now+8*time.Second, s.instances...)
			s.after(8*time.Second, func() {
				s.instances[0].down = dies
				s.load(7.5*s.limit.PerSecond, end, s.instances...)
			})
			for i, in := range s.instances {
				s.after(9200*time.Millisecond+time.Duration(i)*15*time.Millisecond, func() { s.setView(60, "i1", "i2", in) })
			}
		})
	}
}

// All instances that start at once, without any state, must not each take the customer's
// burst.
func TestBoundWhenAllStartAtOnce(t *testing.T) {
	forLimits(t, func(s *simulation, end time.Duration) {
		s.load(7.5*s.limit.PerSecond, end, s.instances...)
		s.after(8*time.Second, func() {
			for _, in := range s.instances {
				in.start()
				s.setView(1, in.name, "", in)
			}
		})
		s.after(8500*time.Millisecond, func() { s.setView(60, "i0", "i1") })
	})
}

// An allocator that was stopped for some seconds and goes on where it stopped must not
// spend what the one that replaced it has spent.
func TestBoundAfterAllocatorWasFrozen(t *testing.T) {
	forLimits(t, func(s *simulation, end time.Duration) {
		s.load(7.5*s.limit.PerSecond, end, s.instances...)
		s.after(8*time.Second, func() { s.instances[0].down = true })
		s.after(9500*time.Millisecond, func() { s.setView(60, "i1", "i2", s.instances[1:]...) })
		s.after(14*time.Second, func() { s.instances[0].down = false })
		for i, in := range s.instances[1:] {
			s.after(14*time.Second+time.Duration(i)*15*time.Millisecond, func() { s.setView(60, "i0", "i1", in) })
		}
	})
}

// Instances that start one after the other, the allocators too, must not exceed the bound.
func TestBoundWhileInstancesRestart(t *testing.T) {
	forLimits(t, func(s *simulation, end time.Duration) {
		s.load(7.5*s.limit.PerSecond, end, s.instances...)
		for i, in := range s.instances {
			s.after(8*time.Second+time.Duration(i)*100*time.Millisecond, func() {
				in.start()
				s.setView(1, in.name, "", in)
			})
			s.after(8300*time.Millisecond+time.Duration(i)*100*time.Millisecond, func() { s.setView(60, "i0", "i1", in) })
		}
	})
}

// Replies and questions that are lost must not make tokens count twice.
func TestBoundWhileMessagesAreLost(t *testing.T) {
	forLimits(t, func(s *simulation, end time.Duration) {
		s.lost, s.delay = 0.3, 8*time.Millisecond
		s.load(7.5*s.limit.PerSecond, end, s.instances...)
	})
}

// A lowered limit must hold once the tokens of the higher one have ended.
func TestBoundAfterLimitIsLowered(t *testing.T) {
	forLimits(t, func(s *simulation, end time.Duration) {
		s.load(7.5*s.limit.PerSecond, end, s.instances...)
		s.clock.RunUntil(s.clock.Now + 8*time.Second)
		s.limit.PerSecond /= 4
		s.limit.Burst /= 4
		s.setView(60, "i0", "i1")
		s.clock.RunUntil(s.clock.Now + maxLifetime)
		s.admitted = nil
	})
}
