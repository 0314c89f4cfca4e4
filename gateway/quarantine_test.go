package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/quarantine"
)

// contentOf returns the digest of a request that callOn sends.
func contentOf(method, path, body string) quarantine.Content {
	ctx := &fasthttp.RequestCtx{}
	ctx.Request.Header.SetMethod(method)
	ctx.Request.Header.SetHost(testHost)
	ctx.Request.SetRequestURI(path)
	c := &call{ctx: ctx, body: &requestBody{segments: [][]byte{[]byte(body)}, size: len(body)}}
	return c.content()
}

// reportRemoteCrashes lets other instances report that upstreams crashed under a
// request, one after the other.
func (tg *testGateway) reportRemoteCrashes(content quarantine.Content, upstreams ...uint64) {
	for i, u := range upstreams {
		age := time.Duration(len(upstreams)-i) * 500 * time.Millisecond
		tg.g.RecordRemoteCrash(CrashReport{Content: content, Upstream: u, Ran: 100 * time.Millisecond, Age: age})
	}
}

// A quarantined request must not run, and its caller must learn at once when to come
// back; requests of the same path that differ otherwise must be served.
func TestQuarantinedRequestIsRefusedAtOnce(t *testing.T) {
	s := newStub(t, "a", answerOK)
	tg := newTestGateway(t)
	tg.configure(2*time.Second, s)
	for i, path := range []string{"/clue/1", "/purchase/1"} {
		first := uint64(10 * i)
		tg.reportRemoteCrashes(contentOf("POST", path, "pack"), first, first+1, first+2)
		waitFor(t, "quarantined", func() bool {
			began := time.Now()
			r := tg.call("POST", path, "q-"+path, "pack")
			wantStatus(t, r, http.StatusServiceUnavailable)
			if took := time.Since(began); took > time.Second {
				t.Errorf("refused after %v", took)
			}
			after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
			if err != nil {
				t.Errorf("Retry-After %q", r.header.Get("Retry-After"))
			}
			return after > 60
		})
		if n := s.runCount("q-" + path); n != 0 {
			t.Errorf("ran %d times", n)
		}
		wantStatus(t, tg.call("POST", path, "other-body-"+path, "other pack"), http.StatusOK)
		wantStatus(t, tg.call("GET", path, "other-method-"+path, ""), http.StatusOK)
	}
}

// An instance that has answered a request must contradict the reports that blame it.
func TestAnsweredRequestIsNotBlamedByOthers(t *testing.T) {
	s := newStub(t, "a", answerOK)
	tg := newTestGateway(t)
	var mu sync.Mutex
	var told []CrashReport
	tg.g.hooks.CrashFound = func(r CrashReport) {
		mu.Lock()
		defer mu.Unlock()
		told = append(told, r)
	}
	tg.configure(2*time.Second, s)
	content := contentOf("POST", "/clue/1", "x")
	tg.reportRemoteCrashes(contentOf("POST", "/clue/2", "x"), 1) // from now on answers are remembered
	wantStatus(t, tg.call("POST", "/clue/1", "c-1", "x"), http.StatusOK)
	for i := range 5 {
		tg.g.RecordRemoteCrash(CrashReport{Content: content, Upstream: uint64(10 + i), Ran: time.Second, Age: 0})
	}
	waitFor(t, "contradicted", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(told) > 0
	})
	time.Sleep(2 * quarantine.MaxAnswerDelay)
	mu.Lock()
	defer mu.Unlock()
	for _, r := range told {
		if !r.Answered || r.Content != content {
			t.Errorf("told %+v", r)
		}
	}
	if len(told) > 1 {
		t.Errorf("told the others %d times of one answer", len(told))
	}
	wantStatus(t, tg.call("POST", "/clue/1", "c-2", "x"), http.StatusOK)
}

// The next attempt of a request under which two upstreams crashed waits until it is
// known whether a third one did: it was sent to a fourth before.
func TestRetryOfSuspectedRequestAwaitsCrashCheck(t *testing.T) {
	var stubs []*stub
	for i := range 2 {
		stubs = append(stubs, newStub(t, fmt.Sprint("u-", i), crash))
	}
	tg := newTestGateway(t)
	tg.configure(2*time.Second, stubs...)
	tg.reportRemoteCrashes(contentOf("POST", "/clue/1", "x"), 1, 2)
	wantStatus(t, tg.call("POST", "/clue/1", "c-1", "x"), http.StatusBadGateway)
	if n := stubs[0].runCount("c-1") + stubs[1].runCount("c-1"); n != 1 {
		t.Errorf("ran %d times", n)
	}
}
