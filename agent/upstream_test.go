package agent_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/headers"
	"github.com/catkinrouter/catkinrouter/internal/proctest"
	"github.com/catkinrouter/catkinrouter/standin"
	"github.com/catkinrouter/catkinrouter/store"
)

// requestStream sends idempotent calls through one entry until end is called.
type requestStream struct {
	entry    string
	answered atomic.Int64
	failed   atomic.Int64
	stop     chan struct{}
	wg       sync.WaitGroup
}

func startRequestStream(entry string) *requestStream {
	s := &requestStream{entry: entry, stop: make(chan struct{})}
	s.wg.Go(s.run)
	return s
}

func (s *requestStream) run() {
	client := &fasthttp.Client{MaxIdemponentCallAttempts: 1}
	defer client.CloseIdleConnections()
	for {
		select {
		case <-s.stop:
			return
		default:
		}
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + s.entry + "/clue")
		req.Header.SetHost("pistas")
		req.UseHostHeader = true
		if client.DoTimeout(req, resp, 2*time.Second) == nil && string(resp.Header.Peek(headers.Outcome)) == "answered" {
			s.answered.Add(1)
		} else {
			s.failed.Add(1)
		}
		fasthttp.ReleaseRequest(req)
		fasthttp.ReleaseResponse(resp)
		time.Sleep(2 * time.Millisecond)
	}
}

func (s *requestStream) end() {
	close(s.stop)
	s.wg.Wait()
}

// served returns the number of requests that the upstream has served; -1 if it is
// unknown.
func served(s *proctest.Site, id string) int64 {
	for _, c := range s.Counts() {
		if c.ID == id {
			return c.Served
		}
	}
	return -1
}

// waitConverged waits until lookups at each of the n entries return all of them.
func waitConverged(s *proctest.Site, n int) {
	for i := range n {
		s.Eventually(20*time.Second, fmt.Sprintf("lookups at entry %d return %d entries", i, n), func() bool {
			a, err := lookup(s.EntryAddress(i))
			return err == nil && len(a.Addresses) == n
		})
	}
}

// leavingLimit is the target time after which a leaving upstream receives no new
// requests.
const leavingLimit = 3 * time.Second

// One entry sees that an upstream is leaving, while the store is down or the list
// is wrong. No entry may send new requests to that upstream after leavingLimit.
func TestUpstreamLeavingStateReachesEveryEntry(t *testing.T) {
	for name, fail := range map[string]func(*proctest.Site){
		"store down": func(s *proctest.Site) { s.SetPlatformFaults(standin.PlatformFaults{Down: true}) },
		"list wrong": wrongList,
	} {
		t.Run(name, func(t *testing.T) { checkLeavingUpstream(t, fail) })
	}
}

// wrongList lists one live instance as leaving, another not at all, and one
// that does not exist.
func wrongList(s *proctest.Site) {
	l := store.InstanceList{Instances: []store.Instance{
		{ID: "instance-2", Address: s.Addr(1), DataCentre: "otavalo", Region: proctest.Region, Leaving: true},
		{ID: "instance-9", Address: s.Addr(2), DataCentre: "otavalo", Region: proctest.Region},
	}}
	if err := s.Post("http://"+s.PlatformAddress()+standin.SetListPath, l, nil); err != nil {
		panic(err)
	}
}

func checkLeavingUpstream(t *testing.T, fail func(*proctest.Site)) {
	const n = 3
	s := proctest.New(t, proctest.Options{Entries: n, Lifetime: time.Second, Services: services()})
	s.StartAll()
	waitConverged(s, n)
	fail(s)
	first := startRequestStream(s.EntryAddress(0))
	s.SetUpstreamFaults("pistas-01", standin.UpstreamFaults{Drain: true})
	time.Sleep(leavingLimit)
	// Entries 1 and 2 have sent no request yet, so they can learn of the leaving
	// upstream only through the exchange between agents.
	before := served(s, "pistas-01")
	others := []*requestStream{startRequestStream(s.EntryAddress(1)), startRequestStream(s.EntryAddress(2))}
	s.Eventually(20*time.Second, "calls through the other entries", func() bool {
		return others[0].answered.Load() > 200 && others[1].answered.Load() > 200
	})
	for _, o := range append(others, first) {
		o.end()
		if o.failed.Load() > 0 {
			t.Errorf("%d calls through %s failed", o.failed.Load(), o.entry)
		}
	}
	if got := served(s, "pistas-01") - before; got > 0 {
		t.Errorf("%d calls went to the leaving upstream", got)
	}
	waitConverged(s, n)
}

// An entry and its agent are killed and restarted while the store is down, so that
// the agent can get the newest configuration only from its peers. Lookups at the
// other entries must stop returning the entry, and return it again after the
// restart. No call through another entry may fail.
func TestEntryKilledWhileStoreIsDown(t *testing.T) {
	const n = 3
	s := proctest.New(t, proctest.Options{Entries: n, Lifetime: time.Second, Services: services()})
	s.StartAll()
	waitConverged(s, n)
	doc := s.Document()
	doc.Site = "second"
	s.Confirm(0, doc)
	s.SetPlatformFaults(standin.PlatformFaults{Down: true})
	other := startRequestStream(s.EntryAddress(0))
	s.Entry(2).Kill()
	s.Agent(2).Kill()
	for i := range n - 1 {
		s.Eventually(30*time.Second, "lookups no longer return the killed entry", func() bool {
			a, err := lookup(s.EntryAddress(i))
			return err == nil && len(a.Addresses) == n-1
		})
	}
	s.StartEntry(2)
	s.StartAgent(2)
	waitConverged(s, n)
	other.end()
	if other.failed.Load() > 0 {
		t.Errorf("%d calls through another entry failed", other.failed.Load())
	}
}
