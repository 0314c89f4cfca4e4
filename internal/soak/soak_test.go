// Package soak runs catkin-node processes on loopback addresses and injects
// faults from outside the processes, in an order drawn from a seed: signals,
// proxies that delay, reset, silence or cut connections in one direction, and
// faults of the store. Callers and upstreams record requests in a ledger; the
// guarantees are checked from the ledger alone. The package contains only tests.
package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/standin"
)

var (
	seeds     = flag.Int("soak.seeds", 1, "number of seeds to run")
	firstSeed = flag.Uint64("soak.first", 3, "first seed")
	steps     = flag.Int("soak.steps", 14, "number of faults injected per seed")
	nodes     = flag.Int("soak.nodes", 4, "number of instances")
	// Concurrent runs need different loopback networks.
	subnet = flag.Int("soak.net", 77, "third octet of the loopback addresses")
)

// customerSeeds are seeds with customers and limits, the first with an evacuation too. They run
// every time.
var customerSeeds = []uint64{
	7,
	20, // an instance asked itself for tokens in an endless loop and answered 503 until the end
}

// regressionSeeds are seeds that have failed before, without customers. They run every time.
var regressionSeeds = []uint64{
	2,     // SIGHUP ended a process that had just started and not yet registered a handler
	21000, // an upstream's refusal to a request that its instance had given up counted as told
	21047, // a refusal that was malformed on its way counted as told
	5014,  // a cancelled hedge's reply, which asked for a pause, was not read
}

const (
	callers      = 6
	callInterval = 15 * time.Millisecond
	// settleTime is the time without faults before the final checks: twice the
	// time within which a change must be in force.
	settleTime = 4 * time.Second
)

func TestSoak(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "catkin-node")
	if out, err := exec.Command("go", "build", "-o", bin, "../../cmd/catkin-node").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	checkNetIsFree(t)
	seedList := append(slices.Clone(customerSeeds), regressionSeeds...)
	for i := range *seeds {
		seedList = append(seedList, *firstSeed+uint64(i))
	}
	for _, seed := range seedList {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) { run(t, bin, seed) })
	}
}

// checkNetIsFree fails the test if the addresses of the instances are in use: another run, or
// processes that one left which was killed, would answer in their place.
func checkNetIsFree(t *testing.T) {
	t.Helper()
	for i := range *nodes {
		ln, err := net.Listen("tcp4", fmt.Sprintf("127.0.%d.%d:%d", *subnet, i+1, frontPort))
		if err != nil {
			t.Fatalf("%v: end the other run and its processes, or set another -soak.net", err)
		}
		ln.Close()
	}
}

// soak is the state of the run for one seed.
type soak struct {
	t         *testing.T
	rng       *rand.Rand
	kv        *standin.KV
	ledger    *ledger
	instances []*instance
	// restoreRNG decides about backup, the copy from which the store comes back.
	restoreRNG *rand.Rand
	backup     standin.Backup
	// noticeRNG decides what upstreams say of themselves.
	noticeRNG *rand.Rand
	// oddRNG decides about odd entries, repeated and malformed replies, addresses used
	// again and large bodies.
	oddRNG     *rand.Rand
	customers  *customers
	evacuation *evacuation

	mu            sync.Mutex
	upstreams     []*upstream
	version       int
	upstreamCount int
	// newestServed is the newest version that each incarnation has served.
	newestServed map[string]int
}

func run(t *testing.T, bin string, seed uint64) {
	s := &soak{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), kv: standin.NewKV(), newestServed: map[string]int{},
		ledger: newLedger(),
	}
	s.restoreRNG = rand.New(rand.NewPCG(seed, 1000))
	s.noticeRNG = rand.New(rand.NewPCG(seed, 1001))
	s.oddRNG = rand.New(rand.NewPCG(seed, 1002))
	s.customers = newCustomers(seed)
	s.evacuation = newEvacuation(seed)
	t.Logf("customers: %v with the limits %v", s.customers.on, s.customers.limits)
	kv := serveKV(t, s.kv)
	s.changeConfiguration()
	s.backup = s.kv.Backup()
	for i := range *nodes {
		in := newInstance(t, t.TempDir(), fmt.Sprintf("127.0.%d.%d", *subnet, i+1), fmt.Sprintf("127.0.%d.1", *subnet), kv)
		in.supervise(t, bin)
		s.instances = append(s.instances, in)
	}
	defer func() {
		for _, in := range s.instances {
			in.shutDown()
		}
	}()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range callers {
		rng := rand.New(rand.NewPCG(seed, uint64(i)+2))
		wg.Go(func() { s.caller(i, rng, stop) })
	}
	for step := range *steps {
		s.evacuation.start(s, step)
		s.injectFault()
		s.restoreStore()
		s.injectNotice()
		s.injectOddity()
		time.Sleep(time.Duration(100+s.rng.IntN(500)) * time.Millisecond)
	}
	s.clearFaults()
	s.evacuation.end(s.kv)
	s.standStill()
	time.Sleep(settleTime)
	close(stop)
	wg.Wait()
	s.checkLedger()
}

