package gateway

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/discovery"
	"github.com/catkinrouter/catkinrouter/quota"
	"github.com/catkinrouter/catkinrouter/route"
)

// coldTable is an evidence table of an instance that has a data centre for itself, with a
// limit of perSecond for cold upstreams of the test service.
func coldTable(perSecond float64) *evidenceTable {
	e := newEvidenceTable()
	e.setColdLimit(ColdLimit{Overshoot: 1.5, Slack: 8})
	e.setColdTable(route.NewTable(&route.Document{Services: []route.Service{{Name: testService, ColdPerSecond: perSecond}}}, nil))
	e.setFleet(0, quota.Fleet{Self: "a", DataCentre: "otavalo", Usable: []string{"a"}, Live: map[string]int{"otavalo": 1}})
	return e
}

func coldUpstream(until time.Duration) *discovery.Upstream {
	return &discovery.Upstream{ID: "u", Service: testService, DataCentre: "otavalo", ColdUntil: until}
}

// admittedIn returns how many requests of a steady demand are admitted.
func (e *evidenceTable) admittedIn(from, to time.Duration, u *discovery.Upstream) (n int) {
	for now := from; now < to; now += 10 * time.Millisecond {
		ch := choice{probeResult: probeResult{upstream: u}}
		if e.admit(now, &ch); ch.admitted {
			n++
		}
	}
	return n
}

// A cold upstream got more than its limit or nothing, a warm one or one without a limit was
// held back, or a cold period ended late or early.
func TestColdPeriods(t *testing.T) {
	const start, span = time.Minute, 10 * time.Second
	const none = -1 * time.Second
	for _, c := range []struct {
		what              string
		perSecond         float64
		entry, reply, end time.Duration // until when cold; a second reply says how long
		limited           bool
	}{
		{"by its entry", 5, time.Hour, none, none, true},
		{"by a health reply", 5, 0, time.Hour, none, true},
		{"the later one counts", 5, time.Hour, time.Second, none, true},
		{"a reply doesn't end what the entry says", 5, time.Hour, time.Hour, 0, true},
		{"a reply ends what only replies said", 5, 0, time.Hour, 0, false},
		{"a shorter time replaces a longer one", 5, 0, time.Hour, time.Millisecond, false},
		{"warm", 5, start, none, none, false},
		{"no limit", 0, time.Hour, time.Hour, none, false},
	} {
		e, u := coldTable(c.perSecond), coldUpstream(c.entry)
		if c.reply >= 0 {
			e.observeCold(start-time.Second, u, c.reply)
		}
		if c.end >= 0 {
			e.observeCold(start-time.Second, u, c.end)
		}
		n := e.admittedIn(start, start+span, u)
		if limited := n < 1000; limited != c.limited || n < 40 || limited && n > 60 {
			t.Errorf("%s: %d requests in %v", c.what, n, span)
		}
	}
}

// Either of the limits that an upstream names and that it has while cold was ignored beside the other.
func TestColdLimitBesideRateLimit(t *testing.T) {
	for _, c := range []struct{ cold, named, least, most float64 }{{5, 50, 45, 55}, {7, 2, 15, 25}} {
		e, u := coldTable(c.cold), coldUpstream(time.Hour)
		e.withBucket(0, u, func(b *quota.Bucket, _ *quota.Division) { b.Observe(0, quota.Limit{Named: true, PerSecond: c.named}) })
		e.admittedIn(time.Minute-5*time.Second, time.Minute, u)
		if n := float64(e.admittedIn(time.Minute, time.Minute+10*time.Second, u)); n < c.least || n > c.most {
			t.Errorf("%v while cold, %v named: %v requests in 10 s", c.cold, c.named, n)
		}
	}
}

// A request was sent although its upstream had become cold since it was admitted, or counted
// at the time of its admission although it was sent much later.
func TestUpstreamColdAgainAfterAdmission(t *testing.T) {
	e, u := coldTable(1), coldUpstream(0)
	e.admittedIn(0, time.Minute, u)
	const now = 2 * time.Minute
	var admitted []choice
	for range 100 {
		ch := choice{probeResult: probeResult{upstream: u}}
		if e.admit(now, &ch); !ch.admitted {
			t.Fatal("held back while warm")
		}
		admitted = append(admitted, ch)
	}
	e.observeCold(now, u, time.Hour)
	sent := 0
	for later := time.Duration(0); later < time.Second; later += 10 * time.Millisecond {
		if e.confirmCold(now+5*time.Second+later, &admitted[later/(10*time.Millisecond)]) {
			sent++
		}
	}
	if most := 1*1.5 + 8; float64(sent) > most || sent == 0 {
		t.Errorf("%d of the admitted requests sent in a second, want at most %v", sent, most)
	}
}

