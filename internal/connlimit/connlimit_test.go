package connlimit

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

// failingListener fails to accept with the given errors, one after the other.
type failingListener struct {
	net.Listener
	mu   sync.Mutex
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	if len(l.errs) > 0 {
		err := l.errs[0]
		l.errs = l.errs[1:]
		l.mu.Unlock()
		return nil, &net.OpError{Op: "accept", Err: err}
	}
	l.mu.Unlock()
	return l.Listener.Accept()
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// A failed accept, for want of descriptors or memory, ended the whole process.
func TestFailedAcceptEndsNothing(t *testing.T) {
	inner := &failingListener{Listener: listen(t), errs: []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.ENOBUFS, syscall.ECONNABORTED, syscall.EPROTO}}
	registry := gometrics.NewRegistry()
	l := NewListener(inner, "test", nil, log.NewNopLogger(), registry)
	c, err := net.Dial("tcp4", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	got, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	got.Close()
	if n := gometrics.GetOrRegisterCounter("accept_errors_total.test", registry).Count(); n != 6 {
		t.Errorf("%d failures counted, want 6", n)
	}
}

func TestAcceptEndsWithItsListener(t *testing.T) {
	inner := &failingListener{Listener: listen(t)}
	l := NewListener(inner, "test", nil, log.NewNopLogger(), gometrics.NewRegistry())
	for range 100 {
		inner.errs = append(inner.errs, syscall.EMFILE)
	}
	time.AfterFunc(50*time.Millisecond, func() { l.Close() })
	began := time.Now()
	for len(inner.errs) > 0 {
		if _, err := l.Accept(); errors.Is(err, net.ErrClosed) {
			break
		}
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("Accept took %v to return after Close", took)
	}
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept after Close: %v", err)
	}
}

// site is an HTTP server with a limit.
type site struct {
	t       *testing.T
	addr    string
	limiter *Limiter
	release chan struct{} // answers to requests for /wait wait for it
}

func newSite(t *testing.T, max int) *site {
	t.Helper()
	registry := gometrics.NewRegistry()
	response := func([]byte) []byte {
		return []byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	}
	s := &site{t: t, limiter: NewLimiter(Options{Name: "test", Max: max, Response: response}, registry), release: make(chan struct{})}
	ln := listen(t)
	s.addr = ln.Addr().String()
	srv := &fasthttp.Server{ConnState: s.limiter.SetState, Handler: func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/wait" {
			<-s.release
		}
		ctx.SetBodyString("ok")
	}}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(NewListener(ln, "test", s.limiter, log.NewNopLogger(), registry)) }()
	t.Cleanup(func() {
		ln.Close()
		<-done
	})
	return s
}

// dial opens a connection.
func (s *site) dial() net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp4", s.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	return c
}

// call sends a request on c and returns the status, 0 if the connection was closed.
func call(c net.Conn, path string) int {
	c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// stateDelay is more than the time from a response to the state that the server reports
// after it.
const stateDelay = 20 * time.Millisecond

// At the limit, the connections that have been idle longest make room.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	s := newSite(t, 3)
	var conns []net.Conn
	for range 3 {
		c := s.dial()
		conns = append(conns, c)
		if got := call(c, "/"); got != 200 {
			t.Fatalf("status %d", got)
		}
		time.Sleep(stateDelay)
	}
	if got := call(conns[0], "/"); got != 200 { // now the second is idle longest
		t.Fatalf("status %d", got)
	}
	time.Sleep(stateDelay)
	if got := call(s.dial(), "/"); got != 200 {
		t.Fatalf("a new connection got status %d", got)
	}
	for i, want := range []int{200, 0, 200} {
		if got := call(conns[i], "/"); got != want {
			t.Errorf("connection %d got status %d, want %d", i, got, want)
		}
	}
}

