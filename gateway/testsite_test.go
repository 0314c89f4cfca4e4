package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
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

func testDialect() Dialect {
	return Dialect{
		RequestID: "Request-Id", Deadline: "Deadline-Ms", ExpectUpstream: "Expect-Upstream", UpstreamID: "Upstream-Id",
		NotRun: "Not-Run", Signature: "Signature", Load: "Load", LookupPlace: "place", LookupPath: "/lookup", ReadyPath: "/ready",
		EncodeLookup: func(addresses []string, _ time.Duration) ([]byte, error) { return json.Marshal(addresses) },
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

// behaviour answers one request at a stub; it returns false where the
// connection ends.
type behaviour func(s *stub, c net.Conn, r *http.Request, body string) bool

// stub is an upstream whose behaviour a test sets.
type stub struct {
	id string
	ln net.Listener
	// early answers come before the body was read.
	early bool
	// closing answers to health requests end their connection.
	closing bool
	// deaf stubs answer no health requests.
	deaf bool

	mu     sync.Mutex
	load   string
	do     behaviour
	runs   map[string]int
	bodies []string
	cut    chan struct{} // one for each connection that ended at work
}

func newStub(t *testing.T, id string, do behaviour) *stub {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &stub{id: id, ln: ln, load: "0,0,6", do: do, runs: map[string]int{}, cut: make(chan struct{}, 16)}
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
			if s.deaf {
				continue
			}
			end := ""
			if s.closing {
				end = "Connection: close\r\n"
			}
			s.mu.Lock()
			load := s.load
			s.mu.Unlock()
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nUpstream-Id: %s\r\nLoad: %s\r\n%sContent-Length: 0\r\n\r\n", s.id, load, end)
			if s.closing {
				return
			}
			continue
		}
		s.mu.Lock()
		do := s.do
		s.mu.Unlock()
		if s.early && !do(s, c, r, "") {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.bodies = append(s.bodies, string(body))
		s.mu.Unlock()
		if !s.early && !do(s, c, r, string(body)) {
			return
		}
	}
}

// setLoad sets what health answers tell.
func (s *stub) setLoad(load string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load = load
}

// run counts that the stub ran the request.
func (s *stub) run(r *http.Request) string {
	id := r.Header.Get("Request-Id")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	return id
}

func (s *stub) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func good(s *stub, c net.Conn, r *http.Request, body string) bool {
	id := s.run(r)
	text := "answer to " + id + " " + body
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: %s\r\nContent-Length: %d\r\n\r\n%s", id, s.id, len(text), text)
	return true
}

// site is a Gateway in this process.
type site struct {
	t    *testing.T
	g    *Gateway
	addr string
	side string
	stop context.CancelFunc
	done chan error
}

func newSite(t *testing.T) *site {
	t.Helper()
	s := newUnnamedSite(t)
	s.g.Fleet([]Instance{{Address: s.addr, DataCentre: "otavalo"}}, 1)
	return s
}

// newUnnamedSite returns a site without an instance that callers may use.
func newUnnamedSite(t *testing.T) *site {
	t.Helper()
	began := time.Now()
	g := New(Options{
		DataCentre: "otavalo", DataAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", LookupAddress: "127.0.0.1:0",
		Limits: Limits{
			Budget:            BudgetOptions{Share: 1, Allowance: 100, Window: 10 * time.Second},
			ProbesPerUpstream: 1000, MaxLookupLife: 5 * time.Second,
		},
		Now: func() time.Duration { return time.Since(began) + time.Minute }, Seed: 1,
	}, testDialect(), log.NewNopLogger(), gometrics.NewRegistry())
	lns, err := g.listen()
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &site{t: t, g: g, addr: lns.front.Addr().String(), side: lns.ready.Addr().String(), stop: stop, done: make(chan error, 1)}
	go func() { s.done <- g.serve(ctx, lns, testStop) }()
	t.Cleanup(func() {
		stop()
		if err := <-s.done; err != nil {
			t.Errorf("gateway ended with %v", err)
		}
	})
	return s
}

// configure puts one idempotent and one other route in force, at the stubs.
func (s *site) configure(timeout time.Duration, stubs ...*stub) {
	rule := func(name, prefix string, idempotent bool) route.Rule {
		return route.Rule{
			Name: name, Host: testHost, Prefix: prefix, Idempotent: idempotent, Timeout: timeout, Target: timeout / 2,
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
	s.g.Serve(route.NewTable(doc, s.g.rng), map[string][]*discovery.Upstream{testService: list})
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	closes bool // the connection ends with the answer
	body   string
	err    error
}

// call sends one request on a connection of its own.
func (s *site) call(method, path, id, body string) reply {
	s.t.Helper()
	c, err := net.Dial("tcp4", s.addr)
	if err != nil {
		return reply{err: err}
	}
	defer c.Close()
	return callOn(c, method, path, id, body)
}

func callOn(c net.Conn, method, path, id, body string) reply {
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n%s",
		method, path, testHost, id, len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
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
