package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/catkinrouter/catkinrouter/customer"
	"github.com/catkinrouter/catkinrouter/discovery"
	"github.com/catkinrouter/catkinrouter/ratelimit"
	"github.com/catkinrouter/catkinrouter/route"
)

const (
	ownPeer    = "10.0.0.1:1"
	otherPeer  = "10.0.0.2:1"
	limitedKey = "key-of-limited"
	freeKey    = "key-of-free"
)

// limitedGateway is a gateway with a customer that has a limit and one that has none.
type limitedGateway struct {
	*testGateway
	skipped atomic.Int64 // added to the clock, in nanoseconds
	slept   atomic.Int64 // the time for which the machine was suspended, in nanoseconds
}

// newLimitedGateway returns a gateway that has run for long, with the allocator at the
// given peer address.
func newLimitedGateway(t *testing.T, allocator string, limit customer.Limit, hook func(to string, q ratelimit.Question), stubs ...*stub) *limitedGateway {
	t.Helper()
	began, lg := time.Now(), &limitedGateway{}
	lg.testGateway = newTestGatewayWith(t, func(o *Options) {
		o.PeerAddress = ownPeer
		o.Limits.CustomerQuota = CustomerQuota{Window: 5 * time.Second, Overshoot: 0.1, Slack: 0}
		o.Now = func() time.Duration { return time.Since(began) + time.Minute + time.Duration(lg.skipped.Load()) }
		o.Elapsed = func() time.Duration { return o.Now() + time.Duration(lg.slept.Load()) }
	})
	lg.g.hooks.AskTokens, lg.g.proto.Customer = hook, "Customer"
	lg.g.SetFleet(Fleet{
		Usable: []Instance{{Address: lg.addr, DataCentre: "otavalo"}}, Live: map[string]int{"otavalo": 1}, Allocators: []string{allocator},
	})
	for range 12 {
		lg.skipped.Add(int64(500 * time.Millisecond))
		lg.g.MaintainCustomerLimits()
	}
	set := customer.NewSet()
	set.Add(customer.Customer{Name: "limited", Limit: limit})
	set.Add(customer.Customer{Name: "free"})
	set.AddKey("limited", limitedKey)
	set.AddKey("free", freeKey)
	lg.serve(set, stubs...)
	return lg
}

// serve sets the customers and the upstreams of the only route.
func (lg *limitedGateway) serve(set *customer.Set, stubs ...*stub) {
	doc := &route.Document{
		Version: 1, Customers: set, Services: []route.Service{{Name: testService, HealthPath: "/health"}},
		Rules: []route.Rule{{
			Name: "clue", Host: testHost, Prefix: "/", Timeout: time.Second, TargetLatency: 500 * time.Millisecond, MaxAttempts: 1,
			Parts: []route.Part{{Service: testService, Weight: 1}},
		}},
	}
	var list []*discovery.Upstream
	for _, u := range stubs {
		list = append(list, &discovery.Upstream{ID: u.id, Service: testService, Address: u.ln.Addr().String(), DataCentre: "otavalo", Slots: 6})
	}
	lg.g.SetRoutes(route.NewTable(doc, lg.g.rng), map[string][]*discovery.Upstream{testService: list})
}

// get sends a request with a key and a deadline.
func (lg *limitedGateway) get(key, id string, deadline time.Duration) reply {
	c, err := net.Dial("tcp4", lg.addr)
	if err != nil {
		return reply{err: err}
	}
	defer c.Close()
	fmt.Fprintf(c, "GET /clue HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n\r\n",
		testHost, id, deadline.Milliseconds(), key)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	text := make([]byte, 64)
	n, _ := resp.Body.Read(text) // the status tells enough if it breaks off
	return reply{status: resp.StatusCode, header: resp.Header, body: string(text[:n])}
}

func (lg *limitedGateway) count(name string) int64 {
	return gometrics.GetOrRegisterCounter(name, lg.g.metrics.registry).Count()
}

