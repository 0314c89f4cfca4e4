// Package proctest runs a complete site as separate processes on a loopback
// address, for failure tests: it builds the binaries, writes their settings, and
// kills, suspends and replaces the processes. Each test process uses its own
// loopback address, so that sites of concurrent tests do not collide.
package proctest

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/agent"
	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/operator"
	"github.com/catkinrouter/catkinrouter/proxy"
	"github.com/catkinrouter/catkinrouter/standin"
	"github.com/catkinrouter/catkinrouter/store"
)

// Options describe a site.
type Options struct {
	// Entries is the number of instances, each an entry and an agent.
	Entries  int
	Services []standin.ServiceSettings
	Lifetime time.Duration // of lookup answers
	// StopTimeout limits the entries' graceful stops; 0 selects the default.
	StopTimeout time.Duration
	// EntryArgs and AgentArgs are additional command-line arguments of the
	// entries and agents.
	EntryArgs []string
	AgentArgs []string
}

// Region is the region of every site.
const Region = "sierra-norte"

// DataCentres are the data centres of every site; instances are assigned to
// them round-robin.
var DataCentres = []string{"quito-centro", "otavalo", "ibarra"}

// Ports of a site. The stand-in uses platformPort and controlPort, instance i
// the ports from instanceBase + i*instancePorts, and the upstreams of the
// services those from ServiceBase.
const (
	platformPort  = 10000
	controlPort   = 10001
	instanceBase  = 11000
	instancePorts = 10
	// ServiceBase is the first port of the upstreams.
	ServiceBase = 20000
)

// Site is a set of processes and their settings.
type Site struct {
	t       *testing.T
	opt     Options
	dir     string
	bin     string
	ip      netip.Addr
	standin standin.Settings
	procs   map[string]*Proc
	procsMu sync.Mutex
}

var (
	buildOnce sync.Once
	buildDir  string
	buildErr  error
)

// build compiles the binaries once per test process and returns their directory.
func build() (string, error) {
	buildOnce.Do(func() {
		buildDir, buildErr = os.MkdirTemp("", "catkin-bin")
		if buildErr != nil {
			return
		}
		out, err := exec.Command("go", "build", "-o", buildDir, "github.com/catkinrouter/catkinrouter/cmd/...").CombinedOutput()
		if err != nil {
			buildErr = fmt.Errorf("build: %w: %s", err, out)
		}
	})
	return buildDir, buildErr
}

// New returns a site and writes its settings files. It starts no process; all
// processes started later are killed when the test ends.
func New(t *testing.T, opt Options) *Site {
	t.Helper()
	bin, err := build()
	if err != nil {
		t.Fatal(err)
	}
	pid := os.Getpid()
	s := &Site{
		t: t, opt: opt, dir: t.TempDir(), bin: bin, procs: map[string]*Proc{},
		ip: netip.AddrFrom4([4]byte{127, byte(64 + pid>>16%64), byte(pid >> 8), byte(pid)}),
	}
	s.writeSettings()
	t.Cleanup(s.stopAll)
	return s
}

// Addr returns the site's loopback address with the given port.
func (s *Site) Addr(port int) string {
	return netip.AddrPortFrom(s.ip, uint16(port)).String()
}

func (s *Site) instancePort(i, offset int) int { return instanceBase + i*instancePorts + offset }

// EntryAddress returns the address at which instance i's entry accepts calls; i
// starts at 0.
func (s *Site) EntryAddress(i int) string { return s.Addr(s.instancePort(i, 0)) }

// OperatorAddress returns the address of instance i's operator API.
func (s *Site) OperatorAddress(i int) string { return s.Addr(s.instancePort(i, 4)) }

// MetricsAddress returns the metrics address of instance i's entry.
func (s *Site) MetricsAddress(i int) string { return s.Addr(s.instancePort(i, 2)) }

// AgentMetricsAddress returns the metrics address of instance i's agent.
func (s *Site) AgentMetricsAddress(i int) string { return s.Addr(s.instancePort(i, 5)) }

// PlatformAddress returns the address of the simulated platform, which serves
// the store and the list of instances.
func (s *Site) PlatformAddress() string { return s.Addr(platformPort) }

// ControlAddress returns the address at which upstream faults are injected and
// upstream counts are read.
func (s *Site) ControlAddress() string { return s.Addr(controlPort) }

// Document returns the configuration document of the site.
func (s *Site) Document() config.Document { return s.standin.Document() }

func (s *Site) writeSettings() {
	s.standin = standin.Settings{
		PlatformAddress: s.PlatformAddress(), ControlAddress: s.ControlAddress(), LogLevel: "warn",
		Site: "test", MaxEntries: s.opt.Entries + 1, Services: s.opt.Services,
		Lookup: config.Lookup{Lifetime: config.Duration(s.opt.Lifetime), Addresses: min(3, s.opt.Entries)},
	}
	for _, dc := range DataCentres {
		s.standin.DataCentres = append(s.standin.DataCentres, config.DataCentre{Name: dc, Region: Region})
	}
	for i := range s.standin.Services {
		if s.standin.Services[i].FirstAddress == "" {
			s.standin.Services[i].FirstAddress = s.Addr(ServiceBase + 100*i)
		}
		if len(s.standin.Services[i].DataCentres) == 0 {
			s.standin.Services[i].DataCentres = DataCentres
		}
	}
	for i := range s.opt.Entries {
		s.writeInstance(i)
	}
	s.write("standin", s.standin)
}

