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

// stream sends idempotent calls through one entry until stopped.
type stream struct {
	entry    string
	answered atomic.Int64
	failed   atomic.Int64
	stop     chan struct{}
	wg       sync.WaitGroup
}

func startStream(entry string) *stream {
	s := &stream{entry: entry, stop: make(chan struct{})}
	s.wg.Go(s.run)
	return s
}

func (s *stream) run() {
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

func (s *stream) end() {
	close(s.stop)
	s.wg.Wait()
}

func served(s *proctest.Site, id string) int64 {
	for _, c := range s.Counts() {
		if c.ID == id {
			return c.Served
		}
	}
	return -1
}

// waitMeet waits until every entry of the site hands out all others.
func waitMeet(s *proctest.Site, n int) {
	for i := range n {
		s.Eventually(20*time.Second, fmt.Sprintf("entry %d hands out %d entries", i, n), func() bool {
			a, err := lookup(s.EntryAddress(i))
			return err == nil && len(a.Addresses) == n
		})
	}
}

// leavingLimit is the target: an upstream that is leaving gets nothing new
// after this time.
const leavingLimit = 3 * time.Second

// An upstream whose leaving one entry saw gets nothing new from any entry,
// while the store is down and while the list is wrong.
func TestLeavingUpstreamReachesEveryEntry(t *testing.T) {
	for name, fail := range map[string]func(*proctest.Site){
		"store down": func(s *proctest.Site) { s.SetPlatformFaults(standin.PlatformFaults{Down: true}) },
		"list wrong": wrongList,
	} {
		t.Run(name, func(t *testing.T) { leavingUpstream(t, fail) })
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

func leavingUpstream(t *testing.T, fail func(*proctest.Site)) {
	const n = 3
	s := proctest.New(t, proctest.Options{Entries: n, Lifetime: time.Second, Services: services()})
	s.StartAll()
	waitMeet(s, n)
	fail(s)
	first := startStream(s.EntryAddress(0))
	s.SetUpstreamFaults("pistas-01", standin.UpstreamFaults{Drain: true})
	time.Sleep(leavingLimit)
	// Entries 1 and 2 sent no call yet: they know of it by the exchange alone.
	before := served(s, "pistas-01")
	others := []*stream{startStream(s.EntryAddress(1)), startStream(s.EntryAddress(2))}
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
	waitMeet(s, n)
}

// With the store down an entry is killed and started again: the others hand
// it out no more, it comes back with the newest configuration, and every call
// through the others is answered.
func TestEntryKilledWhileStoreIsDown(t *testing.T) {
	const n = 3
	s := proctest.New(t, proctest.Options{Entries: n, Lifetime: time.Second, Services: services()})
	s.StartAll()
	waitMeet(s, n)
	doc := s.Document()
	doc.Site = "second"
	s.Confirm(0, doc)
	s.SetPlatformFaults(standin.PlatformFaults{Down: true})
	other := startStream(s.EntryAddress(0))
	s.Entry(2).Kill()
	s.Agent(2).Kill()
	for i := range n - 1 {
		s.Eventually(30*time.Second, "killed entry handed out no more", func() bool {
			a, err := lookup(s.EntryAddress(i))
			return err == nil && len(a.Addresses) == n-1
		})
	}
	s.StartEntry(2)
	s.StartAgent(2)
	waitMeet(s, n)
	other.end()
	if other.failed.Load() > 0 {
		t.Errorf("%d calls through another entry failed", other.failed.Load())
	}
}
