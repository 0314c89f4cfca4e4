package proxy

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/headers"
)

// Bad input at the entry's edge is refused with a reason, a remedy and a
// counter, and reaches no upstream. It is told to be not run, but where the
// request has a key, or may have one: an earlier try may have run.
func TestBadInput(t *testing.T) {
	site := newTestSite(t, noRules, upstream(t, func(ctx *fasthttp.RequestCtx) {
		t.Errorf("reached the upstream: %s %s", ctx.Method(), ctx.Path())
	}))
	for _, tc := range []struct {
		name   string
		raw    string
		reason attempt.Reason
		status int
	}{
		{"service", "GET / HTTP/1.1\r\nHost: nobody:80\r\n\r\n", attempt.ReasonUnknownService, 404},
		{"key", get("Catkin-Key: a b"), reasonBadKey, 400},
		{"key twice", get("Catkin-Key: a", "Catkin-Key: b"), reasonBadKey, 400},
		{"long key", get("Catkin-Key: " + strings.Repeat("k", maxKey+1)), reasonBadKey, 400},
		{"try", get("Catkin-Try: 0"), reasonBadTry, 400},
		{"try text", get("Catkin-Try: first"), reasonBadTry, 400},
		{"deadline", get("Catkin-Deadline-Ms: -5"), reasonBadDeadline, 400},
		{"deadline range", get("Catkin-Deadline-Ms: 99999999999"), reasonBadDeadline, 400},
		{"deadline overflow", get("Catkin-Deadline-Ms: 99999999999999999999999"), reasonBadDeadline, 400},
		{"depth", get("Catkin-Depth: 65"), reasonBadDepth, 400},
		{"retries spent", get("Catkin-Retries-Spent: yes"), reasonBadRetriesSpent, 400},
		{"forwarded", get("Catkin-Forwarded: 2"), reasonBadForwarded, 400},
		{"caller", get("Catkin-Caller: a\tb"), reasonBadCaller, 400},
		{"method", request1("CONNECT /x", ""), reasonBadMethod, 405},
		{"target", "GET http://tienda/clue HTTP/1.1\r\nHost: tienda\r\n\r\n", reasonBadTarget, 400},
		{"header size", get("X-Long: " + strings.Repeat("x", DefaultMaxHeader)), reasonHeaderTooLarge, 431},
		{"body size", request1("POST /buy", strings.Repeat("b", testMaxBody+1), "Content-Length: 1001"), attempt.ReasonBodyTooLarge, 413},
		{"declared body size", request1("POST /buy", "b", "Content-Length: 999999999"), attempt.ReasonBodyTooLarge, 413},
		{"no request", "hello\r\n\r\n", reasonMalformed, 400},
		{"keyed, deadline", get("Catkin-Key: p/n", "Catkin-Deadline-Ms: -5"), reasonBadDeadline, 400},
		{"keyed, body size", request1("POST /buy", "b", "Content-Length: 999999999", "Catkin-Key: p/n"), attempt.ReasonBodyTooLarge, 413},
		{"lookup method", request1("POST "+headers.LookupPath, ""), reasonBadMethod, 405},
		{"lookup service", request1("GET "+headers.LookupPath, ""), reasonBadLookup, 400},
		{"lookup unknown service", request1("GET "+headers.LookupPath+"?service=nobody", ""), reasonBadLookup, 400},
	} {
		t.Run(tc.name, func(t *testing.T) {
			outcome := "not-run"
			if strings.HasPrefix(tc.name, "keyed") || tc.reason == reasonHeaderTooLarge {
				outcome = "unknown"
			}
			before := site.s.m.refused(tc.reason).Count()
			resp := site.ask(tc.raw)
			var body Refusal
			if err := json.Unmarshal(resp.Body(), &body); err != nil {
				t.Fatalf("body %q: %v", resp.Body(), err)
			}
			if resp.StatusCode() != tc.status || body.Reason != string(tc.reason) || body.Outcome != outcome || body.Remedy == "" {
				t.Errorf("status %d, body %+v; want %d, %s", resp.StatusCode(), body, tc.status, tc.reason)
			}
			if header(resp, headers.Outcome) != outcome || header(resp, headers.Reason) != string(tc.reason) {
				t.Errorf("headers %s", resp.Header.String())
			}
			if site.s.m.refused(tc.reason).Count() != before+1 {
				t.Error("not counted")
			}
		})
	}
}

// Every reason has a status of a refusal and a remedy.
func TestReasonsHaveRemedies(t *testing.T) {
	for why := range kinds {
		if k := kindOf(why, attempt.NotRun); k.status < 400 || k.remedy == "" {
			t.Errorf("%s: %+v", why, k)
		}
	}
	for _, r := range attempt.Reasons() {
		for _, o := range []attempt.Outcome{attempt.NotRun, attempt.Unknown} {
			if k := kindOf(r.Reason, o); k.status < 400 || k.remedy != r.Remedy {
				t.Errorf("%s: %+v", r.Reason, k)
			}
		}
	}
}