func (s *Site) writeInstance(i int) {
	id := fmt.Sprintf("instance-%d", i+1)
	dc := DataCentres[i%len(DataCentres)]
	s.write(fmt.Sprintf("entry-%d", i), proxy.Settings{
		ID: id, DataCentre: dc, Region: Region, Address: s.EntryAddress(i),
		LinkAddress: s.Addr(s.instancePort(i, 1)), MetricsAddress: s.MetricsAddress(i), LogLevel: "warn",
		StopTimeout: config.Duration(s.opt.StopTimeout),
	})
	peer := s.Addr(s.instancePort(i, 3))
	s.write(fmt.Sprintf("agent-%d", i), agent.Settings{
		ID: id, DataCentre: dc, Region: Region, PeerAddress: peer, OperatorAddress: s.OperatorAddress(i),
		MetricsAddress: s.AgentMetricsAddress(i), EntryLink: s.Addr(s.instancePort(i, 1)), EntryAddress: s.EntryAddress(i),
		StoreAddress: s.PlatformAddress(), ListAddress: s.PlatformAddress(), LogLevel: "warn",
	})
	s.standin.Instances = append(s.standin.Instances, store.Instance{ID: id, Address: peer, DataCentre: dc, Region: Region})
}

func (s *Site) write(name string, v any) {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		s.t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(s.dir, name+".json"), b, 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// StartAll starts the stand-in and all instances, confirms the site's document
// and waits until every entry answers lookups.
func (s *Site) StartAll() {
	s.t.Helper()
	s.StartStandin()
	for i := range s.opt.Entries {
		s.StartEntry(i)
		s.StartAgent(i)
	}
	s.Confirm(0, s.Document())
	for i := range s.opt.Entries {
		s.WaitEntry(i)
	}
}

// WaitEntry waits until entry i has a configuration in force.
func (s *Site) WaitEntry(i int) {
	s.t.Helper()
	s.Eventually(10*time.Second, "entry answers lookups", func() bool {
		code, _, err := fasthttp.Get(nil, "http://"+s.EntryAddress(i)+"/.catkin/lookup?service="+s.opt.Services[0].Name)
		return err == nil && code == fasthttp.StatusOK
	})
}

// Confirm submits doc as a plan to instance i's agent, confirms the plan and
// returns the accepted revision, plan ID and digest as a head without a document.
func (s *Site) Confirm(i int, doc config.Document) config.Head {
	s.t.Helper()
	var p config.Plan
	var h config.Head
	s.Eventually(10*time.Second, "plan accepted", func() bool {
		return s.Post("http://"+s.OperatorAddress(i)+operator.PlanPath, doc, &p) == nil
	})
	if err := s.Post("http://"+s.OperatorAddress(i)+operator.ConfirmPath, operator.ConfirmRequest{Plan: p.ID}, &h); err != nil {
		s.t.Fatal(err)
	}
	return h
}

// SetPlatformFaults replaces the faults injected into the platform.
func (s *Site) SetPlatformFaults(f standin.PlatformFaults) {
	s.t.Helper()
	if err := s.Post("http://"+s.PlatformAddress()+standin.FaultsPath, f, nil); err != nil {
		s.t.Fatal(err)
	}
}

// SetUpstreamFaults replaces the faults injected into the upstream with this ID.
func (s *Site) SetUpstreamFaults(id string, f standin.UpstreamFaults) {
	s.t.Helper()
	if err := s.Post("http://"+s.ControlAddress()+standin.UpstreamFaultsPath+id, f, nil); err != nil {
		s.t.Fatal(err)
	}
}

// Counts returns the counters and ledgers of all upstreams.
func (s *Site) Counts() []standin.UpstreamCounts {
	s.t.Helper()
	var out []standin.UpstreamCounts
	if err := s.Post("http://"+s.ControlAddress()+standin.CountsPath, struct{}{}, &out); err != nil {
		s.t.Fatal(err)
	}
	return out
}

// Post sends in as JSON and decodes the JSON response into out unless out is
// nil. A status other than 200 is an error.
func (s *Site) Post(url string, in, out any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	b, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req.SetRequestURI(url)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetConnectionClose() // an idle connection may belong to an earlier site at the same address
	req.SetBody(b)
	req.SetConnectionClose() // an idle connection may belong to an earlier site at the same address
	if err := fasthttp.DoTimeout(req, resp, 10*time.Second); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("%s: status %d: %s", url, resp.StatusCode(), resp.Body())
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(resp.Body(), out)
}

// Eventually polls ok every 20 ms until it returns true, and fails the test if
// that takes longer than within.
func (s *Site) Eventually(within time.Duration, what string, ok func() bool) {
	s.t.Helper()
	end := time.Now().Add(within)
	for !ok() {
		if time.Now().After(end) {
			s.t.Fatalf("condition not met within %v: %s", within, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
