package health_test

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/internal/proctest"
	"github.com/catkinrouter/catkinrouter/standin"
)

// TestDrainingUpstreamReceivesNoRequests checks between processes that an entry
// sends nothing to a draining upstream once it has had a reply from it, although
// the upstream's health endpoint still reports that it is healthy.
func TestDrainingUpstreamReceivesNoRequests(t *testing.T) {
	const entries, upstreams = 2, 4
	s := proctest.New(t, proctest.Options{Entries: entries, Lifetime: time.Second, Services: []standin.ServiceSettings{{
		Name: "pistas", Count: upstreams, Slots: 6, Queue: 10, Connections: 250, Work: config.Duration(time.Millisecond),
	}}})
	s.StartAll()
	s.SetUpstreamFaults("pistas-02", standin.UpstreamFaults{Drain: true})
	const calls = 100 // per entry; enough to reach every upstream
	sendCalls(t, s, entries, calls)
	before := served(s, "pistas-02")
	sendCalls(t, s, entries, calls)
	if after := served(s, "pistas-02"); after != before {
		t.Fatalf("a draining upstream served %d of %d calls, want 0", after-before, entries*calls)
	}
}

func sendCalls(t *testing.T, s *proctest.Site, entries, calls int) {
	t.Helper()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetHost("pistas")
	req.UseHostHeader = true
	for e := range entries {
		req.SetRequestURI("http://" + s.EntryAddress(e) + "/clue")
		for range calls {
			if err := fasthttp.DoTimeout(req, resp, 5*time.Second); err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode() != fasthttp.StatusOK {
				t.Fatalf("status %d: %s", resp.StatusCode(), resp.Body())
			}
		}
	}
}

func served(s *proctest.Site, id string) int64 {
	for _, c := range s.Counts() {
		if c.ID == id {
			return c.Served
		}
	}
	return -1
}
