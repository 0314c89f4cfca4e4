package soak

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/standin"
)

// Flags of the measurements, which run by hand.
var (
	measure = flag.Bool("soak.measure", false, "measure large requests and a crowd of callers, and log tables for docs/CAPACITY.md")
	program = flag.String("soak.bin", "", "the catkin-node to measure; the current code by default")
)

const (
	// memoryMB and descriptors are those of a small deployment's instance.
	memoryMB    = 284
	descriptors = 4100
	largeMB     = 60
	// smallCallers send one small request after the other while the large ones go on.
	smallCallers = 16
	minPeriod    = 4 * time.Second
	slowPeriod   = 11 * time.Second // beyond the time for a body
)

// measuredSite is one instance with upstreams that take a fixed time for each request.
type measuredSite struct {
	t    *testing.T
	in   *instance
	ends int // of the process
	peak int // of its resident memory, MiB
}

func newMeasuredSite(t *testing.T, work time.Duration) *measuredSite {
	t.Helper()
	bin := *program
	if bin == "" {
		bin = filepath.Join(t.TempDir(), "catkin-node")
		if out, err := exec.Command("go", "build", "-o", bin, "../../cmd/catkin-node").CombinedOutput(); err != nil {
			t.Fatalf("%v: %s", err, out)
		}
	}
	kv := standin.NewKV()
	address := serveKV(t, kv)
	kv.Put("op/config", fmt.Appendf(nil, `{"version":1,
"routes":{"columns":["name","host","prefix","routeKind","timeoutMs","targetLatencyMs","priority","maxAttempts","service"],"rows":[["buy",%q,"/buy/","unsafe",12000,2000,1,2,"s1"]]},
"services":{"columns":["name","healthPath","maxConns"],"rows":[["s1","/health",5000]]},"limits":{"maxBodyBytes":%d}}`, host, 64<<20))
	for i := range 8 {
		id := fmt.Sprintf("u%d", i)
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		srv := &http.Server{Handler: steadyUpstream(id, work)}
		go srv.Serve(ln)
		t.Cleanup(func() { srv.Close() })
		kv.Put("servers/"+id, fmt.Appendf(nil, `{"service":"s1","address":%q,"zone":"z","version":"v1","slots":1000,"state":"ready","coldLeftMs":0,"sequence":1,"born":1}`, ln.Addr()))
	}
	s := &measuredSite{t: t, in: newInstance(t, t.TempDir(), fmt.Sprintf("127.0.%d.9", *subnet), fmt.Sprintf("127.0.%d.9", *subnet), address)}
	text, err := os.ReadFile(s.in.settingsFile)
	if err != nil {
		t.Fatal(err)
	}
	text = bytes.ReplaceAll(text, []byte("memoryMb: 200, maxFds: 1000"), fmt.Appendf(nil, "memoryMb: %d, maxFds: %d", memoryMB, descriptors))
	if err := os.WriteFile(s.in.settingsFile, text, 0o600); err != nil {
		t.Fatal(err)
	}
	s.in.supervise(t, bin)
	t.Cleanup(s.in.shutDown)
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if status, _ := s.send("ready", 0, work+time.Second, func(io.Writer) {}); status == http.StatusOK {
			return s
		}
		if time.Now().After(end) {
			t.Fatalf("the instance is not ready:\n%s", s.in.logTail())
		}
	}
}

// steadyUpstream answers each request after the given time.
func steadyUpstream(id string, work time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Catkinrouter-Backend-Load", "0,0,1000,100")
		w.Header().Set("X-Catkinrouter-Instance-Id", id)
		if r.URL.Path == "/health" {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		time.Sleep(work)
		w.Header().Set("X-Catkinrouter-Attempt-Id", r.Header.Get("X-Catkinrouter-Attempt-Id"))
		w.Header().Set("X-Catkinrouter-Server-Stamp", id)
	})
}

// watchMemory records the peak of the process's resident memory, and ends the process when it
// takes more than the instance has, as the platform does, until stop is closed.
func (s *measuredSite) watchMemory(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		s.in.mu.Lock()
		process := s.in.cmd.Process
		s.in.mu.Unlock()
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Pid))
		if err != nil {
			continue // it has just ended
		}
		_, after, found := strings.Cut(string(text), "VmHWM:")
		if !found {
			continue
		}
		kb, err := strconv.Atoi(strings.Fields(after)[0])
		if err != nil {
			s.t.Error(err)
			return
		}
		s.peak = max(s.peak, kb>>10)
		if kb > memoryMB<<10 {
			s.ends++
			_ = process.Kill() // it may have ended already
			time.Sleep(2 * restartDelay)
		}
	}
}

