package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/pick"
)

// When all upstreams are known to be full, a call is refused with a
// Retry-After, and does not run.
func TestRefusesWhenAllUpstreamsFull(t *testing.T) {
	var stubs []*stub
	for i := range minKnownToRefuse + 2 {
		u := newStub(t, fmt.Sprintf("u-%d", i), answerOK)
		u.load = "6,9,6"
		stubs = append(stubs, u)
	}
	tg := newTestGateway(t)
	tg.configure(2*time.Second, stubs...)
	r := tg.call("POST", "/purchase/1", "full-1", "pack")
	wantStatus(t, r, 503)
	if r.header.Get("Retry-After") == "" {
		t.Error("no Retry-After in the refusal")
	}
	for _, u := range stubs {
		if u.runCount("full-1") > 0 {
			t.Error("the request was refused as not run, but it ran")
		}
	}
}

// A freed slot goes to the most urgent waiting call, and among equally urgent
// calls to the first.
func TestWaitQueuePriority(t *testing.T) {
	q := newWaitQueue()
	late, first, urgent, second := q.enqueue("s", 2), q.enqueue("s", 1), q.enqueue("s", 0), q.enqueue("s", 1)
	for i, want := range []*waiter{urgent, first, second, late} {
		if !q.isFirst("s", want) {
			t.Errorf("slot %d: the expected call is not first in the queue", i)
		}
		if !q.handOff("s", choice{known: i}) {
			t.Fatalf("slot %d: the queue is empty", i)
		}
		select {
		case ch := <-want.slot:
			if ch.known != i {
				t.Errorf("slot %d: the call got another choice", i)
			}
		default:
			t.Errorf("slot %d went to another call", i)
		}
	}
	if q.handOff("s", choice{}) {
		t.Error("a slot was handed off although the queue is empty")
	}
	left := q.enqueue("s", 1)
	if q.mustWait("s", 0) || !q.mustWait("s", 1) || !q.mustWait("s", 2) || q.mustWait("other", 2) {
		t.Error("a call must wait behind calls at least as urgent as itself, and behind no others")
	}
	if _, came := q.remove("s", left); came || q.handOff("s", choice{}) {
		t.Error("a call that was removed got a slot")
	}
}

// A call behind other waiting calls probes no upstream, and gets a slot that
// another call frees.
func TestQueuedCallsDoNotProbe(t *testing.T) {
	u := newStub(t, "u", answerOK)
	tg := newTestGateway(t)
	tg.configure(time.Minute, u)
	first := tg.g.queue.enqueue(testService, 0)
	got := make(chan reply, 1)
	go func() { got <- tg.call("POST", "/purchase/1", "queued-1", "pack") }()
	for {
		tg.g.queue.mu.Lock()
		n := len(tg.g.queue.byService[testService])
		tg.g.queue.mu.Unlock()
		if n == 2 {
			break
		}
		select {
		case r := <-got:
			t.Fatalf("the call did not wait: %+v", r)
		case <-time.After(time.Millisecond):
		}
	}
	if n := tg.g.metrics.probes.Count(); n > 0 {
		t.Errorf("%d probes while another call waits, want 0", n)
	}
	up := tg.g.snapshot.Load().upstreams[testService][0]
	for range 2 {
		tg.g.queue.handOff(testService, choice{probeResult: probeResult{upstream: up, report: &pick.Report{Slots: 6, Pace: 1}}})
	}
	wantStatus(t, <-got, 200)
	if len(first.slot) != 1 {
		t.Error("the first slot did not go to the first call")
	}
}

// A call is not sent to an upstream that is slow at the moment if it would
// miss its target there while others are merely full: their slots are free
// sooner.
func TestQueuesInsteadOfUsingSlowUpstream(t *testing.T) {
	slow := newStub(t, "slow", answerOK)
	slow.load = "0,0,6,500"
	full := newStub(t, "full", answerOK)
	full.load = "6,0,6"
	tg := newTestGateway(t)
	tg.configure(time.Minute, slow, full)
	for range 100 {
		tg.g.estimates.recordPace(testService, 1)
	}
	got := make(chan reply, 1)
	go func() { got <- tg.call("POST", "/purchase/1", "slow-1", "pack") }()
	for tg.g.metrics.probes.Count() < 2 {
		time.Sleep(time.Millisecond)
	}
	full.setLoad("0,0,6")
	wantStatus(t, <-got, 200)
	if slow.runCount("slow-1") > 0 {
		t.Error("the call was sent to the slow upstream")
	}
}

// If all upstreams are slow, a call is sent to one of them.
func TestAllUpstreamsSlow(t *testing.T) {
	var stubs []*stub
	for i := range minKnownToRefuse + 2 {
		u := newStub(t, fmt.Sprintf("slow-%d", i), answerOK)
		u.load = "0,0,6,500"
		stubs = append(stubs, u)
	}
	tg := newTestGateway(t)
	tg.configure(2*time.Second, stubs...)
	for range 100 {
		tg.g.estimates.recordPace(testService, 5)
	}
	wantStatus(t, tg.call("POST", "/purchase/1", "all-slow-1", "pack"), 200)
}

// Upstreams that do not answer health requests get calls without a wait for a
// slot, if nothing indicates that they are full.
func TestHealthPathWithoutReply(t *testing.T) {
	u := newStub(t, "no-health", answerOK)
	u.ignoresHealth = true
	tg := newTestGateway(t)
	tg.configure(time.Minute, u)
	got := make(chan reply, 1)
	go func() { got <- tg.call("POST", "/purchase/1", "no-health-1", "pack") }()
	for {
		select {
		case r := <-got:
			wantStatus(t, r, 200)
			return
		case <-time.After(time.Millisecond):
		}
		if tg.g.queue.mustWait(testService, 9) {
			t.Fatal("the call waits for a slot")
		}
	}
}
