package gateway

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/catkinrouter/catkinrouter/admission"
	"github.com/catkinrouter/catkinrouter/pick"
)

// queuedCall returns a call of the given priority and work that arrived at 0.
func queuedCall(priority int, work time.Duration) admission.Call {
	return admission.Call{Priority: priority, Target: time.Second, Deadline: 4 * time.Second, Work: work}
}

// Guards against a full queue that turns away an urgent newcomer instead of the last call
// that waits, or one that grows.
func TestFullQueueTurnsAwayTheLast(t *testing.T) {
	q := newLeastCostQueue()
	long, _ := q.enqueue(0, "s", queuedCall(1, 300*time.Millisecond), 2)
	short, _ := q.enqueue(0, "s", queuedCall(1, 100*time.Millisecond), 2)
	urgent, ok := q.enqueue(0, "s", queuedCall(0, 900*time.Millisecond), 2)
	if !ok || len(q.byService["s"].waiters) != 2 {
		t.Fatalf("the urgent call is queued: %v, the queue holds %d", ok, len(q.byService["s"].waiters))
	}
	select {
	case <-long.turnedAway:
	default:
		t.Error("the last call was not told that it is turned away")
	}
	if _, handedOff := q.remove("s", long); handedOff {
		t.Error("a call that was turned away has a slot")
	}
	if _, ok := q.enqueue(0, "s", queuedCall(2, time.Millisecond), 2); ok {
		t.Error("a newcomer that is last was queued in a full queue")
	}
	for i, want := range []*waiter{urgent, short} {
		if !q.handOff(0, "s", choice{}) || len(want.slot) != 1 {
			t.Errorf("slot %d went to another call", i)
		}
	}
	if q.handOff(0, "s", choice{}) || !q.empty("s") {
		t.Error("a slot was handed off although the queue is empty")
	}
}

// Guards against an order that is fixed when calls arrive: calls age while they wait.
func TestOrderChangesWhileCallsWait(t *testing.T) {
	q := newLeastCostQueue()
	old := queuedCall(2, 100*time.Millisecond)
	old.Target = old.Deadline
	first, _ := q.enqueue(0, "s", old, 9)
	newer := queuedCall(1, 200*time.Millisecond)
	newer.Arrived, newer.Deadline = time.Second, 9*time.Second
	second, _ := q.enqueue(time.Second, "s", newer, 9)
	if !q.isFirst(1500*time.Millisecond, "s", second) || !q.isFirst(2500*time.Millisecond, "s", first) {
		t.Error("the call that has waited for half of its time did not move ahead")
	}
}

// Guards against an estimate of the work that is too long and never corrected.
func TestOneCallTriesThoughTooLate(t *testing.T) {
	q := newLeastCostQueue()
	if !q.trial(time.Second, "s") || q.trial(1500*time.Millisecond, "s") || !q.trial(2*time.Second, "s") {
		t.Error("not one trial a second")
	}
}

// newLeastCostGateway returns a test gateway with the least-cost order, and upstreams that
// are all full.
func newLeastCostGateway(t *testing.T) *testGateway {
	t.Helper()
	tg := newTestGatewayWith(t, func(o *Options) { o.QueueOrder = admission.LeastCost })
	var stubs []*stub
	for i := range minKnownToRefuse + 2 {
		u := newStub(t, fmt.Sprintf("u-%d", i), answerOK)
		u.load = "6,9,6"
		stubs = append(stubs, u)
	}
	tg.configure(2*time.Second, stubs...)
	tg.g.estimates.updateFullness(testService, func(f *pick.Fullness) {
		for range 100 {
			f.RecordReport(true)
		}
	})
	return tg
}

// Guards against a call that waits although it can't meet its deadline, a refusal that is
// not counted, and a Retry-After that the caller does not honour.
func TestLeastCostRejections(t *testing.T) {
	tg := newLeastCostGateway(t)
	r := tg.call("POST", "/purchase/1", "cost-1", "pack")
	wantStatus(t, r, 503)
	after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	if err != nil || after < minRetryAfter.Seconds() || after > 2.0/3+0.01 {
		t.Errorf("Retry-After %q: %v", r.header.Get("Retry-After"), err)
	}
	tg.wantRejection("no-room.0")
	for key := range tg.g.estimates.quantiles {
		for range 100 {
			tg.g.estimates.recordWork(key, 3*time.Second)
		}
	}
	tg.g.leastCost.trial(tg.g.now()+time.Hour, testService)
	wantStatus(t, tg.call("POST", "/purchase/1", "cost-2", "pack"), 503)
	tg.wantRejection("too-late.0")
}

// wantRejection checks that one call is counted under the kind.
func (tg *testGateway) wantRejection(kind string) {
	tg.t.Helper()
	if n := gometrics.GetOrRegisterCounter("queue_rejections_total."+kind, tg.g.metrics.registry).Count(); n != 1 {
		tg.t.Errorf("%d calls are counted as %s, want 1", n, kind)
	}
}

// Guards against a waiting call that is turned away but goes on waiting.
func TestWaitingCallIsTurnedAway(t *testing.T) {
	tg := newLeastCostGateway(t)
	got := make(chan reply, 1)
	go func() { got <- tg.call("POST", "/purchase/1", "away-1", "pack") }()
	for tg.g.leastCost.empty(testService) {
		time.Sleep(time.Millisecond)
	}
	for range minKnownToRefuse + 2 {
		tg.g.leastCost.enqueue(tg.g.now(), testService, admission.Call{Target: never, Deadline: never}, minKnownToRefuse+2)
	}
	wantStatus(t, <-got, 503)
	tg.wantRejection("displaced.0")
}
