package node_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/node"
	"github.com/catkinrouter/catkinrouter/platform"
	"github.com/catkinrouter/catkinrouter/standin"
)

const host = "hunts.example"

// backend is an upstream that follows the platform's protocol.
type backend struct {
	id       string
	addr     string
	mu       sync.Mutex
	requests int
}

func (b *backend) requestCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests
}

func newBackend(t *testing.T, id string) *backend {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &backend{id: id, addr: ln.Addr().String()}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Catkinrouter-Backend-Load", "0,0,6,100")
		if r.URL.Path == "/health" {
			w.Header().Set("X-Catkinrouter-Instance-Id", id)
			return
		}
		if r.Header.Get("X-Catkinrouter-Expect-Instance") != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		b.mu.Lock()
		b.requests++
		b.mu.Unlock()
		w.Header().Set("X-Catkinrouter-Attempt-Id", r.Header.Get("X-Catkinrouter-Attempt-Id"))
		w.Header().Set("X-Catkinrouter-Server-Stamp", id)
		fmt.Fprint(w, id)
	})}
	go srv.Serve(ln)
	t.Cleanup(func() { srv.Close() })
	return b
}

// register writes the backend's entry to the store.
func (b *backend) register(kv *standin.KV, service, state string, sequence int) {
	kv.Put("servers/"+b.id, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"otavalo","version":"v1","slots":6,"state":%q,"coldLeftMs":0,"sequence":%d,"born":1700000000000}`,
		service, b.addr, state, sequence))
}

// configure writes a configuration with a single route, to the given service.
func configure(kv *standin.KV, version int, path, service string) {
	kv.Put("op/config", fmt.Appendf(nil, `{"version":%d,
"routes":{"columns":["name","host","prefix","routeKind","timeoutMs","targetLatencyMs","priority","maxAttempts","service"],
"rows":[["r",%q,%q,"unsafe",2000,1000,1,2,%q]]},
"services":{"columns":["name","healthPath","maxConns"],"rows":[[%q,"/health",260]]},"limits":{}}`, version, host, path, service, service))
}

// site is a store and several Nodes in this process.
type site struct {
	t    *testing.T
	kv   *standin.KV
	addr string
	list []*running
	// change, if it is not nil, changes the settings of each node.
	change func(*node.Settings)
}

// running is a Node that runs in this process.
type running struct {
	set  node.Settings
	stop context.CancelFunc
	done chan struct{} // closed when Run has returned err
	err  error
}

// anyPort is an address at which a node binds a free port.
const anyPort = "127.0.0.1:0"

func newSite(t *testing.T, nodes int) *site {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &site{t: t, kv: standin.NewKV(), addr: ln.Addr().String()}
	srv := &fasthttp.Server{Handler: s.kv.Handle}
	go srv.Serve(ln)
	t.Cleanup(func() { ln.Close() })
	for i := range nodes {
		s.list = append(s.list, s.start(i))
	}
	t.Cleanup(func() {
		for _, r := range s.list {
			r.end(t)
		}
	})
	return s
}

// start starts a node. The first one is the seed of all.
func (s *site) start(i int) *running {
	s.t.Helper()
	set := node.Settings{
		ID: fmt.Sprintf("node-%d", i), DataCentre: "otavalo", Region: "sierra-norte",
		DataAddress: anyPort, ReadyAddress: anyPort, LookupAddress: anyPort, PeerAddress: anyPort, MetricsAddress: anyPort,
		StoreAddress: s.addr, GracePeriod: 400 * time.Millisecond,
		RetryShare: 0.2, RetryAllowance: 64, RetryWindow: 10 * time.Second, MaxLookupTTL: 5 * time.Second, MaxChangeDelay: 2 * time.Second, ProbesPerUpstream: 60,
	}
	if s.change != nil {
		s.change(&set)
	}
	lns, err := node.Listen(&set)
	if err != nil {
		s.t.Fatal(err)
	}
	set.Seeds = []string{set.PeerAddress}
	if len(s.list) > 0 {
		set.Seeds = s.list[0].set.Seeds
	}
	if err := set.Check(); err != nil {
		s.t.Fatal(err)
	}
	n := node.New(set, node.Adapter{
		Keys: platform.Keys(), Store: platform.NewStore(s.addr), Protocol: platform.Protocol(),
		DecodeDocument: platform.DecodeDocument, DecodeUpstream: platform.DecodeUpstream, UpstreamID: platform.UpstreamID,
	}, log.NewNopLogger())
	ctx, stop := context.WithCancel(context.Background())
	r := &running{set: set, stop: stop, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		r.err = n.Run(ctx, lns)
	}()
	return r
}

func (r *running) end(t *testing.T) {
	t.Helper()
	r.stop()
	<-r.done
	if r.err != nil {
		t.Errorf("%s ended with %v", r.set.ID, r.err)
	}
}

// waitUntil polls until condition holds. It fails once the node has ended; it has
// no other timeout than the test's.
func (r *running) waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for !condition() {
		select {
		case <-r.done:
			t.Fatalf("%s ended with %v while the test waited for it", r.set.ID, r.err)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// call sends one request to the node and returns the status and body; the
// status is 0 without a response.
func (r *running) call(path string) (int, string) {
	c, err := net.Dial("tcp4", r.set.DataAddress)
	if err != nil {
		return 0, ""
	}
	defer c.Close()
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Catkinrouter-Attempt-Id: t-%s\r\nX-Catkinrouter-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n", path, host, path[1:])
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(b)
}

// waitAll waits until every node answers path with the given status and body.
func (s *site) waitAll(path string, status int, body string) {
	s.t.Helper()
	for _, r := range s.list {
		r.waitUntil(s.t, func() bool {
			st, b := r.call(path)
			return st == status && strings.TrimSpace(b) == body
		})
	}
}

func TestServesConfigurationFromStore(t *testing.T) {
	s := newSite(t, 3)
	a, b := newBackend(t, "i-a"), newBackend(t, "i-b")
	a.register(s.kv, "tienda", "ready", 1)
	b.register(s.kv, "premios", "ready", 1)
	s.waitAll("/x/1", 503, "no-configuration")
	configure(s.kv, 3, "/x/", "tienda")
	s.waitAll("/x/1", 200, "i-a")
	configure(s.kv, 5, "/x/", "premios")
	s.waitAll("/x/1", 200, "i-b")
}

// An older version or a malformed document must not replace the configuration
// in force, and a malformed upstream entry must not affect other upstreams.
func TestIgnoresOlderAndMalformedItems(t *testing.T) {
	s := newSite(t, 2)
	a := newBackend(t, "i-a")
	a.register(s.kv, "tienda", "ready", 1)
	configure(s.kv, 7, "/x/", "tienda")
	s.waitAll("/x/1", 200, "i-a")
	configure(s.kv, 6, "/old/", "tienda")
	s.kv.Put("op/config", []byte(`{"version":9,"routes":`))
	s.kv.Put("servers/i-bad", []byte(`{"service":"tienda","address":7}`))
	s.kv.Put("servers/i-worse", []byte{0, 1, 2})
	newBackend(t, "i-c").register(s.kv, "other", "ready", 1)
	configure(s.kv, 11, "/y/", "tienda")
	s.waitAll("/y/1", 200, "i-a")
	s.waitAll("/old/1", 404, "no-route")
}

// A draining upstream must get no new requests once the nodes know its state,
// also when the store has dropped the change history in between.
func TestDrainingUpstreamGetsNoRequests(t *testing.T) {
	s := newSite(t, 3)
	a, b := newBackend(t, "i-a"), newBackend(t, "i-b")
	a.register(s.kv, "tienda", "ready", 1)
	configure(s.kv, 1, "/x/", "tienda")
	s.waitAll("/x/1", 200, "i-a")
	s.kv.CompactHistory()
	a.register(s.kv, "tienda", "draining", 2)
	b.register(s.kv, "tienda", "ready", 1)
	s.waitAll("/x/1", 200, "i-b")
	before := a.requestCount()
	for _, r := range s.list {
		for range 10 {
			r.call("/x/1")
		}
	}
	if n := a.requestCount() - before; n > 0 {
		t.Errorf("%d requests reached a draining upstream", n)
	}
}

// Nodes must keep serving during a store outage and apply changes once it ends.
func TestServesDuringStoreOutage(t *testing.T) {
	s := newSite(t, 2)
	a, b := newBackend(t, "i-a"), newBackend(t, "i-b")
	a.register(s.kv, "tienda", "ready", 1)
	configure(s.kv, 1, "/x/", "tienda")
	s.waitAll("/x/1", 200, "i-a")
	s.kv.SetFaults(standin.KVFaults{Status: 503})
	for range 20 {
		s.waitAll("/x/1", 200, "i-a")
	}
	b.register(s.kv, "premios", "ready", 1)
	configure(s.kv, 2, "/x/", "premios")
	s.kv.SetFaults(standin.KVFaults{})
	s.waitAll("/x/1", 200, "i-b")
}

// Lookups must return every live node, and must stop returning one that leaves.
func TestLookupFollowsTheFleet(t *testing.T) {
	s := newSite(t, 3)
	configure(s.kv, 1, "/x/", "tienda")
	lookup := func(r *running) (out []string) {
		resp, err := http.Get("http://" + r.set.LookupAddress + "/v1/resolve?name=" + host + "&zone=otavalo")
		if err != nil {
			return nil
		}
		defer resp.Body.Close()
		var a struct {
			Addresses []string `json:"addresses"`
		}
		if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
			return nil
		}
		return a.Addresses
	}
	for _, r := range s.list {
		r.waitUntil(t, func() bool { return len(lookup(r)) == len(s.list) })
	}
	s.list[2].end(t)
	s.list = s.list[:2]
	for _, r := range s.list {
		r.waitUntil(t, func() bool { return len(lookup(r)) == len(s.list) })
	}
}

// An address that is in use must end Listen with an error that names it, and
// leave none of the other addresses bound.
func TestListenBindsAllAddressesOrNone(t *testing.T) {
	busy, err := net.Listen("tcp4", anyPort)
	if err != nil {
		t.Fatal(err)
	}
	defer busy.Close()
	for name, setBusy := range map[string]func(*node.Settings, string){
		"data":    func(s *node.Settings, a string) { s.DataAddress = a },
		"ready":   func(s *node.Settings, a string) { s.ReadyAddress = a },
		"lookup":  func(s *node.Settings, a string) { s.LookupAddress = a },
		"peer":    func(s *node.Settings, a string) { s.PeerAddress = a },
		"metrics": func(s *node.Settings, a string) { s.MetricsAddress = a },
	} {
		set := node.Settings{DataAddress: anyPort, ReadyAddress: anyPort, LookupAddress: anyPort, PeerAddress: anyPort, MetricsAddress: anyPort}
		setBusy(&set, busy.Addr().String())
		before := openFiles(t)
		if _, err := node.Listen(&set); err == nil || !strings.Contains(err.Error(), busy.Addr().String()) {
			t.Errorf("%s address in use: got error %v, want one that names the address", name, err)
		}
		if after := openFiles(t); after != before {
			t.Errorf("%s address in use: %d files open after the error, %d before it", name, after, before)
		}
	}
}

// openFiles returns the number of file descriptors of this process.
func openFiles(t *testing.T) int {
	t.Helper()
	list, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(list)
}
