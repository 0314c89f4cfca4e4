package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/discovery"
	"github.com/catkinrouter/catkinrouter/route"
)

// hang runs the request without replying until its connection closes.
func hang(s *stub, c net.Conn, r *http.Request, _ string) bool {
	s.run(r)
	_, err := c.Read(make([]byte, 1))
	if err == io.EOF {
		s.disconnected <- struct{}{}
	}
	return false
}

// A request without a reply ends at its route's timeout with an unknown
// outcome, because it may still be running.
func TestTimeout(t *testing.T) {
	u := newStub(t, "hangs", hang)
	tg := newTestGateway(t)
	tg.configure(300*time.Millisecond, u)
	wantStatus(t, tg.call("POST", "/purchase/1", "t-1", "pack"), 504)
	<-u.disconnected // the gateway closes the connection to stop the upstream
}

// On a busy machine, the connection's deadline may have passed too when the call's is noticed:
// the attempt that then ends must not make the result another one than at the timeout.
func TestAttemptThatEndsAfterTheDeadline(t *testing.T) {
	u := newStub(t, "hangs", hang)
	tg := newTestGateway(t)
	tg.configure(300*time.Millisecond, u)
	up := tg.g.snapshot.Load().upstreams[testService][0]
	c := &call{
		g: tg.g, service: route.Service{Name: testService}, deadline: tg.g.now() - time.Millisecond, contentKnown: true,
		route: &route.Route{Rule: route.Rule{Timeout: 300 * time.Millisecond, MaxAttempts: 1}},
	}
	late := &try{upstream: up, resp: fasthttp.AcquireResponse(), wrote: true, err: os.ErrDeadlineExceeded}
	c.inFlight = []*try{late}
	res, done := c.handleFinished(late, time.NewTimer(time.Hour))
	if !done || res.kind != resultUnknown || res.status != fasthttp.StatusGatewayTimeout {
		t.Errorf("got %+v, finished %v", res, done)
	}
}

// When a caller disconnects, its idempotent request is cancelled at the
// upstream.
func TestCallerDisconnectCancelsIdempotentCall(t *testing.T) {
	u := newStub(t, "hangs", hang)
	tg := newTestGateway(t)
	tg.configure(time.Minute, u)
	c, err := net.Dial("tcp4", tg.addr)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "GET /clue/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: l-1\r\n\r\n", testHost)
	for u.runCount("l-1") == 0 {
		time.Sleep(time.Millisecond)
	}
	c.Close()
	<-u.disconnected
}

// sendRequest sends a request and leaves its connection open.
func sendRequest(t *testing.T, tg *testGateway, path, id string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", tg.addr)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", path, testHost, id)
	return c
}

