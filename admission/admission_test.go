package admission

import (
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// Each step of the order decides where the steps before it are equal. Guards against a
// step that is dropped or swapped with another.
func TestOrder(t *testing.T) {
	base := Call{Priority: 1, Arrived: 100 * ms, Target: 1000 * ms, Deadline: 4000 * ms, Work: 100 * ms}
	change := func(f func(*Call)) Call { c := base; f(&c); return c }
	urgentLate := change(func(c *Call) { c.Priority, c.Target, c.Work = 0, 0, 500*ms })
	retry := change(func(c *Call) { c.Retrying, c.Work, c.Arrived = true, 300*ms, 150*ms })
	short := change(func(c *Call) { c.Work, c.Arrived = 50*ms, 150*ms })
	later := change(func(c *Call) { c.Arrived = 120 * ms })
	lateRetry := change(func(c *Call) { c.Target, c.Retrying, c.Work = 0, true, 10*ms })
	lessUrgent := change(func(c *Call) { c.Priority, c.Retrying, c.Work, c.Arrived = 2, true, 1*ms, 0 })
	want := []Call{urgentLate, retry, short, base, later, lateRetry, lessUrgent}
	got := slices.Clone(want)
	slices.Reverse(got)
	slices.SortFunc(got, func(a, b Call) int { return Compare(200*ms, a, b) })
	if !slices.Equal(got, want) {
		t.Errorf("order %+v, want %+v", got, want)
	}
}

// Guards against calls that starve behind more urgent ones, and against late calls of
// priority 0 that age past those that can meet their target.
func TestAging(t *testing.T) {
	c := Call{Priority: 3, Arrived: 1000 * ms, Target: 1800 * ms, Deadline: 2000 * ms}
	for _, x := range []struct {
		now      time.Duration
		priority int
		want     int
	}{{1499 * ms, 3, 3}, {1500 * ms, 3, 2}, {1749 * ms, 3, 2}, {1750 * ms, 3, 1}, {1750 * ms, 1, 0}, {1750 * ms, 0, 0}, {1801 * ms, 3, 3}} {
		if c.Priority = x.priority; c.urgency(x.now) != x.want {
			t.Errorf("priority %d counts as %d at %v, want %d", x.priority, c.urgency(x.now), x.now, x.want)
		}
	}
}

// Guards against first requests taken for retries, which would wait past their target, and
// against retries whose target starts anew.
func TestTiming(t *testing.T) {
	first := Timing{Arrived: time.Second, Left: 1470 * ms, Usual: 1500 * ms, Target: 500 * ms}
	if first.IsRetry() || first.TargetTime() != 1500*ms {
		t.Errorf("a first request: retry %v, target %v", first.IsRetry(), first.TargetTime())
	}
	retry := Timing{Arrived: time.Second, Left: 1200 * ms, Usual: 1500 * ms, Target: 500 * ms}
	if !retry.IsRetry() || retry.TargetTime() != 1200*ms {
		t.Errorf("a retry: retry %v, target %v", retry.IsRetry(), retry.TargetTime())
	}
	if retry.Target = 0; retry.TargetTime() != 2200*ms {
		t.Errorf("without a target it is %v, want the deadline", retry.TargetTime())
	}
}

// Guards against a first try that waits when it can only be late, and a retry that gives up
// while it can be answered.
func TestWaitUntil(t *testing.T) {
	c := Call{Target: 500 * ms, Deadline: 1500 * ms, Work: 100 * ms}
	if c.WaitUntil() != 400*ms {
		t.Errorf("a first try waits until %v, want 400ms", c.WaitUntil())
	}
	if c.Retrying = true; c.WaitUntil() != 1400*ms || c.TooLate(1400*ms) || !c.TooLate(1401*ms) {
		t.Errorf("a retry waits until %v, want 1.4s, and is too late after that", c.WaitUntil())
	}
}

// Guards against a queue that holds nothing after an outage of a second, and a Retry-After
// that is computed from an old rate.
func TestRate(t *testing.T) {
	var r Rate
	for now := time.Duration(0); now < 10*time.Second; now += 10 * ms {
		r.Add(now)
	}
	if got := r.PerSecond(9990 * ms); got != 100 {
		t.Errorf("rate %v, want 100", got)
	}
	if got := r.PerSecond(11 * time.Second); got != 0 {
		t.Errorf("rate %v in a second without a freed slot, want 0", got)
	}
	if got := r.Expected(11 * time.Second); got < 80 || got > 100 {
		t.Errorf("expected rate %v after an outage of a second, want most of 100", got)
	}
	if r.Expected(time.Minute) != 0 {
		t.Error("slots count that were freed a minute ago")
	}
}

// Guards against a usual deadline that outlives its minute, or is forgotten within it.
func TestLongest(t *testing.T) {
	var l Longest
	l.Add(time.Second, 6*time.Second)
	l.Add(20*time.Second, time.Second)
	if got := l.Value(54 * time.Second); got != 6*time.Second {
		t.Errorf("after 53 s: %v, want 6s", got)
	}
	if got := l.Value(62 * time.Second); got != time.Second {
		t.Errorf("after 61 s: %v, want 1s", got)
	}
}

// Guards against an unbounded queue, and one without room before the first measurement.
func TestBound(t *testing.T) {
	if Bound(20, 2500*ms, 4) != 50 || Bound(0, 2500*ms, 4) != 4 {
		t.Errorf("bounds %d and %d, want 50 and 4", Bound(20, 2500*ms, 4), Bound(0, 2500*ms, 4))
	}
}

// Guards against callers that are told to return together, behind less urgent ones, or
// later than they wait.
func TestReturnsAreSpread(t *testing.T) {
	var r Returns
	for i, want := range []time.Duration{500 * ms, 600 * ms, 700 * ms} {
		if got := r.Promise(time.Second, 2, 10, 5, 6*time.Second); got != want {
			t.Errorf("return %d after %v, want %v", i, got, want)
		}
	}
	if got := r.Promise(time.Second, 1, 10, 2, 6*time.Second); got != 200*ms {
		t.Errorf("a more urgent caller returns after %v, want 200ms", got)
	}
	if got := r.Promise(time.Second, 2, 10, 5, 900*ms); got != 300*ms {
		t.Errorf("a caller with 900ms left returns after %v, want a third", got)
	}
	if got := r.Promise(time.Second, 0, 10, 0, time.Second); got != MinRetryAfter {
		t.Errorf("the least time is %v", got)
	}
	if got := r.Promise(time.Second, 0, 0, 0, 3*time.Second); got != time.Second {
		t.Errorf("without a freed slot, a caller returns after %v, want a third of its time", got)
	}
}

// Guards against a misspelt order that is taken for a known one, and metrics whose number
// grows with the priorities in use.
func TestNames(t *testing.T) {
	for _, name := range []string{"", "least", "LEAST-COST"} {
		if o, err := ParseQueueOrder(name); err == nil {
			t.Errorf("%q is taken for %q", name, o)
		}
	}
	for _, want := range []QueueOrder{ByPriority, LeastCost} {
		if o, err := ParseQueueOrder(string(want)); o != want || err != nil {
			t.Errorf("%q is taken for %q: %v", want, o, err)
		}
	}
	for priority, want := range map[int]string{0: "0", 9: "9", 10: "other", -1: "other"} {
		if got := PriorityLabel(priority); got != want {
			t.Errorf("priority %d has the label %q, want %q", priority, got, want)
		}
	}
}
