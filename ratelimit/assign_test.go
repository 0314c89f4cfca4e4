package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/customer"
)

// Instances whose lists of allocators are in another order, or lack one that is neither, must
// ask the same allocators; if the primary fails, its backup must follow.
func TestAllocatorsAreAgreed(t *testing.T) {
	all := []string{"a", "b", "c", "d", "e", "f"}
	for i := range 100 {
		key := KeyOf(fmt.Sprint("customer-", i))
		primary, backup := Assign(all, key)
		var reversed, without []string
		for _, a := range all {
			reversed = append([]string{a}, reversed...)
			if a != primary {
				without = append(without, a)
			}
		}
		if p, b := Assign(reversed, key); p != primary || b != backup {
			t.Errorf("%v: %s and %s, in another order %s and %s", key, primary, backup, p, b)
		}
		if p, _ := Assign(without, key); p != backup {
			t.Errorf("%v: without %s the primary is %s, want %s", key, primary, p, backup)
		}
	}
	if p, b := Assign([]string{"a"}, 1); p != "a" || b != "" {
		t.Errorf("of one allocator: %q and %q", p, b)
	}
}

// A part of the fleet that is cut off must allocate only its part of the limits, and a fleet
// that shrank must allocate them whole again.
func TestShareOfCutOffPart(t *testing.T) {
	for _, c := range []struct {
		name        string
		live, known int
		after       time.Duration
		want        float64
	}{
		{"most of it, at once", 80, 0, 0, 0.8},
		{"most of it, for long", 80, 0, majorityHold, 1},
		{"a small part, for a while", 10, 0, majorityHold, 0.1},
		{"a small part, for long", 10, 0, minorityHold, 1},
		{"started alone in a large fleet", 1, 200, majorityHold, 0.005},
	} {
		var s fleetSize
		s.set(0, 100, 0)
		s.set(time.Second, c.live, c.known)
		if got := s.share(time.Second + c.after); got != c.want {
			t.Errorf("%s: share %v, want %v", c.name, got, c.want)
		}
	}
}

// Tokens that instances hold at the start of a window, all of them granted within their
// lifetime, must be at most their part of the tolerance.
func TestTokensInHandStayWithinTheirPart(t *testing.T) {
	for _, perSecond := range []float64{0.1, 2, 30, 400, 1500} {
		l := customer.Limit{PerSecond: perSecond, Burst: 1}
		inHand := perSecond * testQuota.lifetime(l).Seconds()
		if part := lifetimeShare * testQuota.tolerance(l); inHand > part*1.0001 {
			t.Errorf("%v: %.1f tokens in hand, their part is %.1f", l, inHand, part)
		}
	}
	if sum := lifetimeShare + 2*(reserveBurst+reserveRate) + 2*ownShare; sum > 1 {
		t.Errorf("the parts of the tolerance add up to %v", sum)
	}
}

// An instance that is cut off, or has just started, must not take the shares of those that
// it does not see.
func TestOwnShareCountsUnseenInstances(t *testing.T) {
	a := NewAllocator(0, "i0", testQuota)
	a.SetFleet(0, nil, 1, 0)
	if n := a.Instances(time.Second); n < designInstances {
		t.Errorf("%d instances after the start", n)
	}
	a.SetFleet(3*time.Second, nil, 60, 0)
	a.SetFleet(10*time.Second, nil, 2, 0)
	if n := a.Instances(20 * time.Second); n != 60 {
		t.Errorf("%d instances while cut off, want 60", n)
	}
}

// An allocator that was stopped may have been replaced meanwhile: it must not go on with the
// whole limit at once.
func TestFrozenAllocatorWarmsUp(t *testing.T) {
	a := NewAllocator(0, "i0", testQuota)
	a.SetFleet(0, []string{"i0"}, 2, 0)
	l := customer.Limit{PerSecond: 100, Burst: 500}
	ask := func(now time.Duration, number uint32) Reply {
		return a.Grant(now, "i1", l, Question{Number: number, Customer: testKey, Want: 400, Waiting: 400})
	}
	now := time.Duration(0)
	for ; now < 10*time.Second; now += frozenAfter / 2 {
		a.Alive(now)
	}
	if r := ask(now, 1); r.Warming || r.Granted != 400 {
		t.Errorf("got %+v before the stop", r)
	}
	if r := ask(now+5*time.Second, 2); !r.Warming || float64(r.Granted) > reserveBurst*testQuota.tolerance(l) {
		t.Errorf("got %+v after the stop", r)
	}
}
