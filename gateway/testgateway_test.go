package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/catkinrouter/catkinrouter/discovery"
	"github.com/catkinrouter/catkinrouter/pick"
	"github.com/catkinrouter/catkinrouter/route"
)

const (
	testHost    = "hunts.example"
	testService = "tienda"
	testStop    = 400 * time.Millisecond
)

func testProtocol() Protocol {
	return Protocol{
		RequestID: "Request-Id", Deadline: "Deadline-Ms", ExpectUpstream: "Expect-Upstream", UpstreamID: "Upstream-Id",
		Customer: "Customer-Name", NotRun: "Not-Run", Signature: "Signature", Load: "Load", LookupDataCentre: "place", LookupPath: "/lookup", ReadyPath: "/ready",
		EncodeLookup: func(addresses []string, _ time.Duration) ([]byte, error) { return json.Marshal(addresses) },
		Cold:         "Cold-Ms", Leaving: "Leaving", IsLeaving: func(s string) bool { return s == "yes" },
		RateLimit: "Rate-Limit", ParseRateLimit: func(s string) (float64, error) { return strconv.ParseFloat(s, 64) },
		ParseLoad: func(s string) (r pick.Report, err error) {
			var percent float64
			n, err := fmt.Sscanf(s, "%d,%d,%d,%f", &r.Running, &r.Waiting, &r.Slots, &percent)
			if r.Pace = percent / 100; n == 3 {
				r.Pace, err = 1, nil
			}
			return r, err
		},
	}
}

// behaviour answers one request at a stub. It returns false if the connection
// is to be closed.
type behaviour func(s *stub, c net.Conn, r *http.Request, body string) bool

// stub is an upstream with a behaviour that the test sets.
type stub struct {
	id string
	ln net.Listener
	// answersEarly makes it reply before it reads the body.
	answersEarly bool
	// closesAfterHealth makes it close the connection after each health reply.
	closesAfterHealth bool
	// repeatsHealth makes it write each health reply once more, a little later.
	repeatsHealth bool
	// ignoresHealth makes it leave health requests unanswered.
	ignoresHealth bool

	mu           sync.Mutex
	load         string
	rateLimit    string // named in all replies, unless empty
	leaving      bool   // said in all replies
	cold         string // said in health replies, unless empty
	probes       int    // health requests
	do           behaviour
	runs         map[string]int
	bodies       []string
	disconnected chan struct{} // one value per connection closed during a request
}

func newStub(t *testing.T, id string, do behaviour) *stub {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &stub{id: id, ln: ln, load: "0,0,6", do: do, runs: map[string]int{}, disconnected: make(chan struct{}, 16)}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *stub) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if r.URL.Path == "/health" {
			if s.ignoresHealth {
				continue
			}
			end := ""
			if s.closesAfterHealth {
				end = "Connection: close\r\n"
			}
			s.mu.Lock()
			load := s.load
			if s.cold != "" {
				end += "Cold-Ms: " + s.cold + "\r\n"
			}
			s.probes++
			s.mu.Unlock()
			reply := fmt.Sprintf("HTTP/1.1 200 OK\r\nUpstream-Id: %s\r\nLoad: %s\r\n%s%sContent-Length: 0\r\n\r\n", s.id, load, s.noticeHeaders(), end)
			fmt.Fprint(c, reply)
			if s.repeatsHealth {
				time.Sleep(3 * time.Millisecond)
				fmt.Fprint(c, reply)
			}
			if s.closesAfterHealth {
				return
			}
			continue
		}
		s.mu.Lock()
		do := s.do
		s.mu.Unlock()
		if s.answersEarly && !do(s, c, r, "") {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.bodies = append(s.bodies, string(body))
		s.mu.Unlock()
		if !s.answersEarly && !do(s, c, r, string(body)) {
			return
		}
	}
}

// setLoad sets the load report in health replies.
func (s *stub) setLoad(load string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load = load
}

// setRateLimit sets the limit that all replies name.
func (s *stub) setRateLimit(perSecond string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rateLimit = perSecond
}

// setLeaving makes all replies say that the stub is leaving, or no longer.
func (s *stub) setLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// noticeHeaders returns the header lines in which the stub speaks of itself.
func (s *stub) noticeHeaders() (lines string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rateLimit != "" {
		lines = "Rate-Limit: " + s.rateLimit + "\r\n"
	}
	if s.leaving {
		lines += "Leaving: yes\r\n"
	}
	return lines
}

// arrivals returns the number of requests with id and of all health requests so far.
func (s *stub) arrivals(id string) (runs, probes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id], s.probes
}

// run records that the stub ran the request, and returns its ID.
func (s *stub) run(r *http.Request) string {
	id := r.Header.Get("Request-Id")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	return id
}

func (s *stub) runCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func answerOK(s *stub, c net.Conn, r *http.Request, body string) bool {
	id := s.run(r)
	text := "answer to " + id + " " + body
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, s.id, s.noticeHeaders(), len(text), text)
	return true
}

