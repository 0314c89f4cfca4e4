package proxy

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/entry"
	"github.com/catkinrouter/catkinrouter/headers"
	"github.com/catkinrouter/catkinrouter/internal/metrics"
)

// benchConn sends the same request repeatedly on one connection.
type benchConn struct {
	net.Conn
	r    *bufio.Reader
	resp fasthttp.Response
}

func dialBench(b *testing.B, addr string) *benchConn {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { c.Close() })
	return &benchConn{Conn: c, r: bufio.NewReader(c)}
}

func (c *benchConn) roundTrip(b *testing.B, raw []byte) {
	if _, err := c.Write(raw); err != nil {
		b.Error(err)
		return
	}
	if err := c.resp.Read(c.r); err != nil {
		b.Error(err)
		return
	}
	if c.resp.StatusCode() != fasthttp.StatusOK {
		b.Errorf("%s", c.resp.String())
	}
}

func benchRequest(line string) []byte {
	lines := []string{"User-Agent: bench", "Accept: */*"}
	if strings.HasPrefix(line, "POST") {
		lines = append(lines, "Content-Length: 0")
	}
	return []byte(rawRequest(line, "", lines...))
}

func startFastUpstream(b *testing.B) string {
	return startUpstream(b, func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set(headers.Load, "1/6")
		ctx.SetBodyString("clue 7 is under the bridge")
	})
}

// BenchmarkCall measures one call at a time: to the upstream directly, and
// through an entry, idempotent and not.
func BenchmarkCall(b *testing.B) {
	for _, bc := range []struct {
		name   string
		line   string
		direct bool
	}{
		{"direct", "GET /clue", true},
		{"entry", "GET /clue", false},
		{"entry-post", "POST /buy", false},
	} {
		b.Run(bc.name, func(b *testing.B) {
			up := startFastUpstream(b)
			addr := up
			if !bc.direct {
				addr = newTestSite(b, config.Rules{ProbeBudget: 1e-9}, up).addr
			}
			c := dialBench(b, addr)
			raw := benchRequest(bc.line)
			c.roundTrip(b, raw)
			b.ReportAllocs()
			for b.Loop() {
				c.roundTrip(b, raw)
			}
		})
	}
}

// BenchmarkAdded measures the latency at a steady rate, to the upstream
// directly and through an entry in alternate rounds, and the time that the
// entry held calls.
func BenchmarkAdded(b *testing.B) {
	b.Run("get-2000", func(b *testing.B) { benchAdded(b, "GET /clue", 2000) })
	b.Run("post-200", func(b *testing.B) { benchAdded(b, "POST /buy", 200) })
}

func benchAdded(b *testing.B, line string, perSecond int) {
	const (
		conns = 32
		round = 500 * time.Millisecond
	)
	up := startFastUpstream(b)
	site := newTestSite(b, config.Rules{ProbeBudget: 1e-9}, up)
	raw := benchRequest(line)
	direct, through := metrics.NewHistogram(), metrics.NewHistogram()
	runAtRate(b, up, raw, conns, perSecond, round, metrics.NewHistogram())
	runAtRate(b, site.addr, raw, conns, perSecond, round, metrics.NewHistogram())
	site.s.m.held.Clear()
	for b.Loop() {
		runAtRate(b, up, raw, conns, perSecond, round, direct)
		runAtRate(b, site.addr, raw, conns, perSecond, round, through)
	}
	for _, p := range []float64{0.5, 0.99} {
		name := "p" + strconv.Itoa(int(100*p))
		b.ReportMetric(direct.Percentile(p), "direct-"+name+"-us")
		b.ReportMetric(through.Percentile(p)-direct.Percentile(p), "added-"+name+"-us")
		b.ReportMetric(site.s.m.held.Percentile(p), "held-"+name+"-us")
	}
}

// runAtRate makes calls at a steady rate, spread over connections. Each call
// has an intended start time; its latency counts from when it was sent.
func runAtRate(b *testing.B, addr string, raw []byte, conns, perSecond int, round time.Duration, h *metrics.Histogram) {
	var wg sync.WaitGroup
	start := time.Now()
	gap := time.Second * time.Duration(conns) / time.Duration(perSecond)
	for i := range conns {
		c := dialBench(b, addr)
		wg.Go(func() {
			at := start.Add(gap * time.Duration(i) / time.Duration(conns))
			for ; at.Sub(start) < round; at = at.Add(gap) {
				time.Sleep(time.Until(at))
				sent := time.Now()
				c.roundTrip(b, raw)
				h.Update(time.Since(sent).Microseconds())
			}
		})
	}
	wg.Wait()
}

// BenchmarkOwner compares two ways to own a Node, by the time of the begin
// and the end of a call: a mutex that the callers' goroutines lock, and one
// goroutine behind a bounded queue.
func BenchmarkOwner(b *testing.B) {
	site := newTestSite(b, config.Rules{ProbeBudget: 1e-9}, startFastUpstream(b))
	d := site.s.d
	complete := entry.Result{MayHaveSent: true, Status: fasthttp.StatusOK}
	runCall := func(c *call) {
		a := d.begin(c)
		for !a.answer {
			if a.callAttempt == nil {
				a = d.waitAction(c)
				continue
			}
			a = d.finished(c, a.callAttempt, complete)
		}
		d.detach(c)
		releaseCall(c)
	}
	newCall := func() *call {
		c := acquireCall(nil)
		c.ec = entry.Call{Service: testService, Method: "GET", Path: "/clue", Caller: "plaza"}
		return c
	}
	b.Run("mutex", func(b *testing.B) {
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				runCall(newCall())
			}
		})
	})
	b.Run("ring", func(b *testing.B) {
		type event struct {
			c    *call
			t    *callAttempt
			done chan action
		}
		ring := make(chan event, 1024)
		go func() {
			for e := range ring {
				if e.t == nil {
					e.done <- d.begin(e.c)
				} else {
					e.done <- d.finished(e.c, e.t, complete)
				}
			}
		}()
		b.Cleanup(func() { close(ring) })
		b.RunParallel(func(pb *testing.PB) {
			done := make(chan action, 1)
			for pb.Next() {
				c := newCall()
				ring <- event{c: c, done: done}
				a := <-done
				for !a.answer {
					if a.callAttempt == nil {
						a = d.waitAction(c)
						continue
					}
					ring <- event{c: c, t: a.callAttempt, done: done}
					a = <-done
				}
				d.detach(c)
				releaseCall(c)
			}
		})
	})
}
