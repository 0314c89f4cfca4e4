package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A caller that had closed only its sending side got an empty response with status 200.
func TestHalfClosedCallerGetsNoEmptyAnswer(t *testing.T) {
	slow := func(s *stub, c net.Conn, r *http.Request, body string) bool {
		time.Sleep(400 * time.Millisecond)
		return answerOK(s, c, r, body)
	}
	refused := func(s *stub, c net.Conn, r *http.Request, body string) bool {
		time.Sleep(50 * time.Millisecond)
		fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"))
		return true
	}
	for _, tt := range []struct {
		name, path string
		do         behaviour
		answer     bool // the upstream answers, and the call is not cancelled
	}{
		{"cancelled", "/clue/1", slow, false},
		{"not cancelled", "/purchase/1", slow, true},
		{"not repeated", "/purchase/1", refused, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			tg := newTestGateway(t)
			tg.configure(2*time.Second, newStub(t, "a", tt.do), newStub(t, "b", tt.do))
			c, err := net.Dial("tcp4", tg.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: half-1\r\nDeadline-Ms: 1500\r\nContent-Length: 4\r\n\r\npack", tt.path, testHost)
			time.Sleep(20 * time.Millisecond) // it is sent to the upstream
			if err := c.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			c.SetReadDeadline(time.Now().Add(5 * time.Second))
			got, err := io.ReadAll(c)
			if err != nil && !strings.Contains(err.Error(), "reset") {
				t.Fatalf("the connection was not closed: %v", err)
			}
			if whole := strings.HasPrefix(string(got), "HTTP/1.1 200 OK") && strings.HasSuffix(string(got), "answer to half-1 pack"); whole != tt.answer || !whole && len(got) > 0 {
				t.Errorf("got %q", got)
			}
		})
	}
}
