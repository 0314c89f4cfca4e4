package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/discovery"
)

// hang works until its connection closes, or for a long time.
func hang(s *stub, c net.Conn, r *http.Request, _ string) bool {
	s.run(r)
	_, err := c.Read(make([]byte, 1))
	if err == io.EOF {
		s.cut <- struct{}{}
	}
	return false
}

// A request that is not answered ends at its route's timeout: as unknown, since
// it runs.
func TestTimeout(t *testing.T) {
	u := newStub(t, "hangs", hang)
	s := newSite(t)
	s.configure(300*time.Millisecond, u)
	wantStatus(t, s.call("POST", "/purchase/1", "t-1", "pack"), 504)
	<-u.cut // the upstream is told to stop
}

// A caller that leaves ends idempotent work at the upstream.
func TestCallerLeaves(t *testing.T) {
	u := newStub(t, "hangs", hang)
	s := newSite(t)
	s.configure(time.Minute, u)
	c, err := net.Dial("tcp4", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "GET /clue/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: l-1\r\n\r\n", testHost)
	for u.ran("l-1") == 0 {
		time.Sleep(time.Millisecond)
	}
	c.Close()
	<-u.cut
}

// send sends a request and leaves its connection open.
func send(t *testing.T, s *site, path, id string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", path, testHost, id)
	return c
}