// testGateway is a Gateway that runs in the test's process.
type testGateway struct {
	t       *testing.T
	g       *Gateway
	addr    string
	auxAddr string
	stop    context.CancelFunc
	done    chan error
}

func newTestGateway(t *testing.T) *testGateway {
	t.Helper()
	tg := newTestGatewayWithoutInstances(t)
	tg.setFleet(tg)
	return tg
}

// setFleet sets the instances that the gateway knows.
func (tg *testGateway) setFleet(members ...*testGateway) {
	f := Fleet{Live: map[string]int{"otavalo": len(members)}}
	for _, m := range members {
		f.Usable = append(f.Usable, Instance{Address: m.addr, DataCentre: "otavalo"})
	}
	tg.g.SetFleet(f)
}

// newTestGatewayWithoutInstances returns a gateway that knows no instance for
// lookups.
func newTestGatewayWithoutInstances(t *testing.T) *testGateway {
	t.Helper()
	return startTestGateway(t, testStop)
}

// startTestGateway returns a gateway whose planned stop may take as long as
// stopLimit.
func startTestGateway(t *testing.T, stopLimit time.Duration) *testGateway {
	t.Helper()
	return startTestGatewayWith(t, stopLimit, func(*Options) {})
}

// newTestGatewayWith returns a gateway with changed options, which knows no instance for
// lookups.
func newTestGatewayWith(t *testing.T, change func(*Options)) *testGateway {
	t.Helper()
	return startTestGatewayWith(t, testStop, change)
}

func startTestGatewayWith(t *testing.T, stopLimit time.Duration, change func(*Options)) *testGateway {
	t.Helper()
	return startTestGatewayUsing(t, stopLimit, log.NewNopLogger(), change, func(*Hooks) {})
}

// startTestGatewayUsing returns a gateway with a logger, and with changed options and hooks.
func startTestGatewayUsing(t *testing.T, stopLimit time.Duration, logger log.Logger, change func(*Options), changeHooks func(*Hooks)) *testGateway {
	t.Helper()
	began := time.Now()
	lns, err := Listen("127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	opt := Options{
		DataCentre: "otavalo", Address: lns.Data.Addr().String(),
		Limits: Limits{
			RetryBudget:       RetryBudgetOptions{Share: 1, Allowance: 100, Window: 10 * time.Second},
			ProbesPerUpstream: 1000, MaxLookupTTL: 5 * time.Second,
		},
		Now: func() time.Duration { return time.Since(began) + time.Minute }, Seed: 1,
	}
	change(&opt)
	g := New(opt, testProtocol(), logger, gometrics.NewRegistry())
	changeHooks(&g.hooks)
	ctx, stop := context.WithCancel(context.Background())
	tg := &testGateway{t: t, g: g, addr: lns.Data.Addr().String(), auxAddr: lns.Ready.Addr().String(), stop: stop, done: make(chan error, 1)}
	go func() { tg.done <- g.Run(ctx, lns, stopLimit) }()
	t.Cleanup(func() {
		stop()
		if err := <-tg.done; err != nil {
			t.Errorf("gateway ended with %v", err)
		}
	})
	return tg
}

// configure sets an idempotent route and one that is not, both to the stubs.
func (tg *testGateway) configure(timeout time.Duration, stubs ...*stub) {
	rule := func(name, prefix string, idempotent bool) route.Rule {
		return route.Rule{
			Name: name, Host: testHost, Prefix: prefix, Idempotent: idempotent, Timeout: timeout, TargetLatency: timeout / 2,
			MaxAttempts: 2, Parts: []route.Part{{Service: testService, Weight: 1}},
		}
	}
	doc := &route.Document{
		Version: 1, Rules: []route.Rule{rule("clue", "/clue/", true), rule("purchase", "/purchase/", false)},
		Services: []route.Service{{Name: testService, HealthPath: "/health"}},
	}
	var list []*discovery.Upstream
	for _, u := range stubs {
		list = append(list, &discovery.Upstream{ID: u.id, Service: testService, Address: u.ln.Addr().String(), DataCentre: "otavalo", Slots: 6})
	}
	tg.g.SetRoutes(route.NewTable(doc, tg.g.rng), map[string][]*discovery.Upstream{testService: list})
}

// reply is the response that a caller received.
type reply struct {
	status int
	header http.Header
	closes bool // the connection closes after the response
	body   string
	err    error
}

// call sends one request on a new connection.
func (tg *testGateway) call(method, path, id, body string) reply {
	tg.t.Helper()
	c, err := net.Dial("tcp4", tg.addr)
	if err != nil {
		return reply{err: err}
	}
	defer c.Close()
	return callOn(c, method, path, id, body)
}

func callOn(c net.Conn, method, path, id, body string) reply {
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n%s",
		method, path, testHost, id, len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, closes: resp.Close, body: string(text), err: err}
}

func wantStatus(t *testing.T, r reply, status int) {
	t.Helper()
	if r.err != nil || r.status != status {
		t.Fatalf("got status %d, body %q, error %v; want status %d", r.status, strings.TrimSpace(r.body), r.err, status)
	}
}
