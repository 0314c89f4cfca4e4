package proxy

import (
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/headers"

	"github.com/catkinrouter/catkinrouter/internal/netpeek"
)

// A caller that disconnects frees its slot, and its attempt's connection is
// closed. The check of a caller's connection loses no bytes of a pipelined
// request.
func TestCallerDisconnect(t *testing.T) {
	closed := make(chan struct{})
	release := make(chan struct{})
	site := newTestSite(t, config.Rules{Timeout: config.Duration(time.Minute)}, startUpstream(t, func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/leave":
			waitPeerClosed(ctx)
			close(closed)
		case "/stay":
			<-release
		}
		ctx.SetBody(ctx.Path())
	}))
	leavingCaller, stayingCaller := site.dial(), site.dial()
	stayingCaller.send(rawRequest("GET /stay", "") + rawRequest("GET /next", ""))
	leavingCaller.send(rawRequest("GET /leave", ""))
	site.eventually("both calls are in flight", func() bool { return site.s.d.status().InFlight == 2 })
	leavingCaller.Close()
	<-closed
	site.eventually("the slot is free", func() bool { return site.s.d.status().InFlight == 1 })
	if n := site.s.m.callersGone.Count(); n != 1 {
		t.Errorf("counted %d disconnected callers, want 1", n)
	}
	close(release)
	for _, want := range []string{"/stay", "/next"} {
		if resp := stayingCaller.read(); string(resp.Body()) != want {
			t.Errorf("got %s", resp.String())
		}
	}
}

// waitPeerClosed waits until the peer has closed the request's connection.
func waitPeerClosed(ctx *fasthttp.RequestCtx) {
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if netpeek.Peek(ctx.Conn()) == netpeek.Closed {
			return
		}
	}
}

// Each caller gets the complete reply to its own request while hedges,
// retries and cancellations happen, and the connections of cancelled attempts
// mix nothing up.
func TestCallersGetOwnReplies(t *testing.T) {
	var n atomic.Int64
	handler := func(ctx *fasthttp.RequestCtx) {
		switch k := n.Add(1); {
		case k%7 == 0:
			time.Sleep(20 * time.Millisecond)
		case k%11 == 0:
			ctx.Error("failing", 500)
			return
		case k%13 == 0:
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(c net.Conn) { c.Close() })
			return
		}
		ctx.SetBody(ctx.Request.Header.Peek("X-Request"))
	}
	site := newTestSite(t, config.Rules{RetryBudget: 1, HedgeBudget: 1}, startUpstream(t, handler), startUpstream(t, handler), startUpstream(t, handler))
	var wg sync.WaitGroup
	for worker := range 8 {
		c := site.dial()
		wg.Go(func() {
			for i := range 150 {
				want := strconv.Itoa(worker) + "-" + strconv.Itoa(i)
				c.send(rawGet("X-Request: " + want))
				resp := c.read()
				if resp.StatusCode() == 200 && string(resp.Body()) != want {
					t.Errorf("call %s got %s", want, resp.String())
				}
				if header(resp, headers.Outcome) == "not-run" {
					t.Errorf("call %s: %s", want, resp.String())
				}
			}
		})
	}
	wg.Wait()
	site.eventually("no call is in flight", func() bool { return site.s.d.status().InFlight == 0 })
}

// A caller that had closed only its sending side got an empty response with status 200.
func TestHalfClosedCallerGetsNoEmptyAnswer(t *testing.T) {
	site := newTestSite(t, noRules, startUpstream(t, func(ctx *fasthttp.RequestCtx) {
		time.Sleep(time.Second)
		ctx.SetBodyString("answer")
	}))
	c := site.dial()
	c.send(rawGet())
	if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(c.r)
	if len(got) > 0 && !strings.HasSuffix(string(got), "answer") {
		t.Errorf("got %q, %v", got, err)
	}
}
