// Command stand plays the scripts of the review: it starts the project's program as
// separate processes on loopback addresses, with a stand-in of the store, of backends and of
// clients, and judges one rule by what these have seen.
package main

import (
	_ "embed"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/platform"
	"github.com/catkinrouter/catkinrouter/standin"
)

// The platform's formats, kept out of the Go files.
var (
	//go:embed settings.txt
	settingsText string
	//go:embed bounds-small.txt
	smallBounds string
	//go:embed bounds-keys.txt
	keyBounds string
	//go:embed tenants.txt
	tenantsText string
	//go:embed config.txt
	configText string
	//go:embed entry.txt
	entryText string
	//go:embed configkey.txt
	configKey string
	//go:embed entryprefix.txt
	entryPrefix string
)

// Ports of each machine, as in the settings file.
const (
	frontPort = 8548
	readyPort = 8542
)

var proto = platform.Protocol()

// record is the file of a run, with times since its start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// site is a deployment.
type site struct {
	*record
	dir    string
	prefix string // of the addresses, with the last dot
	bounds string
	kv     *standin.KV
	store  string
	nodes  []*machine
}

// newSite starts the store on addresses of its own.
func newSite(r *record, bounds string) (*site, error) {
	dir, err := os.MkdirTemp("", "catkin-review-")
	if err != nil {
		return nil, err
	}
	s := &site{record: r, dir: dir, bounds: strings.TrimSpace(bounds), kv: standin.NewKV()}
	var ln net.Listener
	for range 50 {
		s.prefix = fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), rand.IntN(250))
		if ln, err = net.Listen("tcp4", s.prefix+"250:0"); err == nil && s.portsFree() {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	s.store = ln.Addr().String()
	go func() { _ = (&fasthttp.Server{Handler: s.kv.Handle}).Serve(ln) }()
	return s, nil
}

// portsFree reports whether the ports of the machines are free.
func (s *site) portsFree() bool {
	for i := 1; i <= 9; i++ {
		ln, err := net.Listen("tcp4", fmt.Sprintf("%s%d:%d", s.prefix, i, frontPort))
		if err != nil {
			return false
		}
		ln.Close()
	}
	return true
}

// machine is a machine of the system with one process.
type machine struct {
	site         *site
	name, ip     string
	settingsFile string
	cmd          *exec.Cmd
	ended        chan struct{}
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"`)

// addMachines starts n machines at the same time.
func (s *site) addMachines(n int) error {
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return err
	}
	run := runLine.FindSubmatch(deploy)
	if run == nil {
		return errors.New("no run line in the deploy file")
	}
	zones := []string{"bole", "kirkos", "yeka"}
	var seeds []string
	for i := 1; i <= min(n, 3); i++ {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s%d:8544", s.prefix, i)))
	}
	for i := 1; i <= n; i++ {
		zone := zones[(i-1)%len(zones)]
		m := &machine{site: s, name: fmt.Sprintf("front-%s-%d", zone, i), ip: fmt.Sprint(s.prefix, i)}
		text := strings.NewReplacer("NAME", m.name, "IP", m.ip, "ZONE", zone, "SEEDS", strings.Join(seeds, ", "), "STORE", s.store, "BOUNDS", s.bounds).Replace(settingsText)
		m.settingsFile = filepath.Join(s.dir, m.name+".yaml")
		if err := os.WriteFile(m.settingsFile, []byte(text), 0o600); err != nil {
			return err
		}
		if err := m.start(strings.Fields(string(run[1]))); err != nil {
			return err
		}
		s.nodes = append(s.nodes, m)
	}
	return nil
}

func (m *machine) start(command []string) error {
	logFile, err := os.Create(m.settingsFile + ".log")
	if err != nil {
		return err
	}
	defer logFile.Close()
	m.cmd = exec.Command(command[0], command[1:]...)
	m.cmd.Env = []string{platform.SettingsVariable + "=" + m.settingsFile, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	m.cmd.Stdout, m.cmd.Stderr = logFile, logFile
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		err := c.Wait()
		m.site.add("%s: the process ended: %v", m.name, err)
		close(ended)
	}(m.cmd, m.ended)
	return nil
}

// front is where clients connect.
func (m *machine) front() string { return fmt.Sprintf("%s:%d", m.ip, frontPort) }

// ready asks the machine once whether it is ready.
func (m *machine) ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d%s", m.ip, readyPort, proto.ReadyPath))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until all machines are ready.
func (s *site) waitReady(limit time.Duration) error {
	for _, m := range s.nodes {
		for end := time.Now().Add(limit); !m.ready(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %v", m.name, limit)
			}
		}
	}
	s.add("all %d machines are ready", len(s.nodes))
	return nil
}

// configure writes a configuration with the given rows of routes.
func (s *site) configure(version int, rows ...string) { s.configureKeys(version, "", rows...) }

// configureKeys is configure for a customer with the given keys, each in quotes, with commas
// between them; there are no customers if it is empty.
func (s *site) configureKeys(version int, keys string, rows ...string) {
	tenants := ""
	if keys != "" {
		tenants = strings.ReplaceAll(strings.TrimSpace(tenantsText), "KEYS", keys)
	}
	text := strings.NewReplacer("VERSION", fmt.Sprint(version), "ROWS", strings.Join(rows, ","), "TENANTS", tenants).Replace(configText)
	s.kv.Put(configKey, []byte(text))
	s.add("operator: the store has acknowledged version %d", version)
}

// close ends all processes.
func (s *site) close() {
	for _, m := range s.nodes {
		_ = m.cmd.Process.Kill()
		<-m.ended
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.dir)
	} else {
		fmt.Println(s.dir)
	}
}
