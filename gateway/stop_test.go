package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// A planned stop under load must answer every request that it has passed on, and
// those that were begun before it, before the process ends: with callers on kept
// and new connections, requests of which half was sent, and some that wait for an
// interim reply before they send their body.
func TestPlannedStopUnderLoad(t *testing.T) {
	const callers = 100
	u := newStub(t, "slow", func(s *stub, c net.Conn, r *http.Request, body string) bool {
		time.Sleep(20 * time.Millisecond)
		return answerOK(s, c, r, body)
	})
	u.load = "0,0,600"
	tg := startTestGateway(t, 3*time.Second)
	tg.configure(2*time.Second, u)
	wantStatus(t, tg.call("POST", "/purchase/1", "first", "pack"), 200)

	var mu sync.Mutex
	answered := map[string]bool{}
	draining := make(chan struct{})
	var all sync.WaitGroup
	record := func(id string, r reply) {
		mu.Lock()
		defer mu.Unlock()
		answered[id] = r.err == nil && r.status == http.StatusOK
	}
	for i := range callers {
		all.Go(func() { callUntilStopped(tg, fmt.Sprint("kept-", i), true, record) })
		all.Go(func() { callUntilStopped(tg, fmt.Sprint("new-", i), false, record) })
	}
	for i := range callers / 10 {
		all.Go(func() { record(fmt.Sprint("half-", i), callInHalves(t, tg, fmt.Sprint("half-", i), false, draining)) })
		all.Go(func() {
			record(fmt.Sprint("expect-", i), callInHalves(t, tg, fmt.Sprint("expect-", i), true, draining))
		})
	}
	time.Sleep(150 * time.Millisecond)
	tg.g.StartDraining()
	close(draining)
	tg.stop()
	err := <-tg.done
	if n := tg.g.inFlight.Load(); n > 0 {
		t.Errorf("the gateway ended with %d requests in flight", n)
	}
	tg.done <- err
	all.Wait()

	ran := 0
	for id, ok := range answered {
		if runs := u.runCount(id); runs > 0 && !ok {
			t.Errorf("request %s ran and was not answered", id)
		} else if runs > 1 {
			t.Errorf("request %s ran %d times", id, runs)
		} else if runs == 1 {
			ran++
		}
		if (id[:4] == "half" || id[:4] == "expe") && !ok {
			t.Errorf("request %s, begun before the stop, was not answered", id)
		}
	}
	if ran < callers {
		t.Errorf("only %d requests ran", ran)
	}
}

// callUntilStopped sends one request after the other until no connection is
// accepted, on kept connections as long as they last or each on a new one.
func callUntilStopped(tg *testGateway, name string, keep bool, record func(string, reply)) {
	var c net.Conn
	for i := 0; ; i++ {
		if c == nil {
			var err error
			if c, err = net.Dial("tcp4", tg.addr); err != nil {
				return
			}
		}
		id := fmt.Sprint(name, "-", i)
		r := callOn(c, "POST", "/purchase/1", id, "pack")
		record(id, r)
		if !keep || r.closes || r.err != nil {
			c.Close()
			c = nil
		}
	}
}

// callInHalves sends the second half of a request's body once the gateway drains;
// with expect it has waited for an interim reply before the first half.
func callInHalves(t *testing.T, tg *testGateway, id string, expect bool, draining <-chan struct{}) reply {
	c, err := net.Dial("tcp4", tg.addr)
	if err != nil {
		return reply{err: err}
	}
	defer c.Close()
	br := bufio.NewReader(c)
	header := ""
	if expect {
		header = "Expect: 100-continue\r\n"
	}
	fmt.Fprintf(c, "POST /purchase/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\n%sContent-Length: 4\r\n\r\n", testHost, id, header)
	if expect {
		if line, err := br.ReadString('\n'); err != nil || line != "HTTP/1.1 100 Continue\r\n" {
			t.Errorf("%s: interim reply %q, %v", id, line, err)
		}
		if _, err := br.ReadString('\n'); err != nil {
			return reply{err: err}
		}
	}
	fmt.Fprint(c, "pa")
	<-draining
	time.Sleep(10 * time.Millisecond)
	fmt.Fprint(c, "ck")
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, body: string(text), err: err}
}

// Requests that came late in a planned stop were passed on and then cut off without an
// answer when it ended. One that comes in time must be served, a late one refused
// before it runs.
func TestRequestLateInPlannedStop(t *testing.T) {
	const (
		stopLimit = 2 * time.Second // callers connect in its first half; calls end 0.5 s before it
		work      = 600 * time.Millisecond
	)
	u := newStub(t, "slow", func(s *stub, c net.Conn, r *http.Request, body string) bool {
		s.run(r)
		time.Sleep(work)
		id := r.Header.Get("Request-Id")
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok", id)
		return true
	})
	tg := startTestGateway(t, stopLimit)
	tg.configure(time.Second, u)
	began := time.Now()
	var all sync.WaitGroup
	for _, c := range []struct {
		name   string
		after  time.Duration
		status int
	}{{"in time", 200 * time.Millisecond, 200}, {"late", 1100 * time.Millisecond, 503}, {"last", 1400 * time.Millisecond, 503}} {
		for _, path := range []string{"/purchase/", "/clue/"} {
			cn, err := net.Dial("tcp4", tg.addr)
			if err != nil {
				t.Fatal(err)
			}
			all.Go(func() {
				defer cn.Close()
				time.Sleep(c.after - time.Since(began))
				id := strings.ReplaceAll(path[1:]+c.name, " ", "-")
				r := callOn(cn, "POST", path+"1", id, "pack")
				if r.err != nil || r.status != c.status || (r.status == 503) != (u.runCount(id) == 0) {
					t.Errorf("%s, %s: ran %d times, status %d, error %v; want %d", path, c.name, u.runCount(id), r.status, r.err, c.status)
				}
				if c.status == 503 && (r.header.Get("Retry-After") == "" || !r.closes) {
					t.Errorf("%s, %s: Retry-After %q, closes %t", path, c.name, r.header.Get("Retry-After"), r.closes)
				}
			})
		}
	}
	time.Sleep(50 * time.Millisecond) // the connections are accepted
	tg.stop()
	all.Wait()
}
