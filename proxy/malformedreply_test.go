package proxy

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/entry"
	"github.com/catkinrouter/catkinrouter/headers"
	"github.com/catkinrouter/catkinrouter/internal/httpreply/replytest"
)

// An upstream answered with a status line that HTTP does not allow, such as status 000, and
// the caller got it as an answer.
func TestMalformedStatusLineIsNoAnswer(t *testing.T) { testMalformed(t, replytest.StatusLines) }

// An upstream answered with a blank in the name of a header, and the caller got it as an
// answer: with that line, or with another body than the upstream's.
func TestMalformedFieldNameIsNoAnswer(t *testing.T) { testMalformed(t, replytest.FieldNames) }

// An upstream answered with a folded line, or with a line that a line feed alone ended, and
// the caller got it as an answer.
func TestMalformedLineIsNoAnswer(t *testing.T) { testMalformed(t, replytest.Lines) }

// An upstream answered by HTTP/1.0 with a body in chunks, which that version does not know, and
// the bytes of the chunks reached the caller as the body.
func TestChunksOfHTTP10AreNoAnswer(t *testing.T) { testMalformed(t, replytest.OldFramings) }

// A body whose end can't be told, by its length or its chunks, must not reach a caller.
func TestMalformedBodyIsNoAnswer(t *testing.T) { testMalformed(t, replytest.Bodies) }

// An upstream answered in chunks with a trailer that HTTP does not allow, and the caller got it as
// an answer, at times with a head that is not allowed itself.
func TestMalformedTrailerIsNoAnswer(t *testing.T) { testMalformed(t, replytest.Trailers) }

// testMalformed checks that no malformed reply reaches a caller, and that the call ends as
// unknown.
func testMalformed(t *testing.T, cases []replytest.Case) {
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			var runs atomic.Int32
			site := newTestSite(t, noRules, startRawUpstream(t, func(int, *fasthttp.Request) (string, bool) {
				runs.Add(1)
				return c.Raw(), true
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

// Malformed replies must be counted, at their start and in what is read while it is sent on.
func TestMalformedRepliesAreCounted(t *testing.T) {
	trailer := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n30000\r\n" + strings.Repeat("x", 0x30000) + "\r\n0\r\nX Sum: 7\r\n\r\n"
	for _, raw := range []string{replytest.StatusLines[0].Raw(), trailer} {
		site := newTestSite(t, noRules, startRawUpstream(t, func(int, *fasthttp.Request) (string, bool) { return raw, true }))
		c := site.dial()
		c.send(rawRequest("POST /buy", "", "Content-Length: 0"))
		go io.Copy(io.Discard, c.r)
		site.eventually("the reply is counted", func() bool { return site.s.m.malformedReplies.Count() == 1 })
	}
}

// A reply that HTTP does not allow counted as the reply to a probe.
func TestMalformedReplyToProbe(t *testing.T) {
	for _, c := range replytest.Heads() {
		t.Run(c.Name, func(t *testing.T) {
			cn := newConn(dialTest(t, replytest.Answer(t, c, headers.Load+": 0/6")), "")
			var resp fasthttp.Response
			if err := cn.get(&entry.Step{Service: testService}, &resp, testTimeout/10); err == nil {
				t.Errorf("taken as a reply: %s", resp.String())
			}
		})
	}
}

func dialTest(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}
