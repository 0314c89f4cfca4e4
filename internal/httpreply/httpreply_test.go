package httpreply_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/internal/httpreply"
	"github.com/catkinrouter/catkinrouter/internal/httpreply/replytest"
)

const testBuffer = 4 << 10 // bytes

// allowed are heads that HTTP/1.1 allows, with their status.
var allowed = map[string]int{
	"HTTP/1.1 200 OK\r\n\r\n":                                              200,
	"HTTP/1.1 200 \r\n\r\n":                                                200,
	"HTTP/1.1 200\r\n\r\n":                                                 200,
	"HTTP/1.0 503 Not now\r\nServer: x\r\n\r\n":                            503,
	"HTTP/1.1 100 Continue\r\n\r\n":                                        100,
	"HTTP/1.1 599 \tsch\xf6n, 1 \r\n\r\n":                                  599,
	"HTTP/1.1 404 Not Found\r\nX-!#$%&'*+-.^_`|~09aZ:\t a\tb \xff\r\n\r\n": 404,
	"HTTP/1.1 204 No Content\r\nX-Empty:\r\nX-Also-Empty: \r\n\r\n":        204,
}

// A head that HTTP allows must be taken, in whatever pieces it arrives.
func TestReadHeadTakesWhatIsAllowed(t *testing.T) {
	for raw, status := range allowed {
		for name, src := range map[string]io.Reader{"at once": strings.NewReader(raw + "body"), "byte by byte": iotest.OneByteReader(strings.NewReader(raw + "body"))} {
			r := bufio.NewReaderSize(src, testBuffer)
			var h fasthttp.ResponseHeader
			if err := httpreply.ReadHead(r, &h); err != nil || h.StatusCode() != status {
				t.Errorf("%q %s: status %d, error %v", raw, name, h.StatusCode(), err)
			}
			if rest, err := io.ReadAll(r); err != nil || string(rest) != "body" {
				t.Errorf("%q %s: %q follows the head, error %v", raw, name, rest, err)
			}
		}
	}
}

// Bytes that are no reply must be told from one that has not arrived as a whole.
func TestReadHeadOfMalformedReplies(t *testing.T) {
	for _, c := range replytest.Heads() {
		for name, src := range map[string]io.Reader{"at once": strings.NewReader(c.Raw()), "byte by byte": iotest.OneByteReader(strings.NewReader(c.Raw()))} {
			var h fasthttp.ResponseHeader
			var malformed *httpreply.MalformedError
			if err := httpreply.ReadHead(bufio.NewReaderSize(src, testBuffer), &h); !errors.As(err, &malformed) {
				t.Errorf("%s, %s: error %v, want a malformed reply", c.Name, name, err)
			}
		}
	}
}

// A trailer that HTTP allows must be taken, and no other, in whatever pieces it arrives.
func TestReadTrailer(t *testing.T) {
	for raw, allowed := range map[string]bool{
		"\r\n": true, "X-Sum: 7\r\n\r\n": true, "X-Sum: 7\r\nX-Empty:\r\n\r\n": true,
		"X Sum: 7\r\n\r\n": false, "X-Sum : 7\r\n\r\n": false, "X-Sum: 7\r\n 8\r\n\r\n": false, "X-Sum: 7\n\r\n": false,
		"\n": false, "X-Sum: 7\r\n\n": false, "X-Sum\r\n\r\n": false, "HTTP/1.1 200 OK\r\n\r\n": false, "X-Sum: \x00\r\n\r\n": false,
	} {
		for name, src := range map[string]io.Reader{"at once": strings.NewReader(raw + "next"), "byte by byte": iotest.OneByteReader(strings.NewReader(raw + "next"))} {
			r := bufio.NewReaderSize(src, testBuffer)
			var h fasthttp.ResponseHeader
			err := httpreply.ReadTrailer(r, &h)
			if allowed && err != nil {
				t.Errorf("%q %s: error %v", raw, name, err)
			}
			var malformed *httpreply.MalformedError
			if !allowed && !errors.As(err, &malformed) {
				t.Errorf("%q %s: error %v, want a malformed reply", raw, name, err)
			}
			if rest, err := io.ReadAll(r); allowed && (err != nil || string(rest) != "next") {
				t.Errorf("%q %s: %q follows the trailer, error %v", raw, name, rest, err)
			}
		}
	}
}