// changeConfiguration adds a service with two upstreams and writes a
// configuration version that routes to it. Upstreams more than six versions
// older than it are set to draining.
func (s *soak) changeConfiguration() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += 1 + s.rng.IntN(3)
	for _, u := range s.upstreams {
		if u.version < s.version-6 {
			u.register(s.kv, "draining")
		}
	}
	for range 2 {
		s.addUpstream()
	}
	key := s.customers.replaceKey()
	configure(s.kv, s.version, s.customers.table())
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	s.ledger.withdrawn[key] = time.Now()
}

// addUpstream adds an upstream to the newest service. The caller holds the lock.
func (s *soak) addUpstream() {
	s.upstreamCount++
	u := newUpstream(s.t, s.ledger, fmt.Sprintf("i-%d", s.upstreamCount), s.version, s.evacuation, s.evacuation.dataCentres[s.upstreamCount%len(s.evacuation.dataCentres)])
	u.register(s.kv, "ready")
	s.upstreams = append(s.upstreams, u)
}

// injectFault injects one fault or changes the configuration. Faults may overlap.
func (s *soak) injectFault() {
	in := s.instances[s.rng.IntN(len(s.instances))]
	duration := time.Duration(200+s.rng.IntN(1800)) * time.Millisecond
	afterwards := func(do func()) { time.AfterFunc(duration, do) }
	switch s.rng.IntN(9) {
	case 0:
		s.t.Logf("send SIGKILL to %s", in.ip)
		in.signal(syscall.SIGKILL)
	case 1:
		s.t.Logf("send SIGTERM to %s", in.ip)
		in.signal(syscall.SIGTERM)
	case 2:
		s.t.Logf("pause %s for %v", in.ip, duration)
		in.signal(syscall.SIGSTOP)
		afterwards(func() { in.signal(syscall.SIGCONT) })
	case 3:
		s.t.Logf("send SIGHUP to %s", in.ip)
		in.signal(syscall.SIGHUP)
	case 4, 5:
		s.t.Log("change the configuration")
		s.changeConfiguration()
	case 6:
		fault := connFault(s.rng.IntN(int(faultKinds)))
		s.t.Logf("store of %s: %v for %v", in.ip, fault, duration)
		in.storeProxy.setFault(fault)
		afterwards(func() { in.storeProxy.setFault(faultNone) })
	case 7:
		s.mu.Lock()
		u := s.upstreams[len(s.upstreams)-1-s.rng.IntN(2)]
		s.mu.Unlock()
		fault := connFault(s.rng.IntN(int(faultKinds)))
		s.t.Logf("upstream %s: %v for %v", u.id, fault, duration)
		u.proxy.setFault(fault)
		afterwards(func() { u.proxy.setFault(faultNone) })
	case 8:
		f := []standin.KVFaults{{Status: 503}, {Status: 429}, {Reset: true}, {Slow: 300 * time.Millisecond}, {WithholdEvents: true}}[s.rng.IntN(5)]
		s.t.Logf("store: %+v for %v", f, duration)
		s.kv.SetFaults(f)
		if s.rng.IntN(2) == 0 {
			s.kv.CompactHistory()
		}
		afterwards(func() { s.kv.SetFaults(standin.KVFaults{}) })
	}
}

// restoreStore sometimes takes the store away and brings it back from an older copy.
// The upstreams and the operator then write again what they wrote. It draws from
// numbers of its own, so that the other faults of a seed stay the same.
func (s *soak) restoreStore() {
	switch s.restoreRNG.IntN(8) {
	case 0:
		s.backup = s.kv.Backup()
	case 1:
		duration := time.Duration(50+s.restoreRNG.IntN(1200)) * time.Millisecond
		s.t.Logf("store: away for %v, then back from an older copy", duration)
		b := s.backup
		s.kv.SetFaults(standin.KVFaults{Reset: true})
		time.AfterFunc(duration, func() {
			s.evacuation.restore(s.kv, b)
			s.kv.SetFaults(standin.KVFaults{})
		})
		time.AfterFunc(duration+200*time.Millisecond, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			for _, u := range s.upstreams {
				u.registerAgain(s.kv)
			}
			configure(s.kv, s.version, s.customers.table())
			s.evacuation.rewrite(s.kv)
		})
	}
}

