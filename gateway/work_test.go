package gateway

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/catkinrouter/catkinrouter/internal/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// In every sliding span of time, the extra attempts of all instances together
// stay within the share of their calls and the allowance, also where their
// views of the fleet's size differ by a third.
func TestBudgetBoundsEverySpan(t *testing.T) {
	const span = 10 * time.Second
	const share, allowance = 0.2, 64.0
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "instances")
		var fleet []*budgets
		for range n {
			seen := n - rapid.IntRange(0, n/3).Draw(t, "unseen")
			b := newBudgets(BudgetOptions{Share: share, Allowance: allowance, Window: span})
			b.fleet(span, seen)
			fleet = append(fleet, b)
		}
		type event struct {
			at    time.Duration
			extra bool
		}
		var events []event
		now := span
		for range rapid.IntRange(50, 400).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			w := fleet[rapid.IntRange(0, n-1).Draw(t, "instance")]
			w.call(now, testService)
			events = append(events, event{now, false})
			for range rapid.IntRange(0, 6).Draw(t, "failures") {
				if w.take(now, testService, rapid.IntRange(0, 2).Draw(t, "priority")) {
					events = append(events, event{now, true})
				}
			}
		}
		count := func(from, to time.Duration, extra bool) (c float64) {
			for _, e := range events {
				if e.at >= from && e.at < to && e.extra == extra {
					c++
				}
			}
			return c
		}
		for _, e := range events {
			from := e.at - span + 1
			calls := max(count(from, e.at+1, false), count(from-span, from, false), count(from-span/2, from+span/2, false))
			if x := count(from, e.at+1, true); x > share*calls+allowance {
				t.Fatalf("%v extra attempts on %v calls in the span before %v", x, calls, e.at)
			}
		}
	})
}

// A process that has just started has no allowance: the one before it may have
// used it within the same span.
func TestFreshProcessHasNoAllowance(t *testing.T) {
	b := newBudgets(BudgetOptions{Share: 0.2, Allowance: 64, Window: 10 * time.Second})
	b.fleet(time.Second, 1)
	if b.take(time.Second, testService, 0) {
		t.Error("an extra attempt without a call, a second after the start")
	}
	b.fleet(10*time.Second, 1)
	if !b.take(10*time.Second, testService, 0) {
		t.Error("no extra attempt after a whole span")
	}
}

// The probes of a whole fleet stay within its budget, averaged over a minute,
// however much each instance asks for, but for what it has at its start.
func TestProbeBudget(t *testing.T) {
	const perUpstream, upstreams, instances = 60.0, 37, 19
	total := 0.0
	for range instances {
		b := newProbeBudget(perUpstream)
		b.size(upstreams, instances)
		for now := time.Duration(0); now < time.Minute; now += 5 * time.Millisecond {
			if b.spare(now, 4) {
				total += 4
			}
		}
	}
	bound := perUpstream * upstreams * (time.Minute + startBurst).Seconds()
	if total > bound {
		t.Errorf("%v probes, bound %v", total, bound)
	}
	b := newProbeBudget(perUpstream)
	b.size(upstreams, instances)
	if n := b.take(0, 5); n != 5 {
		t.Errorf("%d of 5 probes at the start", n)
	}
	for range 10000 {
		b.take(0, 5)
	}
	if n := b.take(0, 5); n != leastProbes {
		t.Errorf("%d probes beyond the budget", n)
	}
}

// What is left of a budget goes to the most urgent calls that want it.
func TestBudgetByPriority(t *testing.T) {
	b := newBudgets(BudgetOptions{Share: 0, Allowance: 10 / allowanceUsed, Window: 10 * time.Second})
	now := 20 * time.Second
	b.fleet(now, 1)
	for i := range 10 {
		if !b.take(now, testService, 2) {
			t.Fatalf("take %d: nothing left, and nobody more urgent wants it", i)
		}
	}
	if b.take(now, testService, 0) || b.take(now, testService, 2) {
		t.Fatal("more than the budget")
	}
	now += 11 * time.Second
	if b.take(now-yieldFor/2, testService, 0) {
		t.Fatal("the budget came back too soon")
	}
	if b.take(now, testService, 1) || b.spare(now, testService, 1) || !b.spare(now, testService, 0) || !b.take(now, testService, 0) {
		t.Error("a less urgent call gets what a more urgent one found missing")
	}
	if !b.take(now+yieldFor, testService, 1) {
		t.Error("a less urgent call gets nothing later on")
	}
}
