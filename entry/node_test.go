package entry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/link"
)

// document returns a configuration with one service, "shop", of n upstreams
// with 6 slots each.
func document(n int, rules config.Rules) *config.Document {
	doc := &config.Document{
		MaxEntries: 1, Lookup: config.Lookup{Lifetime: config.Duration(10 * time.Second)},
		PermitKeys: []config.PermitKey{{ID: "k", Secret: []byte("secret")}},
	}
	svc := config.Service{Name: "shop", Rules: rules}
	for i := range n {
		id := fmt.Sprint("u", i)
		svc.Upstreams = append(svc.Upstreams, config.Upstream{ID: id, Address: id, Slots: 6, Connections: 250})
	}
	doc.Services = []config.Service{svc}
	return doc
}

func newNode(n int, rules config.Rules) *Node {
	node := New(Options{ID: "e0", Address: "e0", Incarnation: 1, Seed: 1})
	node.Configure(0, 1, document(n, rules))
	return node
}

func keyFor(n *Node) string {
	return n.Permit(0, link.Member{ID: "e0", Address: "e0", Incarnation: 1}) + "/name"
}

// TestRepeatsGetRecordedReply checks that a repeat during the first try waits
// for its reply, and that a later repeat gets the recorded reply.
func TestRepeatsGetRecordedReply(t *testing.T) {
	n := newNode(2, config.Rules{})
	c := Call{ID: 1, Service: "shop", Method: "POST", Path: "/buy", Key: keyFor(n)}
	first := n.Start(0, c, nil)
	c.ID, c.Forwarded = 2, true
	if s := n.Start(0, c, nil); len(s) != 0 {
		t.Fatalf("a repeat of a call in progress returned steps: %+v", s)
	}
	reply := &attempt.Reply{Status: 200, Body: []byte("sold")}
	s := n.Finished(time.Millisecond, first[0].Attempt, Result{MayHaveSent: true, Status: 200, Reply: reply}, nil)
	c.ID = 3
	s = n.Start(time.Millisecond, c, s)
	if len(s) != 3 {
		t.Fatalf("got %+v", s)
	}
	for i, step := range s {
		if step.Call != uint64(i+1) || step.Outcome != attempt.Answered || i > 0 && step.Reply != reply {
			t.Errorf("call %d: %+v", i+1, step)
		}
	}
}

// TestCancelKeepsKeyedAttempt checks that the attempt of a keyed call goes on
// after its caller disconnects, so that a repeat gets its reply.
func TestCancelKeepsKeyedAttempt(t *testing.T) {
	n := newNode(2, config.Rules{})
	c := Call{ID: 1, Service: "shop", Method: "POST", Path: "/buy", Key: keyFor(n)}
	first := n.Start(0, c, nil)
	if s := n.Cancel(0, 1, nil); len(s) != 0 {
		t.Fatalf("the attempt was cancelled: %+v", s)
	}
	reply := &attempt.Reply{Status: 200, Body: []byte("sold")}
	if s := n.Finished(0, first[0].Attempt, Result{MayHaveSent: true, Status: 200, Reply: reply}, nil); len(s) != 0 {
		t.Fatalf("a disconnected caller was answered: %+v", s)
	}
	c.ID = 2
	if s := n.Start(0, c, nil); len(s) != 1 || s[0].Reply != reply {
		t.Errorf("got %+v", s)
	}
}

// TestHedge checks that only the slowest calls get a second attempt, within
// the hedge budget and its burst, and that the first answer cancels the other
// attempt.
func TestHedge(t *testing.T) {
	n := newNode(4, config.Rules{HedgeBudget: 0.02})
	now, sends, calls := time.Duration(0), 0, 1000
	for id := range uint64(calls) {
		now += 10 * time.Millisecond
		s := n.Start(now, Call{ID: id + 1, Service: "shop", Method: "GET", Path: "/"}, nil)
		sends++
		if id%10 == 9 { // one in ten is slow
			hedge := n.Tick(now+100*time.Millisecond, nil)
			now += 100 * time.Millisecond
			if len(hedge) == 1 && hedge[0].Kind == StepSend {
				sends++
				end := n.Finished(now, hedge[0].Attempt, Result{MayHaveSent: true, Status: 200}, nil)
				if len(end) != 2 || end[0].Kind != StepAnswer || end[1].Kind != StepCancel || end[1].Attempt != s[0].Attempt {
					t.Fatalf("got %+v", end)
				}
				continue
			}
		}
		now += 2 * time.Millisecond
		n.Finished(now, s[0].Attempt, Result{MayHaveSent: true, Status: 200}, nil)
	}
	extra := float64(sends-calls) / float64(calls)
	if extra == 0 || extra > 0.02+0.01 {
		t.Errorf("%v extra attempts per call, want some and at most the budget and its burst", extra)
	}
}