// clearFaults ends all faults.
func (s *soak) clearFaults() {
	time.Sleep(2 * time.Second) // the last faults, which last up to 2 s, end by timer
	s.kv.SetFaults(standin.KVFaults{})
	for _, in := range s.instances {
		in.storeProxy.setFault(faultNone)
		in.signal(syscall.SIGCONT)
	}
	for _, u := range s.upstreams {
		u.proxy.setFault(faultNone)
		u.proxy.setRepeats(false)
		u.proxy.setMalforms(false)
	}
}

// caller sends requests one after another until stop closes.
func (s *soak) caller(n int, rng *rand.Rand, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(callInterval):
		}
		in := s.instances[rng.IntN(len(s.instances))]
		kind := "buy"
		if rng.IntN(3) == 0 {
			kind = "read"
		}
		s.request(in, kind, fmt.Sprintf("%s-%d-%d", kind, n, i), 0)
	}
}

func (s *soak) request(in *instance, kind, id string, size int) {
	key := fmt.Sprintf("%s incarnation %d", in.ip, in.currentIncarnation())
	s.mu.Lock()
	minVersion := s.newestServed[key]
	s.mu.Unlock()
	resp := s.send(in, key, "/"+kind+"/", id, s.customers.pick(), size)
	s.recordResponse(key, resp)
	if resp.fault != "" {
		s.ledger.addViolation("request %s got a response with status %d and %s", id, resp.status, resp.fault)
	}
	switch {
	case resp.status == 200:
		s.checkResponse(key, minVersion, id, resp)
	case resp.status == 401 || resp.status == 503 || resp.status == 429 || resp.status == 421 || resp.status == 408:
		s.ledger.mu.Lock()
		s.ledger.reportedNotRun[id] = fmt.Sprint(resp.status, " from ", key)
		s.ledger.mu.Unlock()
	}
}

// send records a request in the ledger and sends it to the instance incarnation with the key.
func (s *soak) send(in *instance, key, path, id string, from credentials, size int) response {
	s.ledger.mu.Lock()
	s.ledger.sentTo[id] = sending{key, time.Now(), from}
	s.ledger.mu.Unlock()
	return in.call(path, id, from.headers, size)
}

// checkResponse checks that a successful response is complete, belongs to the
// request, and comes from a version no older than the same incarnation had served
// before the request began.
func (s *soak) checkResponse(key string, minVersion int, id string, resp response) {
	s.ledger.mu.Lock()
	version, ran := s.ledger.servedBy[id]
	s.ledger.mu.Unlock()
	if want := fmt.Sprintf("%s by version %d", id, version); !ran || resp.body != want {
		s.ledger.addViolation("request %s got body %q, want %q", id, resp.body, want)
	}
	if version < minVersion {
		s.ledger.addViolation("%s served version %d after version %d", key, version, minVersion)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newestServed[key] = max(s.newestServed[key], version)
}

// checkLedger checks that every instance serves the newest version, and that the
// ledger violates no guarantee.
func (s *soak) checkLedger() {
	for i, in := range s.instances {
		id := fmt.Sprint("last-", i)
		resp := s.send(in, in.ip, "/buy/", id, s.customers.current(unlimited), 0)
		if want := fmt.Sprintf("%s by version %d", id, s.version); resp.status != 200 || resp.body != want {
			s.ledger.addViolation("%s answered status %d body %q after all faults ended, want status 200 body %q", in.ip, resp.status, resp.body, want)
		}
	}
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	s.customers.checkLimits(s.ledger)
	for id, n := range s.ledger.runs {
		if n > 1 && id[:3] == "buy" {
			s.ledger.violations = append(s.ledger.violations, fmt.Sprintf("request %s ran %d times, want at most 1", id, n))
		}
		if detail, ok := s.ledger.reportedNotRun[id]; ok && id[:3] == "buy" {
			s.ledger.violations = append(s.ledger.violations, fmt.Sprintf("request %s ran, but its caller was told that it did not (status %s)", id, detail))
		}
	}
	for _, f := range s.ledger.violations {
		s.t.Error(f)
	}
	if len(s.ledger.violations) > 0 {
		for _, in := range s.instances {
			s.t.Logf("last log lines of %s:\n%s", in.ip, in.logTail())
		}
	}
	s.t.Logf("%d requests ran, %d were refused", len(s.ledger.runs), len(s.ledger.reportedNotRun))
	if len(s.ledger.runs) == 0 {
		s.t.Error("no request ran")
	}
}
