package node_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/platform"
	"github.com/catkinrouter/catkinrouter/quarantine"
	"github.com/catkinrouter/catkinrouter/standin"
)

const (
	// crashPath makes each upstream that begins to run it crash.
	crashPath = "/x/crash"
	// crashDelay is how long a request runs before the crash, restartDelay how long
	// the upstream is down.
	crashDelay   = 20 * time.Millisecond
	restartDelay = 400 * time.Millisecond
	// knownAfter is the time after the third crash from which the request may reach
	// at most maxLateRuns more upstreams.
	knownAfter  = 3 * time.Second
	maxLateRuns = 3
)

// crashingUpstreams are upstreams that crash under crashPath and start again
// under a new id and address.
type crashingUpstreams struct {
	t  *testing.T
	kv *standin.KV

	mu      sync.Mutex
	started int
	// crashes holds the times of the runs of crashPath.
	crashes []time.Time
	ended   bool
}

func startCrashingUpstreams(t *testing.T, kv *standin.KV, n int) *crashingUpstreams {
	t.Helper()
	c := &crashingUpstreams{t: t, kv: kv}
	for range n {
		c.start()
	}
	t.Cleanup(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.ended = true
	})
	return c
}

// newCrashingSite returns nodes that serve /x/ by eight crashing upstreams.
func newCrashingSite(t *testing.T, nodes int) (*site, *crashingUpstreams) {
	t.Helper()
	s := newSite(t, nodes)
	up := startCrashingUpstreams(t, s.kv, 8)
	configure(s.kv, 1, "/x/", "tienda")
	s.waitAll("/x/1", 200, "ok")
	return s, up
}

// start starts an upstream and registers it.
func (c *crashingUpstreams) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	c.started++
	id := fmt.Sprint("i-", c.started)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		c.t.Error(err)
		return
	}
	srv := &http.Server{}
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Catkinrouter-Backend-Load", "0,0,6,100")
		if r.URL.Path == "/health" {
			w.Header().Set("X-Catkinrouter-Instance-Id", id)
			return
		}
		if r.URL.Path == crashPath {
			c.crash(id, srv)
			return
		}
		w.Header().Set("X-Catkinrouter-Attempt-Id", r.Header.Get("X-Catkinrouter-Attempt-Id"))
		w.Header().Set("X-Catkinrouter-Server-Stamp", id)
		fmt.Fprint(w, "ok")
	})
	go srv.Serve(ln)
	b := &backend{id: id, addr: ln.Addr().String()}
	b.register(c.kv, "tienda", "ready", 1)
}

// crash ends an upstream and starts the next one after restartDelay.
func (c *crashingUpstreams) crash(id string, srv *http.Server) {
	c.mu.Lock()
	c.crashes = append(c.crashes, time.Now())
	c.mu.Unlock()
	time.Sleep(crashDelay)
	srv.Close()
	time.AfterFunc(restartDelay, func() {
		c.kv.Delete("servers/" + id)
		c.start()
	})
}

// crashCount returns the number of crashes so far.
func (c *crashingUpstreams) crashCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.crashes)
}

// lateRuns returns the runs of crashPath later than knownAfter after the third.
func (c *crashingUpstreams) lateRuns() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, at := range c.crashes {
		if i >= 3 && at.Sub(c.crashes[2]) > knownAfter {
			n++
		}
	}
	return n
}

// callFor sends path to the nodes in turn, at the given interval.
func (s *site) callFor(path string, length, interval time.Duration) (statuses map[int]int) {
	statuses = map[int]int{}
	for i, end := 0, time.Now().Add(length); time.Now().Before(end); i++ {
		status, _ := s.list[i%len(s.list)].call(path)
		statuses[status]++
		time.Sleep(interval)
	}
	return statuses
}

// A request that crashes the upstreams that run it was sent to one after the other,
// by all instances and without end.
func TestCrashingRequestReachesFewUpstreams(t *testing.T) {
	s, up := newCrashingSite(t, 3)
	s.callFor(crashPath, knownAfter+3*time.Second, 100*time.Millisecond)
	if n := up.lateRuns(); n > maxLateRuns {
		t.Errorf("%d runs later than %v after the third crash, want at most %d; %d in all", n, knownAfter, maxLateRuns, up.crashCount())
	}
	if status, body := s.list[0].call("/x/2"); status != 200 {
		t.Errorf("another request: status %d, %q", status, strings.TrimSpace(body))
	}
}