// A health reply with an odd value changed for how long the upstream counts as cold.
func TestParseCold(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"0": 0, "1500": 1500 * time.Millisecond, " 2.5 ": 2500 * time.Microsecond, "3600000": time.Hour,
		"": -1, "-1": -1, "NaN": -1, "1e300": -1, "3600001": -1, "10 s": -1, "+Inf": -1,
	} {
		got, err := parseCold([][]byte{[]byte(text)})
		if want < 0 && err == nil || want >= 0 && (err != nil || got != want) {
			t.Errorf("%q: %v, %v", text, got, err)
		}
	}
	if _, err := parseCold([][]byte{[]byte("1"), []byte("2")}); err == nil {
		t.Error("two values were taken")
	}
	if left, err := parseCold(nil); left != 0 || err != nil {
		t.Errorf("no value: %v, %v", left, err)
	}
}

// configureCold configures the stubs with a limit while they are cold.
func (tg *testGateway) configureCold(perSecond float64, stubs ...*stub) {
	tg.t.Helper()
	tg.configure(2*time.Second, stubs...)
	snap := tg.g.snapshot.Load()
	doc := &route.Document{Version: 2, Services: []route.Service{{Name: testService, HealthPath: "/health", ColdPerSecond: perSecond}}}
	for _, r := range []struct {
		prefix     string
		idempotent bool
	}{{"/clue/", true}, {"/purchase/", false}} {
		doc.Rules = append(doc.Rules, route.Rule{
			Name: r.prefix, Host: testHost, Prefix: r.prefix, Idempotent: r.idempotent, Timeout: 2 * time.Second, TargetLatency: time.Second,
			MaxAttempts: 2, Parts: []route.Part{{Service: testService, Weight: 1}},
		})
	}
	tg.g.SetRoutes(route.NewTable(doc, tg.g.rng), snap.upstreams)
}

func (s *stub) setCold(ms string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold = ms
}

func newColdTestGateway(t *testing.T) *testGateway {
	t.Helper()
	tg := newTestGatewayWith(t, func(o *Options) { o.Limits.ColdLimit = ColdLimit{Overshoot: 1, Slack: 1} })
	other := newTestGatewayWith(t, func(*Options) {})
	tg.setFleet(tg, other)
	return tg
}