// A request over the limit must not run, and its caller must learn when to come back; a
// customer without a limit must not notice.
func TestOverQuotaIsRefused(t *testing.T) {
	s := newStub(t, "u1", answerOK)
	lg := newLimitedGateway(t, ownPeer, customer.Limit{PerSecond: 0.5, Burst: 2}, nil, s)
	wantStatus(t, lg.get(limitedKey, "a", time.Second), 200)
	wantStatus(t, lg.get(limitedKey, "b", time.Second), 200)
	r := lg.get(limitedKey, "c", time.Second)
	wantStatus(t, r, 429)
	if after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64); err != nil || after < 1 || after > 2.2 {
		t.Errorf("Retry-After %q, want the time of the next token, 1 to 2 s", r.header.Get("Retry-After"))
	}
	if r.body != reasonOverQuota+"\n" {
		t.Errorf("body %q", r.body)
	}
	if s.runCount("c") != 0 {
		t.Error("the refused request ran")
	}
	for i := range 5 {
		wantStatus(t, lg.get(freeKey, fmt.Sprint("free-", i), time.Second), 200)
	}
	if admitted, refused := lg.count("customer_admitted_total.limited"), lg.count("customer_refused_total.limited"); admitted != 2 || refused != 1 {
		t.Errorf("counted %d admitted, %d refused; want 2 and 1", admitted, refused)
	}
}

// Without a reply, a request must be refused within the time-out, or the caller's deadline
// if that is sooner, and must not be told that it is over its limit.
func TestWaitForTokensEnds(t *testing.T) {
	for _, deadline := range []time.Duration{15 * time.Millisecond, time.Second} {
		lg := newLimitedGateway(t, otherPeer, customer.Limit{PerSecond: 1, Burst: 1}, func(string, ratelimit.Question) {}, newStub(t, "u1", answerOK))
		began := time.Now()
		r := lg.get(limitedKey, "a", deadline)
		took := time.Since(began)
		wantStatus(t, r, 503)
		if r.body != reasonQuotaUnknown+"\n" || r.header.Get("Retry-After") == "" {
			t.Errorf("body %q, Retry-After %q", r.body, r.header.Get("Retry-After"))
		}
		if limit := min(deadline, ratelimit.ReplyTimeout); took < limit || took > limit+200*time.Millisecond {
			t.Errorf("took %v, want about %v", took, limit)
		}
	}
}

// A lease went on after a suspension of the machine, during which its allocator had given its
// tokens to others.
func TestLeaseEndsDuringASuspension(t *testing.T) {
	s := newStub(t, "u1", answerOK)
	var lg *limitedGateway
	var asked atomic.Int64
	lg = newLimitedGateway(t, otherPeer, customer.Limit{PerSecond: 50, Burst: 1}, func(_ string, q ratelimit.Question) {
		if asked.Add(1) > 1 {
			return // the allocator no longer answers
		}
		time.AfterFunc(time.Millisecond, func() {
			lg.g.ReceiveTokens(ratelimit.Reply{Number: q.Number, Customer: q.Customer, Granted: 1, Lease: 50})
		})
	}, s)
	lg.g.customerLimits.setQuota(CustomerQuota{Window: 5 * time.Second})
	wantStatus(t, lg.get(limitedKey, "granted", time.Second), 200)
	wantStatus(t, lg.get(limitedKey, "leased", time.Second), 200)
	lg.slept.Add(int64(time.Minute))
	wantStatus(t, lg.get(limitedKey, "after", time.Second), 503)
}

