package gateway

import (
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/discovery"
	"github.com/catkinrouter/catkinrouter/internal/httpreply/replytest"
	"github.com/catkinrouter/catkinrouter/internal/membudget"
	"github.com/catkinrouter/catkinrouter/internal/memtest"
)

// strayReplies are replies to another request without end.
var strayReplies = replytest.EndlessStray("Request-Id: other")

// endless runs a request and answers it with a reply without end.
func endless(reply replytest.EndlessCase, pause time.Duration) behaviour {
	return func(s *stub, c net.Conn, r *http.Request, _ string) bool {
		reply.Write(c, pause, "Request-Id: "+s.run(r), "Signature: x")
		return false
	}
}

// Bytes without end from an upstream, in any part of a reply, must end in an
// unknown outcome (the request may have run), never in a success or a refusal,
// and return the memory of the reply.
func TestEndlessReplies(t *testing.T) {
	for _, c := range append(replytest.Endless, strayReplies) {
		for _, pause := range []time.Duration{0, time.Millisecond} {
			t.Run(fmt.Sprint(c.Name, " ", pause), func(t *testing.T) {
				t.Parallel()
				s := newStub(t, "i-a", endless(c, pause))
				tg := newTestGateway(t)
				tg.configure(700*time.Millisecond, s)
				r, id := tg.purchaseUntilRun(s)
				if r.err != nil || r.status != http.StatusBadGateway && r.status != http.StatusGatewayTimeout {
					t.Errorf("status %d, body %q, error %v; want 502 or 504", r.status, r.body, r.err)
				}
				if n := s.runCount(id); n != 1 {
					t.Errorf("the request ran %d times", n)
				}
				tg.waitForFreeMemory(membudget.Replies)
			})
		}
	}
}

// purchaseUntilRun sends purchases until one has run at the upstream, and returns the response to
// it and its ID. On a busy machine a connection to the upstream may time out: the purchase
// must then be refused, and not run.
func (tg *testGateway) purchaseUntilRun(s *stub) (r reply, id string) {
	tg.t.Helper()
	for i := range 20 {
		id = fmt.Sprint("t-", i)
		if r = tg.call("POST", "/purchase/1", id, "x"); s.runCount(id) > 0 {
			return r, id
		}
		if r.err != nil || r.status != http.StatusServiceUnavailable {
			tg.t.Errorf("%s did not run: status %d, body %q, error %v; want 503", id, r.status, r.body, r.err)
		}
	}
	return r, id
}

// waitForFreeMemory waits until the use takes no memory.
func (tg *testGateway) waitForFreeMemory(u membudget.Use) {
	tg.t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		taken := tg.g.memory.Taken(u)
		if taken == 0 {
			return
		}
		if time.Now().After(end) {
			tg.t.Fatalf("%d bytes of memory for %s are taken after the calls", taken, u)
		}
	}
}

// Fifty endless replies at once, at full speed, must not take the process over the
// memory of its instance, and other callers must be served meanwhile.
func TestEndlessRepliesTakeBoundedMemory(t *testing.T) {
	const (
		parallel = 50
		memoryMB = 184 // of the instance
		// limit is the memory of the instance in bytes: a process that takes more is
		// killed.
		limit = memtest.Factor * memoryMB << 20
	)
	// As catkin-node does; the runtime may exceed it.
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(memoryMB << 20 * 8 / 10))
	for _, c := range append(replytest.Endless, strayReplies) {
		tg := newTestGatewayWith(t, func(o *Options) { o.MemoryBytes = memoryMB << 20 })
		tg.setFleet(tg)
		bad, good := newStub(t, "i-bad", endless(c, 0)), newStub(t, "i-good", answerOK)
		tg.configure(3*time.Second, bad)
		memtest.ResidentPeak(t)
		before := memtest.ResidentPeak(t)
		var calls sync.WaitGroup
		var ended atomic.Int64
		for i := range parallel {
			calls.Go(func() {
				if r := tg.call("POST", "/purchase/1", fmt.Sprint("t-", i), "x"); r.status == http.StatusOK {
					t.Errorf("%s: an endless reply was answered as a success", c.Name)
				}
				ended.Add(1)
			})
		}
		for bad.totalRuns() < parallel && ended.Load() < parallel {
			time.Sleep(time.Millisecond)
		}
		tg.configure(3*time.Second, good)
		for i := range 20 {
			if r := tg.call("GET", "/clue/1", fmt.Sprint("g-", i), ""); r.err != nil || r.status != http.StatusOK {
				t.Errorf("%s: another caller got status %d, error %v", c.Name, r.status, r.err)
			}
		}
		calls.Wait()
		tg.waitForFreeMemory(membudget.Replies)
		if rise := memtest.ResidentPeak(t) - before; rise > limit {
			t.Errorf("%s: resident memory rose by %d bytes, want at most %d", c.Name, rise, limit)
		}
	}
}

// totalRuns returns how many requests have run at the stub.
func (s *stub) totalRuns() (n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, runs := range s.runs {
		n += int64(runs)
	}
	return n
}

// A large honest reply must pass whole, in every framing, and to a caller that
// reads slowly.
func TestLargeRepliesPass(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 3<<20/16)
	for name, write := range map[string]func(c net.Conn, id string){
		"announced length": func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: x\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
		},
		"until close": func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: x\r\nConnection: close\r\n\r\n%s", id, body)
			c.Close()
		},
		"chunks": func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: x\r\nTransfer-Encoding: chunked\r\n\r\n%x;ext=1\r\n%s\r\n0\r\nX-Sum: 7\r\n\r\n", id, len(body), body)
		},
	} {
		s := newStub(t, "i-a", func(s *stub, c net.Conn, r *http.Request, _ string) bool {
			write(c, s.run(r))
			return name != "until close"
		})
		tg := newTestGateway(t)
		tg.configure(5*time.Second, s)
		for i := range 3 {
			if r := tg.call("GET", "/clue/1", fmt.Sprint("t-", i), ""); r.err != nil || r.status != http.StatusOK || r.body != body {
				t.Errorf("%s: status %d, %d bytes of %d, error %v", name, r.status, len(r.body), len(body), r.err)
			}
		}
		tg.waitForFreeMemory(membudget.Replies)
	}
}

// Health replies without end must count as failed, and return their memory.
func TestEndlessHealthReplies(t *testing.T) {
	for _, c := range replytest.Endless {
		for _, pause := range []time.Duration{0, time.Millisecond} {
			t.Run(fmt.Sprint(c.Name, " ", pause), func(t *testing.T) {
				t.Parallel()
				tg := newTestGateway(t)
				u := &discovery.Upstream{ID: "u", Service: testService, Address: replytest.AnswerEndless(t, c, pause, "Upstream-Id: u", "Load: 0,0,6")}
				began := time.Now()
				if res := tg.g.probe(u, "/health", began.Add(lateProbeTimeout)); res.err == nil {
					t.Errorf("taken as a reply: %+v", res.report)
				}
				if took := time.Since(began); took > 10*lateProbeTimeout {
					t.Errorf("the probe took %v", took)
				}
				tg.waitForFreeMemory(membudget.Replies)
			})
		}
	}
}
