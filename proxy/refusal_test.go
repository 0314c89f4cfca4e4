package proxy

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/headers"
)

// An invalid request is refused with a reason and a remedy, is counted, and
// reaches no upstream. Its outcome is not-run, unless it has a key or may
// have one, since an earlier try of the key may have run.
func TestInvalidRequests(t *testing.T) {
	site := newTestSite(t, noRules, startUpstream(t, func(ctx *fasthttp.RequestCtx) {
		t.Errorf("reached the upstream: %s %s", ctx.Method(), ctx.Path())
	}))
	for _, tc := range []struct {
		name   string
		raw    string
		reason attempt.Reason
		status int
	}{
		{"service", "GET / HTTP/1.1\r\nHost: nobody:80\r\n\r\n", attempt.ReasonUnknownService, 404},
		{"key", rawGet("Catkin-Key: a b"), reasonBadKey, 400},
		{"key twice", rawGet("Catkin-Key: a", "Catkin-Key: b"), reasonBadKey, 400},
		{"long key", rawGet("Catkin-Key: " + strings.Repeat("k", maxKey+1)), reasonBadKey, 400},
		{"try", rawGet("Catkin-Try: 0"), reasonBadTry, 400},
		{"try text", rawGet("Catkin-Try: first"), reasonBadTry, 400},
		{"deadline", rawGet("Catkin-Deadline-Ms: -5"), reasonBadDeadline, 400},
		{"deadline range", rawGet("Catkin-Deadline-Ms: 99999999999"), reasonBadDeadline, 400},
		{"deadline overflow", rawGet("Catkin-Deadline-Ms: 99999999999999999999999"), reasonBadDeadline, 400},
		{"depth", rawGet("Catkin-Depth: 65"), reasonBadDepth, 400},
		{"retries spent", rawGet("Catkin-Retries-Spent: yes"), reasonBadRetriesSpent, 400},
		{"forwarded", rawGet("Catkin-Forwarded: 2"), reasonBadForwarded, 400},
		{"caller", rawGet("Catkin-Caller: a\tb"), reasonBadCaller, 400},
		{"method", rawRequest("CONNECT /x", ""), reasonBadMethod, 405},
		{"target", "GET http://tienda/clue HTTP/1.1\r\nHost: tienda\r\n\r\n", reasonBadTarget, 400},
		{"header size", rawGet("X-Long: " + strings.Repeat("x", DefaultMaxHeader)), reasonHeaderTooLarge, 431},
		{"body size", rawRequest("POST /buy", strings.Repeat("b", testMaxBody+1), "Content-Length: 1001"), attempt.ReasonBodyTooLarge, 413},
		{"declared body size", rawRequest("POST /buy", "b", "Content-Length: 999999999"), attempt.ReasonBodyTooLarge, 413},
		{"no request", "hello\r\n\r\n", reasonMalformed, 400},
		{"keyed, deadline", rawGet("Catkin-Key: p/n", "Catkin-Deadline-Ms: -5"), reasonBadDeadline, 400},
		{"keyed, body size", rawRequest("POST /buy", "b", "Content-Length: 999999999", "Catkin-Key: p/n"), attempt.ReasonBodyTooLarge, 413},
		{"lookup method", rawRequest("POST "+headers.LookupPath, ""), reasonBadMethod, 405},
		{"lookup service", rawRequest("GET "+headers.LookupPath, ""), reasonBadLookup, 400},
		{"lookup unknown service", rawRequest("GET "+headers.LookupPath+"?service=nobody", ""), reasonBadLookup, 400},
	} {
		t.Run(tc.name, func(t *testing.T) {
			outcome := "not-run"
			if strings.HasPrefix(tc.name, "keyed") || tc.reason == reasonHeaderTooLarge {
				outcome = "unknown"
			}
			before := site.s.m.refused(tc.reason).Count()
			resp := site.roundTrip(tc.raw)
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
				t.Error("the refusal was not counted")
			}
		})
	}
}

// Every reason has an error status and a remedy.
func TestReasonsHaveRemedies(t *testing.T) {
	for reason := range edgeRefusals {
		if k := refusalFor(reason, attempt.NotRun); k.status < 400 || k.remedy == "" {
			t.Errorf("%s: %+v", reason, k)
		}
	}
	for _, r := range attempt.Reasons() {
		for _, o := range []attempt.Outcome{attempt.NotRun, attempt.Unknown} {
			if k := refusalFor(r.Reason, o); k.status < 400 || k.remedy != r.Remedy {
				t.Errorf("%s: %+v", r.Reason, k)
			}
		}
	}
}
