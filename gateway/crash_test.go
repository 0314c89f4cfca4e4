package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// crash ends the stub as its process would end: without a reply, and nothing
// listens any more.
func crash(s *stub, c net.Conn, r *http.Request, _ string) bool {
	s.run(r)
	s.ln.Close()
	return false
}

// breakOff closes the connection without a reply; the stub goes on.
func breakOff(s *stub, _ net.Conn, r *http.Request, _ string) bool {
	s.run(r)
	return false
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("still not: %s", what)
		}
	}
}

// A connection that breaks is no crash of the upstream.
func TestCrashIsToldFromBrokenConnection(t *testing.T) {
	for _, c := range []struct {
		name    string
		do      behaviour
		crashes int64
	}{{"crash", crash, 1}, {"broken connection", breakOff, 0}} {
		t.Run(c.name, func(t *testing.T) {
			s := newStub(t, "a", c.do)
			tg := newTestGateway(t)
			tg.configure(2*time.Second, s)
			wantStatus(t, tg.call("POST", "/purchase/1", "p-1", "pack"), http.StatusBadGateway)
			waitFor(t, "check ended", func() bool { return s.runCount("p-1") == 1 && tg.g.crashChecks.Load() == 0 })
			if got := tg.g.metrics.crashes.Count(); got != c.crashes {
				t.Errorf("%d crashes counted, want %d", got, c.crashes)
			}
		})
	}
}
