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
	"github.com/catkinrouter/catkinrouter/pick"
)

const evacuatedCentre = "cuenca"

// configureIn configures the stubs, there in a data centre of its own, which is evacuated or
// not. It returns the upstream there.
func (tg *testGateway) configureIn(isEvacuated bool, there *stub, here ...*stub) *discovery.Upstream {
	tg.t.Helper()
	tg.configure(3*time.Second, append(here, there)...)
	snap := tg.g.snapshot.Load()
	list := snap.upstreams[testService]
	moved := list[len(list)-1]
	moved.DataCentre = evacuatedCentre
	if isEvacuated {
		e := discovery.Evacuation{DataCentre: evacuatedCentre, Upstreams: []*discovery.Upstream{moved}}
		tg.g.SetRoutes(snap.table, map[string][]*discovery.Upstream{testService: list[:len(list)-1]}, e)
	}
	return moved
}

// Requests or probes reached evacuated upstreams, or connections to them stayed open.
func TestEvacuatedUpstreamGetsNothing(t *testing.T) {
	there, here := newStub(t, "there", answerOK), newStub(t, "here", answerOK)
	tg := newTestGateway(t)
	tg.configureIn(false, there)
	wantStatus(t, tg.call("GET", "/clue/1", "before", ""), http.StatusOK)
	tg.configureIn(true, there, here)
	if tg.g.pool.hasIdle(there.ln.Addr().String()) {
		t.Error("an idle connection is kept")
	}
	_, before := there.arrivals("")
	for i := range 30 {
		id := fmt.Sprint("after-", i)
		wantStatus(t, tg.call("GET", "/clue/1", id, ""), http.StatusOK)
		if runs, probes := there.arrivals(id); runs > 0 || probes > before {
			t.Fatalf("%d requests, %d probes", runs, probes-before)
		}
	}
}

// An upstream that was picked or was to be probed before its evacuation got the request
// all the same, or its evidence suffered.
func TestPickedUpstreamIsEvacuated(t *testing.T) {
	s, here := newStub(t, "there", answerOK), newStub(t, "here", answerOK)
	tg := newTestGateway(t)
	u := tg.configureIn(true, s, here)
	c := &call{g: tg.g, deadline: tg.g.now() + time.Second}
	tr := &try{choice: choice{probeResult: probeResult{upstream: u}}, upstream: u, startedAt: tg.g.now()}
	if tg.g.send(c, tr); tr.wrote || !errors.Is(tr.err, errUnwanted) {
		t.Errorf("request: wrote %t, %v", tr.wrote, tr.err)
	}
	results := tg.g.probeAll([]*discovery.Upstream{u}, "/health")
	if best := tg.g.pickBest(choice{}, pick.Job{Work: time.Millisecond}, results); best.upstream != nil {
		t.Error("picked after its evacuation")
	}
	if _, probes := s.arrivals(""); probes > 0 {
		t.Error("probed after its evacuation")
	}
	if rate, usual := tg.failureRate(s), new(pick.Evidence).FailureRate(0); rate > usual {
		t.Errorf("evacuation counts as a failure: %v", rate)
	}
	if tg.g.handOff(testService, choice{probeResult: probeResult{upstream: u}}) {
		t.Error("its slot was handed to a queued call")
	}
}

// A call that had picked an upstream failed when that was evacuated, although another data
// centre has room; one that the upstream runs already was cut off.
func TestCallsInProgressAtEvacuation(t *testing.T) {
	reached, release := make(chan struct{}, 1), make(chan struct{})
	there := newStub(t, "there", func(s *stub, c net.Conn, r *http.Request, body string) bool {
		reached <- struct{}{}
		<-release
		return answerOK(s, c, r, body)
	})
	here := newStub(t, "here", answerOK)
	tg := newTestGateway(t)
	tg.configureIn(false, there)
	running := make(chan reply)
	go func() { running <- tg.call("POST", "/purchase/1", "running", "") }()
	<-reached
	there.setLoad("6,0,6") // the next call waits for a slot
	waiting := make(chan reply)
	go func() { waiting <- tg.call("POST", "/purchase/1", "waiting", "") }()
	waitFor(t, "the call waits", func() bool { return !tg.g.queue.empty(testService) })
	tg.configureIn(true, there, here)
	wantStatus(t, <-waiting, http.StatusOK)
	if here.runCount("waiting") != 1 {
		t.Error("the waiting call did not pick again")
	}
	close(release)
	wantStatus(t, <-running, http.StatusOK)
	if tg.g.pool.hasIdle(there.ln.Addr().String()) {
		t.Error("the connection of the finished request is kept")
	}
}

// Callers were not told why a service whose upstreams are all evacuated refuses them.
func TestAllUpstreamsEvacuated(t *testing.T) {
	u := newStub(t, "there", answerOK)
	tg := newTestGateway(t)
	tg.configureIn(true, u)
	r := tg.call("GET", "/clue/1", "refused", "")
	wantStatus(t, r, http.StatusServiceUnavailable)
	if after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64); strings.TrimSpace(r.body) != reasonEvacuated || err != nil || after < 1 {
		t.Errorf("body %q, Retry-After %q", r.body, r.header.Get("Retry-After"))
	}
	tg.configureIn(false, u)
	wantStatus(t, tg.call("GET", "/clue/1", "served", ""), http.StatusOK)
}

// An upstream that had said that it is leaving was used again after an evacuation.
func TestEvidenceSurvivesEvacuation(t *testing.T) {
	leaves, here := newStub(t, "leaves", answerOK), newStub(t, "here", answerOK)
	tg := newTestGateway(t)
	u := tg.configureIn(false, leaves, here)
	tg.g.RecordRemoteLeaving(incarnationKey(u))
	tg.configureIn(true, leaves, here)
	u = tg.configureIn(false, leaves, here)
	if !tg.g.evidence.leaving(u) {
		t.Error("forgotten")
	}
}
