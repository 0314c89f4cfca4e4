// Package soak runs real catkin-node processes on loopback addresses and
// injects faults from outside them, in an order drawn from a seed: signals,
// proxies that delay, reset, silence or cut connections one way, and a store
// that misbehaves. Callers and upstreams keep a ledger; the promises are
// checked from it alone. It has no code outside of tests.
package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/standin"
)

var (
	seeds = flag.Int("soak.seeds", 1, "number of seeds to run")
	first = flag.Uint64("soak.first", 3, "first seed")
	steps = flag.Int("soak.steps", 14, "faults of a seed")
	nodes = flag.Int("soak.nodes", 4, "processes")
	// Runs beside each other need nets of their own.
	subnet = flag.Int("soak.net", 77, "third number of the loopback addresses")
)

// failed are seeds that failed once.
var failed = []uint64{
	2, // SIGHUP ended a process that had just begun, before it took the signal
}

const (
	callers   = 6
	callPause = 15 * time.Millisecond
	// settle is how long everything is well before the last checks: twice
	// the time in which a change must be in force.
	settle = 4 * time.Second
)

func TestSoak(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "catkin-node")
	if out, err := exec.Command("go", "build", "-o", bin, "../../cmd/catkin-node").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	list := append([]uint64{}, failed...)
	for i := range *seeds {
		list = append(list, *first+uint64(i))
	}
	for _, seed := range list {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) { run(t, bin, seed) })
	}
}

// soak is one run.
type soak struct {
	t    *testing.T
	rng  *rand.Rand
	kv   *standin.KV
	book *ledger
	list []*instance

	mu       sync.Mutex
	ups      []*upstream
	version  int
	upstream int
	// told is the newest version that each incarnation was seen to serve.
	told map[string]int
}

func run(t *testing.T, bin string, seed uint64) {
	s := &soak{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), kv: standin.NewKV(), told: map[string]int{},
		book: &ledger{runs: map[string]int{}, refused: map[string]string{}, by: map[string]int{}},
	}
	kv := serveKV(t, s.kv)
	s.change()
	for i := range *nodes {
		in := newInstance(t, t.TempDir(), fmt.Sprintf("127.0.%d.%d", *subnet, i+1), fmt.Sprintf("127.0.%d.1", *subnet), kv)
		in.supervise(t, bin)
		s.list = append(s.list, in)
	}
	defer func() {
		for _, in := range s.list {
			in.end()
		}
	}()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range callers {
		rng := rand.New(rand.NewPCG(seed, uint64(i)+2))
		wg.Go(func() { s.caller(i, rng, stop) })
	}
	for range *steps {
		s.step()
		time.Sleep(time.Duration(100+s.rng.IntN(500)) * time.Millisecond)
	}
	s.heal()
	time.Sleep(settle)
	close(stop)
	wg.Wait()
	s.check()
}

// change adds a service with two upstreams and puts a version in force that
// goes there; the upstreams of the one before drain.
func (s *soak) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += 1 + s.rng.IntN(3)
	for _, u := range s.ups {
		if u.version < s.version-6 {
			u.register(s.kv, "draining")
		}
	}
	for range 2 {
		s.upstream++
		u := newUpstream(s.t, s.book, fmt.Sprintf("i-%d", s.upstream), s.version)
		u.register(s.kv, "ready")
		s.ups = append(s.ups, u)
	}
	configure(s.kv, s.version)
}

