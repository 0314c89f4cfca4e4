package proxy

import (
	"io"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/balance"
	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/headers"

	"github.com/catkinrouter/catkinrouter/internal/netpeek"
)

// replyWithLength returns a raw reply with a Content-Length.
func replyWithLength(body string, lines ...string) string {
	return "HTTP/1.1 200 OK\r\n" + strings.Join(append(lines, "Content-Length: "+strconv.Itoa(len(body))), "\r\n") + "\r\n\r\n" + body
}

// A reply that is truncated, or that has no length and so cannot be told from
// a truncated one, is never passed on as complete. A call that may have run
// is not reported as not run.
func TestTruncatedReply(t *testing.T) {
	for _, tc := range []struct{ name, raw string }{
		{"empty", ""},
		{"status line", "HTTP/1.1 200"},
		{"headers", "HTTP/1.1 200 OK\r\nContent-Le"},
		{"interim reply only", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nlooks whole"},
		{"no length, close", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nlooks whole"},
		{"http 1.0", "HTTP/1.0 200 OK\r\n\r\nlooks whole"},
		{"no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"},
		{"no end of last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n"},
		{"within a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf"},
		{"protocol switch", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"},
		{"not HTTP", "whole nonsense\r\n\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var runs atomic.Int32
			site := newTestSite(t, noRules, startRawUpstream(t, func(int, *fasthttp.Request) (string, bool) {
				runs.Add(1)
				return tc.raw, true
			}))
			resp := site.roundTrip(rawRequest("POST /buy", "", "Content-Length: 0"))
			if header(resp, headers.Outcome) != "unknown" || header(resp, headers.Reason) != string(attempt.ReasonUnkeyedLost) {
				t.Error(resp.String())
			}
			if runs.Load() != 1 {
				t.Errorf("ran %d times", runs.Load())
			}
		})
	}
}

// A reply that is truncated while it is streamed does not look complete to
// the caller.
func TestTruncatedStream(t *testing.T) {
	large := strings.Repeat("x", 3*streamThreshold)
	for _, tc := range []struct {
		name, raw string
		complete  bool
	}{
		{"length", replyWithLength(large), true},
		{"length, truncated", replyWithLength(large)[:2*streamThreshold], false},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(large)), 16) + "\r\n" + large + "\r\n0\r\n\r\n", true},
		{"chunks, truncated", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(large)), 16) + "\r\n" + large + "\r\n", false},
		{"chunks, truncated in the last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(large)), 16) + "\r\n" + large + "\r\n0\r\n", false},
		{"trailers", "HTTP/1.1 200 OK\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(large)), 16) + "\r\n" + large + "\r\n0\r\nX-Sum: 7\r\n\r\n", true},
		{"trailer that is not allowed", "HTTP/1.1 200 OK\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(large)), 16) + "\r\n" + large + "\r\n0\r\nX Sum: 7\r\n\r\n", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			site := newTestSite(t, noRules, startRawUpstream(t, func(int, *fasthttp.Request) (string, bool) { return tc.raw, true }))
			c := site.dial()
			c.send(rawGet())
			var resp fasthttp.Response
			err := resp.Read(c.r)
			if complete := err == nil && string(resp.Body()) == large; complete != tc.complete {
				t.Errorf("complete: %v, error %v, %d bytes", complete, err, len(resp.Body()))
			}
			if tc.complete {
				return
			}
			if _, err := c.r.ReadByte(); err != io.EOF {
				t.Errorf("the caller's connection was not closed: %v", err)
			}
		})
	}
}

// Bodies above the streaming threshold reach the upstream completely, with a
// length and in chunks. One that exceeds the service's limit on its way does
// not.
func TestLargeRequest(t *testing.T) {
	large := strings.Repeat("y", 3*streamThreshold)
	chunk := strconv.FormatInt(int64(len(large)), 16) + "\r\n" + large + "\r\n"
	for _, tc := range []struct {
		name, raw string
		limit     int
		want      string // length of the body that the upstream saw, or the reason
	}{
		{"length", rawRequest("POST /buy", large, "Content-Length: "+strconv.Itoa(len(large))), 1 << 20, "196608"},
		{"chunks", rawRequest("POST /buy", chunk+"0\r\n\r\n", "Transfer-Encoding: chunked"), 1 << 20, "196608"},
		{"small chunks", rawRequest("POST /buy", "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", "Transfer-Encoding: chunked"), 1 << 20, "3"},
		{"chunks above the limit", rawRequest("POST /buy", chunk+"0\r\n\r\n", "Transfer-Encoding: chunked"), 2 * streamThreshold, "unkeyed-reply-lost"},
		{"small chunks above the limit", rawRequest("POST /buy", "4\r\nabcd\r\n0\r\n\r\n", "Transfer-Encoding: chunked"), 3, "body-too-large"},
		{"length above the limit", rawRequest("POST /buy", large, "Content-Length: "+strconv.Itoa(len(large))), 2 * streamThreshold, "body-too-large"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			site := newTestSite(t, config.Rules{MaxBody: tc.limit}, startUpstream(t, func(ctx *fasthttp.RequestCtx) {
				ctx.SetBodyString(strconv.Itoa(len(ctx.PostBody())))
			}))
			resp := site.roundTrip(tc.raw)
			if got := string(resp.Body()); got != tc.want && header(resp, headers.Reason) != tc.want {
				t.Errorf("got %q, %s", got, resp.Header.String())
			}
		})
	}
}

