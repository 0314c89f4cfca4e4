package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// An upstream wrote a refusal once more on a kept connection, without an ID, while it
// ran the next request there: the caller was told that it had not run, or it ran at a
// second upstream.
func TestRepeatedRefusalIsNoAnswer(t *testing.T) {
	for _, refusal := range []string{
		"HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 421 Misdirected Request\r\nUpstream-Id: other\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
	} {
		repeat := func(s *stub, c net.Conn, r *http.Request, _ string) bool {
			id := s.run(r)
			fmt.Fprint(c, refusal)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: s\r\nContent-Length: 0\r\n\r\n", id)
			return true
		}
		tg := newTestGateway(t)
		stubs := []*stub{newStub(t, "a", repeat), newStub(t, "b", repeat)}
		tg.configure(2*time.Second, stubs...)
		for i := range 5 {
			id := fmt.Sprint("p-", i)
			r := tg.call("POST", "/purchase/1", id, "pack")
			runs := stubs[0].runCount(id) + stubs[1].runCount(id)
			if runs != 1 || r.err != nil || r.status == http.StatusServiceUnavailable || r.status == http.StatusMisdirectedRequest {
				t.Errorf("%.30q: ran %d times, status %d, error %v", refusal, runs, r.status, r.err)
			}
		}
	}
}

// An upstream that ended in the middle of its reply's head left the caller with a
// success that looked complete.
func TestReplyCutInItsHead(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: s\r\nContent-Length: 12\r\n\r\n"
	const unframed = "HTTP/1.1 200 OK\r\nSignature: s\r\nRequest-Id: %s\r\n\r\n"
	for _, head := range []string{head, unframed} {
		whole := len(fmt.Sprintf(head, "c-00"))
		cut := 0
		u := newStub(t, "cuts", func(s *stub, c net.Conn, r *http.Request, _ string) bool {
			id := s.run(r)
			fmt.Fprint(c, fmt.Sprintf(head, id)[:cut])
			return false
		})
		tg := newTestGateway(t)
		tg.configure(2*time.Second, u)
		for cut = range whole {
			id := fmt.Sprintf("c-%02d", cut%100)
			r := tg.call("POST", "/purchase/1", id, "pack")
			if r.err != nil || r.status != http.StatusBadGateway {
				t.Errorf("cut after %d bytes of %d: status %d, body %q, error %v; want 502", cut, whole, r.status, r.body, r.err)
			}
		}
	}
}