// send sends one request on a new connection, its body by the given function, and returns the
// status, or 0 if there was no response, and the Retry-After.
func (s *measuredSite) send(id string, size int, deadline time.Duration, body func(io.Writer)) (status int, retryAfter time.Duration) {
	c, err := net.DialTimeout("tcp4", net.JoinHostPort(s.in.ip, fmt.Sprint(frontPort)), deadline)
	if err != nil {
		return 0, 0
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(deadline)); err != nil {
		return 0, 0
	}
	fmt.Fprintf(c, "POST /buy/%s HTTP/1.1\r\nHost: %s\r\nX-Catkinrouter-Attempt-Id: %s\r\nX-Catkinrouter-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n", id, host, id, deadline.Milliseconds(), size)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		body(c)
	}()
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 512), nil)
	c.Close()
	<-sent
	if err != nil {
		return 0, 0
	}
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil {
		seconds = 0 // there is none
	}
	return resp.StatusCode, time.Duration(seconds * float64(time.Second))
}

// statuses counts responses by status.
type statuses struct {
	mu sync.Mutex
	n  map[int]int
}

func (c *statuses) add(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == nil {
		c.n = map[int]int{}
	}
	c.n[status]++
}

// Callers who send large requests beside callers of small ones: a table by their number.
func TestMeasureLargeRequests(t *testing.T) {
	for _, slow := range []bool{false, true} {
		for _, large := range []int{0, 1, 3, 10, 100} {
			if *measure && (large > 0 || !slow) {
				t.Run(fmt.Sprint(large, "-slow=", slow), func(t *testing.T) { measureLargeRequests(t, large, slow) })
			}
		}
	}
}

func measureLargeRequests(t *testing.T, large int, slow bool) {
	s := newMeasuredSite(t, 20*time.Millisecond)
	stop := make(chan struct{})
	var others, callers sync.WaitGroup
	others.Go(func() { s.watchMemory(stop) })
	var small, big statuses
	var mu sync.Mutex
	var took []time.Duration
	for i := range smallCallers {
		others.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				began := time.Now()
				status, _ := s.send(fmt.Sprintf("s-%d-%d", i, n), 4, 3*time.Second, func(w io.Writer) { io.WriteString(w, "pack") })
				small.add(status)
				mu.Lock()
				took = append(took, time.Since(began))
				mu.Unlock()
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	began := time.Now()
	for i := range large {
		callers.Go(func() {
			status, _ := s.send(fmt.Sprint("l-", i), largeMB<<20, 13*time.Second, func(w io.Writer) {
				if !slow {
					io.CopyN(w, zeros{}, largeMB<<20)
					return
				}
				for range int(slowPeriod / time.Second) {
					w.Write([]byte{0})
					time.Sleep(time.Second)
				}
			})
			big.add(status)
		})
	}
	callers.Wait()
	time.Sleep(minPeriod - time.Since(began))
	close(stop)
	others.Wait()
	slices.Sort(took)
	t.Logf("| %d, slow %v | peak %d MiB, %d ends | large %v | small %v, p50 %v, p99 %v |", large, slow, s.peak, s.ends, big.n, small.n,
		percentile(took, 50), percentile(took, 99))
}

// More callers at once than an instance has connections for, who come back when they are told
// to until their deadline.
func TestMeasureCrowd(t *testing.T) {
	const (
		rate     = 1500 // callers a second
		length   = 10 * time.Second
		deadline = 6 * time.Second
	)
	if !*measure {
		return
	}
	s := newMeasuredSite(t, 3*time.Second)
	stop := make(chan struct{})
	var watcher, callers sync.WaitGroup
	watcher.Go(func() { s.watchMemory(stop) })
	var unanswered atomic.Int64 // tries
	var mu sync.Mutex
	var answers, refusals []time.Duration // from the caller's arrival, and from its try
	tick := time.NewTicker(time.Second / rate)
	defer tick.Stop()
	n := 0
	for began := time.Now(); time.Since(began) < length; n++ {
		<-tick.C
		callers.Go(func() {
			arrived := time.Now()
			for try := 0; time.Since(arrived) < deadline; try++ {
				sent := time.Now()
				status, after := s.send(fmt.Sprintf("c-%d-%d", n, try), 4, deadline-time.Since(arrived), func(w io.Writer) { io.WriteString(w, "pack") })
				mu.Lock()
				switch status {
				case http.StatusOK:
					answers = append(answers, time.Since(arrived))
				case http.StatusServiceUnavailable:
					refusals = append(refusals, time.Since(sent))
				default:
					unanswered.Add(1)
				}
				mu.Unlock()
				if status == http.StatusOK {
					return
				}
				time.Sleep(max(after, 20*time.Millisecond))
			}
		})
	}
	callers.Wait()
	close(stop)
	watcher.Wait()
	slices.Sort(answers)
	slices.Sort(refusals)
	t.Logf("%d callers: %.3f answered, p50 %v, p99 %v; %d tries refused, p50 %v, longest %v; %d without a response; peak %d MiB, %d ends", n,
		float64(len(answers))/float64(n), percentile(answers, 50), percentile(answers, 99),
		len(refusals), percentile(refusals, 50), percentile(refusals, 100), unanswered.Load(), s.peak, s.ends)
}

// percentile returns the given percentile of a sorted list, 0 if it is empty.
func percentile(sorted []time.Duration, percent int) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[(len(sorted)-1)*percent/100].Round(time.Millisecond)
}
