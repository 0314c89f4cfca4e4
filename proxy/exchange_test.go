package proxy

import (
	"io"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/headers"

	"github.com/catkinrouter/catkinrouter/internal/netpeek"
)

// withLength is a raw reply.
func withLength(body string, lines ...string) string {
	return "HTTP/1.1 200 OK\r\n" + strings.Join(append(lines, "Content-Length: "+strconv.Itoa(len(body))), "\r\n") + "\r\n\r\n" + body
}

// A reply that is cut, or whose end cannot be told from a cut, never looks
// whole; a call that may have run is not said to be not run.
func TestCutReply(t *testing.T) {
	for _, tc := range []struct{ name, raw string }{
		{"nothing", ""},
		{"status line", "HTTP/1.1 200"},
		{"headers", "HTTP/1.1 200 OK\r\nContent-Le"},
		{"interim alone", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nlooks whole"},
		{"no length, close", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nlooks whole"},
		{"http 1.0", "HTTP/1.0 200 OK\r\n\r\nlooks whole"},
		{"no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"},
		{"no end of last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n"},
		{"in a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf"},
		{"switch", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"},
		{"no reply", "whole nonsense\r\n\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var runs atomic.Int32
			site := newTestSite(t, noRules, rawUpstream(t, func(int, *fasthttp.Request) (string, bool) {
				runs.Add(1)
				return tc.raw, true
			}))
			resp := site.ask(request1("POST /buy", "", "Content-Length: 0"))
			if header(resp, headers.Outcome) != "unknown" || header(resp, headers.Reason) != string(attempt.ReasonUnkeyedLost) {
				t.Error(resp.String())
			}
			if runs.Load() != 1 {
				t.Errorf("ran %d times", runs.Load())
			}
		})
	}
}

// A reply that is streamed to the caller and cut on its way does not look
// whole to the caller.
func TestCutStream(t *testing.T) {
	large := strings.Repeat("x", 3*streamAbove)
	for _, tc := range []struct {
		name, raw string
		whole     bool
	}{
		{"length", withLength(large), true},
		{"length, cut", withLength(large)[:2*streamAbove], false},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(large)), 16) + "\r\n" + large + "\r\n0\r\n\r\n", true},
		{"chunks, cut", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(large)), 16) + "\r\n" + large + "\r\n", false},
		{"chunks, cut in the end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(large)), 16) + "\r\n" + large + "\r\n0\r\n", false},
		{"trailers", "HTTP/1.1 200 OK\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(large)), 16) + "\r\n" + large + "\r\n0\r\nX-Sum: 7\r\n\r\n", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			site := newTestSite(t, noRules, rawUpstream(t, func(int, *fasthttp.Request) (string, bool) { return tc.raw, true }))
			c := site.dial()
			c.send(get())
			var resp fasthttp.Response
			err := resp.Read(c.r)
			if whole := err == nil && string(resp.Body()) == large; whole != tc.whole {
				t.Errorf("whole %v, error %v, %d bytes", whole, err, len(resp.Body()))
			}
			if tc.whole {
				return
			}
			if _, err := c.r.ReadByte(); err != io.EOF {
				t.Errorf("connection of the caller goes on: %v", err)
			}
		})
	}
}