// Replies without a body and interim replies leave the connection usable for
// the next reply.
func TestRepliesWithoutBody(t *testing.T) {
	raw := map[string]string{
		"/head":    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
		"/empty":   "HTTP/1.1 204 No Content\r\n\r\n",
		"/same":    "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n",
		"/interim": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + replyWithLength("end"),
	}
	site := newTestSite(t, noRules, startRawUpstream(t, func(_ int, req *fasthttp.Request) (string, bool) {
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
		c.send(rawRequest(tc.line, ""))
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

// A non-idempotent call is never sent on a connection that has carried a
// request.
func TestNonIdempotentUsesNewConnection(t *testing.T) {
	var stale atomic.Int32
	site := newTestSite(t, noRules, startRawUpstream(t, func(n int, req *fasthttp.Request) (string, bool) {
		if req.Header.IsPost() && n > 1 {
			stale.Add(1)
		}
		return replyWithLength("ok"), false
	}))
	c := site.dial()
	for range 20 {
		for _, line := range []string{"GET /clue", "POST /buy"} {
			c.send(rawRequest(line, "", "Content-Length: 0"))
			c.read()
		}
	}
	if n := stale.Load(); n > 0 {
		t.Errorf("%d non-idempotent calls on used connections", n)
	}
}

// A connection that the upstream closed after its reply, or on which bytes
// follow the reply, is not reused.
func TestConnectionNotReused(t *testing.T) {
	for _, tc := range []struct {
		name, extra string
		end         bool
	}{
		{"closed", "", true},
		{"more bytes", replyWithLength("not yours"), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			site := newTestSite(t, noRules, startRawUpstream(t, func(_ int, req *fasthttp.Request) (string, bool) {
				return replyWithLength(string(req.Header.Peek("X-Request"))) + tc.extra, tc.end
			}))
			c := site.dial()
			for i := range 50 {
				want := strconv.Itoa(i)
				c.send(rawGet("X-Request: " + want))
				if resp := c.read(); string(resp.Body()) != want {
					t.Fatalf("call %s got %s", want, resp.String())
				}
				if tc.end {
					site.waitIdleClosed()
				}
			}
		})
	}
}

// waitIdleClosed waits until every idle connection shows that its peer has
// closed it.
func (site *testSite) waitIdleClosed() {
	p := site.s.pool
	site.eventually("idle connections are closed", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, h := range p.hosts {
			for _, c := range h.idle {
				if c.idleState() == netpeek.Idle {
					return false
				}
			}
		}
		return true
	})
}

// An upstream that ended in the middle of its reply's head left the caller with a
// success that looked complete.
func TestReplyCutInItsHead(t *testing.T) {
	head := replyWithLength("", "X-Note: whole")
	var cut atomic.Int32
	site := newTestSite(t, noRules, startRawUpstream(t, func(int, *fasthttp.Request) (string, bool) {
		return head[:cut.Load()], true
	}))
	for n := range len(head) {
		cut.Store(int32(n))
		resp := site.roundTrip(rawRequest("POST /buy", "", "Content-Length: 0"))
		if resp.StatusCode() < 500 || header(resp, headers.Outcome) != "unknown" {
			t.Errorf("cut after %d bytes of %d: %s", n, len(head), resp.String())
		}
	}
}

// A load report with numbers out of all proportion must not count.
func TestParseLoad(t *testing.T) {
	for text, want := range map[string]*balance.Load{
		"3/6": {Outstanding: 3, Slots: 6}, "0/1": {Slots: 1},
		"9223372036854775807/6": nil, "1/9223372036854775807": nil, "1000001/6": nil,
		"": nil, "3": nil, "-1/6": nil, "1/0": nil, "a/b": nil, "1/6/7": nil,
	} {
		if diff := cmp.Diff(want, parseLoad(text)); diff != "" {
			t.Errorf("%q: %s", text, diff)
		}
	}
}
