// Package controlbench measures the resource usage and propagation time of the
// control plane, with agents, entries and the stand-in as separate processes.
package controlbench

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/internal/proctest"
	"github.com/catkinrouter/catkinrouter/operator"
	"github.com/catkinrouter/catkinrouter/standin"
)

var (
	measure        = flag.Bool("control", false, "measure the control plane; takes minutes")
	agents         = flag.Int("control.agents", 18, "number of instances")
	window         = flag.Duration("control.window", 60*time.Second, "duration of each measurement")
	changeInterval = flag.Duration("control.every", 39*time.Second, "time between two configuration changes; 0 for none")
	confirmCount   = flag.Int("control.confirms", 100, "number of confirms to time")
)

// ticksPerSecond is the number of clock ticks per second (USER_HZ), the unit of
// processor time in /proc/PID/stat.
const ticksPerSecond = 100

func newSite(t *testing.T) *proctest.Site {
	t.Helper()
	if !*measure {
		t.Skip("set -control to measure")
	}
	return proctest.New(t, proctest.Options{Entries: *agents, Lifetime: 5 * time.Second, Services: []standin.ServiceSettings{
		{Name: "pistas", Count: 20, Slots: 6, Queue: 10, Connections: 250, Work: config.Duration(time.Millisecond)},
		{Name: "tienda", Count: 10, Slots: 6, Queue: 10, Connections: 250, Work: config.Duration(time.Millisecond)},
		{Name: "premios", Count: 6, Slots: 6, Queue: 10, Connections: 250, Work: config.Duration(time.Millisecond)},
	}})
}

// usage is the resource usage of a process since its start.
type usage struct {
	cpu      time.Duration
	resident int64 // bytes
	// transferred is the number of bytes read and written by system calls, on
	// files as well as sockets.
	transferred int64
}

// readUsage returns the usage of a process from /proc.
func readUsage(t *testing.T, pid int) usage {
	t.Helper()
	var u usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	u.cpu = time.Duration(user+system) * time.Second / ticksPerSecond
	u.resident = 1024 * procValue(t, pid, "status", "VmRSS:")
	u.transferred = procValue(t, pid, "io", "rchar:") + procValue(t, pid, "io", "wchar:")
	return u
}

// procValue returns the number after key in a file under /proc/PID.
func procValue(t *testing.T, pid int, file, key string) int64 {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, ok := strings.Cut(string(b), key)
	if !ok {
		t.Fatalf("no %s in %s", key, file)
	}
	n, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Measures processor time, memory and bytes transferred of each agent over a
// window with configuration changes, or without if -control.every is 0.
func TestControlPlaneCost(t *testing.T) {
	s := newSite(t)
	s.StartAll()
	time.Sleep(10 * time.Second)
	before := make([]usage, *agents)
	for i := range before {
		before[i] = readUsage(t, s.Agent(i).PID())
	}
	calls := platformCalls(t, s)
	start := time.Now()
	for changes := 1; *changeInterval > 0 && time.Since(start)+*changeInterval < *window+*changeInterval/2; changes++ {
		time.Sleep(*changeInterval / 2)
		s.Confirm(changes%*agents, changedDocument(s, changes))
	}
	time.Sleep(time.Until(start.Add(*window)))
	took := time.Since(start)
	worst := usage{}
	t.Log("agent   core %  resident MB  bytes/s (system calls)")
	for i := range before {
		u := readUsage(t, s.Agent(i).PID())
		u.cpu -= before[i].cpu
		u.transferred -= before[i].transferred
		worst.cpu, worst.resident, worst.transferred = max(worst.cpu, u.cpu), max(worst.resident, u.resident), max(worst.transferred, u.transferred)
		t.Log(formatRow(fmt.Sprint(i+1), u, took))
	}
	t.Log(formatRow("worst", worst, took))
	t.Logf("platform calls per minute: %.1f", float64(platformCalls(t, s)-calls)/took.Minutes())
}

func formatRow(name string, u usage, took time.Duration) string {
	return fmt.Sprintf("%5s %8.2f %12.1f %8.0f", name, 100*float64(u.cpu)/float64(took), float64(u.resident)/1e6, float64(u.transferred)/took.Seconds())
}

// platformCalls returns the number of calls that the platform has received.
func platformCalls(t *testing.T, s *proctest.Site) int64 {
	t.Helper()
	var c standin.CallCount
	if err := s.Post("http://"+s.PlatformAddress()+standin.CallsPath, struct{}{}, &c); err != nil {
		t.Fatal(err)
	}
	return c.Calls
}

// changedDocument returns the site's document with a changed site name, which has
// no other effect.
func changedDocument(s *proctest.Site, n int) config.Document {
	d := s.Document()
	d.Site = fmt.Sprint("changed-", n)
	return d
}

// Measures the time from a confirm's response until the revision is in force at
// every entry, with the store up, and with the store down right after the write.
func TestPropagationTime(t *testing.T) {
	s := newSite(t)
	s.StartAll()
	time.Sleep(5 * time.Second)
	for _, down := range []bool{false, true} {
		worst, sum := time.Duration(0), time.Duration(0)
		for n := range *confirmCount {
			h := s.Confirm(n%*agents, changedDocument(s, n))
			start := time.Now()
			s.SetPlatformFaults(standin.PlatformFaults{Down: down})
			for i := range *agents {
				waitInForce(t, s, i, h.Revision)
			}
			took := time.Since(start)
			s.SetPlatformFaults(standin.PlatformFaults{})
			worst, sum = max(worst, took), sum+took
		}
		t.Logf("%d confirms on %d instances, store down after the write %v: in force everywhere after at most %v, on average %v",
			*confirmCount, *agents, down, worst, sum/time.Duration(*confirmCount))
	}
}

// Measures the time until an instance that starts without state while the store
// is down has the newest revision in force.
func TestPropagationTimeFreshInstance(t *testing.T) {
	s := newSite(t)
	s.StartAll()
	time.Sleep(5 * time.Second)
	worst := time.Duration(0)
	const starts = 10
	for n := range starts {
		i := n % *agents
		h := s.Confirm((i+1)%*agents, changedDocument(s, n))
		s.SetPlatformFaults(standin.PlatformFaults{Down: true})
		s.Entry(i).Kill()
		s.Agent(i).Kill()
		start := time.Now()
		s.StartEntry(i)
		s.StartAgent(i)
		waitInForce(t, s, i, h.Revision)
		worst = max(worst, time.Since(start))
		s.SetPlatformFaults(standin.PlatformFaults{})
	}
	t.Logf("%d instances started fresh with the store down: newest revision in force after at most %v", starts, worst)
}

// waitInForce waits until instance i's agent reports in its status that the entry
// has the revision in force.
func waitInForce(t *testing.T, s *proctest.Site, i int, revision uint64) {
	t.Helper()
	s.Eventually(30*time.Second, "revision in force", func() bool {
		code, b, err := fasthttp.Get(nil, "http://"+s.OperatorAddress(i)+operator.StatusPath)
		var st operator.Status
		if err != nil || code != fasthttp.StatusOK || json.Unmarshal(b, &st) != nil {
			return false
		}
		for _, m := range st.Instances {
			if m.ID == st.Instance {
				return m.Revision >= revision
			}
		}
		return false
	})
}