// TestRetriesOverAChain checks that retries do not multiply along a chain of
// services, the last of which fails every request. Each level passes the
// answer's RetriesSpent mark to the next.
func TestRetriesOverAChain(t *testing.T) {
	const depth, calls = 12, 2000
	chain := make([]*Node, depth)
	for i := range chain {
		chain[i] = newNode(5, config.Rules{})
	}
	now, attempts := time.Duration(0), make([]int, depth)
	var id uint64
	var call func(level int, spent bool) (failed, mark bool)
	call = func(level int, spent bool) (bool, bool) {
		if level == depth {
			return true, false
		}
		id++
		n := chain[level]
		steps := n.Start(now, Call{ID: id, Service: "shop", Method: "GET", Path: "/", RetriesSpent: spent}, nil)
		for steps[0].Kind == StepSend {
			attempts[level]++
			now += 100 * time.Microsecond
			r := Result{MayHaveSent: true, Status: 200}
			if failed, mark := call(level+1, steps[0].RetriesSpent); failed {
				r = Result{MayHaveSent: true, Status: 503, RetriesSpent: mark}
			}
			if level == depth-1 {
				r = Result{Err: errConnectionCut}
			}
			steps = n.Finished(now, steps[0].Attempt, r, nil)
		}
		return true, steps[0].RetriesSpent
	}
	for range calls {
		now += time.Millisecond
		call(0, false)
		for _, n := range chain {
			n.Tick(now, nil)
		}
	}
	for level, k := range attempts {
		if float64(k) > 1.2*calls {
			t.Errorf("level %d: %d attempts for %d calls", level, k, calls)
		}
	}
	t.Logf("attempts by level for %d calls: %v", calls, attempts)
}

// TestRetriesMaskOneFailingUpstream checks that fewer than 0.1% of calls fail
// when one of ten upstreams answers every request with status 500 at once.
func TestRetriesMaskOneFailingUpstream(t *testing.T) {
	n := newNode(10, config.Rules{})
	rng := rand.New(rand.NewPCG(1, 1))
	now, failedCalls := time.Duration(0), 0
	const calls = 20000
	for id := range uint64(calls) {
		now += time.Millisecond
		steps := n.Start(now, Call{ID: id + 1, Service: "shop", Method: "GET", Path: "/"}, nil)
		status := 0
		for steps[0].Kind == StepSend {
			status = 200
			if steps[0].Upstream == "u3" {
				status = 500
			}
			now += time.Duration(rng.IntN(400)) * time.Microsecond
			steps = n.Finished(now, steps[0].Attempt, Result{MayHaveSent: true, Status: status}, nil)
		}
		if steps[0].Outcome != attempt.Answered || status != 200 {
			failedCalls++
		}
		n.Tick(now, nil)
	}
	if failedCalls > calls/1000 {
		t.Errorf("%d of %d calls failed", failedCalls, calls)
	}
}

func BenchmarkStartFinished(b *testing.B) {
	n := newNode(20, config.Rules{})
	steps := make([]Step, 0, 8)
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i) * 100 * time.Microsecond
		c := Call{ID: uint64(i) + 1, Service: "shop", Method: "GET", Path: "/clues/1", Caller: "10.0.0.1"}
		steps = n.Start(now, c, steps[:0])
		steps = n.Finished(now+50*time.Microsecond, steps[0].Attempt, Result{MayHaveSent: true, Status: 200}, steps[:0])
		if i%50 == 0 {
			steps = n.Tick(now, steps[:0])
		}
	}
}

func BenchmarkKeyed(b *testing.B) {
	n := newNode(20, config.Rules{})
	steps := make([]Step, 0, 8)
	reply := &attempt.Reply{Status: 200, Body: []byte("sold")}
	permit := keyFor(n)
	b.ReportAllocs()
	for i := range b.N {
		c := Call{ID: uint64(i) + 1, Service: "shop", Method: "POST", Path: "/buy", Key: fmt.Sprint(permit, i), Caller: "10.0.0.1"}
		steps = n.Start(0, c, steps[:0])
		if steps[0].Kind == StepSend {
			steps = n.Finished(0, steps[0].Attempt, Result{MayHaveSent: true, Status: 200, Reply: reply}, steps[:0])
		}
	}
}
