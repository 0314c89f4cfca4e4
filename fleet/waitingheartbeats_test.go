package fleet

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Heartbeats that waited in the socket while an instance handled none, from the second one on,
// made its copy as new as if they had just been sent.
func TestQueuedHeartbeatsProveNothingNew(t *testing.T) {
	s := newFakeStore()
	s.put("k", "v")
	a := startInstance(t, s)
	b := startInstance(t, s, a.id)
	list := []*instance{a, b}
	proven := func(in *instance) bool { return in.f.CopyAge() != AgeUnknown && in.f.Status().Live == 2 }
	waitUntil(t, list, proven)
	for i := range 12 { // until each has heard of the other's clock
		s.put("k", fmt.Sprint(i))
		time.Sleep(HeartbeatInterval / 4)
	}
	a.f.mu.Lock() // nothing is handled, as when the process is stopped
	for i := range 10 {
		s.put("k", fmt.Sprint("queued ", i))
		time.Sleep(batchDelay)
	}
	s.update(func() { s.down["*"] = true })
	silent := time.Now() // no instance can have read anything newer
	time.Sleep(4 * HeartbeatInterval)
	a.f.mu.Unlock()
	for end := time.Now().Add(4 * HeartbeatInterval); time.Now().Before(end); time.Sleep(HeartbeatInterval / 10) {
		for i, in := range list {
			least := time.Since(silent)
			if age := in.f.CopyAge(); age < least {
				t.Fatalf("instance %d: the copy passes for %v old, and the store is away for %v", i, age, least)
			}
		}
	}
	for _, in := range list {
		in.stopAndWait(t)
	}
}

// standstillSeeds is for longer runs of TestNoCopySeemsYoungerThanItIs by hand.
var standstillSeeds = flag.Uint64("standstill.seeds", 4, "the seeds of TestNoCopySeemsYoungerThanItIs")

// Copies seemed younger with each instance that passed on their age, most of all where messages
// waited: in sockets of an instance that stood still, or in a link.
func TestNoCopySeemsYoungerThanItIs(t *testing.T) {
	for seed := range *standstillSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSimulation(30, seed)
			s.startAll(60)
			rng := rand.New(rand.NewPCG(seed, 1))
			for range 4 {
				s.playStandstill(t, rng)
			}
		})
	}
}

// playStandstill takes the store away while some instances stand still and the links of others
// hold messages up, and checks the age of all copies until it is back.
func (s *simulation) playStandstill(t *testing.T, rng *rand.Rand) {
	t.Helper()
	duration := func(longest time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(longest))) }
	for range 1 + rng.IntN(8) {
		in := s.instances[rng.IntN(len(s.instances))]
		s.At(s.Now+duration(2*time.Second), func() { in.frozen = s.Now + duration(5*time.Second) })
	}
	for range rng.IntN(4) {
		in := s.instances[rng.IntN(len(s.instances))]
		s.At(s.Now+duration(3*time.Second), func() { in.linkFree = s.Now + duration(2*time.Second) })
	}
	s.At(s.Now+2*time.Second, func() { s.storeOut = true })
	for end := s.Now + 8*time.Second; s.Now < end; s.RunUntil(s.Now + 20*time.Millisecond) {
		if rng.IntN(10) == 0 {
			s.put("upstream-0", s.Now.String())
		}
		for _, in := range s.instances {
			if age, least := in.f.CopyAge(), s.Now-s.answeredAt; age < least {
				t.Fatalf("%s: the copy passes for %v old at %v, and the store has answered no one for %v", in.info.Address, age, s.Now, least)
			}
		}
	}
	s.storeOut = false
	s.RunUntil(s.Now + 3*time.Second)
}

// A moment of a peer's clock must never be taken for a later one of the own clock than it is,
// whatever the delays of the messages and the rates of the clocks.
func TestPeerClockIsALowerBound(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		rate := 1 + (2*rng.Float64()-1)*maxClockDrift*0.9
		began := time.Duration(rng.Int64N(int64(time.Hour)))
		peerTime := func(own time.Duration) time.Duration { return time.Duration(rate * float64(own-began)) }
		var c peerClock
		now := began
		for range 50 {
			sent := now
			now += time.Duration(rng.ExpFloat64() * float64(200*time.Millisecond))
			c.observe(1, sent, peerTime(now))
			now += time.Duration(rng.ExpFloat64() * float64(200*time.Millisecond))
			moment := now - time.Duration(rng.Int64N(int64(10*time.Second)))
			got, ok := c.ownTimeOf(heartbeat{Incarnation: 1, SentAt: peerTime(moment)}, now)
			if !ok || got > moment+time.Microsecond {
				t.Fatalf("rate %v: the moment %v is taken for %v (%v)", rate, moment, got, ok)
			}
			if _, ok := c.ownTimeOf(heartbeat{Incarnation: 2, SentAt: peerTime(moment)}, now); ok {
				t.Fatal("the clock of an earlier process is used for a later one")
			}
		}
	}
}

// A peer whose clock jumps must not make a copy newer.
func TestHeartbeatFromTheFutureEndsTheRelation(t *testing.T) {
	var c peerClock
	c.observe(1, time.Second, time.Second)
	if at, ok := c.ownTimeOf(heartbeat{Incarnation: 1, SentAt: time.Hour}, 2*time.Second); ok {
		t.Errorf("a heartbeat of a clock that jumped counts as of %v", at)
	}
	if at, ok := c.ownTimeOf(heartbeat{Incarnation: 1, SentAt: time.Second}, 2*time.Second); ok {
		t.Errorf("the relation from before the jump is used: %v", at)
	}
}
