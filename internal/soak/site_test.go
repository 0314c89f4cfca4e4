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
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/standin"
)

const host = "hunts.example"

// ledger records which requests upstreams ran, what callers were told, and the
// violations found.
type ledger struct {
	mu   sync.Mutex
	runs map[string]int
	// reportedNotRun contains, by request, the status and instance of a response
	// that means the request did not run.
	reportedNotRun map[string]string
	// servedBy is the configuration version of the upstream that ran each
	// request.
	servedBy map[string]int
	// bodySizes holds the sizes of large bodies by request, in bytes.
	bodySizes map[string]int
	// sentTo is the instance incarnation to which each request was sent, and when.
	sentTo     map[string]sending
	withdrawn  map[string]time.Time   // when each key was withdrawn
	ran        map[string][]time.Time // when requests came that ran, by customer
	violations []string
}

// sending is when and by whom a request was sent, and the instance incarnation that got it.
type sending struct {
	key  string
	at   time.Time
	from credentials
}

// newLedger returns an empty ledger.
func newLedger() *ledger {
	return &ledger{runs: map[string]int{}, reportedNotRun: map[string]string{}, servedBy: map[string]int{}, bodySizes: map[string]int{}, sentTo: map[string]sending{}, withdrawn: map[string]time.Time{}, ran: map[string][]time.Time{}}
}

func (l *ledger) addViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// upstream is an upstream server behind a faultProxy. It belongs to the service
// of one configuration version.
type upstream struct {
	id      string
	version int
	proxy   *faultProxy
	ledger  *ledger

	dataCentre string
	evacuation *evacuation

	mu   sync.Mutex
	born int64
	seq  int
	// state is the one last registered, empty once another upstream has the address.
	state string
	addr  string // without the proxy
	// notices is what the upstream says of itself in its replies.
	notices notices
}

func newUpstream(t *testing.T, l *ledger, id string, version int, e *evacuation, dataCentre string) *upstream {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstream{id: id, version: version, ledger: l, evacuation: e, dataCentre: dataCentre, born: time.Now().UnixMilli(), addr: ln.Addr().String()}
	srv := &http.Server{Handler: http.HandlerFunc(u.serve)}
	go srv.Serve(ln)
	t.Cleanup(func() { srv.Close() })
	u.proxy = newFaultProxy(t, "127.0.0.1:0", u.addr)
	return u
}

func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Catkinrouter-Backend-Load", "0,0,6,100")
	u.sayLeaving(w)
	u.checkNoKey(r)
	if r.URL.Path == "/health" {
		w.Header().Set("X-Catkinrouter-Instance-Id", u.id)
		return
	}
	arrived := time.Now() // a large body takes its time
	u.checkEvacuated(r.Header.Get("X-Catkinrouter-Attempt-Id"), arrived)
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Catkinrouter-Attempt-Id")
	w.Header().Set("X-Catkinrouter-Attempt-Id", id)
	if r.Header.Get("X-Catkinrouter-Expect-Instance") != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if u.refuseForPause(w, id, arrived) {
		return
	}
	u.ledger.mu.Lock()
	u.ledger.runs[id]++
	u.ledger.servedBy[id] = u.version
	u.checkCustomer(r, id, arrived)
	if want, large := u.ledger.bodySizes[id]; large && int64(want) != size {
		u.ledger.violations = append(u.ledger.violations, fmt.Sprintf("request %s came with %d bytes of %d", id, size, want))
	}
	u.ledger.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	w.Header().Set("X-Catkinrouter-Server-Stamp", u.id)
	fmt.Fprintf(w, "%s by version %d", id, u.version)
}

// register writes the upstream's registration with the given state to the store.
func (u *upstream) register(kv *standin.KV, state string) {
	u.mu.Lock()
	u.seq++
	u.state = state
	seq := u.seq
	u.mu.Unlock()
	kv.Put("servers/"+u.id, fmt.Appendf(nil, `{"service":"s%d","address":%q,"zone":%q,"version":"v1","slots":6,"state":%q,"coldLeftMs":0,"sequence":%d,"born":%d}`,
		u.version, u.proxy.ln.Addr(), u.dataCentre, state, seq, u.born))
}

// registerAgain writes the upstream's last registration once more.
func (u *upstream) registerAgain(kv *standin.KV) {
	u.mu.Lock()
	state := u.state
	u.mu.Unlock()
	if state != "" {
		u.register(kv, state)
	}
}

// configure writes a configuration version to the store. Its routes lead to the
// service with the same number. The further tables begin with a comma.
func configure(kv *standin.KV, version int, further string) {
	kv.Put("op/config", fmt.Appendf(nil, `{"version":%[1]d,
"routes":{"columns":["name","host","prefix","routeKind","timeoutMs","targetLatencyMs","priority","maxAttempts","service","trafficSplit"],
"rows":[["buy",%[2]q,"/buy/","unsafe",1500,800,1,2,"s%[1]d"],["read",%[2]q,"/read/","safe",1.5e3,800,1.5,3.0,null,[{"service":"s%[1]d","weight":0.75}]],
["odd",%[2]q,"/odd/","unsafe",1500,800,1,2,{"name":"s%[1]d"}],%[1]d]},
"services":{"columns":["name","healthPath","maxConns"],"rows":[["s%[1]d","/health",260],[%[1]d]]},"limits":{"idleTimeoutMs":"long"}%[3]s}`,
		version, host, further))
}

