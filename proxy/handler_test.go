package proxy

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/headers"
)

var noRules = config.Rules{}

// The upstream gets the caller's own request: hop-by-hop headers are removed;
// deadline, depth, try and caller are passed on.
func TestRequestHeaders(t *testing.T) {
	seen := make(chan map[string]string, 1)
	site := newTestSite(t, noRules, startUpstream(t, func(ctx *fasthttp.RequestCtx) {
		got := map[string]string{"line": string(ctx.Method()) + " " + string(ctx.RequestURI()), "body": string(ctx.PostBody())}
		for k, v := range ctx.Request.Header.All() {
			got[string(k)] = string(v)
		}
		seen <- got
	}))
	resp := site.roundTrip(rawRequest("POST /buy?pack=7&x=%20", "two packs",
		"Content-Length: 9", "Content-Type: text/plain", "Connection: keep-alive, X-Hop", "X-Hop: 1", "Keep-Alive: 5", "Te: trailers",
		"Catkin-Try: 2", "Catkin-Deadline-Ms: 60000", "Catkin-Depth: 3", "Catkin-Caller: plaza", "Cookie: a=b", "Expect: 100-continue"))
	if resp.StatusCode() != 200 || header(resp, headers.Outcome) != "answered" {
		t.Fatal(resp.String())
	}
	got := <-seen
	if ms := got[headers.Deadline]; len(ms) != 5 || ms > "60000" {
		t.Errorf("time left %q", ms)
	}
	delete(got, headers.Deadline)
	want := map[string]string{
		"line": "POST /buy?pack=7&x=%20", "body": "two packs", "Host": testService, "Content-Length": "9", "Content-Type": "text/plain",
		headers.Try: "2", headers.Depth: "4", headers.Caller: "plaza", headers.Attempt: "1", "Cookie": "a=b",
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}

// The caller gets the upstream's complete reply, without the headers that
// concern the connection between entry and upstream.
func TestReplyHeaders(t *testing.T) {
	site := newTestSite(t, noRules, startUpstream(t, func(ctx *fasthttp.RequestCtx) {
		h := &ctx.Response.Header
		h.Set(headers.Load, "1/6")
		h.Set(headers.Reason, "of-the-upstream")
		h.Set("X-Pack", "7")
		h.Set("Keep-Alive", "timeout=5")
		h.Set("Connection", "close")
		ctx.SetStatusCode(201)
		ctx.SetBodyString("whole body")
	}))
	c := site.dial()
	for range 2 {
		c.send(rawGet())
		resp := c.read()
		got := map[string]string{"body": string(resp.Body())}
		resp.Header.SetNoDefaultContentType(true)
		for k, v := range resp.Header.All() {
			got[string(k)] = string(v)
		}
		want := map[string]string{"body": "whole body", "Content-Length": "10", "X-Pack": "7", headers.Outcome: "answered", headers.Entry: "instance-1"}
		if d := cmp.Diff(want, got); d != "" || resp.StatusCode() != 201 {
			t.Errorf("status %d, %s", resp.StatusCode(), d)
		}
	}
}
