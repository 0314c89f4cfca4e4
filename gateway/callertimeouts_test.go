package gateway

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/route"
)

// The configuration's timeouts of callers held nowhere: fixed ones of 10 s and 30 s did.
func TestTimeoutsOfTheConfiguration(t *testing.T) {
	const short, long = 300 * time.Millisecond, time.Minute
	u := newSink(t, "u")
	tg := newTestGateway(t)
	tg.setFleet(tg)
	slowHeader := fmt.Sprintf("POST /purchase/2 HTTP/1.1\r\nHost: %s\r\n", testHost)
	for _, c := range []struct {
		name         string
		idle, header time.Duration
		sent         string // after an answered request
		want         string // the beginning of what is received up to the end of the stream
	}{
		{"an idle connection is closed without a word", short, long, "", ""},
		{"a slow header is refused as not run", long, short, slowHeader, "HTTP/1.1 408"},
		{"a header may take as long as the configuration says", short, long, slowHeader, "open"},
		{"a connection may be idle as long as the configuration says", long, short, "", "open"},
	} {
		tg.configureSinks(route.Limits{IdleTimeout: c.idle, HeaderTimeout: c.header}, u)
		conn, err := net.Dial("tcp4", tg.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Fprintf(conn, "POST /purchase/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nContent-Length: 4\r\n\r\npack", testHost, c.name)
		if got := receive(t, conn, short/3); !strings.HasPrefix(got, "HTTP/1.1 200") {
			t.Fatalf("%s: %q", c.name, got)
		}
		if _, err := io.WriteString(conn, c.sent); err != nil {
			t.Fatal(err)
		}
		if c.want == "open" {
			if got := receive(t, conn, 2*short); got != "" {
				t.Errorf("%s: received %q", c.name, got)
			}
			continue
		}
		if err := conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(conn)
		if err != nil || c.want == "" && len(got) > 0 || !strings.HasPrefix(string(got), c.want) {
			t.Errorf("%s: received %q, error %v", c.name, got, err)
		}
	}
}

// receive returns what arrives in the given time. It fails the test if the connection ends.
func receive(t *testing.T, c net.Conn, wait time.Duration) string {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(c)
	if err == nil {
		t.Errorf("the connection ended after %q", got)
	}
	return string(got)
}
