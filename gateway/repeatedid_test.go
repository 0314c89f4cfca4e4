package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// copiesOf returns a behaviour that turns a request away with the given reply unless it
// is for upstream "new", and writes that reply once more on the same connection where the
// reply to the same request is due the next time.
func copiesOf(reply string, turnedAway func()) behaviour {
	var mu sync.Mutex
	earlier := map[net.Conn]string{}
	return func(s *stub, c net.Conn, r *http.Request, body string) bool {
		mu.Lock()
		defer mu.Unlock()
		id := r.Header.Get("Request-Id")
		if r.Header.Get("Expect-Upstream") != "new" {
			earlier[c] = fmt.Sprintf(reply, id)
			turnedAway()
			fmt.Fprint(c, earlier[c])
			return true
		}
		fmt.Fprint(c, earlier[c])
		return answerOK(s, c, r, body)
	}
}

// A late copy of an upstream's refusal was taken for the answer to the second sending of
// the same request on that connection: the caller was told that it had not run.
func TestLateCopyIsNoAnswerToTheSecondSending(t *testing.T) {
	for _, tt := range []struct{ name, path, reply string }{
		{"421", "/purchase/1", "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nUpstream-Id: new\r\nContent-Length: 0\r\n\r\n"},
		{"shed", "/purchase/1", "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"},
		{"failed", "/clue/1", "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: %s\r\nSignature: s\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			tg := newTestGateway(t)
			var upstream, former *stub
			upstream = newStub(t, "new", copiesOf(tt.reply, func() { tg.configure(2*time.Second, former, upstream) }))
			former = &stub{id: "old", ln: upstream.ln}
			for i := range 5 {
				tg.configure(2*time.Second, former)
				id := fmt.Sprint("p-", i)
				r := tg.call(http.MethodPost, tt.path, id, "pack")
				if r.err != nil || r.status != http.StatusOK {
					t.Errorf("%s: ran %d times, status %d, error %v; want 200", id, upstream.runCount(id), r.status, r.err)
				}
			}
		})
	}
}

// A caller that used an ID again got a late copy of the answer to its earlier request.
func TestLateCopyIsNoAnswerToAnotherRequestWithTheSameID(t *testing.T) {
	for _, id := range []string{"same", ""} {
		var mu sync.Mutex
		earlier := map[net.Conn]string{}
		u := newStub(t, "u", func(s *stub, c net.Conn, r *http.Request, body string) bool {
			mu.Lock()
			defer mu.Unlock()
			s.run(r)
			fmt.Fprint(c, earlier[c])
			earlier[c] = fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
			fmt.Fprint(c, earlier[c])
			return true
		})
		tg := newTestGateway(t)
		tg.configure(2*time.Second, u)
		for i := range 5 {
			body := fmt.Sprint("pack ", i)
			r := tg.call(http.MethodPost, "/purchase/1", id, body)
			if r.err != nil || r.status != http.StatusOK || r.body != body {
				t.Errorf("ID %q: status %d, body %q, error %v; want %q", id, r.status, r.body, r.err, body)
			}
		}
	}
}

// A late copy of a health reply was taken for the answer to the request that followed on
// the connection: the caller was told 502, though the upstream answered.
func TestLateCopyOfHealthReplyIsNoAnswer(t *testing.T) {
	tg := newTestGateway(t)
	u := newStub(t, "u", answerOK)
	u.repeatsHealth = true
	tg.configure(2*time.Second, u)
	for i := range 10 {
		id := fmt.Sprint("p-", i)
		r := tg.call(http.MethodPost, "/purchase/1", id, "pack")
		if want := "answer to " + id + " pack"; r.err != nil || r.status != http.StatusOK || r.body != want {
			t.Errorf("status %d, body %q, error %v; want %q", r.status, r.body, r.err, want)
		}
	}
}

// A late copy of a reply to HEAD, which names the length of a body that doesn't follow, took
// the next answer on the connection for that body.
func TestLateCopyOfHeadReplyTakesNoAnswer(t *testing.T) {
	var mu sync.Mutex
	earlier := map[net.Conn]string{}
	u := newStub(t, "u", func(s *stub, c net.Conn, r *http.Request, body string) bool {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprint(c, earlier[c])
		if r.Method != http.MethodHead {
			return answerOK(s, c, r, body)
		}
		earlier[c] = fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: s\r\nContent-Length: 40\r\n\r\n", s.run(r))
		fmt.Fprint(c, earlier[c])
		return true
	})
	tg := newTestGateway(t)
	tg.configure(2*time.Second, u)
	for i := range 5 {
		wantStatus(t, tg.call(http.MethodHead, "/clue/1", fmt.Sprint("h-", i), ""), http.StatusOK)
		id := fmt.Sprint("p-", i)
		r := tg.call(http.MethodPost, "/purchase/1", id, "pack")
		if want := "answer to " + id + " pack"; r.err != nil || r.status != http.StatusOK || r.body != want {
			t.Errorf("status %d, body %q, error %v; want %q", r.status, r.body, r.err, want)
		}
	}
}

// A connection that forgot the first IDs it had carried took a late copy of their replies
// for new ones.
func TestConnectionKnowsAllItsRequests(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	p := newPool(newMetricSet(gometrics.NewRegistry()))
	c := &conn{Conn: near, r: bufio.NewReader(near), addr: "u"}
	for i := range maxRequestsPerConn {
		if p.put(c); p.pop("u") != c {
			t.Fatalf("not kept after %d requests", i)
		}
		c.recordSent(fmt.Sprint(i), false)
		if c.mayCarry(fmt.Sprint(i)) || c.mayCarry("0") || !c.mayCarry("next") {
			t.Fatalf("does not know its requests after %d", i+1)
		}
	}
	if p.put(c); p.hasIdle("u") {
		t.Fatalf("kept for more than %d requests", maxRequestsPerConn)
	}
}
