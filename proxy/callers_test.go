package proxy

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/headers"
	"github.com/catkinrouter/catkinrouter/internal/membudget"
)

// Callers' connections had no bound: a crowd of them took the entry's descriptors and memory.
func TestCrowdOfCallers(t *testing.T) {
	const most = 4
	var running atomic.Int32
	release := make(chan struct{})
	site := newTestSiteWith(t, noRules, Settings{MaxCallers: most}, startUpstream(t, func(*fasthttp.RequestCtx) {
		running.Add(1)
		<-release
	}))
	free := sync.OnceFunc(func() { close(release) })
	t.Cleanup(free) // else a failed test waits for its upstream
	var served []*caller
	for range most {
		c := site.dial()
		c.send(rawGet())
		served = append(served, c)
	}
	site.eventually("all requests run", func() bool { return running.Load() == most })
	for _, tc := range []struct{ name, raw, outcome string }{
		{"without a key", rawGet(), "not-run"},
		{"with a key", rawGet("catkin-KEY: p/n"), "unknown"},
		{"part of the header", "GET /clue HTTP/1.1\r\nHost: tienda\r\n", "unknown"},
	} {
		resp := site.roundTrip(tc.raw)
		var body Refusal
		if err := json.Unmarshal(resp.Body(), &body); err != nil {
			t.Errorf("%s: %q: %v", tc.name, resp.Body(), err)
		}
		if resp.StatusCode() != 503 || body.Outcome != tc.outcome || header(resp, headers.Outcome) != tc.outcome || body.Reason != string(reasonTooManyCallers) ||
			body.Remedy == "" || header(resp, "Retry-After") != "1" || !resp.ConnectionClose() || header(resp, headers.Entry) != "instance-1" {
			t.Errorf("%s: status %d, %s, body %+v", tc.name, resp.StatusCode(), &resp.Header, body)
		}
	}
	free()
	for _, c := range served {
		if resp := c.read(); resp.StatusCode() != 200 {
			t.Errorf("a served caller got status %d", resp.StatusCode())
		}
	}
	site.eventually("a new connection is served", func() bool { return site.roundTrip(rawGet()).StatusCode() == 200 })
}

// Large replies that are read whole, since they are kept for a caller's repeats, had no bound
// in common: a few of them took the process over its memory.
func TestLargeKeptRepliesTakeBoundedMemory(t *testing.T) {
	const size = 4 << 20
	body := make([]byte, size)
	var waiting atomic.Int32
	release := make(chan struct{})
	answer := func(ctx *fasthttp.RequestCtx) {
		waiting.Add(1)
		<-release
		ctx.SetBody(body)
	}
	// One reply may take 7% of 42.5% of the memory, all of them 45% of that.
	site := newTestSiteWith(t, noRules, Settings{Memory: 160 << 20}, startUpstream(t, answer), startUpstream(t, answer))
	free := sync.OnceFunc(func() { close(release) })
	t.Cleanup(free)
	permit := site.permit()
	var callers []*caller
	for i := range 12 {
		c := site.dial()
		c.send(rawRequest("POST /buy", "", fmt.Sprintf("Catkin-Key: %s/%d", permit, i), "Content-Length: 0"))
		callers = append(callers, c)
	}
	site.eventually("all requests run", func() bool { return int(waiting.Load()) == len(callers) })
	free()
	answered := 0
	for _, c := range callers {
		switch resp := c.read(); {
		case resp.StatusCode() == 200 && len(resp.Body()) == size:
			answered++
		case resp.StatusCode() >= 500 && header(resp, headers.Outcome) == "unknown":
		default:
			t.Errorf("status %d, outcome %s, %d bytes", resp.StatusCode(), header(resp, headers.Outcome), len(resp.Body()))
		}
	}
	if answered == 0 || answered == len(callers) {
		t.Errorf("%d of %d large replies arrived, want some", answered, len(callers))
	}
	site.eventually("the memory is free", func() bool { return site.s.memory.Taken(membudget.Replies) == 0 })
}

// Connections in use stay open as the settings say, idle ones and slow headers end.
func TestCallerTimeouts(t *testing.T) {
	const short = config.Duration(200 * time.Millisecond)
	upstream := startUpstream(t, func(*fasthttp.RequestCtx) {})
	for _, tc := range []struct {
		name string
		cfg  Settings
		sent string // after an answered request
		want string // the beginning of what is received up to the end of the connection
	}{
		{"idle", Settings{IdleTimeout: short}, "", ""},
		{"slow header", Settings{HeaderTimeout: short}, "GET /clue HTTP/1.1\r\nHo", "HTTP/1.1 408"},
		{"header after a long wait", Settings{HeaderTimeout: short}, "WAIT", "HTTP/1.1 200"},
	} {
		site := newTestSiteWith(t, noRules, tc.cfg, upstream)
		c := site.dial()
		c.send(rawGet())
		if resp := c.read(); resp.StatusCode() != 200 {
			t.Fatalf("%s: status %d", tc.name, resp.StatusCode())
		}
		if tc.sent == "WAIT" {
			time.Sleep(2 * short.D())
			tc.sent = rawGet("Connection: close")
		}
		c.send(tc.sent)
		if got, err := io.ReadAll(c.r); err != nil || !strings.HasPrefix(string(got), tc.want) || tc.want == "" && len(got) > 0 {
			t.Errorf("%s: received %q, error %v; want %q", tc.name, got, err, tc.want)
		}
	}
}
