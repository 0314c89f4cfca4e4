package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/headers"
	"github.com/catkinrouter/catkinrouter/internal/httpreply/replytest"
	"github.com/catkinrouter/catkinrouter/internal/membudget"
	"github.com/catkinrouter/catkinrouter/internal/memtest"
)

// startEndlessUpstream starts an upstream that answers probes, and other requests without end.
// It returns its address and counts its requests.
func startEndlessUpstream(t *testing.T, c replytest.EndlessCase, pause time.Duration, runs *atomic.Int32) string {
	t.Helper()
	return replytest.Serve(t, func(nc net.Conn) { serveEndless(nc, c, pause, runs) })
}

func serveEndless(nc net.Conn, c replytest.EndlessCase, pause time.Duration, runs *atomic.Int32) {
	r := bufio.NewReader(nc)
	for {
		var req fasthttp.Request
		if err := req.Read(r); err != nil {
			return
		}
		if string(req.URI().Path()) != headers.ProbePath {
			runs.Add(1)
			c.Write(nc, pause)
			return
		}
		if _, err := io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nCatkin-Load: 0/6\r\n\r\n"); err != nil {
			return
		}
	}
}

// readsWhole reads a response to its end and reports whether it is a whole success.
func readsWhole(c *caller) bool {
	var resp fasthttp.Response
	resp.StreamBody = true
	if err := resp.Read(c.r); err != nil {
		return false
	}
	_, err := io.Copy(io.Discard, resp.BodyStream())
	return err == nil && resp.StatusCode() == fasthttp.StatusOK
}

// Bytes without end from an upstream, in any part of a reply, must not end in a success, must
// end with the call's time, and must return the memory of the reply.
func TestEndlessReplies(t *testing.T) {
	const timeout = 700 * time.Millisecond
	for _, c := range replytest.Endless {
		for _, pause := range []time.Duration{0, time.Millisecond} {
			t.Run(fmt.Sprint(c.Name, " ", pause), func(t *testing.T) {
				t.Parallel()
				var runs atomic.Int32
				site := newTestSite(t, config.Rules{Timeout: config.Duration(timeout)}, startEndlessUpstream(t, c, pause, &runs))
				cl := site.dial()
				began := time.Now()
				cl.send(rawRequest("POST /buy", "", "Content-Length: 0"))
				if readsWhole(cl) {
					t.Error("an endless reply ended as a success")
				}
				if took := time.Since(began); took > 10*timeout {
					t.Errorf("took %v", took)
				}
				if runs.Load() != 1 {
					t.Errorf("ran %d times", runs.Load())
				}
				site.eventually("memory for replies is free", func() bool { return site.s.memory.Taken(membudget.Replies) == 0 })
			})
		}
	}
}

// Replies without end to many calls at once, at full speed, must not take the process over its
// memory, whether they are sent on while they are read or kept for a caller's repeats.
func TestEndlessRepliesTakeBoundedMemory(t *testing.T) {
	for _, c := range replytest.Endless {
		for _, keyed := range []bool{false, true} {
			t.Run(fmt.Sprint(c.Name, " keyed ", keyed), func(t *testing.T) { testEndlessMemory(t, c, keyed) })
		}
	}
}

func testEndlessMemory(t *testing.T, c replytest.EndlessCase, keyed bool) {
	const (
		parallel = 50
		memory   = 184 << 20 // bytes, of the process
		limit    = memtest.Factor * memory
		timeout  = time.Second
	)
	var runs atomic.Int32
	site := newTestSiteWith(t, config.Rules{Timeout: config.Duration(timeout)}, Settings{Memory: memory}, startEndlessUpstream(t, c, 0, &runs))
	permit := site.permit()
	memtest.ResidentPeak(t)
	before := memtest.ResidentPeak(t)
	var calls sync.WaitGroup
	for i := range parallel {
		lines := []string{"Content-Length: 0"}
		if keyed {
			lines = append(lines, fmt.Sprintf("%s: %s/%d", headers.Key, permit, i))
		}
		cl := site.dial()
		cl.send(rawRequest("POST /buy", "", lines...))
		calls.Go(func() {
			if readsWhole(cl) {
				t.Error("an endless reply ended as a success")
			}
		})
	}
	calls.Wait()
	rise := memtest.ResidentPeak(t) - before
	t.Logf("resident memory rose by %d bytes", rise)
	if rise > limit {
		t.Errorf("resident memory rose by %d bytes, want at most %d", rise, limit)
	}
	if runs.Load() == 0 {
		t.Error("no call ran")
	}
	site.eventually("memory for replies is free", func() bool { return site.s.memory.Taken(membudget.Replies) == 0 })
}
