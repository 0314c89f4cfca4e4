// Package kit starts a small deployment on loopback for the cases of the review:
// catkin-node processes as the deploy file runs them, a stand-in store, and
// stand-in servers and clients that follow the platform's pages. The names on the
// wire come from package platform and from the templates in wire/.
package kit

import (
	"bytes"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/platform"
	"github.com/catkinrouter/catkinrouter/standin"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

//go:embed wire/settings.yaml
var settingsText string

//go:embed wire/server.json
var serverText string

var (
	settingsTemplate = template.Must(template.New("settings").Parse(settingsText))
	serverTemplate   = template.Must(template.New("server").Parse(serverText))
)

// Trouble reports whether the case makes its disruption; TROUBLE=0 leaves it out.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Site is a small deployment.
type Site struct {
	KV *standin.KV
	// MaxFDs, if above 0, limits the descriptors of each instance's process.
	MaxFDs int

	dir       string
	storeAddr string
	prefix    string // first three bytes of the instances' addresses
	basePort  int
	record    *os.File
	began     time.Time

	mu        sync.Mutex
	instances []*Instance
	servers   []*Server
	closers   []func()
}

// NewSite starts an empty store. What happens is recorded in the file record.
func NewSite(record string) (*Site, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &Site{
		KV: standin.NewKV(), dir: dir, record: f, began: time.Now(),
		prefix: fmt.Sprintf("127.%d.%d.", 2+rand.IntN(200), rand.IntN(250)), basePort: 20000 + 25*rand.IntN(400),
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.storeAddr = ln.Addr().String()
	go func() { _ = (&fasthttp.Server{Handler: s.KV.Handle, Logger: discard{}}).Serve(ln) }()
	s.closers = append(s.closers, func() { ln.Close() })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		s.Exit(NotRun, "interrupted")
	}()
	return s, nil
}

type discard struct{}

// Printf discards messages about connections that were closed.
func (discard) Printf(string, ...any) {}

// StoreAddress returns the address of the store.
func (s *Site) StoreAddress() string { return s.storeAddr }

// Log writes a line to the record.
func (s *Site) Log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// Close ends all that the site started.
func (s *Site) Close() {
	for _, in := range s.instances {
		in.shutDown()
	}
	for _, v := range s.servers {
		v.Close()
	}
	for _, c := range s.closers {
		c()
	}
	os.RemoveAll(s.dir)
	s.record.Close()
}

// Exit closes the site and ends the process with code.
func (s *Site) Exit(code int, format string, args ...any) {
	verdict := map[int]string{Held: "HELD", Broken: "BROKEN", NotRun: "NOT RUN"}[code]
	s.Log(verdict+": "+format, args...)
	fmt.Printf(verdict+": "+format+"\n", args...)
	s.Close()
	os.Exit(code)
}

// Instance is one catkin-node process, restarted when it ends.
type Instance struct {
	site     *Site
	Name, IP string
	First    bool
	MemoryMB int
	Seeds    []string
	Store    string
	// Front is the address for clients.
	Front string

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	ends    int
	peak    int64
	done    chan struct{}
	log     *os.File
}

// Port returns the instance's port number i.
func (in *Instance) Port(i int) int { return in.site.basePort + i }

// MemoryMB is the memory of a machine of the small deployments.
const MemoryMB = 284

// AddInstance starts an instance that reaches the store at storeAddr, or at the
// site's own address if that is empty.
func (s *Site) AddInstance(storeAddr string) (*Instance, error) {
	n := len(s.instances) + 1
	in := &Instance{
		site: s, Name: fmt.Sprintf("front-quito-centro-%d", n), IP: fmt.Sprintf("%s%d", s.prefix, n), First: true, MemoryMB: MemoryMB,
		Store: storeAddr, done: make(chan struct{}),
	}
	if storeAddr == "" {
		in.Store = s.storeAddr
	}
	in.Front = fmt.Sprintf("%s:%d", in.IP, in.Port(0))
	in.Seeds = []string{fmt.Sprintf("%s1:%d", s.prefix, in.Port(2))}
	if err := in.writeSettings(); err != nil {
		return nil, err
	}
	var err error
	if in.log, err = os.Create(in.settingsFile() + ".log"); err != nil {
		return nil, err
	}
	if err := in.start(); err != nil {
		return nil, err
	}
	s.instances = append(s.instances, in)
	go in.supervise()
	go in.watchMemory()
	return in, nil
}

// writeSettings writes the settings in effect.
func (in *Instance) writeSettings() error {
	var text bytes.Buffer
	if err := settingsTemplate.Execute(&text, in); err != nil {
		return err
	}
	return os.WriteFile(in.settingsFile(), text.Bytes(), 0o600)
}

func (in *Instance) settingsFile() string { return filepath.Join(in.site.dir, in.Name+".yaml") }

// errStopped ends the restarts of an instance.
var errStopped = errors.New("the instance was stopped")

// start starts the process with the command of the deploy file.
func (in *Instance) start() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.stopped {
		return errStopped
	}
	command := "exec target/catkin-node -metrics-port 9464"
	if n := in.site.MaxFDs; n > 0 {
		command = fmt.Sprintf("ulimit -n %d; %s", n, command)
	}
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Env = []string{platform.SettingsVariable + "=" + in.settingsFile(), "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	cmd.Stdout, cmd.Stderr = in.log, in.log
	if err := cmd.Start(); err != nil {
		return err
	}
	in.cmd = cmd
	in.site.Log("%s started, process %d, clients at %s", in.Name, cmd.Process.Pid, in.Front)
	return nil
}

// restartDelay is the platform's delay before it starts a process that ended again.
const restartDelay = 300 * time.Millisecond

func (in *Instance) supervise() {
	defer close(in.done)
	for {
		err := in.cmd.Wait()
		in.mu.Lock()
		stopped := in.stopped
		if !stopped {
			in.ends++
		}
		in.mu.Unlock()
		if stopped {
			return
		}
		in.site.Log("%s ended: %v; its last lines:\n%s", in.Name, err, in.LogTail(3))
		time.Sleep(restartDelay)
		in.First = false // the system has started before
		if in.writeSettings() != nil || in.start() != nil {
			return
		}
	}
}

// watchMemory kills the process once it takes more than its memory, as the platform
// does.
func (in *Instance) watchMemory() {
	for {
		time.Sleep(10 * time.Millisecond)
		in.mu.Lock()
		if in.stopped {
			in.mu.Unlock()
			return
		}
		p := in.cmd.Process
		in.mu.Unlock()
		used := residentBytes(p.Pid)
		in.mu.Lock()
		in.peak = max(in.peak, used)
		in.mu.Unlock()
		if used > int64(in.MemoryMB)<<20 {
			in.site.Log("%s takes %d MiB of memory, its limit is %d: the platform kills it", in.Name, used>>20, in.MemoryMB)
			_ = p.Kill()
			time.Sleep(restartDelay)
		}
	}
}

// residentBytes returns the resident memory of a process, 0 if it has ended.
func residentBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(text), &size, &resident); err != nil {
		return 0
	}
	return resident * int64(os.Getpagesize())
}

