package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/pick"
)

// Where every upstream is known to be full, a call is refused soon, with a time
// to come back; once one has room, it is served.
func TestRefusesWhereAllAreFull(t *testing.T) {
	var stubs []*stub
	for i := range enoughKnown + 2 {
		u := newStub(t, fmt.Sprintf("u-%d", i), good)
		u.load = "6,9,6"
		stubs = append(stubs, u)
	}
	s := newSite(t)
	s.configure(2*time.Second, stubs...)
	r := s.call("POST", "/purchase/1", "full-1", "pack")
	wantStatus(t, r, 503)
	if r.header.Get("Retry-After") == "" {
		t.Error("no time to come back")
	}
	for _, u := range stubs {
		if u.ran("full-1") > 0 {
			t.Error("refused as not run, but it ran")
		}
	}
}

// The most urgent of the calls that wait for room gets the slot that is left;
// among equals the first.
func TestLineByPriority(t *testing.T) {
	l := newLine()
	late, first, urgent, second := l.join("s", 2), l.join("s", 1), l.join("s", 0), l.join("s", 1)
	for i, want := range []*waiter{urgent, first, second, late} {
		if !l.heads("s", want) {
			t.Errorf("slot %d: another call searches", i)
		}
		if !l.give("s", choice{known: i}) {
			t.Fatalf("slot %d: nobody waits", i)
		}
		select {
		case ch := <-want.slot:
			if ch.known != i {
				t.Errorf("slot %d went to the wrong call", i)
			}
		default:
			t.Errorf("slot %d went to another call", i)
		}
	}
	if l.give("s", choice{}) {
		t.Error("a slot was taken with nobody waiting")
	}
	gone := l.join("s", 1)
	if l.ahead("s", 0) || !l.ahead("s", 1) || !l.ahead("s", 2) || l.ahead("other", 2) {
		t.Error("a call goes behind those that are as urgent as itself, and no others")
	}
	if _, came := l.leave("s", gone); came || l.give("s", choice{}) {
		t.Error("a call that left got a slot")
	}
}

// A call that finds others waiting asks no upstream; it takes the slot that
// another leaves.
func TestCallsWaitInLine(t *testing.T) {
	u := newStub(t, "u", good)
	s := newSite(t)
	s.configure(time.Minute, u)
	ahead := s.g.line.join(testService, 0)
	got := make(chan reply, 1)
	go func() { got <- s.call("POST", "/purchase/1", "line-1", "pack") }()
	for {
		s.g.line.mu.Lock()
		n := len(s.g.line.waiting[testService])
		s.g.line.mu.Unlock()
		if n == 2 {
			break
		}
		select {
		case r := <-got:
			t.Fatalf("did not wait: %+v", r)
		case <-time.After(time.Millisecond):
		}
	}
	if n := s.g.m.probes.Count(); n > 0 {
		t.Errorf("%d probes while another call waits", n)
	}
	up := s.g.view.Load().upstreams[testService][0]
	for range 2 {
		s.g.line.give(testService, choice{answer: answer{upstream: up, report: &pick.Report{Slots: 6, Pace: 1}}})
	}
	wantStatus(t, <-got, 200)
	if len(ahead.slot) != 1 {
		t.Error("the first slot did not go to the first call")
	}
}

// An upstream that is slow at this moment gets no call that would then end
// after its target, while others are only full: their slots are free sooner.
func TestWaitsOutSlowUpstreams(t *testing.T) {
	slow := newStub(t, "slow", good)
	slow.load = "0,0,6,500"
	full := newStub(t, "full", good)
	full.load = "6,0,6"
	s := newSite(t)
	s.configure(time.Minute, slow, full)
	for range 100 {
		s.g.work.addPace(testService, 1)
	}
	got := make(chan reply, 1)
	go func() { got <- s.call("POST", "/purchase/1", "slow-1", "pack") }()
	for s.g.m.probes.Count() < 2 {
		time.Sleep(time.Millisecond)
	}
	full.setLoad("0,0,6")
	wantStatus(t, <-got, 200)
	if slow.ran("slow-1") > 0 {
		t.Error("the slow upstream got the call")
	}
}

// Where all upstreams are slow, a call goes to one of them.
func TestAllSlow(t *testing.T) {
	var stubs []*stub
	for i := range enoughKnown + 2 {
		u := newStub(t, fmt.Sprintf("slow-%d", i), good)
		u.load = "0,0,6,500"
		stubs = append(stubs, u)
	}
	s := newSite(t)
	s.configure(2*time.Second, stubs...)
	for range 100 {
		s.g.work.addPace(testService, 5)
	}
	wantStatus(t, s.call("POST", "/purchase/1", "all-slow-1", "pack"), 200)
}

// Upstreams whose health path is silent, while nothing says that they are full,
// get calls without a wait for room.
func TestSilentHealth(t *testing.T) {
	u := newStub(t, "deaf", good)
	u.deaf = true
	s := newSite(t)
	s.configure(time.Minute, u)
	got := make(chan reply, 1)
	go func() { got <- s.call("POST", "/purchase/1", "deaf-1", "pack") }()
	for {
		select {
		case r := <-got:
			wantStatus(t, r, 200)
			return
		case <-time.After(time.Millisecond):
		}
		if s.g.line.ahead(testService, 9) {
			t.Fatal("waits for room")
		}
	}
}
