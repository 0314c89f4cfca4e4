package proxy

import (
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/headers"
)

// An upstream wrote a reply once more on a kept connection, where the next one was due:
// the next caller got an answer that was not its own.
func TestLateCopyIsNoAnswerToTheNextCall(t *testing.T) {
	for _, tt := range []struct {
		name, copied string
		skipped      bool
	}{
		{"numbered", replyWithLength("earlier", headers.Attempt+": 1"), true},
		{"numbered, chunked", "HTTP/1.1 200 OK\r\n" + headers.Attempt + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nearlier\r\n0\r\n\r\n", true},
		{"numbered, no body", "HTTP/1.1 204 No Content\r\n" + headers.Attempt + ": 1\r\n\r\n", true},
		{"not numbered", replyWithLength("earlier"), false},
		{"number of no request", replyWithLength("earlier", headers.Attempt+": x"), false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var copies atomic.Int32
			site := newTestSite(t, noRules, startRawUpstream(t, func(n int, req *fasthttp.Request) (string, bool) {
				own := replyWithLength(string(req.Header.Peek("X-Request")), headers.Attempt+": "+string(req.Header.Peek(headers.Attempt)))
				if n == 1 {
					return own, false
				}
				copies.Add(1)
				return tt.copied + own, false
			}))
			c := site.dial()
			for i := range 20 {
				want := strconv.Itoa(i)
				c.send(rawGet("X-Request: "+want, headers.Attempt+": 7"))
				resp := c.read()
				if got := string(resp.Body()); got != want && (tt.skipped || header(resp, headers.Outcome) == "answered") {
					t.Errorf("call %s got %q, %s", want, got, header(resp, headers.Reason))
				}
				if header(resp, headers.Attempt) != "" {
					t.Error("the number on the upstream's connection reached the caller")
				}
			}
			if copies.Load() == 0 {
				t.Error("no connection was used twice")
			}
		})
	}
}
