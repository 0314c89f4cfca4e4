package gateway

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/discovery"
	"github.com/catkinrouter/catkinrouter/notice"
	"github.com/catkinrouter/catkinrouter/pick"
)

// replyWith answers with a status, and the stub's notices.
func replyWith(status string, lines string) behaviour {
	return func(s *stub, c net.Conn, r *http.Request, _ string) bool {
		id := s.run(r)
		fmt.Fprintf(c, "HTTP/1.1 %s\r\nRequest-Id: %s\r\nSignature: %s\r\n%s%sContent-Length: 0\r\n\r\n", status, id, s.id, lines, s.noticeHeaders())
		return true
	}
}

// callUntilRun calls until the stub has run a request, and returns the number of calls.
func (tg *testGateway) callUntilRun(s *stub, method string) {
	tg.t.Helper()
	for i := range 200 {
		id := fmt.Sprint("until-", i)
		if tg.call(method, "/clue/1", id, ""); s.runCount(id) > 0 {
			return
		}
	}
	tg.t.Fatalf("%s was never picked", s.id)
}

// An upstream that said in a reply that it was leaving got new requests until its entry
// in the store changed. Any reply counts.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	for name, c := range map[string]struct {
		method string
		do     behaviour
	}{
		"answer":      {"GET", answerOK},
		"not found":   {"GET", replyWith("404 Not Found", "")},
		"failure":     {"GET", replyWith("500 Internal Server Error", "")},
		"refusal":     {"GET", replyWith("503 Service Unavailable", "Not-Run: 1\r\n")},
		"HEAD":        {"HEAD", replyWith("200 OK", "")},
		"health only": {"", nil},
	} {
		t.Run(name, func(t *testing.T) {
			leaves, stays := newStub(t, "leaves", answerOK), newStub(t, "stays", answerOK)
			tg := newTestGateway(t)
			tg.configure(2*time.Second, leaves, stays)
			if leaves.setLeaving(true); c.do == nil {
				waitFor(t, "probed", func() bool {
					tg.call("GET", "/clue/1", "probe", "")
					_, probes := leaves.arrivals("")
					return probes > 0
				})
			} else {
				// The health replies don't say it, so that the request is sent.
				leaves.setLeaving(false)
				leaves.do = func(s *stub, cn net.Conn, r *http.Request, body string) bool {
					s.setLeaving(true)
					defer s.setLeaving(false)
					return c.do(s, cn, r, body)
				}
				tg.callUntilRun(leaves, c.method)
			}
			_, probes := leaves.arrivals("")
			for i := range 30 {
				id := fmt.Sprint("after-", i)
				wantStatus(t, tg.call("GET", "/clue/1", id, ""), http.StatusOK)
				if leaves.runCount(id) > 0 {
					t.Fatalf("request %d ran at the leaving upstream", i)
				}
			}
			if _, n := leaves.arrivals(""); n > probes+1 { // one may have been on its way
				t.Errorf("%d more health requests", n-probes)
			}
		})
	}
}

// The next upstream at the address of one that left must be used at once, and so must
// the same one under a new registration.
func TestAddressOfLeavingUpstreamIsUsedAgain(t *testing.T) {
	u := newStub(t, "old", answerOK)
	tg := newTestGateway(t)
	tg.configure(2*time.Second, u)
	wantStatus(t, tg.call("GET", "/clue/1", "before", ""), http.StatusOK)
	u.setLeaving(true)
	r := tg.call("GET", "/clue/1", "refused", "")
	wantStatus(t, r, http.StatusServiceUnavailable)
	if after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64); err != nil || after < leavingRetryAfter.Seconds() {
		t.Errorf("Retry-After %q", r.header.Get("Retry-After"))
	}
	u.setLeaving(false)
	wantStatus(t, tg.call("GET", "/clue/1", "still", ""), http.StatusServiceUnavailable)
	u.id = "new"
	tg.configure(2*time.Second, u)
	wantStatus(t, tg.call("GET", "/clue/1", "served", ""), http.StatusOK)
}

// Other instances sent to a leaving upstream until it told them too; a hint about an
// earlier registration must not concern the next one.
func TestLeavingUpstreamIsToldToOthers(t *testing.T) {
	leaves, stays := newStub(t, "leaves", answerOK), newStub(t, "stays", answerOK)
	told := make(chan uint64, 100)
	tg := newTestGateway(t)
	tg.g.hooks.UpstreamLeaving = func(key uint64) { told <- key }
	tg.configure(2*time.Second, leaves, stays)
	leaves.setLeaving(true)
	waitFor(t, "told", func() bool { tg.call("GET", "/clue/1", "first", ""); return len(told) > 0 })
	tg.call("GET", "/clue/1", "second", "")
	key := <-told
	if len(told) > 0 {
		t.Error("told twice")
	}

	leaves.setLeaving(false)
	other := newTestGateway(t)
	other.configure(2*time.Second, leaves, stays)
	other.g.RecordRemoteLeaving(key + 1) // another incarnation
	other.callUntilRun(leaves, "GET")
	other.g.RecordRemoteLeaving(key)
	for i := range 30 {
		id := fmt.Sprint("hinted-", i)
		if wantStatus(t, other.call("GET", "/clue/1", id, ""), http.StatusOK); leaves.runCount(id) > 0 {
			t.Fatal("used after the hint")
		}
	}
}

