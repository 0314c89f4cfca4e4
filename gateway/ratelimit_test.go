package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/quota"
)

// The limit that an upstream names is known from its health replies and answers
// until it no longer names one; a malformed one leaves the last in force.
func TestRateLimitFollowsReplies(t *testing.T) {
	u := newStub(t, "u", answerOK)
	tg := newTestGateway(t)
	tg.configure(2*time.Second, u)
	up := tg.g.snapshot.Load().upstreams[testService][0]
	for _, step := range []struct {
		header string
		want   quota.Limit
	}{
		{"", quota.Limit{}},
		{"500", quota.Limit{Named: true, PerSecond: 500}},
		{"none", quota.Limit{Named: true, PerSecond: 500}},
		{"250.5", quota.Limit{Named: true, PerSecond: 250.5}},
		{"", quota.Limit{}},
	} {
		u.setRateLimit(step.header)
		wantStatus(t, tg.call("GET", "/clue/1", "limit-"+step.header, ""), 200)
		var got quota.Limit
		tg.g.evidence.withBucket(0, up, func(b *quota.Bucket, _ *quota.Division) { got = b.Limit() })
		if got != step.want {
			t.Errorf("after the header %q the limit is %+v, want %+v", step.header, got, step.want)
		}
	}
	if n := tg.g.metrics.rateLimitChanges.Count(); n != 3 {
		t.Errorf("%d changes counted, want 3", n)
	}
}

// An upstream got more requests than the limit it had named, since no instance
// alone exceeded it.
func TestInstancesTogetherKeepRateLimit(t *testing.T) {
	const (
		perSecond = 4
		instances = 5
		window    = 4 * time.Second
		// allowed is one and a half times what the limit allows in a window, and
		// 5 requests.
		allowed = 1.5*perSecond*4 + 5
	)
	u := newStub(t, "u", answerOK)
	u.setRateLimit("4")
	u.setLoad("0,0,100")
	var gateways []*testGateway
	for range instances {
		tg := newTestGateway(t)
		tg.configure(2*time.Second, u)
		gateways = append(gateways, tg)
	}
	for i, tg := range gateways {
		tg.setFleet(gateways...)
		tg.call("GET", "/clue/1", fmt.Sprint("first-", i), "") // tells the instance
	}
	var calls sync.WaitGroup
	ran, notRun := 0, 0
	var mu sync.Mutex
	for began, i := time.Now(), 0; time.Since(began) < window; i++ {
		calls.Go(func() {
			r := gateways[i%instances].call("GET", "/clue/1", fmt.Sprint("call-", i), "")
			mu.Lock()
			defer mu.Unlock()
			switch {
			case r.err == nil && r.status == 200:
				ran++
			case r.err == nil && r.status == 503 && r.header.Get("Retry-After") != "":
				notRun++
			default:
				t.Errorf("call %d: %+v", i, r)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	calls.Wait()
	if ran > allowed {
		t.Errorf("%d requests in %v, want at most %v", ran, window, allowed)
	}
	if ran < perSecond {
		t.Errorf("%d requests in %v, the limit is hardly used; %d not run", ran, window, notRun)
	}
}

// A call that no upstream's limit admits is refused at once, and told when there
// is a chance; a lifted limit is noticed although no request is sent meanwhile.
func TestRateLimitedCallIsRefusedAtOnce(t *testing.T) {
	u := newStub(t, "u", answerOK)
	u.setRateLimit("0.2")
	tg := newTestGateway(t)
	tg.configure(2*time.Second, u)
	deadline := time.Now().Add(20 * time.Second)
	for tg.call("GET", "/clue/1", "first", "").status != 200 { // the part of the limit that is due first
		if time.Now().After(deadline) {
			t.Fatal("the limit of 0.2 a second was never used")
		}
		time.Sleep(20 * time.Millisecond)
	}
	began := time.Now()
	r := tg.call("GET", "/clue/1", "second", "")
	wantStatus(t, r, 503)
	if took := time.Since(began); took > 200*time.Millisecond {
		t.Errorf("refused after %v", took)
	}
	if after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64); err != nil || after < 3 || after > 6 {
		t.Errorf("Retry-After %q, want about the 5 s of 0.2 a second", r.header.Get("Retry-After"))
	}
	if n := u.runCount("second"); n > 0 {
		t.Error("the request was refused as not run, but it ran")
	}
	u.setRateLimit("")
	deadline = time.Now().Add(4 * time.Second)
	for tg.call("GET", "/clue/1", "third", "").status != 200 {
		if time.Now().After(deadline) {
			t.Fatal("the lifted limit was not noticed")
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// An upstream that names a limit got second copies of slow requests.
func TestNoHedgeToRateLimitedUpstream(t *testing.T) {
	slow := newStub(t, "slow", func(s *stub, c net.Conn, r *http.Request, body string) bool {
		s.run(r)
		time.Sleep(900 * time.Millisecond)
		return answerOK(s, c, r, body)
	})
	other := newStub(t, "other", answerOK)
	tg := newTestGateway(t)
	tg.configure(2*time.Second, slow, other)
	// hedgesOf returns the number of hedges until the slow upstream was picked.
	hedgesOf := func(prefix string) int64 {
		before := tg.g.metrics.hedges.Count()
		for i := range 300 {
			id := fmt.Sprint(prefix, i)
			wantStatus(t, tg.call("GET", "/clue/1", id, ""), 200)
			if slow.runCount(id) > 0 {
				return tg.g.metrics.hedges.Count() - before
			}
		}
		t.Fatal("the slow upstream was never picked")
		return 0
	}
	if n := hedgesOf("unlimited-"); n != 1 {
		t.Errorf("%d hedges at an upstream without a limit, want 1", n)
	}
	other.setRateLimit("1000")
	if n := hedgesOf("limited-"); n > 0 {
		t.Errorf("%d hedges at an upstream that names a limit", n)
	}
}
