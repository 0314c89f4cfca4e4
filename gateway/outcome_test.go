package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// upstreamFaults are faulty behaviours of an upstream. notRun is set if the
// caller may be told that the request did not run.
var upstreamFaults = []struct {
	name   string
	do     behaviour
	notRun bool
}{
	{"replies 421 as another upstream", func(s *stub, c net.Conn, r *http.Request, _ string) bool {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nUpstream-Id: other\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"))
		return true
	}, true},
	{"sheds the request", func(s *stub, c net.Conn, r *http.Request, _ string) bool {
		fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"))
		return true
	}, true},
	{"sheds the request without its ID", func(s *stub, c net.Conn, r *http.Request, _ string) bool {
		fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	}, false},
	{"closes the connection before the reply", func(s *stub, c net.Conn, r *http.Request, _ string) bool {
		s.run(r)
		return false
	}, false},
	{"truncates the reply", func(s *stub, c net.Conn, r *http.Request, _ string) bool {
		id := s.run(r)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: x\r\nContent-Length: 100\r\n\r\nhalf", id)
		return false
	}, false},
	{"sends an invalid reply", func(s *stub, c net.Conn, r *http.Request, _ string) bool {
		s.run(r)
		fmt.Fprint(c, "\x00\x01 nonsense\r\n\r\n")
		return false
	}, false},
	{"replies without a signature", func(s *stub, c net.Conn, r *http.Request, _ string) bool {
		id := s.run(r)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nok", id)
		return true
	}, false},
	{"replies with a content encoding", func(s *stub, c net.Conn, r *http.Request, _ string) bool {
		id := s.run(r)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: x\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok", id)
		return true
	}, false},
	{"replies 503 without the not-run header", func(s *stub, c net.Conn, r *http.Request, _ string) bool {
		id := s.run(r)
		fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		return true
	}, false},
}

// Whatever fault an upstream has, a request that is not idempotent runs at
// most once, and the caller is told that it did not run only if it did not.
func TestPurchaseRunsOnce(t *testing.T) {
	for _, f := range upstreamFaults {
		t.Run(f.name, func(t *testing.T) {
			bad, other := newStub(t, "bad", f.do), newStub(t, "other", f.do)
			tg := newTestGateway(t)
			tg.configure(2*time.Second, bad, other)
			r := tg.call("POST", "/purchase/1", "p-1", "pack")
			ran := bad.runCount("p-1") + other.runCount("p-1")
			if ran > 1 {
				t.Fatalf("ran %d times", ran)
			}
			if r.err != nil {
				t.Fatalf("no response: %v", r.err)
			}
			saysNotRun := r.status == 503 && r.header.Get("Request-Id") == ""
			if saysNotRun && ran > 0 {
				t.Fatalf("status %d without a reply of the upstream says not run, but the request ran", r.status)
			}
			if f.notRun && r.status != 503 {
				t.Fatalf("status %d for a request that no upstream ran, want 503", r.status)
			}
			if saysNotRun && r.header.Get("Retry-After") == "" {
				t.Fatal("refusal without Retry-After")
			}
			if r.status < 300 {
				t.Fatalf("status below 300 with body %q, but no upstream succeeded", r.body)
			}
		})
	}
}

// An idempotent request is retried at another upstream after every fault of
// the first, and one that is not idempotent only if the first did not run it.
func TestRetriesAtAnotherUpstream(t *testing.T) {
	for _, f := range upstreamFaults {
		t.Run(f.name, func(t *testing.T) {
			tg := newTestGateway(t)
			for i := range 8 { // either upstream may be picked first
				bad, healthy := newStub(t, "bad", f.do), newStub(t, "healthy", answerOK)
				tg.configure(2*time.Second, bad, healthy)
				id := fmt.Sprintf("c-%d", i)
				r := tg.call("GET", "/clue/1", id, "")
				wantStatus(t, r, 200)
				if !strings.HasPrefix(r.body, "answer to "+id) {
					t.Fatalf("got the body %q", r.body)
				}
				if f.notRun {
					wantStatus(t, tg.call("POST", "/purchase/1", "p-"+id, "pack"), 200)
				}
			}
		})
	}
}

// A late, duplicate reply to an earlier request never reaches another caller.
func TestStrayReplyIsSkipped(t *testing.T) {
	twice := func(s *stub, c net.Conn, r *http.Request, body string) bool {
		id := s.run(r)
		text := "answer to " + id
		one := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: x\r\nContent-Length: %d\r\n\r\n%s", id, len(text), text)
		fmt.Fprint(c, one)
		time.Sleep(5 * time.Millisecond)
		fmt.Fprint(c, one)
		return true
	}
	u := newStub(t, "doubles", twice)
	tg := newTestGateway(t)
	tg.configure(2*time.Second, u)
	for i := range 20 {
		id := fmt.Sprintf("s-%d", i)
		r := tg.call("POST", "/purchase/1", id, "pack")
		wantStatus(t, r, 200)
		if r.body != "answer to "+id {
			t.Fatalf("request %s got %q", id, r.body)
		}
		time.Sleep(time.Duration(i%3) * 4 * time.Millisecond)
	}
}

