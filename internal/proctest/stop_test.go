package proctest

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/headers"
	"github.com/catkinrouter/catkinrouter/proxy"
	"github.com/catkinrouter/catkinrouter/standin"
)

// caller looks up addresses and calls them in rotation, until the lifetime of
// the lookup answer ends and it looks up again.
type caller struct {
	lookupEntries  []string // entries to query, in order of preference
	name           string
	client         *fasthttp.Client
	addresses      []proxy.LookupAddress
	expiry         time.Time
	calls          int
	callsByAddress map[string]int
	// killedEntry is the address of an entry that the test kills, or empty.
	// lostCalls counts failed calls to it, and answeredAfterLoss calls that
	// other entries answered after the first loss.
	killedEntry       string
	lostCalls         int
	answeredAfterLoss int
}

func (c *caller) run(t *testing.T, stop <-chan struct{}) {
	defer c.client.CloseIdleConnections()
	for {
		select {
		case <-stop:
			return
		default:
		}
		if time.Now().After(c.expiry) && !c.lookup(t) {
			return
		}
		if !c.call(t) {
			return
		}
	}
}

// lookup queries the entries in order until one answers; an entry that is being
// replaced does not answer.
func (c *caller) lookup(t *testing.T) bool {
	var errs []error
	for _, entry := range c.lookupEntries {
		var a proxy.LookupAnswer
		err := getJSON(c.client, "http://"+entry+headers.LookupPath+"?service=pistas", &a)
		if err == nil && len(a.Addresses) > 0 {
			c.addresses, c.expiry = a.Addresses, time.Now().Add(time.Duration(a.LifetimeMs)*time.Millisecond)
			// A new process may have taken over an address, and the client
			// does not notice that an idle connection was closed.
			c.client.CloseIdleConnections()
			return true
		}
		errs = append(errs, err)
	}
	t.Errorf("no entry answered the lookup: %v", errs)
	return false
}

// call makes one call, which must get the answer to this call, unless it fails
// at the killed entry. It returns false if the caller cannot continue.
func (c *caller) call(t *testing.T) bool {
	c.calls++
	addr := c.addresses[c.calls%len(c.addresses)].Address
	name := c.name + "." + strconv.Itoa(c.calls)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + addr + "/clue")
	req.Header.SetHost("pistas")
	req.UseHostHeader = true
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set("X-Request", name)
	err := c.client.DoTimeout(req, resp, 5*time.Second)
	if err != nil && addr == c.killedEntry {
		c.lostCalls++
		c.addresses = slices.DeleteFunc(c.addresses, func(a proxy.LookupAddress) bool { return a.Address == addr })
		return len(c.addresses) > 0 || c.lookup(t)
	}
	if err != nil || string(resp.Header.Peek(headers.Outcome)) != "answered" {
		t.Errorf("call %s to %s was not answered: error %v, response %s", name, addr, err, resp.String())
		return false
	}
	if _, rest, _ := strings.Cut(string(resp.Body()), " "); rest != "/clue "+name+"\n" {
		t.Errorf("call %s got a wrong answer: %q", name, resp.Body())
	}
	c.callsByAddress[addr]++
	if c.lostCalls > 0 && addr != c.killedEntry {
		c.answeredAfterLoss++
	}
	return true
}

// A graceful stop fails no call while callers keep using the entry until the
// lookup answers that name it expire. A second SIGTERM does not shorten the stop,
// and the process exits without an error.
func TestGracefulStopCompletesAllCalls(t *testing.T) {
	s := New(t, Options{Entries: 2, Lifetime: time.Second, StopTimeout: 7 * time.Second, Services: []standin.ServiceSettings{
		{Name: "pistas", Count: 4, Slots: 6, Queue: 20, Connections: 250, Work: config.Duration(5 * time.Millisecond)},
	}})
	s.StartAll()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	callers := make([]*caller, 6)
	for i := range callers {
		callers[i] = &caller{
			lookupEntries: []string{s.EntryAddress(1)}, name: "caller-" + strconv.Itoa(i), callsByAddress: map[string]int{},
			client: &fasthttp.Client{MaxIdemponentCallAttempts: 1},
		}
		wg.Go(func() { callers[i].run(t, stop) })
	}
	stopping := s.Entry(0)
	time.Sleep(time.Second)
	if err := stopping.Terminate(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	if err := stopping.Stop(20 * time.Second); err != nil {
		t.Errorf("the entry exited with %v", err)
	}
	close(stop)
	wg.Wait()
	used := 0
	for _, c := range callers {
		used += c.callsByAddress[s.EntryAddress(0)]
	}
	if used == 0 {
		t.Error("no call went to the stopping entry")
	}
}

// A graceful stop also completes after the agent has been killed, and still
// waits for the call in flight.
func TestGracefulStopWithoutAgent(t *testing.T) {
	s := New(t, Options{Entries: 1, Lifetime: time.Second, StopTimeout: 3 * time.Second, Services: []standin.ServiceSettings{
		{Name: "pistas", Count: 1, Slots: 6, Queue: 20, Connections: 250, Work: config.Duration(time.Second)},
	}})
	s.StartAll()
	s.Agent(0).Kill()
	c := &caller{name: "caller", callsByAddress: map[string]int{}, client: &fasthttp.Client{}, addresses: []proxy.LookupAddress{{Address: s.EntryAddress(0)}}}
	var wg sync.WaitGroup
	wg.Go(func() { c.call(t) })
	s.Eventually(5*time.Second, "the call is at the upstream", func() bool { return s.Counts()[0].Served == 1 })
	if err := s.Entry(0).Stop(20 * time.Second); err != nil {
		t.Errorf("the entry exited with %v", err)
	}
	wg.Wait()
}
