package gateway

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/customer"
	"github.com/catkinrouter/catkinrouter/discovery"
	"github.com/catkinrouter/catkinrouter/internal/httpreply/replytest"
)

// malformed answers with the bytes of a case, signed and with the request's ID.
func malformed(c replytest.Case) behaviour {
	return func(s *stub, cn net.Conn, r *http.Request, _ string) bool {
		_, err := io.WriteString(cn, c.Raw("Request-Id: "+s.run(r), "Signature: s"))
		return err == nil && !c.Closes
	}
}

// An upstream answered with a status line that HTTP does not allow, such as status 000, and
// the caller got it as an answer.
func TestMalformedStatusLineIsNoAnswer(t *testing.T) { testMalformed(t, replytest.StatusLines) }

// A request with a customer's key got a status line that HTTP does not allow, such as status
// 000, as its answer.
func TestMalformedStatusLineWithKeyIsNoAnswer(t *testing.T) {
	customers := customer.NewSet()
	customers.Add(customer.Customer{Name: "acme"})
	customers.AddKey("acme", "k-1")
	for _, c := range replytest.StatusLines {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			u := newStub(t, "u", malformed(c))
			tg := newTestGateway(t)
			tg.configure(time.Second, u)
			snap := tg.g.snapshot.Load()
			table := *snap.table
			table.Customers = customers
			tg.g.SetRoutes(&table, snap.upstreams)
			tg.g.proto.Customer = "Customer"
			for i := range 20 { // a connection may time out on a busy machine
				id := fmt.Sprint("k-", i)
				r := tg.callWithKey(id, "k-1")
				if r.err == nil && r.status == http.StatusServiceUnavailable && u.runCount(id) == 0 {
					continue
				}
				if r.err != nil || r.status != http.StatusBadGateway || u.runCount(id) != 1 {
					t.Errorf("status %d, body %q, error %v, ran %d times; want 502 after 1 run", r.status, r.body, r.err, u.runCount(id))
				}
				return
			}
			t.Error("no request ran")
		})
	}
}

// callWithKey sends one purchase with a customer's key.
func (tg *testGateway) callWithKey(id, key string) reply {
	c, err := net.Dial("tcp4", tg.addr)
	if err != nil {
		return reply{err: err}
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /purchase/1 HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nRequest-Id: %s\r\nContent-Length: 4\r\n\r\npack", testHost, key, id)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(text), err: err}
}

// An upstream answered with a blank in the name of a header, and the caller got it as an
// answer: with that line, or with another body than the upstream's.
func TestMalformedFieldNameIsNoAnswer(t *testing.T) { testMalformed(t, replytest.FieldNames) }

// An upstream answered with a folded line, or with a line that a line feed alone ended, and
// the caller got it as an answer: with another signature, or another body than its own.
func TestMalformedLineIsNoAnswer(t *testing.T) { testMalformed(t, replytest.Lines) }

// An upstream answered by HTTP/1.0 with a body in chunks, which that version does not know, and
// the bytes of the chunks reached the caller as the body.
func TestChunksOfHTTP10AreNoAnswer(t *testing.T) { testMalformed(t, replytest.OldFramings) }

// A body whose end can't be told, by its length or its chunks, must not reach a caller.
func TestMalformedBodyIsNoAnswer(t *testing.T) { testMalformed(t, replytest.Bodies) }

// An upstream answered in chunks with a trailer that HTTP does not allow, and the caller got it as
// an answer.
func TestMalformedTrailerIsNoAnswer(t *testing.T) { testMalformed(t, replytest.Trailers) }

// testMalformed checks that no malformed reply reaches a caller, that requests that are not
// idempotent end as unknown, and that idempotent ones are answered by another upstream.
func testMalformed(t *testing.T, cases []replytest.Case) {
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			bad, good := newStub(t, "bad", malformed(c)), newStub(t, "good", answerOK)
			tg := newTestGateway(t)
			tg.configure(time.Second, bad)
			r, id := tg.purchaseUntilRun(bad)
			if r.err != nil || r.status != http.StatusBadGateway || r.header.Get("Signature") != "" {
				t.Errorf("purchase: status %d, body %q, header %v, error %v; want 502", r.status, r.body, r.header, r.err)
			}
			if n := bad.runCount(id); n != 1 {
				t.Errorf("the purchase ran %d times", n)
			}
			tg.configure(time.Second, bad, good)
			tg.wantAnswers(3)
		})
	}
}

// wantAnswers sends idempotent requests until n of them have the answer of answerOK. On a busy
// machine a connection to the upstream may time out: a request may then be refused.
func (tg *testGateway) wantAnswers(n int) {
	tg.t.Helper()
	answered := 0
	for i := range 20 {
		id := fmt.Sprint("clue-", i)
		switch r := tg.call("GET", "/clue/1", id, ""); {
		case r.err == nil && r.status == http.StatusOK && r.body == "answer to "+id+" ":
			if answered++; answered == n {
				return
			}
		case r.err != nil || r.status != http.StatusServiceUnavailable:
			tg.t.Errorf("%s: status %d, body %q, error %v; want the other upstream's answer", id, r.status, r.body, r.err)
		}
	}
	tg.t.Errorf("%d requests were answered, want %d", answered, n)
}

// probeUntilConnected probes u until a connection did not time out, as it may on a busy machine.
func (tg *testGateway) probeUntilConnected(u *discovery.Upstream) (res probeResult) {
	tg.t.Helper()
	for range 20 {
		res = tg.g.probe(u, "/health", time.Now().Add(lateProbeTimeout))
		var failed *net.OpError
		if !errors.As(res.err, &failed) || !failed.Timeout() {
			break
		}
	}
	return res
}

// A reply that HTTP does not allow counted as a health reply.
func TestMalformedHealthReply(t *testing.T) {
	for _, c := range replytest.Heads() {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			tg := newTestGateway(t)
			u := &discovery.Upstream{ID: "u", Service: testService, Address: replytest.Answer(t, c, "Upstream-Id: u", "Load: 0,0,6")}
			if res := tg.probeUntilConnected(u); res.err == nil {
				t.Errorf("taken as a reply: %+v", res.report)
			}
			if n := tg.g.metrics.malformedReplies.Count(); n != 1 {
				t.Errorf("%d malformed replies counted", n)
			}
		})
	}
}