// A second copy of an earlier reply that arrives just where the reply to the next
// request is expected must not reach the next caller, also if it is large, comes
// twice or in two parts.
func TestStrayReplyBeforeTheReply(t *testing.T) {
	for name, write := range map[string]func(c net.Conn, copied string){
		"whole": func(c net.Conn, copied string) { fmt.Fprint(c, copied) },
		"twice": func(c net.Conn, copied string) { fmt.Fprint(c, copied, copied) },
		"in two parts": func(c net.Conn, copied string) {
			fmt.Fprint(c, copied[:len(copied)/2])
			time.Sleep(5 * time.Millisecond)
			fmt.Fprint(c, copied[len(copied)/2:])
		},
	} {
		for _, size := range []int{10, 1 << 20} {
			var mu sync.Mutex
			earlier := map[net.Conn]string{} // the last reply on each connection
			strays := 0
			u := newStub(t, "doubles", func(s *stub, c net.Conn, r *http.Request, _ string) bool {
				id := s.run(r)
				mu.Lock()
				copied := earlier[c]
				text := "answer to " + id + strings.Repeat(".", size)
				earlier[c] = fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: x\r\nContent-Length: %d\r\n\r\n%s", id, len(text), text)
				own := earlier[c]
				mu.Unlock()
				if copied != "" {
					strays++
					write(c, copied)
				}
				fmt.Fprint(c, own)
				return true
			})
			tg := newTestGateway(t)
			tg.configure(5*time.Second, u)
			for i := range 10 {
				id := fmt.Sprintf("s-%d", i)
				r := tg.call("POST", "/purchase/1", id, "pack")
				wantStatus(t, r, 200)
				if !strings.HasPrefix(r.body, "answer to "+id+".") {
					t.Fatalf("%s, %d bytes: request %s got %.30q", name, size, id, r.body)
				}
			}
			if strays == 0 {
				t.Errorf("%s, %d bytes: no connection was used twice", name, size)
			}
		}
	}
}

// A reply without a length ends when its connection closes, and is forwarded
// completely.
func TestReplyWithoutLength(t *testing.T) {
	u := newStub(t, "unframed", func(s *stub, c net.Conn, r *http.Request, _ string) bool {
		id := s.run(r)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: x\r\n\r\nall of it", id)
		return false
	})
	tg := newTestGateway(t)
	tg.configure(2*time.Second, u)
	r := tg.call("POST", "/purchase/1", "u-1", "pack")
	wantStatus(t, r, 200)
	if r.body != "all of it" {
		t.Fatalf("got %q", r.body)
	}
}

// A reply sent before the whole request body was read is forwarded, and the
// next request on that connection is not mixed up with the rest of the body.
func TestReplyBeforeBodyRead(t *testing.T) {
	u := newStub(t, "early", func(s *stub, c net.Conn, r *http.Request, _ string) bool {
		s.run(r)
		fmt.Fprintf(c, "HTTP/1.1 400 Bad Request\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"))
		return true
	})
	u.answersEarly = true
	tg := newTestGateway(t)
	tg.configure(2*time.Second, u)
	big := strings.Repeat("x", 1<<20)
	for i := range 4 {
		wantStatus(t, tg.call("POST", "/purchase/1", fmt.Sprintf("e-%d", i), big), 400)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, b := range u.bodies {
		if b != big {
			t.Fatalf("the upstream read a body of %d bytes that differs from the %d bytes sent", len(b), len(big))
		}
	}
}

// Method, path, query, body and headers are forwarded unchanged, with the time
// left and the ID of the intended upstream.
func TestForwardsUnchanged(t *testing.T) {
	got := make(chan *http.Request, 1)
	u := newStub(t, "u-7", func(s *stub, c net.Conn, r *http.Request, body string) bool {
		got <- r
		return answerOK(s, c, r, body)
	})
	tg := newTestGateway(t)
	tg.configure(2*time.Second, u)
	c, err := net.Dial("tcp4", tg.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "PUT /purchase/a%%20b?q=1&r=%%2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: f-1\r\nDeadline-Ms: 700\r\n"+
		"X-Own: kept\r\nConnection: X-Hop\r\nX-Hop: dropped\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", testHost)
	r := <-got
	if r.Method != "PUT" || r.RequestURI != "/purchase/a%20b?q=1&r=%2f" || r.Host != testHost {
		t.Errorf("got %s %s at %s", r.Method, r.RequestURI, r.Host)
	}
	if r.Header.Get("X-Own") != "kept" || r.Header.Get("X-Hop") != "" || r.Header.Get("Expect-Upstream") != "u-7" {
		t.Errorf("got headers %v", r.Header)
	}
	var left int
	if _, err := fmt.Sscan(r.Header.Get("Deadline-Ms"), &left); err != nil || left < 1 || left > 700 {
		t.Errorf("got deadline %q", r.Header.Get("Deadline-Ms"))
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.bodies[0] != "body" {
		t.Errorf("got body %q", u.bodies[0])
	}
}

// A request is not sent to an upstream when too little time is left for a
// reply.
func TestNoSendWithoutTimeLeft(t *testing.T) {
	u := newStub(t, "u", answerOK)
	tg := newTestGateway(t)
	tg.configure(time.Second, u)
	c, err := net.Dial("tcp4", tg.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /purchase/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: late-1\r\nDeadline-Ms: 1\r\nContent-Length: 0\r\n\r\n", testHost)
	if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
		t.Fatal(err)
	}
	if u.runCount("late-1") > 0 {
		t.Error("the request was sent with too little time left")
	}
}

// A deadline beyond all measure, as a caller without one may send, overflowed, and the request
// timed out at once.
func TestEndlessDeadlineIsNone(t *testing.T) {
	u := newStub(t, "u", answerOK)
	tg := newTestGateway(t)
	tg.configure(5*time.Second, u)
	for _, ms := range []string{"9223372036854775807", "9223372036855", "99999999999999999999", "86400000"} {
		c, err := net.Dial("tcp4", tg.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(10 * time.Second))
		fmt.Fprintf(c, "GET /clue/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: d-%s\r\nDeadline-Ms: %s\r\n\r\n", testHost, ms, ms)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("%s ms: response %v, error %v", ms, resp, err)
		}
	}
}