// step makes one fault or change; faults overlap.
func (s *soak) step() {
	in := s.list[s.rng.IntN(len(s.list))]
	lasts := time.Duration(200+s.rng.IntN(1800)) * time.Millisecond
	later := func(do func()) { time.AfterFunc(lasts, do) }
	switch s.rng.IntN(9) {
	case 0:
		s.t.Logf("kill %s", in.ip)
		in.signal(syscall.SIGKILL)
	case 1:
		s.t.Logf("stop %s", in.ip)
		in.signal(syscall.SIGTERM)
	case 2:
		s.t.Logf("pause %s for %v", in.ip, lasts)
		in.signal(syscall.SIGSTOP)
		later(func() { in.signal(syscall.SIGCONT) })
	case 3:
		s.t.Logf("hang up %s", in.ip)
		in.signal(syscall.SIGHUP)
	case 4, 5:
		s.t.Log("change the configuration")
		s.change()
	case 6:
		tr := trouble(s.rng.IntN(int(troubles)))
		s.t.Logf("store of %s: %v for %v", in.ip, tr, lasts)
		in.store.set(tr)
		later(func() { in.store.set(none) })
	case 7:
		s.mu.Lock()
		u := s.ups[len(s.ups)-1-s.rng.IntN(2)]
		s.mu.Unlock()
		tr := trouble(s.rng.IntN(int(troubles)))
		s.t.Logf("upstream %s: %v for %v", u.id, tr, lasts)
		u.proxy.set(tr)
		later(func() { u.proxy.set(none) })
	case 8:
		f := []standin.KVFaults{{Status: 503}, {Status: 429}, {Reset: true}, {Slow: 300 * time.Millisecond}, {DeafWatches: true}}[s.rng.IntN(5)]
		s.t.Logf("store: %+v for %v", f, lasts)
		s.kv.SetFaults(f)
		if s.rng.IntN(2) == 0 {
			s.kv.DropHistory()
		}
		later(func() { s.kv.SetFaults(standin.KVFaults{}) })
	}
}

// heal ends every fault.
func (s *soak) heal() {
	time.Sleep(2 * time.Second) // the last faults end by themselves
	s.kv.SetFaults(standin.KVFaults{})
	for _, in := range s.list {
		in.store.set(none)
		in.signal(syscall.SIGCONT)
	}
	for _, u := range s.ups {
		u.proxy.set(none)
	}
}

// caller sends requests one after the other and notes what it is told.
func (s *soak) caller(n int, rng *rand.Rand, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(callPause):
		}
		in := s.list[rng.IntN(len(s.list))]
		kind := "buy"
		if rng.IntN(3) == 0 {
			kind = "read"
		}
		s.request(in, kind, fmt.Sprintf("%s-%d-%d", kind, n, i))
	}
}

func (s *soak) request(in *instance, kind, id string) {
	key := fmt.Sprintf("%s incarnation %d", in.ip, in.number())
	s.mu.Lock()
	before := s.told[key]
	s.mu.Unlock()
	a := in.call("/"+kind+"/", id)
	switch {
	case a.status == 200:
		s.answered(key, before, id, a)
	case a.status == 503 || a.status == 429 || a.status == 421 || a.status == 408:
		s.book.mu.Lock()
		s.book.refused[id] = fmt.Sprint(a.status, " from ", key)
		s.book.mu.Unlock()
	}
}

// answered checks a success: it is the caller's own, whole, and from no older
// version than the same incarnation served before the request began.
func (s *soak) answered(key string, before int, id string, a answer) {
	s.book.mu.Lock()
	version, ran := s.book.by[id]
	s.book.mu.Unlock()
	if want := fmt.Sprintf("%s by version %d", id, version); !ran || a.body != want {
		s.book.fault("%s was answered %q, want %q", id, a.body, want)
	}
	if version < before {
		s.book.fault("%s served version %d after %d", key, version, before)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told[key] = max(s.told[key], version)
}

// check holds the ledger to the promises.
func (s *soak) check() {
	for i, in := range s.list {
		id := fmt.Sprint("last-", i)
		a := in.call("/buy/", id)
		if want := fmt.Sprintf("%s by version %d", id, s.version); a.status != 200 || a.body != want {
			s.book.fault("%s answers %d %q once all is well, want %q", in.ip, a.status, a.body, want)
		}
	}
	s.book.mu.Lock()
	defer s.book.mu.Unlock()
	for id, n := range s.book.runs {
		if n > 1 && id[:3] == "buy" {
			s.book.faults = append(s.book.faults, fmt.Sprintf("%s ran %d times", id, n))
		}
		if why, told := s.book.refused[id]; told && id[:3] == "buy" {
			s.book.faults = append(s.book.faults, fmt.Sprintf("%s ran, though its caller was told that it did not (%s)", id, why))
		}
	}
	for _, f := range s.book.faults {
		s.t.Error(f)
	}
	if len(s.book.faults) > 0 {
		for _, in := range s.list {
			s.t.Logf("the end of the log of %s:\n%s", in.ip, in.logEnd())
		}
	}
	s.t.Logf("%d requests ran, %d were refused", len(s.book.runs), len(s.book.refused))
	if len(s.book.runs) == 0 {
		s.t.Error("nothing ran")
	}
}