// Upstreams that are all cold and admit nothing let callers wait, or told them no time or a
// wrong one. Their health replies are heeded, and end the cold period.
func TestAllUpstreamsCold(t *testing.T) {
	u := newStub(t, "u", answerOK)
	u.setCold("60000")
	tg := newColdTestGateway(t)
	tg.configureCold(1, u)
	// An instance that has just started holds no part, and learns from its first probe.
	tg.call("GET", "/clue/1", "first", "")
	began := time.Now()
	r := tg.call("GET", "/clue/1", "refused", "")
	wantStatus(t, r, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	if took := time.Since(began); strings.TrimSpace(r.body) != reasonCold || took > 200*time.Millisecond || err != nil || after < 50 || after > 61 {
		t.Errorf("after %v: body %q, Retry-After %q", took, r.body, r.header.Get("Retry-After"))
	}
	if u.runCount("first")+u.runCount("refused") > 0 {
		t.Error("sent to a cold upstream without a part")
	}
	u.setCold("")
	waitFor(t, "the end of the cold period is noticed", func() bool {
		return tg.call("GET", "/clue/1", "warm", "").status == http.StatusOK
	})
}

// A call was not sent to a warm upstream since another one is cold, or to none of them.
func TestColdUpstreamBesideWarmOne(t *testing.T) {
	cold, warm := newStub(t, "cold", answerOK), newStub(t, "warm", answerOK)
	cold.setCold("60000")
	tg := newColdTestGateway(t)
	tg.configureCold(1, cold, warm)
	for i := range 50 {
		id := fmt.Sprint("c-", i)
		wantStatus(t, tg.call("GET", "/clue/1", id, ""), http.StatusOK)
		if cold.runCount(id) > 0 {
			t.Fatal("sent to a cold upstream without a part")
		}
	}
	tg.g.evidence.observeCold(tg.g.now(), &discovery.Upstream{ID: "cold", Address: cold.ln.Addr().String()}, time.Minute)
	c := &call{g: tg.g, service: route.Service{Name: testService}}
	if cands := tg.g.candidates(c, true); len(cands.list) != 1 || cands.list[0].ID != "warm" {
		t.Errorf("%d upstreams would be probed, want the warm one", len(cands.list))
	}
}

// A cold period that ended earlier than health replies had said lasted on, since the upstream
// was not probed; one that the entry reports does not need that.
func TestColdRecheck(t *testing.T) {
	const now = time.Second // no part yet
	for entry, want := range map[time.Duration]bool{0: true, time.Hour: false} {
		e, u := coldTable(5), coldUpstream(entry)
		e.observeCold(now, u, time.Hour)
		_, young := e.prospect(now+coldRecheckAfter-1, u)
		_, old := e.prospect(now+coldRecheckAfter, u)
		if young.cold.Admitted || young.cold.Recheck || old.cold.Admitted || old.cold.Recheck != want {
			t.Errorf("entry until %v: %+v, %+v", entry, young.cold, old.cold)
		}
	}
}

// Requests that were admitted one after the other waited for connections, and reached the
// upstream together.
func TestColdRequestCountsWhenItIsSent(t *testing.T) {
	e, u := coldTable(1), coldUpstream(time.Hour)
	start := 5 * time.Minute
	e.admittedIn(start-time.Minute, start, u)
	start += time.Minute
	sent := 0
	for i := range 40 { // sent 0.9 s after their admission, and then all that are admitted
		at := start + time.Duration(i)*300*time.Millisecond
		ch := choice{probeResult: probeResult{upstream: u}}
		if e.admit(at, &ch); ch.admitted && e.confirmCold(start+12*time.Second, &ch) {
			sent++
		}
	}
	sent += e.admittedIn(start+12*time.Second, start+13*time.Second, u)
	if most := 1*1.5 + 8; float64(sent) > most {
		t.Errorf("%d requests in a second, want at most %v", sent, most)
	}
}

// A cold upstream got second copies of slow requests.
func TestNoHedgeToColdUpstream(t *testing.T) {
	slow := newStub(t, "slow", func(s *stub, c net.Conn, r *http.Request, body string) bool {
		s.run(r)
		time.Sleep(900 * time.Millisecond)
		return answerOK(s, c, r, body)
	})
	cold := newStub(t, "cold", answerOK)
	cold.setCold("60000")
	tg := newTestGatewayWith(t, func(o *Options) { o.Limits.ColdLimit = ColdLimit{Overshoot: 1, Slack: 1e6} })
	tg.g.evidence.setFleet(0, quota.Fleet{Self: tg.addr, DataCentre: "otavalo", Usable: []string{tg.addr}, Live: map[string]int{"otavalo": 1}})
	tg.setFleet(tg)
	tg.configureCold(1e5, cold)
	wantStatus(t, tg.call("GET", "/clue/1", "has a part", ""), http.StatusOK)
	if tg.g.metrics.coldSends.Count() != 1 {
		t.Fatal("not counted as cold")
	}
	tg.configureCold(1e5, slow, cold)
	for i := 0; slow.runCount(fmt.Sprint("h-", i-1)) == 0; i++ {
		wantStatus(t, tg.call("GET", "/clue/1", fmt.Sprint("h-", i), ""), http.StatusOK)
	}
	if n := tg.g.metrics.hedges.Count(); n > 0 {
		t.Errorf("%d hedges", n)
	}
}

// A request that was picked before its upstream became cold reached it beyond its limit.
func TestPickedUpstreamIsColdMeanwhile(t *testing.T) {
	s := newStub(t, "u", answerOK)
	tg := newColdTestGateway(t)
	tg.configureCold(1, s)
	u := tg.g.snapshot.Load().upstreams[testService][0]
	c := &call{g: tg.g, deadline: tg.g.now() + time.Second}
	tr := &try{choice: choice{probeResult: probeResult{upstream: u}}, upstream: u, startedAt: tg.g.now()}
	tg.g.evidence.observeCold(tg.g.now(), u, time.Minute)
	if tg.g.send(c, tr); tr.wrote || !errors.Is(tr.err, errUnwanted) {
		t.Errorf("wrote %t, %v", tr.wrote, tr.err)
	}
}