// An upstream that was picked before it said that it leaves, or wants a pause, got the
// request all the same.
func TestPickedUpstreamIsAskedNoMore(t *testing.T) {
	for name, n := range map[string]notice.Notice{"leaving": {Leaving: true}, "pause": {Pause: time.Second}} {
		s := newStub(t, "u", answerOK)
		tg := newTestGateway(t)
		tg.configure(2*time.Second, s)
		u := &discovery.Upstream{ID: "u", Address: s.ln.Addr().String()}
		c := &call{g: tg.g, deadline: tg.g.now() + time.Second}
		tr := &try{choice: choice{probeResult: probeResult{upstream: u}}, upstream: u, startedAt: tg.g.now()}
		tg.g.evidence.observeNotice(tg.g.now(), u, n, 0)
		if tg.g.send(c, tr); tr.wrote || !errors.Is(tr.err, errUnwanted) {
			t.Errorf("%s: wrote %t, %v", name, tr.wrote, tr.err)
		}
	}
}

// A late reply of an upstream's earlier incarnation made what the present one had said
// forgotten.
func TestEndedIncarnationChangesNothing(t *testing.T) {
	table := newEvidenceTable()
	before := &discovery.Upstream{ID: "u", Address: "a", StartUnixMilli: 1}
	after := &discovery.Upstream{ID: "u", Address: "b", StartUnixMilli: 2}
	table.recordOutcome(0, before, true, 1)
	table.observeNotice(0, after, notice.Notice{Pause: time.Minute}, 0)
	table.recordOutcome(1, before, true, 1)
	if !table.unwanted(2, after) || table.unwanted(2, before) {
		t.Error("the pause is lost, or counts for the earlier incarnation")
	}
}

// An upstream that asked for a pause got further requests. They go to the others
// meanwhile, and if all pause, callers are told at once until when.
func TestPausedUpstreamGetsNothing(t *testing.T) {
	const pause = 700 * time.Millisecond
	refuse := replyWith("503 Service Unavailable", "Not-Run: 1\r\nRetry-After: 0.7\r\n")
	pauses, serves := newStub(t, "pauses", refuse), newStub(t, "serves", answerOK)
	tg := newTestGateway(t)
	tg.configure(2*time.Second, pauses, serves)
	tg.callUntilRun(pauses, "GET")
	began := time.Now()
	_, before := pauses.arrivals("")
	pauses.mu.Lock()
	pauses.do = answerOK
	pauses.mu.Unlock()
	for i := 0; time.Since(began) < pause-50*time.Millisecond; i++ {
		id := fmt.Sprint("meanwhile-", i)
		wantStatus(t, tg.call("GET", "/clue/1", id, ""), http.StatusOK)
		if runs, _ := pauses.arrivals(id); runs > 0 {
			t.Fatalf("ran at the paused upstream %v after it asked for %v", time.Since(began), pause)
		}
	}
	if _, n := pauses.arrivals(""); n > before+1 { // one may have been on its way
		t.Errorf("%d health requests in the pause", n-before)
	}
	if rate, usual := tg.failureRate(pauses), new(pick.Evidence).FailureRate(0); rate > usual {
		t.Errorf("the pause counts as failure: rate %v, that without evidence is %v", rate, usual)
	}
	waitFor(t, "used after the pause", func() bool {
		wantStatus(t, tg.call("GET", "/clue/1", "later", ""), http.StatusOK)
		return pauses.runCount("later") > 0
	})

	tg.configure(2*time.Second, pauses)
	pauses.mu.Lock()
	pauses.do = refuse
	pauses.mu.Unlock()
	tg.call("POST", "/purchase/1", "refused", "")
	began = time.Now()
	r := tg.call("POST", "/purchase/1", "all pause", "")
	wantStatus(t, r, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	if took := time.Since(began); err != nil || took > 200*time.Millisecond || after < 0.4 || after > 1 {
		t.Errorf("refused after %v, Retry-After %q", took, r.header.Get("Retry-After"))
	}
	if pauses.runCount("all pause") > 0 {
		t.Error("sent in the pause")
	}
}

// failureRate returns the evidence of failures against a stub.
func (tg *testGateway) failureRate(s *stub) float64 {
	u := tg.g.snapshot.Load().upstreams[testService]
	for _, u := range u {
		if u.ID == s.id {
			p, _ := tg.g.evidence.prospect(tg.g.now(), u)
			return p.FailureRate
		}
	}
	return 0
}

// The reply of an attempt that was cancelled, since the other one had answered, was not
// read: the upstream got requests in the pause that it had asked for.
func TestPauseInReplyOfCancelledAttempt(t *testing.T) {
	hedged := make(chan struct{}, 1)
	slow := newStub(t, "slow", func(s *stub, c net.Conn, r *http.Request, body string) bool {
		s.run(r)
		select {
		case <-hedged:
		case <-time.After(time.Second):
		}
		return answerOK(s, c, r, body)
	})
	var refused atomic.Int32
	pauses := newStub(t, "pauses", func(s *stub, c net.Conn, r *http.Request, body string) bool {
		if slow.runCount(r.Header.Get("Request-Id")) == 0 {
			return answerOK(s, c, r, body)
		}
		refused.Add(1)
		hedged <- struct{}{}
		time.Sleep(5 * time.Millisecond) // the other one answers
		return replyWith("503 Service Unavailable", "Not-Run: 1\r\nRetry-After: 2\r\n")(s, c, r, body)
	})
	tg := newTestGateway(t)
	tg.configure(2*time.Second, slow, pauses)
	for i := 0; refused.Load() == 0; i++ {
		wantStatus(t, tg.call("GET", "/clue/1", fmt.Sprint("h-", i), ""), http.StatusOK)
	}
	for _, u := range tg.g.snapshot.Load().upstreams[testService] {
		if u.ID == pauses.id {
			waitFor(t, "the pause is known", func() bool { return tg.g.evidence.unwanted(tg.g.now(), u) })
		}
	}
}
