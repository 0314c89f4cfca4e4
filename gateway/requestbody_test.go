package gateway

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/discovery"
	"github.com/catkinrouter/catkinrouter/internal/membudget"
	"github.com/catkinrouter/catkinrouter/internal/memtest"
	"github.com/catkinrouter/catkinrouter/route"
)

// sink is an upstream that keeps the digests of the bodies that it has read, not the bodies.
type sink struct {
	id, addr string
	refuse   atomic.Bool // requests are read and turned away
	mu       sync.Mutex
	bodies   map[string]string // "length digest" by request ID
}

func newSink(t *testing.T, id string) *sink {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &sink{id: id, addr: ln.Addr().String(), bodies: map[string]string{}}
	srv := &http.Server{Handler: s}
	go srv.Serve(ln)
	t.Cleanup(func() { srv.Close() })
	return s
}

func (s *sink) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Load", "0,0,100")
	if r.URL.Path == "/health" {
		w.Header().Set("Upstream-Id", s.id)
		return
	}
	h := sha256.New()
	n, err := io.Copy(h, r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if s.refuse.Load() {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	s.bodies[id] = fmt.Sprintf("%d %x", n, h.Sum(nil))
	s.mu.Unlock()
	w.Header().Set("Signature", s.id)
}

func (s *sink) body(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bodies[id]
}

// configureSinks sets the route /purchase/, which is not idempotent, with the given limits.
func (tg *testGateway) configureSinks(limits route.Limits, sinks ...*sink) {
	doc := &route.Document{
		Version: 1, Limits: limits, Services: []route.Service{{Name: testService, HealthPath: "/health"}},
		Rules: []route.Rule{{
			Name: "purchase", Host: testHost, Prefix: "/purchase/", Timeout: 10 * time.Second, TargetLatency: 5 * time.Second, MaxAttempts: 2,
			Parts: []route.Part{{Service: testService, Weight: 1}},
		}},
	}
	var list []*discovery.Upstream
	for _, s := range sinks {
		list = append(list, &discovery.Upstream{ID: s.id, Service: testService, Address: s.addr, DataCentre: "otavalo", Slots: 100})
	}
	tg.g.SetRoutes(route.NewTable(doc, tg.g.rng), map[string][]*discovery.Upstream{testService: list})
}

// maxPattern is the size of the largest body of these tests.
const maxPattern = 8<<20 + 1

// longPattern is a text of which no part equals another one.
var longPattern = sync.OnceValue(func() string {
	b := make([]byte, 0, maxPattern+16)
	for i := int64(0); len(b) < maxPattern; i++ {
		b = append(strconv.AppendInt(b, i, 10), ',')
	}
	return string(b)
})

// pattern is a body of the given size.
func pattern(size int) string { return longPattern()[:size] }

// post sends a purchase, in chunks if chunk is above 0.
func (tg *testGateway) post(id, body string, chunk int) reply {
	c, err := net.Dial("tcp4", tg.addr)
	if err != nil {
		return reply{err: err}
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	framing := fmt.Sprint("Content-Length: ", len(body))
	if chunk > 0 {
		framing = "Transfer-Encoding: chunked"
	}
	w := bufio.NewWriter(c)
	fmt.Fprintf(w, "POST /purchase/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 10000\r\n%s\r\n\r\n", testHost, id, framing)
	if chunk == 0 {
		io.WriteString(w, body)
	}
	for rest := body; chunk > 0; {
		n := min(chunk, len(rest))
		fmt.Fprintf(w, "%x\r\n%s\r\n", n, rest[:n])
		if rest = rest[n:]; n == 0 {
			break
		}
	}
	writeErr := w.Flush()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return reply{err: fmt.Errorf("%w, after writing: %v", err, writeErr)}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, closes: resp.Close, body: string(text), err: err}
}

// Bodies of any size and framing arrive whole, also at the second upstream that is asked.
func TestBodiesArriveWhole(t *testing.T) {
	a, b := newSink(t, "a"), newSink(t, "b")
	tg := newTestGateway(t)
	tg.configureSinks(route.Limits{}, a, b)
	a.refuse.Store(true)
	for _, size := range []int{0, 1, 4 << 10, prefetchedBody - 1, prefetchedBody, prefetchedBody + 1, maxInlineBody + minSegment, 1<<20 + 3, 5<<20 + 1} {
		for _, chunk := range []int{0, 1000, 100_000} {
			id := fmt.Sprintf("b-%d-%d", size, chunk)
			body := pattern(size)
			r := tg.post(id, body, chunk)
			if want := fmt.Sprintf("%d %x", size, sha256.Sum256([]byte(body))); r.err != nil || r.status != http.StatusOK || b.body(id) != want {
				t.Errorf("%s: status %d, error %v, arrived %q, want %q", id, r.status, r.err, b.body(id), want)
			}
		}
	}
	tg.waitForFreeMemory(membudget.Requests)
}

// Requests beyond the operators' limits were passed on.
func TestRequestLimitsOfTheConfiguration(t *testing.T) {
	u := newSink(t, "u")
	tg := newTestGateway(t)
	tg.configureSinks(route.Limits{MaxBodyBytes: 100_000, MaxHeaderBytes: 2000}, u)
	for _, tt := range []struct {
		size, chunk, status int
	}{
		{100_000, 0, 200},
		{100_001, 0, 413},
		{5 << 20, 0, 413},
		{90_000, 7000, 200},
		{5 << 20, 70_000, 413},
	} {
		id := fmt.Sprintf("l-%d-%d", tt.size, tt.chunk)
		body := pattern(tt.size)
		began := time.Now()
		r := tg.post(id, body, tt.chunk)
		if took := time.Since(began); tt.status != 200 && took > lingerTime/2 {
			t.Errorf("%s: refused after %v", id, took)
		}
		if r.err != nil || r.status != tt.status || (u.body(id) != "") != (tt.status == 200) {
			t.Errorf("%s: status %d, body %q, error %v; want %d", id, r.status, r.body, r.err, tt.status)
		}
	}
	wantStatus(t, tg.call("POST", "/purchase/"+strings.Repeat("x", 2000), "h-1", "x"), http.StatusRequestHeaderFieldsTooLarge)
	tg.configureSinks(route.Limits{}, u) // the new limits hold at once
	wantStatus(t, tg.post("after", pattern(100_001), 0), http.StatusOK)
	wantStatus(t, tg.call("POST", "/purchase/"+strings.Repeat("x", 2000), "h-2", "x"), http.StatusOK)
}

// A body within the operators' limit that the instance's memory does not hold was refused for
// good.
func TestBodyBeyondTheMemoryMayComeBack(t *testing.T) {
	u := newSink(t, "u")
	tg := newTestGatewayWith(t, func(o *Options) { o.MemoryBytes = 10 << 20 })
	tg.setFleet(tg)
	tg.configureSinks(route.Limits{MaxBodyBytes: 8 << 20}, u)
	for size, status := range map[int]int{1 << 20: 200, 5 << 20: 503, 8<<20 + 1: 413} {
		for _, chunk := range []int{0, 100_000} {
			r := tg.post(fmt.Sprint("m-", size, chunk), pattern(size), chunk)
			if r.err != nil || r.status != status && (chunk == 0 || r.status != 503 || status != 413) || (r.header.Get("Retry-After") != "") != (r.status == 503) {
				t.Errorf("%d bytes, chunks of %d: status %d, error %v; want %d", size, chunk, r.status, r.err, status)
			}
		}
	}
}

// A body that ended early must not be passed on.
func TestTruncatedRequestIsNotPassedOn(t *testing.T) {
	u := newSink(t, "u")
	tg := newTestGateway(t)
	tg.configureSinks(route.Limits{}, u)
	for _, head := range []string{"Content-Length: 100000\r\n\r\n" + pattern(50_000), "Content-Length: 10\r\n\r\nshort", "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n", "Transfer-Encoding: chunked\r\n\r\n5\r\nsho"} {
		c, err := net.Dial("tcp4", tg.addr)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "POST /purchase/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: cut\r\n%s", testHost, head)
		c.(*net.TCPConn).CloseWrite()
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		got, _ := io.ReadAll(c)
		c.Close()
		if strings.HasPrefix(string(got), "HTTP/1.1 2") || u.body("cut") != "" {
			t.Errorf("%.30q: got %q, arrived %q", head, got, u.body("cut"))
		}
	}
}

