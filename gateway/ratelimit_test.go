package gateway

import (
	"fmt"
	"sync"
	"testing"
	"time"
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
		want   rateLimit
	}{
		{"", rateLimit{}},
		{"500", rateLimit{named: true, perSecond: 500}},
		{"none", rateLimit{named: true, perSecond: 500}},
		{"250.5", rateLimit{named: true, perSecond: 250.5}},
		{"", rateLimit{}},
	} {
		u.setRateLimit(step.header)
		wantStatus(t, tg.call("GET", "/clue/1", "limit-"+step.header, ""), 200)
		if got := tg.g.evidence.rateLimitOf(up); got != step.want {
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
	var list []Instance
	for range instances {
		tg := newTestGateway(t)
		tg.configure(2*time.Second, u)
		gateways, list = append(gateways, tg), append(list, Instance{Address: tg.addr, DataCentre: "otavalo"})
	}
	for i, tg := range gateways {
		tg.g.SetInstances(list, len(list))
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