// A request that was admitted and then refused unsent must leave its token to the next.
func TestUnsentRequestReturnsToken(t *testing.T) {
	lg := newLimitedGateway(t, ownPeer, customer.Limit{PerSecond: 0.01, Burst: 1}, nil)
	lg.g.customerLimits.setQuota(CustomerQuota{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20})
	wantStatus(t, lg.get(limitedKey, "a", time.Second), 503) // there is no upstream
	if n := lg.count("tokens_returned_total"); n != 1 {
		t.Fatalf("%d tokens returned, want 1", n)
	}
	s := newStub(t, "u1", answerOK)
	lg.serve(lg.g.snapshot.Load().table.Customers, s)
	wantStatus(t, lg.get(limitedKey, "b", time.Second), 200)
	if r := lg.get(limitedKey, "c", time.Second); r.status != 429 {
		t.Errorf("status %d, want 429: the token was used twice", r.status)
	}
}

// Requests that arrive while a question is in flight must wait for its reply and share the
// next one: a message for each would cost the allocator more than the requests.
func TestTokenRequestsAreCoalesced(t *testing.T) {
	const calls = 30
	s := newStub(t, "u1", answerOK)
	s.setLoad("0,0,60")
	allocator := newLimitedGateway(t, otherPeer, customer.Limit{PerSecond: 100, Burst: calls}, nil)
	allocator.g.customerLimits.self = otherPeer
	allocator.g.customerLimits.allocator = ratelimit.NewAllocator(0, otherPeer, ratelimit.Quota{Slack: 20})
	allocator.g.customerLimits.allocator.SetFleet(0, []string{otherPeer}, 1, 0)
	for at := time.Duration(0); at < allocator.g.now(); at += 500 * time.Millisecond {
		allocator.g.customerLimits.maintain(at)
	}
	var asked atomic.Int64
	var lg *limitedGateway
	lg = newLimitedGateway(t, otherPeer, customer.Limit{PerSecond: 100, Burst: calls}, func(to string, q ratelimit.Question) {
		asked.Add(1)
		time.AfterFunc(10*time.Millisecond, func() { lg.g.ReceiveTokens(allocator.g.AnswerTokens(ownPeer, q)) })
	}, s)
	var wg sync.WaitGroup
	var admitted atomic.Int64
	for range calls {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := lg.g.snapshot.Load().table.Customers.ByName("limited")
			if d := lg.g.takeToken(c, lg.g.now()+time.Second); d.Verdict == ratelimit.Admitted {
				admitted.Add(1)
			}
		}()
	}
	wg.Wait()
	if admitted.Load() != calls {
		t.Errorf("%d of %d admitted", admitted.Load(), calls)
	}
	if n := asked.Load(); n > 5 {
		t.Errorf("%d questions for %d requests at once", n, calls)
	}
}

// A configuration with many customers must not make as many metrics.
func TestCustomerNamesInMetricsAreBounded(t *testing.T) {
	m := newCustomerMetrics(gometrics.NewRegistry())
	for i := range 3 * maxCustomerNames {
		m.of(fmt.Sprint("c", i)).count(ratelimit.Decision{Verdict: ratelimit.Admitted})
	}
	if n := gometrics.GetOrRegisterCounter("customer_admitted_total."+otherCustomers, m.registry).Count(); n != 2*maxCustomerNames {
		t.Errorf("%d calls of other customers, want %d", n, 2*maxCustomerNames)
	}
	names := 0
	m.registry.Each(func(string, any) { names++ })
	if limit := 2*(maxCustomerNames+1) + 4; names > limit {
		t.Errorf("%d metrics, want at most %d", names, limit)
	}
}

// A token that is held must cost a request no allocation.
func TestHeldTokenDoesNotAllocate(t *testing.T) {
	lg := newLimitedGateway(t, ownPeer, customer.Limit{PerSecond: 1e6, Burst: 1e6}, nil)
	c := lg.g.snapshot.Load().table.Customers.ByName("limited")
	l := lg.g.customerLimits
	now := lg.g.now()
	for range 2000 {
		l.take(now, c, true, true)
	}
	if n := testing.AllocsPerRun(100, func() { l.take(now, c, true, true) }); n >= 1 {
		t.Errorf("%v allocations", n)
	}
}
