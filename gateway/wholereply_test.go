package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Of headers that came more than once, such as links, the caller got only the last.
func TestRepeatedHeadersReachTheCaller(t *testing.T) {
	lines := "Link: </a>\r\nlink: </b>\r\nVary: Accept\r\nLink: </c>\r\nSet-Cookie: a=1; Path=/\r\nSet-Cookie: b=2\r\nContent-Type: text/html\r\nServer: x\r\nX-Empty:\r\n"
	u := newStub(t, "u", func(s *stub, c net.Conn, r *http.Request, _ string) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: s\r\n%sContent-Length: 4\r\n\r\nbody", s.run(r), lines)
		return true
	})
	tg := newTestGateway(t)
	tg.configure(time.Second, u)
	r := tg.call("GET", "/clue/1", "r-1", "")
	wantStatus(t, r, http.StatusOK)
	r.header.Del("Date")
	want := http.Header{
		"Request-Id": {"r-1"}, "Signature": {"s"}, "Content-Length": {"4"}, "Link": {"</a>", "</b>", "</c>"}, "Vary": {"Accept"},
		"Set-Cookie": {"a=1; Path=/", "b=2"}, "Content-Type": {"text/html"}, "Server": {"x"}, "X-Empty": {""},
	}
	if diff := cmp.Diff(want, r.header); diff != "" {
		t.Error(diff)
	}
}

// A reply that named its signature among the headers of the connection reached the caller as a
// success without it.
func TestSignatureIsNoHeaderOfTheConnection(t *testing.T) {
	u := newStub(t, "u", func(s *stub, c net.Conn, r *http.Request, _ string) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: s\r\nX-Hop: 1\r\nConnection: X-Hop, signature, Request-Id\r\nContent-Length: 4\r\n\r\nbody", s.run(r))
		return true
	})
	tg := newTestGateway(t)
	tg.configure(time.Second, u)
	r := tg.call("POST", "/purchase/1", "r-1", "pack")
	wantStatus(t, r, http.StatusOK)
	if r.header.Get("Signature") != "s" || r.header.Get("Request-Id") != "r-1" || r.body != "body" {
		t.Errorf("header %v, body %q", r.header, r.body)
	}
	if r.header.Get("X-Hop") != "" {
		t.Error("a header of the connection reached the caller")
	}
}

// A reply without a Content-Type reached the caller with one, as plain text.
func TestNoContentTypeIsAdded(t *testing.T) {
	u := newStub(t, "u", answerOK)
	tg := newTestGateway(t)
	tg.configure(time.Second, u)
	r := tg.call("GET", "/clue/1", "r-1", "")
	wantStatus(t, r, http.StatusOK)
	if got, found := r.header["Content-Type"]; found {
		t.Errorf("Content-Type %q", got)
	}
}
