package proxy

import (
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/headers"

	"github.com/catkinrouter/catkinrouter/internal/netpeek"
)

// A caller that goes away frees its slot, and its attempt's connection is
// closed; bytes that another caller sent ahead are not lost by the look at
// its connection.
func TestCallerGone(t *testing.T) {
	closed := make(chan struct{})
	release := make(chan struct{})
	site := newTestSite(t, config.Rules{Timeout: config.Duration(time.Minute)}, upstream(t, func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/leave":
			waitPeerClosed(ctx)
			close(closed)
		case "/stay":
			<-release
		}
		ctx.SetBody(ctx.Path())
	}))
	leaver, stayer := site.dial(), site.dial()
	stayer.send(request1("GET /stay", "") + request1("GET /next", ""))
	leaver.send(request1("GET /leave", ""))
	site.eventually("both calls are in flight", func() bool { return site.s.d.status().InFlight == 2 })
	leaver.Close()
	<-closed
	site.eventually("the slot is free", func() bool { return site.s.d.status().InFlight == 1 })
	if n := site.s.m.callersGone.Count(); n != 1 {
		t.Errorf("%d callers gone", n)
	}
	close(release)
	for _, want := range []string{"/stay", "/next"} {
		if resp := stayer.read(); string(resp.Body()) != want {
			t.Errorf("got %s", resp.String())
		}
	}
}

// waitPeerClosed waits until the other end of the request's connection closed.
func waitPeerClosed(ctx *fasthttp.RequestCtx) {
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if netpeek.Conn(ctx.Conn()) == netpeek.Closed {
			return
		}
	}
}

// Each caller gets the whole answer to their own request while hedges,
// retries and cancellations go on, and the losers' connections do no harm.
func TestOwnAnswers(t *testing.T) {
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
	site := newTestSite(t, config.Rules{RetryBudget: 1, HedgeBudget: 1}, upstream(t, handler), upstream(t, handler), upstream(t, handler))
	var wg sync.WaitGroup
	for worker := range 8 {
		c := site.dial()
		wg.Go(func() {
			for i := range 150 {
				want := strconv.Itoa(worker) + "-" + strconv.Itoa(i)
				c.send(get("X-Request: " + want))
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
	site.eventually("nothing is in flight", func() bool { return site.s.d.status().InFlight == 0 })
}