// PeakMB returns the highest memory seen, in MiB.
func (in *Instance) PeakMB() int64 {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.peak >> 20
}

// Ends returns how often the process ended while it should run.
func (in *Instance) Ends() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.ends
}

// Signal sends a signal to the process.
func (in *Instance) Signal(sig syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.site.Log("%s gets %v", in.Name, sig)
	_ = in.cmd.Process.Signal(sig)
}

// Lose kills the process and starts it no more.
func (in *Instance) Lose() {
	in.site.Log("%s is lost", in.Name)
	in.shutDown()
}

func (in *Instance) shutDown() {
	in.mu.Lock()
	in.stopped = true
	_ = in.cmd.Process.Kill()
	in.mu.Unlock()
	<-in.done
}

// Stopped reports whether the instance was stopped for good.
func (in *Instance) Stopped() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.stopped
}

// LogTail returns the last n lines that the process wrote.
func (in *Instance) LogTail(n int) string {
	text, err := os.ReadFile(in.settingsFile() + ".log")
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}

// WaitReady waits until the instance says that it is ready.
func (in *Instance) WaitReady(limit time.Duration) bool {
	url := fmt.Sprintf("http://%s:%d%s", in.IP, in.Port(1), platform.Protocol().ReadyPath)
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get(url)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// Descriptors returns the number of descriptors that the process has open.
func (in *Instance) Descriptors() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", in.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(list)
}