// A head that ends early, or that exceeds the buffer, must be an error.
func TestReadHeadCutOrTooLarge(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nX-Note: a\r\n\r\n"
	var h fasthttp.ResponseHeader
	for n := range len(whole) {
		if err := httpreply.ReadHead(bufio.NewReaderSize(strings.NewReader(whole[:n]), testBuffer), &h); !errors.Is(err, io.EOF) {
			t.Errorf("cut after %d bytes: error %v", n, err)
		}
	}
	large := strings.Replace(whole, "a", strings.Repeat("a", testBuffer), 1)
	if err := httpreply.ReadHead(bufio.NewReaderSize(strings.NewReader(large), testBuffer), &h); !errors.Is(err, httpreply.ErrTooLarge) {
		t.Errorf("too large: error %v", err)
	}
}

// converse lets a server write replies to one request each, byte by byte if split is set, and
// returns the client's checked connection.
func converse(t *testing.T, split bool, replies ...string) *httpreply.Conn {
	t.Helper()
	client, server := net.Pipe()
	t.Cleanup(func() { client.Close() })
	go func() {
		defer server.Close()
		for _, raw := range replies {
			if _, err := io.ReadFull(server, make([]byte, len(request))); err != nil {
				return
			}
			step := len(raw)
			if split {
				step = 1
			}
			for ; raw != ""; raw = raw[step:] {
				if _, err := io.WriteString(server, raw[:step]); err != nil {
					return
				}
			}
		}
	}()
	if err := client.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return httpreply.NewConn(client)
}

const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// Replies one after another, interim ones among them and bodies like heads that are not
// allowed, must pass a checked connection unchanged.
func TestConnPassesReplies(t *testing.T) {
	replies := []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nno\r\nreply\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	}
	for _, split := range []bool{false, true} {
		c := converse(t, split, replies...)
		for _, want := range replies {
			if _, err := io.WriteString(c, request); err != nil {
				t.Fatal(err)
			}
			got := make([]byte, len(want))
			if _, err := io.ReadFull(c, got); err != nil || string(got) != want {
				t.Errorf("split %v: got %q, error %v; want %q", split, got, err, want)
			}
		}
	}
}

// A malformed reply, also behind others, must not reach the client of a checked connection.
func TestConnRefusesMalformedReplies(t *testing.T) {
	const before = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
	for _, c := range replytest.Heads() {
		for _, split := range []bool{false, true} {
			for _, interim := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n"} {
				conn := converse(t, split, before, interim+c.Raw())
				if _, err := io.WriteString(conn, request); err != nil {
					t.Fatal(err)
				}
				if _, err := io.ReadFull(conn, make([]byte, len(before))); err != nil {
					t.Fatal(err)
				}
				if _, err := io.WriteString(conn, request); err != nil {
					t.Fatal(err)
				}
				var malformed *httpreply.MalformedError
				if got, err := io.ReadAll(conn); !errors.As(err, &malformed) {
					t.Errorf("%s, split %v: got %q, error %v", c.Name, split, got, err)
				}
			}
		}
	}
}

// A head without end must not be kept by a checked connection.
func TestConnBoundsHead(t *testing.T) {
	conn := converse(t, false, "HTTP/1.1 200 OK\r\nX-Note: "+strings.Repeat("a", 1<<20))
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(conn); !errors.Is(err, httpreply.ErrTooLarge) || len(got) > 1<<17 {
		t.Errorf("got %d bytes, error %v", len(got), err)
	}
}