// idle waits until no request is in flight.
func (s *site) idle() {
	for s.g.flying.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// A caller that leaves while its call waits for room ends it: nothing is sent
// for it.
func TestCallerLeavesTheLine(t *testing.T) {
	u := newStub(t, "full", good)
	u.load = "6,9,6"
	s := newSite(t)
	s.configure(10*time.Second, u)
	c := send(t, s, "/purchase/1", "line-2")
	for !s.g.line.ahead(testService, 9) {
		time.Sleep(time.Millisecond)
	}
	c.Close()
	s.idle()
	if u.ran("line-2") > 0 {
		t.Error("ran though its caller had left")
	}
}

// A request that an upstream did not run isn't sent to another once its caller
// has left.
func TestNoRepeatForCallerThatLeft(t *testing.T) {
	release := make(chan struct{})
	arrived := make(chan string, 4)
	shed := func(s *stub, c net.Conn, r *http.Request, _ string) bool {
		arrived <- s.id
		<-release
		fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nRequest-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"))
		return true
	}
	s := newSite(t)
	s.configure(10*time.Second, newStub(t, "a", shed), newStub(t, "b", shed))
	c := send(t, s, "/purchase/1", "left-1")
	first := <-arrived
	c.Close()
	close(release)
	s.idle()
	select {
	case second := <-arrived:
		t.Errorf("sent to %s, then to %s", first, second)
	default:
	}
}

// Before a configuration is known, requests are refused as not run, and the
// instance is not ready.
func TestNoConfiguration(t *testing.T) {
	s := newSite(t)
	r := s.call("POST", "/purchase/1", "n-1", "pack")
	wantStatus(t, r, 503)
	if r.header.Get("Retry-After") == "" {
		t.Error("no time to come back")
	}
	if st := get(t, s.side, "/ready"); st != 503 {
		t.Errorf("ready answered %d", st)
	}
	s.configure(time.Second, newStub(t, "u", good))
	if st := get(t, s.side, "/ready"); st != 200 {
		t.Errorf("ready answered %d once configured", st)
	}
}

// The first callers after a start wait for the configuration that the instance
// reads just then.
func TestFirstCallersWait(t *testing.T) {
	s := newSite(t)
	u := newStub(t, "u", good)
	s.g.firstWait = time.Minute
	s.g.hooks.Wanted = func() { time.AfterFunc(time.Millisecond, func() { s.configure(time.Second, u) }) }
	wantStatus(t, s.call("POST", "/purchase/1", "first-1", "pack"), 200)
}

// The first lookups after a start wait for an instance to name.
func TestFirstLookupsWait(t *testing.T) {
	s := newUnnamedSite(t)
	s.g.firstWait = time.Minute
	s.g.hooks.Wanted = func() {
		time.AfterFunc(time.Millisecond, func() { s.g.Fleet([]Instance{{Address: s.addr, DataCentre: "otavalo"}}, 1) })
	}
	if st := get(t, s.side, "/lookup?place=otavalo"); st != 200 {
		t.Errorf("lookup answered %d", st)
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

// A path without a route is told so; a service without upstreams refuses.
func TestNoRouteAndNoUpstream(t *testing.T) {
	s := newSite(t)
	s.configure(time.Second)
	wantStatus(t, s.call("GET", "/elsewhere/1", "r-1", ""), 404)
	wantStatus(t, s.call("GET", "/clue/1", "r-2", ""), 503)
}

// An upstream that can't be reached is passed over, also for purchases.
func TestUnreachableUpstream(t *testing.T) {
	gone := newStub(t, "gone", good)
	gone.ln.Close()
	sound := newStub(t, "sound", good)
	s := newSite(t)
	s.configure(2*time.Second, gone, sound)
	for i := range 6 {
		wantStatus(t, s.call("POST", "/purchase/1", fmt.Sprintf("g-%d", i), "pack"), 200)
	}
}

// Where a service tells no load, an instance gives no upstream more requests
// than it has slots, by what it sent there itself, as long as others are free.
func TestServiceThatTellsNoLoad(t *testing.T) {
	const slots = 6
	stubs := []*stub{newStub(t, "a", hang), newStub(t, "b", hang), newStub(t, "c", hang), newStub(t, "d", hang)}
	for _, u := range stubs {
		u.load = "unknown"
	}
	s := newSite(t)
	s.configure(time.Minute, stubs...)
	for i := range slots * len(stubs) {
		c, err := net.Dial("tcp4", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		id := fmt.Sprintf("w-%d", i)
		fmt.Fprintf(c, "POST /purchase/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", testHost, id)
		for !slices.ContainsFunc(stubs, func(u *stub) bool { return u.ran(id) > 0 }) {
			time.Sleep(time.Millisecond)
		}
	}
	for _, u := range stubs {
		u.mu.Lock()
		if n := len(u.runs); n != slots {
			t.Errorf("upstream %s works on %d requests, has %d slots", u.id, n, slots)
		}
		u.mu.Unlock()
	}
}

// An upstream that closes its connections after health answers is no worse for
// it, and gets requests on new ones.
func TestProbeThatClosesItsConnection(t *testing.T) {
	u := newStub(t, "closes", good)
	u.closing = true
	s := newSite(t)
	s.configure(2*time.Second, u)
	for i := range 5 {
		wantStatus(t, s.call("POST", "/purchase/1", fmt.Sprintf("k-%d", i), "pack"), 200)
	}
	for _, r := range s.g.ev.byID {
		if rate := r.ev.FailureRate(s.g.now()); rate > 0.02 {
			t.Errorf("counts as failing: %.3f", rate)
		}
	}
}

// A planned stop serves what comes on open connections, closes them, and ends
// what is in flight.
func TestPlannedStop(t *testing.T) {
	slow := func(s *stub, c net.Conn, r *http.Request, body string) bool {
		time.Sleep(100 * time.Millisecond)
		return good(s, c, r, body)
	}
	u := newStub(t, "slow", slow)
	s := newSite(t)
	s.configure(2*time.Second, u)
	c, err := net.Dial("tcp4", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	got := make(chan reply, 1)
	go func() { got <- callOn(c, "POST", "/purchase/1", "stop-1", "pack") }()
	for s.g.flying.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	s.g.Leave()
	if st := get(t, s.side, "/ready"); st != 503 {
		t.Errorf("ready answered %d while leaving", st)
	}
	s.stop()
	r := <-got
	wantStatus(t, r, 200)
	if !r.closes {
		t.Error("the connection stays open")
	}
}

// Lookups name the instances of the caller's data centre, and others where
// these are few.
func TestLookup(t *testing.T) {
	var list []Instance
	for i := range 4 {
		list = append(list, Instance{Address: fmt.Sprintf("10.0.0.%d:1", i), DataCentre: "ibarra"})
	}
	list = append(list, Instance{Address: "10.0.1.1:1", DataCentre: "otavalo"})
	if got := chooseInstances(list, "ibarra"); len(got) != 4 {
		t.Errorf("ibarra got %v", got)
	}
	if got := chooseInstances(list, "otavalo"); len(got) != nearEnough || got[0] != "10.0.1.1:1" {
		t.Errorf("otavalo got %v", got)
	}
	if got := chooseInstances(nil, "otavalo"); len(got) != 0 {
		t.Errorf("got %v of none", got)
	}
}

// A connection on which no byte moves is given up at the request's deadline,
// and the probe of a silent upstream holds no call up for long.
func TestSilentUpstream(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close() // accepts in the kernel, and never answers
	sound := newStub(t, "sound", good)
	s := newSite(t)
	s.configure(2*time.Second, sound)
	st := s.g.view.Load()
	ups := append([]*discovery.Upstream{{
		ID: "silent", Service: testService, Address: ln.Addr().String(), DataCentre: "otavalo", Slots: 6,
	}}, st.upstreams[testService]...)
	s.g.Serve(st.table, map[string][]*discovery.Upstream{testService: ups})
	for i := range 8 {
		wantStatus(t, s.call("GET", "/clue/1", fmt.Sprintf("q-%d", i), ""), 200)
	}
}
