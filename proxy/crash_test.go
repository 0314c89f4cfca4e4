package proxy

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/headers"
)

// startCrashingUpstream starts an upstream that ends when it gets a request for /crash:
// nothing listens any more, and its connections close.
func startCrashingUpstream(t *testing.T, crashed *atomic.Int32) string {
	t.Helper()
	ln := listenTest(t)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go serveUntilCrash(c, ln, crashed)
		}
	}()
	return ln.Addr().String()
}

func serveUntilCrash(c net.Conn, ln net.Listener, crashed *atomic.Int32) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if r.URL.Path == "/crash" {
			crashed.Add(1)
			time.Sleep(60 * time.Millisecond)
			ln.Close()
			return
		}
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

// A call that crashes the upstreams that run it was sent to one after the other, however
// often it came.
func TestCrashingCallReachesFewUpstreams(t *testing.T) {
	const upstreams, most = 10, 4
	var crashed atomic.Int32
	var addresses []string
	for range upstreams {
		addresses = append(addresses, startCrashingUpstream(t, &crashed))
	}
	site := newTestSite(t, noRules, addresses...)
	for range 30 {
		site.roundTrip(rawRequest("GET /crash", ""))
		time.Sleep(50 * time.Millisecond)
	}
	if n := crashed.Load(); n > most {
		t.Errorf("%d of %d upstreams crashed, want at most %d", n, upstreams, most)
	}
	resp := site.roundTrip(rawRequest("GET /crash", ""))
	if resp.StatusCode() != fasthttp.StatusServiceUnavailable || header(resp, headers.Reason) != "quarantined" || len(resp.Header.Peek(fasthttp.HeaderRetryAfter)) == 0 {
		t.Error(resp.String())
	}
	if resp := site.roundTrip(rawRequest("GET /other", "")); resp.StatusCode() != fasthttp.StatusOK {
		t.Errorf("another call: %s", resp.String())
	}
}
