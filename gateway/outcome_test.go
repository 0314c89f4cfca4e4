package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// faults are what an upstream can do to a request; ran tells whether it ran
// it, and safe to say not-run whether a caller may be told that it did not.
var faults = []struct {
	name   string
	do     behaviour
	notRun bool
}{
	{"refuses as another", func(s *stub, c net.Conn, r *http.Request, _ string) bool {
		fmt.Fprint(c, "HTTP/1.1 421 Misdirected Request\r\nUpstream-Id: other\r\nContent-Length: 0\r\n\r\n")
		return true
	}, true},
	{"sheds", func(s *stub, c net.Conn, r *http.Request, _ string) bool {
		fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	}, true},
	{"resets before the answer", func(s *stub, c net.Conn, r *http.Request, _ string) bool {
		s.run(r)
		return false
	}, false},
	{"cuts the answer", func(s *stub, c net.Conn, r *http.Request, _ string) bool {
		id := s.run(r)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: x\r\nContent-Length: 100\r\n\r\nhalf", id)
		return false
	}, false},
	{"sends no answer of the protocol", func(s *stub, c net.Conn, r *http.Request, _ string) bool {
		s.run(r)
		fmt.Fprint(c, "\x00\x01 nonsense\r\n\r\n")
		return false
	}, false},
	{"answers without a signature", func(s *stub, c net.Conn, r *http.Request, _ string) bool {
		id := s.run(r)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nok", id)
		return true
	}, false},
	{"encodes the answer", func(s *stub, c net.Conn, r *http.Request, _ string) bool {
		id := s.run(r)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: x\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok", id)
		return true
	}, false},
	{"answers a plain 503", func(s *stub, c net.Conn, r *http.Request, _ string) bool {
		id := s.run(r)
		fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		return true
	}, false},
}

// Whatever an upstream does, work that is not idempotent runs once at most,
// and a caller hears that it did not run only where it did not.
func TestPurchaseRunsOnce(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			bad, other := newStub(t, "bad", f.do), newStub(t, "other", f.do)
			s := newSite(t)
			s.configure(2*time.Second, bad, other)
			r := s.call("POST", "/purchase/1", "p-1", "pack")
			ran := bad.ran("p-1") + other.ran("p-1")
			if ran > 1 {
				t.Fatalf("ran %d times", ran)
			}
			if r.err != nil {
				t.Fatalf("no answer: %v", r.err)
			}
			says := r.status == 503 && r.header.Get("Request-Id") == ""
			if says && ran > 0 {
				t.Fatalf("status %d says not run, but it ran", r.status)
			}
			if f.notRun && r.status != 503 {
				t.Fatalf("status %d for a request that no upstream ran, want 503", r.status)
			}
			if says && r.header.Get("Retry-After") == "" {
				t.Fatal("a refusal without a time to come back")
			}
			if r.status < 300 {
				t.Fatalf("success %q from an upstream that gave none", r.body)
			}
		})
	}
}

// Idempotent work is repeated at another upstream whatever the first did, and
// a purchase only where the first did not run it.
func TestRepeatsAtAnotherUpstream(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			s := newSite(t)
			for i := range 8 { // either upstream may be picked first
				bad, sound := newStub(t, "bad", f.do), newStub(t, "sound", good)
				s.configure(2*time.Second, bad, sound)
				id := fmt.Sprintf("c-%d", i)
				r := s.call("GET", "/clue/1", id, "")
				wantStatus(t, r, 200)
				if !strings.HasPrefix(r.body, "answer to "+id) {
					t.Fatalf("got the answer %q", r.body)
				}
				if f.notRun {
					wantStatus(t, s.call("POST", "/purchase/1", "p-"+id, "pack"), 200)
				}
			}
		})
	}
}

// A late second answer to an earlier request never reaches another caller.
func TestStrayAnswerIsPassedOver(t *testing.T) {
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
	s := newSite(t)
	s.configure(2*time.Second, u)
	for i := range 20 {
		id := fmt.Sprintf("s-%d", i)
		r := s.call("POST", "/purchase/1", id, "pack")
		wantStatus(t, r, 200)
		if r.body != "answer to "+id {
			t.Fatalf("request %s got %q", id, r.body)
		}
		time.Sleep(time.Duration(i%3) * 4 * time.Millisecond)
	}
}

// An answer without a length ends with its connection, and is passed on whole.
func TestUnframedAnswer(t *testing.T) {
	u := newStub(t, "unframed", func(s *stub, c net.Conn, r *http.Request, _ string) bool {
		id := s.run(r)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: x\r\n\r\nall of it", id)
		return false
	})
	s := newSite(t)
	s.configure(2*time.Second, u)
	r := s.call("POST", "/purchase/1", "u-1", "pack")
	wantStatus(t, r, 200)
	if r.body != "all of it" {
		t.Fatalf("got %q", r.body)
	}
}

// An answer that comes before the whole body was read is passed on, and the
// next request on that connection is not mixed up with the rest of the body.
func TestEarlyAnswer(t *testing.T) {
	u := newStub(t, "early", func(s *stub, c net.Conn, r *http.Request, _ string) bool {
		s.run(r)
		fmt.Fprintf(c, "HTTP/1.1 400 Bad Request\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"))
		return true
	})
	u.early = true
	s := newSite(t)
	s.configure(2*time.Second, u)
	big := strings.Repeat("x", 1<<20)
	for i := range 4 {
		wantStatus(t, s.call("POST", "/purchase/1", fmt.Sprintf("e-%d", i), big), 400)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, b := range u.bodies {
		if b != big {
			t.Fatalf("the upstream read %d bytes of %d, or others", len(b), len(big))
		}
	}
}

// Method, path, query, body and headers arrive unchanged, with the time left
// and the upstream that is meant.
func TestForwardsUnchanged(t *testing.T) {
	got := make(chan *http.Request, 1)
	u := newStub(t, "u-7", func(s *stub, c net.Conn, r *http.Request, body string) bool {
		got <- r
		return good(s, c, r, body)
	})
	s := newSite(t)
	s.configure(2*time.Second, u)
	c, err := net.Dial("tcp4", s.addr)
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

// A request without time left is not sent for form's sake.
func TestNothingSentWithoutTime(t *testing.T) {
	u := newStub(t, "u", good)
	s := newSite(t)
	s.configure(time.Second, u)
	c, err := net.Dial("tcp4", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /purchase/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: late-1\r\nDeadline-Ms: 1\r\nContent-Length: 0\r\n\r\n", testHost)
	if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
		t.Fatal(err)
	}
	if u.ran("late-1") > 0 {
		t.Error("sent with no time left")
	}
}
