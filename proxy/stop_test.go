package proxy

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/headers"
	"github.com/catkinrouter/catkinrouter/link"
)

// A planned stop serves until every lookup answer has expired and then until
// no call is in flight, but no longer than its limit.
func TestStopPlan(t *testing.T) {
	times := stopTimes{staleLookups: 12 * time.Second, margin: time.Second, grace: time.Second, limit: 60 * time.Second}
	const began, lifetime = 100 * time.Second, 6 * time.Second
	type check struct {
		at       time.Duration
		inFlight int
		want     phase
	}
	for _, tc := range []struct {
		name          string
		limit         time.Duration
		again         bool // a second begin, later
		limitTooShort bool
		checks        []check
	}{
		{"all phases", 60 * time.Second, false, false, []check{
			{0, 0, leaving},
			{18 * time.Second, 0, leaving},
			{19 * time.Second, 0, closing},
			{20 * time.Second, 1, finishing},
			{21 * time.Second, 1, finishing},
			{22 * time.Second, 0, stopped},
			{90 * time.Second, 0, stopped},
		}},
		{"begun twice", 60 * time.Second, true, false, []check{{18 * time.Second, 0, leaving}, {19 * time.Second, 0, closing}, {20 * time.Second, 0, finishing}, {20 * time.Second, 0, stopped}}},
		{"calls in flight at the limit", 60 * time.Second, false, false, []check{{59 * time.Second, 3, finishing}, {60 * time.Second, 3, stopped}}},
		{"limit too short", 8 * time.Second, false, true, []check{{4 * time.Second, 0, leaving}, {5 * time.Second, 0, closing}, {6 * time.Second, 1, finishing}, {8 * time.Second, 1, stopped}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var p stopPlan
			if got := p.step(began, 0); got != serving {
				t.Fatalf("phase %d before the begin", got)
			}
			times.limit = tc.limit
			p.begin(began, lifetime, times)
			if tc.again {
				p.begin(began+10*time.Second, 0, times)
			}
			if p.limitTooShort != tc.limitTooShort {
				t.Errorf("limitTooShort: %v", p.limitTooShort)
			}
			for _, l := range tc.checks {
				if got := p.step(began+l.at, l.inFlight); got != l.want {
					t.Errorf("after %v with %d in flight: phase %d, want %d", l.at, l.inFlight, got, l.want)
				}
			}
		})
	}
}

// A planned stop answers every call, also new ones while lookup answers that
// name the entry may be in use, and tells callers to close their connections
// only after that.
func TestStopFinishesCalls(t *testing.T) {
	release := make(chan struct{})
	site := newTestSite(t, config.Rules{Timeout: config.Duration(time.Minute)}, startUpstream(t, func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/slow" {
			<-release
		}
		ctx.SetBody(ctx.Path())
	}))
	site.s.times = stopTimes{staleLookups: 200 * time.Millisecond, grace: 2 * time.Second, limit: time.Minute}
	slow := site.dial()
	slow.send(rawRequest("GET /slow", ""))
	site.eventually("the slow call is in flight", func() bool { return site.s.d.status().InFlight == 1 })
	site.stop()
	site.eventually("the entry is leaving", func() bool { return site.s.sync(&link.State{Members: site.s.agentState.Load().members}, nil).Leaving })
	if resp := site.roundTrip(rawRequest("GET "+headers.LookupPath+"?service="+testService, "")); header(resp, headers.Reason) != "stopping" {
		t.Errorf("the lookup of a stopping entry was not refused: %s", resp.String())
	}
	late := site.dial()
	for closed := false; !closed; {
		late.send(rawRequest("GET /late", ""))
		resp := late.read()
		if string(resp.Body()) != "/late" || header(resp, headers.Outcome) != "answered" {
			t.Fatal(resp.String())
		}
		closed = resp.ConnectionClose()
	}
	if _, err := late.r.ReadByte(); err != io.EOF {
		t.Errorf("the connection was not closed: %v", err)
	}
	site.eventually("the listener is closed", func() bool {
		c, err := net.Dial("tcp", site.addr)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	close(release)
	if resp := slow.read(); string(resp.Body()) != "/slow" || !resp.ConnectionClose() {
		t.Error(resp.String())
	}
}

// Requests that came late in a planned stop, on connections opened before, were passed
// on and then aborted when it ended.
func TestRequestLateInPlannedStop(t *testing.T) {
	var runs atomic.Int32
	release := make(chan struct{})
	site := newTestSite(t, config.Rules{Timeout: config.Duration(time.Minute)}, startUpstream(t, func(*fasthttp.RequestCtx) {
		runs.Add(1)
		<-release
	}))
	site.s.times = stopTimes{limit: time.Minute}
	inFlight := site.dial()
	inFlight.send(rawRequest("GET /begun", ""))
	site.eventually("the call is in flight", func() bool { return runs.Load() == 1 })
	late := site.dial()
	site.stop()
	site.eventually("no more connections are accepted", func() bool { return site.s.currentPhase() == finishing })
	late.send(rawRequest("POST /late", "", "Content-Length: 0"))
	resp := late.read()
	if resp.StatusCode() != fasthttp.StatusServiceUnavailable || header(resp, headers.Outcome) != "not-run" || !resp.ConnectionClose() || runs.Load() != 1 {
		t.Errorf("ran %d times: %s", runs.Load()-1, resp.String())
	}
	close(release)
	if resp := inFlight.read(); resp.StatusCode() != fasthttp.StatusOK {
		t.Error(resp.String())
	}
}