// While all connections are in use, new ones get the response, and those in use go on.
func TestNoIdleConnectionRejects(t *testing.T) {
	s := newSite(t, 3)
	var wg sync.WaitGroup
	for range 3 {
		c := s.dial()
		wg.Go(func() {
			if got := call(c, "/wait"); got != 200 {
				t.Errorf("a connection in use got status %d", got)
			}
		})
	}
	for end := time.Now().Add(5 * time.Second); s.limiter.Open() < 3; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not all connections were accepted")
		}
	}
	time.Sleep(50 * time.Millisecond) // their requests arrive
	for range 100 {
		if got := call(s.dial(), "/"); got != 503 {
			t.Errorf("a new connection got status %d, want 503", got)
		}
	}
	close(s.release)
	wg.Wait()
	if got := call(s.dial(), "/"); got != 200 {
		t.Errorf("afterwards a new connection got status %d", got)
	}
}

// Connections without any request must not keep others out.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	s := newSite(t, 3)
	for range 3 {
		s.dial()
	}
	time.Sleep(newGrace + 50*time.Millisecond)
	for range 3 {
		if got := call(s.dial(), "/"); got != 200 {
			t.Errorf("a new connection got status %d", got)
		}
	}
}

// state returns what has become of c after a while: "open", or what it received until its end.
func state(t *testing.T, c net.Conn, wait time.Duration) string {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(c)
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return "open"
	}
	return string(got)
}

// The operators' timeouts held for no caller: fixed ones stood in their place.
func TestTimeouts(t *testing.T) {
	const short, long = 50 * time.Millisecond, time.Minute
	for _, c := range []struct {
		name     string
		timeouts Timeouts
		sent     string // after one whole request
		want     string // the beginning of what is received
	}{
		{"an idle connection is closed without a word", Timeouts{Idle: short, Header: long}, "", ""},
		{"an idle connection stays open", Timeouts{Idle: long, Header: short}, "", "open"},
		{"a slow header ends", Timeouts{Idle: long, Header: short}, "GET / HTTP/1.1\r\nHost:", "HTTP/1.1 4"},
		{"a slow header goes on", Timeouts{Idle: short, Header: long}, "GET / HTTP/1.1\r\nHost:", "open"},
	} {
		s := newSite(t, 0)
		s.limiter.SetTimeouts(c.timeouts)
		conn := s.dial()
		if got := call(conn, "/"); got != 200 {
			t.Fatalf("%s: status %d", c.name, got)
		}
		if _, err := io.WriteString(conn, c.sent); err != nil {
			t.Fatal(err)
		}
		wait := 10 * short
		if c.want != "open" {
			wait = 5 * time.Second
		}
		if got := state(t, conn, wait); got != c.want && (c.want == "" || !strings.HasPrefix(got, c.want)) {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

// A new idle timeout must hold for connections that are idle already.
func TestNewIdleTimeoutHoldsForIdleConnections(t *testing.T) {
	s := newSite(t, 0)
	s.limiter.SetTimeouts(Timeouts{Idle: time.Minute})
	shorter := s.dial()
	if got := call(shorter, "/"); got != 200 {
		t.Fatalf("status %d", got)
	}
	time.Sleep(stateDelay)
	s.limiter.SetTimeouts(Timeouts{Idle: 50 * time.Millisecond})
	if got := state(t, shorter, 5*time.Second); got != "" {
		t.Errorf("with a shorter timeout: %q", got)
	}
	s.limiter.SetTimeouts(Timeouts{Idle: 300 * time.Millisecond})
	longer := s.dial()
	if got := call(longer, "/"); got != 200 {
		t.Fatalf("status %d", got)
	}
	time.Sleep(stateDelay)
	s.limiter.SetTimeouts(Timeouts{Idle: time.Minute})
	if got := state(t, longer, 600*time.Millisecond); got != "open" {
		t.Errorf("with a longer timeout: %q", got)
	}
	if got := call(longer, "/"); got != 200 {
		t.Errorf("status %d", got)
	}
}

// A server that is told of no end of a connection would reject all at some time.
func TestEndedConnectionsAreForgotten(t *testing.T) {
	s := newSite(t, 20)
	for range 200 {
		c := s.dial()
		if got := call(c, "/"); got != 200 {
			t.Fatalf("status %d", got)
		}
		c.Close()
	}
	for end := time.Now().Add(5 * time.Second); s.limiter.Open() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections are open", s.limiter.Open())
		}
	}
}
