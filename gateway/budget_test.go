package gateway

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/catkinrouter/catkinrouter/internal/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// In every sliding window, the retries and hedges of all instances together
// stay within the share of their calls plus the allowance, even if their views
// of the fleet's size differ by a third.
func TestRetryBudgetHoldsInEveryWindow(t *testing.T) {
	const span = 10 * time.Second
	const share, allowance = 0.2, 64.0
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "instances")
		var fleet []*retryBudgets
		for range n {
			seen := n - rapid.IntRange(0, n/3).Draw(t, "unseen")
			b := newRetryBudgets(RetryBudgetOptions{Share: share, Allowance: allowance, Window: span})
			b.setInstances(span, seen)
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
			w.recordCall(now, testService)
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
				t.Fatalf("%v extra attempts for %v calls in the window before %v", x, calls, e.at)
			}
		}
	})
}

// A process that has just started has no allowance, because the process that
// it replaces may have used it within the same window.
func TestNoRetryAllowanceAfterStart(t *testing.T) {
	b := newRetryBudgets(RetryBudgetOptions{Share: 0.2, Allowance: 64, Window: 10 * time.Second})
	b.setInstances(time.Second, 1)
	if b.take(time.Second, testService, 0) {
		t.Error("an extra attempt was allowed one second after the start")
	}
	b.setInstances(10*time.Second, 1)
	if !b.take(10*time.Second, testService, 0) {
		t.Error("no extra attempt was allowed after a whole window")
	}
}

// The probes of a whole fleet stay within its budget, averaged over a minute,
// plus the initial balances, however many probes each instance requests.
func TestProbeBudget(t *testing.T) {
	const perUpstream, upstreams, instances = 60.0, 37, 19
	total := 0.0
	for range instances {
		b := newProbeBudget(perUpstream)
		b.setCounts(upstreams, instances)
		for now := time.Duration(0); now < time.Minute; now += 5 * time.Millisecond {
			if b.takeSpare(now, 4) {
				total += 4
			}
		}
	}
	bound := perUpstream * upstreams * (time.Minute + initialProbeBalance).Seconds()
	if total > bound {
		t.Errorf("%v probes, want at most %v", total, bound)
	}
	b := newProbeBudget(perUpstream)
	b.setCounts(upstreams, instances)
	if n := b.take(0, 5); n != 5 {
		t.Errorf("%d of 5 probes allowed at the start", n)
	}
	for range 10000 {
		b.take(0, 5)
	}
	if n := b.take(0, 5); n != minProbes {
		t.Errorf("%d probes allowed beyond the budget", n)
	}
}

// Once the budget is exhausted, what becomes available is reserved for the
// most urgent calls that were denied.
func TestRetryBudgetByPriority(t *testing.T) {
	b := newRetryBudgets(RetryBudgetOptions{Share: 0, Allowance: 10 / allowanceSafetyFactor, Window: 10 * time.Second})
	now := 20 * time.Second
	b.setInstances(now, 1)
	for i := range 10 {
		if !b.take(now, testService, 2) {
			t.Fatalf("take %d: denied although no more urgent call was denied before", i)
		}
	}
	if b.take(now, testService, 0) || b.take(now, testService, 2) {
		t.Fatal("an attempt was allowed beyond the budget")
	}
	now += 11 * time.Second
	if b.take(now-urgentReserveTime/2, testService, 0) {
		t.Fatal("an attempt was allowed before the window had passed")
	}
	if b.take(now, testService, 1) || b.allowsHedge(now, testService, 1) || !b.allowsHedge(now, testService, 0) || !b.take(now, testService, 0) {
		t.Error("the budget is not reserved for the more urgent call that was denied")
	}
	if !b.take(now+urgentReserveTime, testService, 1) {
		t.Error("a less urgent call is still denied after the reserve time")
	}
}