// Large requests within the limits took the process over its memory, and with it all other
// requests.
func TestLargeRequestsTakeBoundedMemory(t *testing.T) {
	const (
		memoryMB = 284 // of the instance
		bodyMB   = 48
		large    = 10
		small    = 16
		limit    = memtest.Factor * memoryMB << 20 // bytes
	)
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(memoryMB << 20 * 8 / 10)) // as catkin-node does
	u := newSink(t, "u")
	tg := newTestGatewayWith(t, func(o *Options) { o.MemoryBytes = memoryMB << 20 })
	tg.setFleet(tg)
	tg.configureSinks(route.Limits{MaxBodyBytes: 64 << 20}, u)
	memtest.ResidentPeak(t)
	before := memtest.ResidentPeak(t)
	var answered, refused atomic.Int32
	var done atomic.Bool
	var callers, others sync.WaitGroup
	chunk := []byte(pattern(1 << 20))
	for i := range large {
		callers.Go(func() {
			c, err := net.Dial("tcp4", tg.addr)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(30 * time.Second))
			id := fmt.Sprint("large-", i)
			fmt.Fprintf(c, "POST /purchase/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 10000\r\nContent-Length: %d\r\n\r\n", testHost, id, bodyMB<<20)
			for range bodyMB {
				if _, err := c.Write(chunk); err != nil {
					break // it is refused
				}
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			switch {
			case err != nil:
				refused.Add(1) // the response was overtaken by the close
			case resp.StatusCode == http.StatusOK:
				answered.Add(1)
			case resp.StatusCode == http.StatusServiceUnavailable && u.body(id) == "" && resp.Header.Get("Retry-After") != "":
				refused.Add(1)
			default:
				t.Errorf("%s: status %d, arrived %q", id, resp.StatusCode, u.body(id))
			}
		})
	}
	for i := range small {
		others.Go(func() {
			for n := 0; !done.Load(); n++ {
				if r := tg.call("POST", "/purchase/1", fmt.Sprintf("s-%d-%d", i, n), "pack"); r.err != nil || r.status != http.StatusOK {
					t.Errorf("a small request got status %d, body %q, error %v", r.status, r.body, r.err)
				}
			}
		})
	}
	callers.Wait()
	done.Store(true)
	others.Wait()
	tg.waitForFreeMemory(membudget.Requests)
	rise := memtest.ResidentPeak(t) - before
	t.Logf("%d of %d large requests answered, %d refused, resident memory rose by %d bytes", answered.Load(), large, refused.Load(), rise)
	if rise > limit {
		t.Errorf("resident memory rose by %d bytes, want at most %d", rise, limit)
	}
	if answered.Load() == 0 {
		t.Error("no large request was answered")
	}
}
