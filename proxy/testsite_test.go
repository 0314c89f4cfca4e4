package proxy

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/headers"
	"github.com/catkinrouter/catkinrouter/internal/httpserve"
	"github.com/catkinrouter/catkinrouter/link"
)

const (
	testService = "tienda"
	testMaxBody = 1000 // bytes
	testTimeout = 10 * time.Second
)

// testSite is a Server in this process, with its upstreams.
type testSite struct {
	t    testing.TB
	s    *Server
	addr string
	stop context.CancelFunc
	done chan error
}

func listenTest(t testing.TB) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// newTestSite starts a Server with one service that has the given upstreams.
func newTestSite(t testing.TB, rules config.Rules, upstreams ...string) *testSite {
	t.Helper()
	return newTestSiteWith(t, rules, Settings{}, upstreams...)
}

// newTestSiteWith starts a Server with some settings of the test.
func newTestSiteWith(t testing.TB, rules config.Rules, cfg Settings, upstreams ...string) *testSite {
	t.Helper()
	lns := &listeners{data: listenTest(t), link: listenTest(t), metrics: listenTest(t)}
	cfg.ID, cfg.DataCentre = "instance-1", "quito-centro"
	cfg.Address, cfg.LinkAddress, cfg.MetricsAddress = lns.data.Addr().String(), lns.link.Addr().String(), lns.metrics.Addr().String()
	if err := cfg.Check(); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	site := &testSite{t: t, s: New(cfg, log.NewNopLogger()), addr: cfg.Address, stop: stop, done: make(chan error, 1)}
	site.s.times = stopTimes{limit: time.Minute}
	site.configure(rules, upstreams)
	site.s.maxLookupLifetime = 0 // no lookup answer names the entry, so a stop does not wait for one to expire
	go func() { site.done <- site.s.serve(ctx, lns) }()
	t.Cleanup(site.close)
	return site
}

func (site *testSite) configure(rules config.Rules, upstreams []string) {
	if rules.MaxBody == 0 {
		rules.MaxBody = testMaxBody
	}
	svc := config.Service{Name: testService, Rules: rules}
	for i, a := range upstreams {
		svc.Upstreams = append(svc.Upstreams, config.Upstream{
			ID: "tienda-" + string(rune('1'+i)), Address: a, DataCentre: "quito-centro", Slots: 6, Connections: 250,
		})
	}
	doc := &config.Document{
		Site: "test", DataCentres: []config.DataCentre{{Name: "quito-centro", Region: "sierra-norte"}}, Services: []config.Service{svc},
		MaxEntries: 2, Lookup: config.Lookup{Lifetime: config.Duration(time.Second), Addresses: 2},
		PermitKeys: []config.PermitKey{{ID: "k1", Secret: bytes.Repeat([]byte("k"), 32)}},
	}
	if err := doc.Check(); err != nil {
		site.t.Fatal(err)
	}
	st := &link.State{Revision: 1, Members: []link.Member{{ID: "instance-1", Address: site.addr}}}
	site.s.sync(st, doc)
}

func (site *testSite) close() {
	site.stop()
	if err := <-site.done; err != nil {
		site.t.Error(err)
	}
}

// dial opens a connection as a caller.
func (site *testSite) dial() *caller {
	site.t.Helper()
	c, err := net.Dial("tcp", site.addr)
	if err != nil {
		site.t.Fatal(err)
	}
	site.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return &caller{t: site.t, Conn: c, r: bufio.NewReader(c)}
}

// caller is a caller's connection.
type caller struct {
	t testing.TB
	net.Conn
	r *bufio.Reader
}

func (c *caller) send(raw string) {
	c.t.Helper()
	if _, err := c.Write([]byte(raw)); err != nil {
		c.t.Fatal(err)
	}
}

func (c *caller) read() *fasthttp.Response {
	c.t.Helper()
	var resp fasthttp.Response
	if err := resp.Read(c.r); err != nil {
		c.t.Fatal(err)
	}
	return &resp
}

// roundTrip sends one request on a new connection and returns the reply.
func (site *testSite) roundTrip(raw string) *fasthttp.Response {
	site.t.Helper()
	c := site.dial()
	c.send(raw)
	return c.read()
}

// permit returns a permit for keyed calls at the entry.
func (site *testSite) permit() string {
	site.t.Helper()
	var a LookupAnswer
	if err := json.Unmarshal(site.roundTrip(rawRequest("GET "+headers.LookupPath+"?service="+testService, "")).Body(), &a); err != nil {
		site.t.Fatal(err)
	}
	return a.Addresses[0].Permit
}

// rawGet returns a GET request to the service with additional headers.
func rawGet(lines ...string) string { return rawRequest("GET /clue", "", lines...) }

// rawRequest returns a request to the service with the given request line,
// body and additional headers.
func rawRequest(line, body string, lines ...string) string {
	head := line + " HTTP/1.1\r\nHost: " + testService + "\r\n"
	if len(lines) > 0 {
		head += strings.Join(lines, "\r\n") + "\r\n"
	}
	return head + "\r\n" + body
}

// startUpstream starts an upstream that serves handler and answers probes
// itself. It returns its address.
func startUpstream(t testing.TB, handler fasthttp.RequestHandler) string {
	t.Helper()
	ln := listenTest(t)
	answer := func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == headers.ProbePath {
			ctx.Response.Header.Set(headers.Load, "0/6")
			return
		}
		handler(ctx)
	}
	srv := &fasthttp.Server{Handler: answer, NoDefaultDate: true, NoDefaultServerHeader: true, NoDefaultContentType: true, Logger: httpserve.DiscardLogger{}}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ln) }()
	t.Cleanup(func() {
		ln.Close() // Shutdown does not close the listener if Serve has not started yet
		srv.Shutdown()
		<-done
	})
	return ln.Addr().String()
}

func header(r *fasthttp.Response, k string) string { return string(r.Header.Peek(k)) }

// rawHandler answers request n, counted from 1, of a connection with raw
// bytes. If end is set, the connection is closed after them.
type rawHandler func(n int, req *fasthttp.Request) (raw string, end bool)

// startRawUpstream starts an upstream that answers with raw bytes and returns
// its address. Probes do not reach the handler.
func startRawUpstream(t testing.TB, answer rawHandler) string {
	t.Helper()
	ln := listenTest(t)
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			wg.Go(func() { serveRaw(c, answer) })
		}
	})
	t.Cleanup(wg.Wait)
	t.Cleanup(func() { ln.Close() })
	return ln.Addr().String()
}

func serveRaw(c net.Conn, answer rawHandler) {
	defer c.Close()
	r := bufio.NewReader(c)
	for n := 1; ; n++ {
		var req fasthttp.Request
		if err := req.Read(r); err != nil {
			return
		}
		raw, end := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nCatkin-Load: 0/6\r\n\r\n", false
		if string(req.URI().Path()) != headers.ProbePath {
			raw, end = answer(n, &req)
		}
		if _, err := c.Write([]byte(raw)); err != nil || end {
			return
		}
	}
}

// eventually polls ok until it returns true.
func (site *testSite) eventually(what string, ok func() bool) {
	site.t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			site.t.Fatal("condition not met in time: " + what)
		}
	}
}
