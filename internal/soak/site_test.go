package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/standin"
)

const host = "hunts.example"

// ledger is what upstreams saw and callers were told.
type ledger struct {
	mu   sync.Mutex
	runs map[string]int
	// refused are the requests that a caller was told did not run.
	refused map[string]string
	// by is the service version that ran each request.
	by     map[string]int
	faults []string
}

func (l *ledger) fault(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fmt.Sprintf(format, args...))
}

// upstream runs requests of one service version, behind a proxy.
type upstream struct {
	id      string
	version int
	proxy   *proxy
	book    *ledger

	mu   sync.Mutex
	born int64
	seq  int
}

func newUpstream(t *testing.T, book *ledger, id string, version int) *upstream {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstream{id: id, version: version, book: book, born: time.Now().UnixMilli()}
	srv := &http.Server{Handler: http.HandlerFunc(u.serve)}
	go srv.Serve(ln)
	t.Cleanup(func() { srv.Close() })
	u.proxy = newProxy(t, "127.0.0.1:0", ln.Addr().String())
	return u
}

func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Catkinrouter-Backend-Load", "0,0,6,100")
	if r.URL.Path == "/health" {
		w.Header().Set("X-Catkinrouter-Instance-Id", u.id)
		return
	}
	id := r.Header.Get("X-Catkinrouter-Attempt-Id")
	w.Header().Set("X-Catkinrouter-Attempt-Id", id)
	if r.Header.Get("X-Catkinrouter-Expect-Instance") != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.book.mu.Lock()
	u.book.runs[id]++
	u.book.by[id] = u.version
	u.book.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	w.Header().Set("X-Catkinrouter-Server-Stamp", u.id)
	fmt.Fprintf(w, "%s by version %d", id, u.version)
}

// register writes the upstream's entry.
func (u *upstream) register(kv *standin.KV, state string) {
	u.mu.Lock()
	u.seq++
	seq := u.seq
	u.mu.Unlock()
	kv.Put("servers/"+u.id, fmt.Appendf(nil, `{"service":"s%d","address":%q,"zone":"z","version":"v1","slots":6,"state":%q,"coldLeftMs":0,"sequence":%d,"born":%d}`,
		u.version, u.proxy.ln.Addr(), state, seq, u.born))
}

// configure puts a version in force: its route goes to the service of the same
// number.
func configure(kv *standin.KV, version int) {
	kv.Put("op/config", fmt.Appendf(nil, `{"version":%d,
"routes":{"columns":["name","host","prefix","routeKind","timeoutMs","targetLatencyMs","priority","maxAttempts","service"],
"rows":[["buy",%q,"/buy/","unsafe",1500,800,1,2,"s%d"],["read",%q,"/read/","safe",1500,800,2,3,"s%d"]]},
"services":{"columns":["name","healthPath","maxConns"],"rows":[["s%d","/health",260]]},"limits":{}}`,
		version, host, version, host, version, version))
}

// instance is a catkin-node process on a loopback address of its own.
type instance struct {
	ip    string
	file  string
	store *proxy

	mu          sync.Mutex
	cmd         *exec.Cmd
	incarnation int
	over        bool
	done        chan struct{}
}

// Ports are the same on all instances, as on the platform.
const (
	frontPort     = 20101
	readyPort     = 20102
	directoryPort = 20103
	firstInternal = 20110
)

const settingsText = `
self: {nodeName: "node-%[1]s", ip: "%[1]s", zone: z, region: r, limits: {memoryMb: 200, maxFds: 1000}}
network:
  listen: {front: "%[1]s:20101", ready: "%[1]s:20102", directory: "%[1]s:20103"}
  internalPorts: [20110, 20115]
  seeds: ["%[2]s:20104"]
platform: {platform: {address: "%[3]s"}}
terms: {bounds: {graceS: 3, retryBudgetRatio: 0.2, budgetWindowS: 10, retryBudgetSlack: 64, ttl_max_s: 5, probesPerS: 60}}
`

func newInstance(t *testing.T, dir, ip, seed, kv string) *instance {
	t.Helper()
	in := &instance{ip: ip, file: filepath.Join(dir, ip+".yaml")}
	in.store = newProxy(t, "127.0.0.1:0", kv)
	text := fmt.Sprintf(settingsText, ip, seed, in.store.ln.Addr())
	if err := os.WriteFile(in.file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return in
}

// restartAfter is how long the platform waits before it starts a process again.
const restartAfter = 100 * time.Millisecond

// supervise keeps a process running, as the platform does, until end is called.
func (in *instance) supervise(t *testing.T, bin string) {
	in.done = make(chan struct{})
	cmd := in.start(t, bin)
	go func() {
		defer close(in.done)
		for cmd != nil {
			_ = cmd.Wait() // signals end it
			time.Sleep(restartAfter)
			cmd = in.start(t, bin)
		}
	}()
}

// start begins a new process; nil once the soak is over.
func (in *instance) start(t *testing.T, bin string) *exec.Cmd {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.over {
		return nil
	}
	cmd := exec.Command(bin)
	cmd.Env = []string{"CATKINROUTER_BOOT=" + in.file}
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	log, err := os.OpenFile(in.file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Error(err)
		return nil
	}
	defer log.Close()
	cmd.Stdout = log
	if err := cmd.Start(); err != nil {
		t.Error(err)
		return nil
	}
	in.cmd = cmd
	in.incarnation++
	return cmd
}

// end ends the process for good.
func (in *instance) end() {
	in.mu.Lock()
	in.over = true
	in.mu.Unlock()
	in.signal(syscall.SIGKILL)
	<-in.done
}

// logLines is the number of lines shown of a log.
const logLines = 12

// logEnd returns the last lines of the instance's log.
func (in *instance) logEnd() string {
	b, err := os.ReadFile(in.file + ".log")
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(b)), "\n")
	return strings.Join(lines[max(0, len(lines)-logLines):], "\n")
}

// signal sends a signal to the newest process.
func (in *instance) signal(s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	_ = in.cmd.Process.Signal(s) // it may have ended
}

func (in *instance) number() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.incarnation
}

// answer is what a caller got; status 0 for nothing whole.
type answer struct {
	status int
	body   string
}

// call sends one request on a connection of its own.
func (in *instance) call(path, id string) answer {
	c, err := net.DialTimeout("tcp4", net.JoinHostPort(in.ip, fmt.Sprint(frontPort)), time.Second)
	if err != nil {
		return answer{}
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(3 * time.Second)); err != nil {
		return answer{}
	}
	fmt.Fprintf(c, "POST %s%s HTTP/1.1\r\nHost: %s\r\nX-Catkinrouter-Attempt-Id: %s\r\nX-Catkinrouter-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n", path, id, host, id)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}
	}
	return answer{resp.StatusCode, string(b)}
}

// serveKV serves a store and returns its address.
func serveKV(t *testing.T, kv *standin.KV) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &fasthttp.Server{Handler: kv.Handle, Logger: quiet{}}
	go srv.Serve(ln)
	t.Cleanup(func() { ln.Close() })
	return ln.Addr().String()
}

type quiet struct{}

// Printf drops what the server says of connections that a fault closed.
func (quiet) Printf(string, ...any) {}
