package proctest

import (
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/standin"
)

// startCallers starts n callers that call the site's entries until stop is
// called, which waits for the callers and returns them. Calls may fail only at
// the entry with the address killed, if that is not empty.
func startCallers(t *testing.T, s *Site, n int, killed string) (stop func() []*caller) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	callers := make([]*caller, n)
	for i := range callers {
		c := &caller{name: "caller-" + strconv.Itoa(i), callsByAddress: map[string]int{}, killedEntry: killed, client: &fasthttp.Client{MaxIdemponentCallAttempts: 1}}
		for e := range s.opt.Entries {
			c.lookupEntries = append(c.lookupEntries, s.EntryAddress((e+i)%s.opt.Entries))
		}
		callers[i] = c
		wg.Go(func() { c.run(t, done) })
	}
	return func() []*caller {
		close(done)
		wg.Wait()
		return callers
	}
}

// pistasService returns the settings of one service with four upstreams.
func pistasService() []standin.ServiceSettings {
	return []standin.ServiceSettings{
		{Name: "pistas", Count: 4, Slots: 6, Queue: 20, Connections: 250, Work: config.Duration(5 * time.Millisecond)},
	}
}

// Stopping and replacing six entries one after another refuses no connection and
// loses no call or answer, while callers use each lookup answer for its whole
// lifetime.
func TestRollingRestartLosesNoCall(t *testing.T) {
	const entries = 6
	s := New(t, Options{Entries: entries, Lifetime: time.Second, StopTimeout: 5 * time.Second, Services: pistasService()})
	s.StartAll()
	s.waitLookupsNameAll(entries)
	stop := startCallers(t, s, 8, "")
	for i := range entries {
		if err := s.Entry(i).Stop(waitTimeout); err != nil {
			t.Errorf("entry %d exited with %v", i, err)
		}
		s.StartEntry(i)
		s.WaitEntry(i)
	}
	total := 0
	for _, c := range stop() {
		total += c.calls
	}
	t.Logf("%d calls, all answered", total)
}

// waitTimeout limits each wait for a stop or a condition.
const waitTimeout = 20 * time.Second

// waitLookupsNameAll waits until the lookup answers seen so far name n entries.
func (s *Site) waitLookupsNameAll(n int) {
	s.t.Helper()
	seen := map[string]bool{}
	s.Eventually(20*time.Second, "lookups name all entries", func() bool {
		c := &caller{lookupEntries: []string{s.EntryAddress(0)}, client: &fasthttp.Client{}}
		c.lookup(s.t)
		for _, a := range c.addresses {
			seen[a.Address] = true
		}
		return len(seen) == n
	})
}

// Killing an entry fails only calls sent to that entry, which get no response;
// its callers continue at other entries at once.
func TestKilledEntryLosesOnlyItsOwnCalls(t *testing.T) {
	const entries = 3
	s := New(t, Options{Entries: entries, Lifetime: time.Second, Services: pistasService()})
	s.StartAll()
	s.waitLookupsNameAll(entries)
	stop := startCallers(t, s, 8, s.EntryAddress(2))
	s.Eventually(waitTimeout, "calls are served before the kill", func() bool { return s.totalServed() > 100 })
	s.Entry(2).Kill()
	killed := s.totalServed()
	s.Eventually(waitTimeout, "calls are served after the kill", func() bool { return s.totalServed() > killed+500 })
	lost := 0
	for _, c := range stop() {
		lost += c.lostCalls
		if c.lostCalls > 0 && c.answeredAfterLoss == 0 {
			t.Errorf("%s lost a call and got no answer from another entry since", c.name)
		}
	}
	// Lookups keep naming the killed entry until it has been silent long enough
	// to be dropped, so that some calls must have failed.
	if lost == 0 {
		t.Error("no call failed at the killed entry")
	}
}

// totalServed returns the number of requests that all upstreams served.
func (s *Site) totalServed() int64 {
	var n int64
	for _, u := range s.Counts() {
		n += u.Served
	}
	return n
}