// waitUntilIdle waits until no request is in flight.
func (tg *testGateway) waitUntilIdle() {
	for tg.g.inFlight.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// A call whose caller disconnects while it waits for a slot ends without being
// sent to an upstream.
func TestCallerDisconnectWhileQueued(t *testing.T) {
	u := newStub(t, "full", answerOK)
	u.load = "6,9,6"
	tg := newTestGateway(t)
	tg.configure(10*time.Second, u)
	c := sendRequest(t, tg, "/purchase/1", "queued-2")
	for !tg.g.queue.mustWait(testService, 9) {
		time.Sleep(time.Millisecond)
	}
	c.Close()
	tg.waitUntilIdle()
	if u.runCount("queued-2") > 0 {
		t.Error("the request ran although its caller had disconnected")
	}
}

// A request that an upstream did not run is not sent to another one after its
// caller has disconnected.
func TestNoRetryAfterCallerDisconnect(t *testing.T) {
	release := make(chan struct{})
	arrived := make(chan string, 4)
	shed := func(s *stub, c net.Conn, r *http.Request, _ string) bool {
		arrived <- s.id
		<-release
		fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nRequest-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"))
		return true
	}
	tg := newTestGateway(t)
	tg.configure(10*time.Second, newStub(t, "a", shed), newStub(t, "b", shed))
	c := sendRequest(t, tg, "/purchase/1", "left-1")
	first := <-arrived
	c.Close()
	close(release)
	tg.waitUntilIdle()
	select {
	case second := <-arrived:
		t.Errorf("sent to %s, then to %s after the caller had disconnected", first, second)
	default:
	}
}

// Before a configuration is known, requests are refused as not run, and the
// instance is not ready.
func TestNoConfiguration(t *testing.T) {
	tg := newTestGateway(t)
	r := tg.call("POST", "/purchase/1", "n-1", "pack")
	wantStatus(t, r, 503)
	if r.header.Get("Retry-After") == "" {
		t.Error("no Retry-After in the refusal")
	}
	if st := get(t, tg.auxAddr, "/ready"); st != 503 {
		t.Errorf("readiness status %d, want 503", st)
	}
	tg.configure(time.Second, newStub(t, "u", answerOK))
	if st := get(t, tg.auxAddr, "/ready"); st != 200 {
		t.Errorf("readiness status %d after the configuration, want 200", st)
	}
}

// The first requests after a start wait for the configuration that the
// instance is reading.
func TestFirstCallsWaitForConfiguration(t *testing.T) {
	tg := newTestGateway(t)
	u := newStub(t, "u", answerOK)
	tg.g.startupWait = time.Minute
	tg.g.hooks.DataNeeded = func() { time.AfterFunc(time.Millisecond, func() { tg.configure(time.Second, u) }) }
	wantStatus(t, tg.call("POST", "/purchase/1", "first-1", "pack"), 200)
}

// The first lookups after a start wait for a usable instance.
func TestFirstLookupsWaitForInstance(t *testing.T) {
	tg := newTestGatewayWithoutInstances(t)
	tg.g.startupWait = time.Minute
	tg.g.hooks.DataNeeded = func() {
		time.AfterFunc(time.Millisecond, func() { tg.setFleet(tg) })
	}
	if st := get(t, tg.auxAddr, "/lookup?place=otavalo"); st != 200 {
		t.Errorf("lookup status %d, want 200", st)
	}
}

func get(t *testing.T, addr, path string) int {
	t.Helper()
	resp, err := http.Get("http://" + addr + path)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// A path without a route gets 404; a service without upstreams gets 503.
func TestNoRouteAndNoUpstream(t *testing.T) {
	tg := newTestGateway(t)
	tg.configure(time.Second)
	wantStatus(t, tg.call("GET", "/elsewhere/1", "r-1", ""), 404)
	wantStatus(t, tg.call("GET", "/clue/1", "r-2", ""), 503)
}

// An upstream that cannot be reached is skipped, also for requests that are
// not idempotent.
func TestUnreachableUpstream(t *testing.T) {
	unreachable := newStub(t, "unreachable", answerOK)
	unreachable.ln.Close()
	healthy := newStub(t, "healthy", answerOK)
	tg := newTestGateway(t)
	tg.configure(2*time.Second, unreachable, healthy)
	for i := range 6 {
		wantStatus(t, tg.call("POST", "/purchase/1", fmt.Sprintf("g-%d", i), "pack"), 200)
	}
}

// If a service sends no load reports, an instance uses its own requests in
// flight as the load, and sends no upstream more requests than it has slots
// while others have free ones.
func TestServiceWithoutLoadReports(t *testing.T) {
	const slots = 6
	stubs := []*stub{newStub(t, "a", hang), newStub(t, "b", hang), newStub(t, "c", hang), newStub(t, "d", hang)}
	for _, u := range stubs {
		u.load = "unknown"
	}
	tg := newTestGateway(t)
	tg.configure(time.Minute, stubs...)
	for i := range slots * len(stubs) {
		c, err := net.Dial("tcp4", tg.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		id := fmt.Sprintf("w-%d", i)
		fmt.Fprintf(c, "POST /purchase/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", testHost, id)
		for !slices.ContainsFunc(stubs, func(u *stub) bool { return u.runCount(id) > 0 }) {
			time.Sleep(time.Millisecond)
		}
	}
	for _, u := range stubs {
		u.mu.Lock()
		if n := len(u.runs); n != slots {
			t.Errorf("upstream %s runs %d requests, want %d, the number of its slots", u.id, n, slots)
		}
		u.mu.Unlock()
	}
}

// Closing the connection after a health reply does not count as a failure; the
// upstream gets requests on new connections.
func TestHealthReplyClosesConnection(t *testing.T) {
	u := newStub(t, "closes", answerOK)
	u.closesAfterHealth = true
	tg := newTestGateway(t)
	tg.configure(2*time.Second, u)
	for i := range 5 {
		wantStatus(t, tg.call("POST", "/purchase/1", fmt.Sprintf("k-%d", i), "pack"), 200)
	}
	for _, r := range tg.g.evidence.byID {
		if rate := r.evidence.FailureRate(tg.g.now()); rate > 0.02 {
			t.Errorf("failure rate %.3f, want at most 0.02", rate)
		}
	}
}

// A planned shutdown serves requests that arrive on open connections, closes
// these connections, and finishes the requests in flight.
func TestPlannedStop(t *testing.T) {
	slow := func(s *stub, c net.Conn, r *http.Request, body string) bool {
		time.Sleep(100 * time.Millisecond)
		return answerOK(s, c, r, body)
	}
	u := newStub(t, "slow", slow)
	tg := newTestGateway(t)
	tg.configure(2*time.Second, u)
	c, err := net.Dial("tcp4", tg.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	got := make(chan reply, 1)
	go func() { got <- callOn(c, "POST", "/purchase/1", "stop-1", "pack") }()
	for tg.g.inFlight.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	tg.g.StartDraining()
	if st := get(t, tg.auxAddr, "/ready"); st != 503 {
		t.Errorf("readiness status %d while draining, want 503", st)
	}
	tg.stop()
	r := <-got
	wantStatus(t, r, 200)
	if !r.closes {
		t.Error("the connection stays open after the response")
	}
}

// Lookups return the instances in the caller's data centre, and others if
// there are few.
func TestLookup(t *testing.T) {
	var list []Instance
	for i := range 4 {
		list = append(list, Instance{Address: fmt.Sprintf("10.0.0.%d:1", i), DataCentre: "ibarra"})
	}
	list = append(list, Instance{Address: "10.0.1.1:1", DataCentre: "otavalo"})
	if got := chooseInstances(list, "ibarra"); len(got) != 4 {
		t.Errorf("ibarra got %v", got)
	}
	if got := chooseInstances(list, "otavalo"); len(got) != minLookupAddresses || got[0] != "10.0.1.1:1" {
		t.Errorf("otavalo got %v", got)
	}
	if got := chooseInstances(nil, "otavalo"); len(got) != 0 {
		t.Errorf("got %v from an empty list", got)
	}
}

// An upstream that accepts connections but never sends a byte delays no call
// for long: an exchange with it ends at the request's deadline, and a pick
// waits for its probe only until probeTimeout.
func TestSilentUpstream(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close() // the kernel accepts connections; nothing replies
	healthy := newStub(t, "healthy", answerOK)
	tg := newTestGateway(t)
	tg.configure(2*time.Second, healthy)
	snap := tg.g.snapshot.Load()
	ups := append([]*discovery.Upstream{{
		ID: "silent", Service: testService, Address: ln.Addr().String(), DataCentre: "otavalo", Slots: 6,
	}}, snap.upstreams[testService]...)
	tg.g.SetRoutes(snap.table, map[string][]*discovery.Upstream{testService: ups})
	for i := range 8 {
		wantStatus(t, tg.call("GET", "/clue/1", fmt.Sprintf("q-%d", i), ""), 200)
	}
}