// instance is a catkin-node instance on its own loopback address, restarted when
// its process ends.
type instance struct {
	ip           string
	settingsFile string
	storeProxy   *faultProxy

	mu          sync.Mutex
	cmd         *exec.Cmd
	incarnation int
	stopped     bool
	done        chan struct{}
}

// Ports of every instance; the platform uses the same ports on all instances too.
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
terms: {bounds: {graceS: 3, retryBudgetRatio: 0.2, budgetWindowS: 10, retryBudgetSlack: 64, ttl_max_s: 5, probesPerS: 60,
  failClosed: true, revokeMs: 3000, quotaWindowS: 5, quotaOvershoot: 0.1, quotaSlack: 20}}
`

func newInstance(t *testing.T, dir, ip, seed, kv string) *instance {
	t.Helper()
	in := &instance{ip: ip, settingsFile: filepath.Join(dir, ip+".yaml")}
	in.storeProxy = newFaultProxy(t, "127.0.0.1:0", kv)
	text := fmt.Sprintf(settingsText, ip, seed, in.storeProxy.ln.Addr())
	if err := os.WriteFile(in.settingsFile, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return in
}

// restartDelay is the simulated platform's delay before it restarts a process.
const restartDelay = 100 * time.Millisecond

// supervise starts a process and restarts it whenever it ends, as the platform
// does, until shutDown is called.
func (in *instance) supervise(t *testing.T, bin string) {
	in.done = make(chan struct{})
	cmd := in.start(t, bin)
	go func() {
		defer close(in.done)
		for cmd != nil {
			_ = cmd.Wait() // an error is expected: signals end the process
			time.Sleep(restartDelay)
			cmd = in.start(t, bin)
		}
	}()
}

// start starts a new process. It returns nil after shutDown or a failed start.
func (in *instance) start(t *testing.T, bin string) *exec.Cmd {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.stopped {
		return nil
	}
	cmd := exec.Command(bin)
	cmd.Env = []string{"CATKINROUTER_BOOT=" + in.settingsFile}
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	log, err := os.OpenFile(in.settingsFile+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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

// shutDown kills the process and stops restarting it.
func (in *instance) shutDown() {
	in.mu.Lock()
	in.stopped = true
	in.mu.Unlock()
	in.signal(syscall.SIGKILL)
	<-in.done
}

// logTailLines is the number of log lines shown for an instance after a failure.
const logTailLines = 12

// logTail returns the last logTailLines lines of the instance's log.
func (in *instance) logTail() string {
	b, err := os.ReadFile(in.settingsFile + ".log")
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(b)), "\n")
	return strings.Join(lines[max(0, len(lines)-logTailLines):], "\n")
}

// signal sends a signal to the current process.
func (in *instance) signal(s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	_ = in.cmd.Process.Signal(s) // the process may have ended already
}

func (in *instance) currentIncarnation() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.incarnation
}

// response is what a caller received; status is 0 unless a complete response
// arrived.
type response struct {
	status int
	body   string
	// fault is what is wrong with the response's head, empty if nothing is.
	fault string
	// leaving is the upstream that said in the response that it is leaving.
	leaving string
}

// call sends one request with further headers and a body of the given size on a new connection.
func (in *instance) call(path, id, headers string, size int) response {
	c, err := net.DialTimeout("tcp4", net.JoinHostPort(in.ip, fmt.Sprint(frontPort)), time.Second)
	if err != nil {
		return response{}
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(3 * time.Second)); err != nil {
		return response{}
	}
	fmt.Fprintf(c, "POST %s%s HTTP/1.1\r\nHost: %s\r\nX-Catkinrouter-Attempt-Id: %s\r\nX-Catkinrouter-Deadline-Ms: 2000\r\n%sContent-Length: %d\r\n\r\n", path, id, host, id, headers, size)
	_, _ = io.CopyN(c, zeros{}, int64(size)) // a refusal may come before the end
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return response{}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{}
	}
	out := response{status: resp.StatusCode, body: string(b), fault: faultOf(resp)}
	if resp.Header.Get("Server-Leaving") != "" {
		out.leaving = resp.Header.Get("X-Catkinrouter-Server-Stamp")
	}
	return out
}

// faultOf returns what is wrong with the head of a response, empty if nothing is.
func faultOf(resp *http.Response) string {
	if resp.StatusCode < 200 || resp.StatusCode > 599 {
		return "no status of a final response"
	}
	if resp.StatusCode < 300 && resp.Header.Get("X-Catkinrouter-Server-Stamp") == "" {
		return "no signature"
	}
	for name := range resp.Header {
		if !validName.MatchString(name) {
			return fmt.Sprintf("the header %q", name)
		}
	}
	return ""
}

// validName matches names of headers.
var validName = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+$")

// zeros is a reader of zeros without end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// serveKV serves kv on a loopback port and returns the address.
func serveKV(t *testing.T, kv *standin.KV) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &fasthttp.Server{Handler: kv.Handle, Logger: discardLogger{}}
	go srv.Serve(ln)
	t.Cleanup(func() { ln.Close() })
	return ln.Addr().String()
}

type discardLogger struct{}

// Printf discards the server's messages about connections closed by a fault.
func (discardLogger) Printf(string, ...any) {}