// Bodies above the bound reach the upstream whole, with a length and in
// chunks; one that passes the service's bound on its way does not.
func TestLargeRequest(t *testing.T) {
	large := strings.Repeat("y", 3*streamAbove)
	chunk := strconv.FormatInt(int64(len(large)), 16) + "\r\n" + large + "\r\n"
	for _, tc := range []struct {
		name, raw string
		limit     int
		want      string // length of the body that the upstream saw, or the reason
	}{
		{"length", request1("POST /buy", large, "Content-Length: "+strconv.Itoa(len(large))), 1 << 20, "196608"},
		{"chunks", request1("POST /buy", chunk+"0\r\n\r\n", "Transfer-Encoding: chunked"), 1 << 20, "196608"},
		{"small chunks", request1("POST /buy", "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", "Transfer-Encoding: chunked"), 1 << 20, "3"},
		{"chunks above the bound", request1("POST /buy", chunk+"0\r\n\r\n", "Transfer-Encoding: chunked"), 2 * streamAbove, "unkeyed-reply-lost"},
		{"small chunks above the bound", request1("POST /buy", "4\r\nabcd\r\n0\r\n\r\n", "Transfer-Encoding: chunked"), 3, "body-too-large"},
		{"length above the bound", request1("POST /buy", large, "Content-Length: "+strconv.Itoa(len(large))), 2 * streamAbove, "body-too-large"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			site := newTestSite(t, config.Rules{MaxBody: tc.limit}, upstream(t, func(ctx *fasthttp.RequestCtx) {
				ctx.SetBodyString(strconv.Itoa(len(ctx.PostBody())))
			}))
			resp := site.ask(tc.raw)
			if got := string(resp.Body()); got != tc.want && header(resp, headers.Reason) != tc.want {
				t.Errorf("got %q, %s", got, resp.Header.String())
			}
		})
	}
}

// Replies without a body, and interim replies, leave the connection in step.
func TestBodilessReplies(t *testing.T) {
	raw := map[string]string{
		"/head":    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
		"/empty":   "HTTP/1.1 204 No Content\r\n\r\n",
		"/same":    "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n",
		"/interim": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + withLength("end"),
	}
	site := newTestSite(t, noRules, rawUpstream(t, func(_ int, req *fasthttp.Request) (string, bool) {
		return raw[string(req.URI().Path())], false
	}))
	c := site.dial()
	for _, tc := range []struct {
		line   string
		status int
		body   string
	}{
		{"HEAD /head", 200, ""}, {"GET /empty", 204, ""}, {"GET /same", 304, ""}, {"GET /interim", 200, "end"},
	} {
		c.send(request1(tc.line, ""))
		var resp fasthttp.Response
		resp.SkipBody = strings.HasPrefix(tc.line, "HEAD")
		if err := resp.Read(c.r); err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode() != tc.status || string(resp.Body()) != tc.body || header(&resp, headers.Outcome) != "answered" {
			t.Errorf("%s: %s", tc.line, resp.String())
		}
		if tc.line == "HEAD /head" && resp.Header.ContentLength() != 9 {
			t.Errorf("%s: length %d", tc.line, resp.Header.ContentLength())
		}
	}
}

// A non-idempotent call never goes out on a connection that carried a request
// before.
func TestFreshConnections(t *testing.T) {
	var stale atomic.Int32
	site := newTestSite(t, noRules, rawUpstream(t, func(n int, req *fasthttp.Request) (string, bool) {
		if req.Header.IsPost() && n > 1 {
			stale.Add(1)
		}
		return withLength("ok"), false
	}))
	c := site.dial()
	for range 20 {
		for _, line := range []string{"GET /clue", "POST /buy"} {
			c.send(request1(line, "", "Content-Length: 0"))
			c.read()
		}
	}
	if n := stale.Load(); n > 0 {
		t.Errorf("%d calls on used connections", n)
	}
}

// A connection that the upstream closed after its reply, or on which more
// bytes wait than the reply had, is not used again.
func TestNoReuse(t *testing.T) {
	for _, tc := range []struct {
		name, extra string
		end         bool
	}{
		{"closed", "", true},
		{"more bytes", withLength("not yours"), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			site := newTestSite(t, noRules, rawUpstream(t, func(_ int, req *fasthttp.Request) (string, bool) {
				return withLength(string(req.Header.Peek("X-Request"))) + tc.extra, tc.end
			}))
			c := site.dial()
			for i := range 50 {
				want := strconv.Itoa(i)
				c.send(get("X-Request: " + want))
				if resp := c.read(); string(resp.Body()) != want {
					t.Fatalf("call %s got %s", want, resp.String())
				}
				if tc.end {
					site.waitClosed()
				}
			}
		})
	}
}

// waitClosed waits until every idle connection shows that its far end closed.
func (site *testSite) waitClosed() {
	p := site.s.pool
	site.eventually("idle connections are closed", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, h := range p.hosts {
			for _, c := range h.idle {
				if c.idleState() == netpeek.Quiet {
					return false
				}
			}
		}
		return true
	})
}
