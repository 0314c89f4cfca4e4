package proxy

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/headers"
	"github.com/catkinrouter/catkinrouter/link"
)

// A planned stop serves until every answer has expired, then until nothing is
// in flight, and never longer than its limit.
func TestStopPlan(t *testing.T) {
	times := stopTimes{handOut: 12 * time.Second, margin: time.Second, grace: time.Second, limit: 60 * time.Second}
	const began, life = 100 * time.Second, 6 * time.Second
	type look struct {
		at       time.Duration
		inFlight int
		want     phase
	}
	for _, tc := range []struct {
		name  string
		limit time.Duration
		again bool // a second begin, later
		short bool
		looks []look
	}{
		{"in turn", 60 * time.Second, false, false, []look{
			{0, 0, leaving},
			{18 * time.Second, 0, leaving},
			{19 * time.Second, 0, closing},
			{20 * time.Second, 1, finishing},
			{21 * time.Second, 1, finishing},
			{22 * time.Second, 0, stopped},
			{90 * time.Second, 0, stopped},
		}},
		{"begun twice", 60 * time.Second, true, false, []look{{18 * time.Second, 0, leaving}, {19 * time.Second, 0, closing}, {20 * time.Second, 0, finishing}, {20 * time.Second, 0, stopped}}},
		{"work without end", 60 * time.Second, false, false, []look{{59 * time.Second, 3, finishing}, {60 * time.Second, 3, stopped}}},
		{"limit too short", 8 * time.Second, false, true, []look{{4 * time.Second, 0, leaving}, {5 * time.Second, 0, closing}, {6 * time.Second, 1, finishing}, {8 * time.Second, 1, stopped}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var p stopPlan
			if got := p.step(began, 0); got != serving {
				t.Fatalf("phase %d before the begin", got)
			}
			times.limit = tc.limit
			p.begin(began, life, times)
			if tc.again {
				p.begin(began+10*time.Second, 0, times)
			}
			if p.short != tc.short {
				t.Errorf("short: %v", p.short)
			}
			for _, l := range tc.looks {
				if got := p.step(began+l.at, l.inFlight); got != l.want {
					t.Errorf("after %v with %d in flight: phase %d, want %d", l.at, l.inFlight, got, l.want)
				}
			}
		})
	}
}

// A planned stop answers every call, new ones while answers that name the
// entry may be in use, and tells callers to close only after that.
func TestStopCutsNothing(t *testing.T) {
	release := make(chan struct{})
	site := newTestSite(t, config.Rules{Timeout: config.Duration(time.Minute)}, upstream(t, func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/slow" {
			<-release
		}
		ctx.SetBody(ctx.Path())
	}))
	site.s.times = stopTimes{handOut: 200 * time.Millisecond, grace: 2 * time.Second, limit: time.Minute}
	slow := site.dial()
	slow.send(request1("GET /slow", ""))
	site.eventually("the slow call is in flight", func() bool { return site.s.d.status().InFlight == 1 })
	site.stop()
	site.eventually("the entry is leaving", func() bool { return site.s.sync(&link.State{Members: site.s.state.Load().members}, nil).Leaving })
	if resp := site.ask(request1("GET "+headers.LookupPath+"?service="+testService, "")); header(resp, headers.Reason) != "stopping" {
		t.Errorf("hands itself out: %s", resp.String())
	}
	late := site.dial()
	for closed := false; !closed; {
		late.send(request1("GET /late", ""))
		resp := late.read()
		if string(resp.Body()) != "/late" || header(resp, headers.Outcome) != "answered" {
			t.Fatal(resp.String())
		}
		closed = resp.ConnectionClose()
	}
	if _, err := late.r.ReadByte(); err != io.EOF {
		t.Errorf("connection goes on: %v", err)
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
