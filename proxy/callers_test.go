package proxy

import (
	"encoding/json"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/headers"
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
	close(release)
	for _, c := range served {
		if resp := c.read(); resp.StatusCode() != 200 {
			t.Errorf("a served caller got status %d", resp.StatusCode())
		}
	}
	site.eventually("a new connection is served", func() bool { return site.roundTrip(rawGet()).StatusCode() == 200 })
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