// quarantineAtAll sends crashPath until no node passes it on.
func (s *site) quarantineAtAll(up *crashingUpstreams) {
	s.t.Helper()
	const quiet = 600 * time.Millisecond
	for end := time.Now().Add(10 * time.Second); ; {
		before := up.crashCount()
		s.callFor(crashPath, quiet, 50*time.Millisecond)
		if before > 2 && up.crashCount() == before {
			return
		}
		if time.Now().After(end) {
			s.t.Fatalf("still passed on after %d crashes", up.crashCount())
		}
	}
}

// An instance that started later sent the request to the upstreams again, also where
// the store was away when the others decided.
func TestRestartedInstanceKnowsCrashingRequest(t *testing.T) {
	for _, storeAway := range []bool{false, true} {
		t.Run(fmt.Sprint("store away: ", storeAway), func(t *testing.T) {
			s, up := newCrashingSite(t, 3)
			if storeAway {
				s.kv.SetFaults(standin.KVFaults{Reset: true})
			}
			s.quarantineAtAll(up)
			if !storeAway {
				time.Sleep(time.Second) // the decision is written
			}
			s.list[2].end(t)
			s.list[2] = s.start(2)
			s.list[2].waitUntil(t, func() bool { status, _ := s.list[2].call("/x/2"); return status == 200 })
			before := up.crashCount()
			for range 5 {
				if status, body := s.list[2].call(crashPath); status != 503 {
					t.Errorf("status %d, %q", status, strings.TrimSpace(body))
				}
			}
			if n := up.crashCount() - before; n != 0 {
				t.Errorf("%d more crashes", n)
			}
		})
	}
}

// The decision was lost with the store's older copy, and with the instances that
// remembered it.
func TestCrashingRequestStaysKnownAfterStoreRestored(t *testing.T) {
	s, up := newCrashingSite(t, 3)
	b := s.kv.Backup()
	s.quarantineAtAll(up)
	s.restore(b)
	time.Sleep(2 * time.Second) // the decision is written again
	for i := range s.list {
		s.list[i].end(t)
		s.list[i] = s.start(i)
	}
	s.waitAll("/x/2", 200, "ok")
	before := up.crashCount()
	s.callFor(crashPath, time.Second, 50*time.Millisecond)
	if n := up.crashCount() - before; n != 0 {
		t.Errorf("%d more crashes", n)
	}
}

// Requests that ran beside the crashing one were refused with it.
func TestRequestsBesideCrashingOneAreServed(t *testing.T) {
	s, up := newCrashingSite(t, 3)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.quarantineAtAll(up)
	}()
	s.callFor("/x/beside", 3*time.Second, 5*time.Millisecond)
	<-done
	for i, r := range s.list {
		if status, body := r.call("/x/beside"); status != 200 {
			t.Errorf("node %d: status %d, %q", i, status, strings.TrimSpace(body))
		}
	}
}

// An operator must be able to end a quarantine while the instances run.
func TestLiftedQuarantineIsServedAgain(t *testing.T) {
	s, up := newCrashingSite(t, 2)
	s.quarantineAtAll(up)
	key := platform.Keys().Quarantine
	var entries []quarantine.Entry
	for end := time.Now().Add(5 * time.Second); len(entries) == 0; time.Sleep(10 * time.Millisecond) {
		value, _ := s.kv.Get(key)
		entries, _ = quarantine.Decode(value)
		if time.Now().After(end) {
			t.Fatal("nothing in the store")
		}
	}
	lifted, found := quarantine.Lift(entries, entries[0].Content, time.Now())
	if !found {
		t.Fatalf("not in force: %+v", entries)
	}
	value, err := quarantine.Encode(lifted)
	if err != nil {
		t.Fatal(err)
	}
	s.kv.Put(key, value)
	for i, r := range s.list {
		before := up.crashCount()
		for end := time.Now().Add(5 * time.Second); up.crashCount() == before; time.Sleep(10 * time.Millisecond) {
			if r.call(crashPath); time.Now().After(end) {
				t.Fatalf("node %d still keeps the request from the upstreams", i)
			}
		}
	}
}
