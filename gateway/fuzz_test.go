package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"slices"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/discovery"
	"github.com/catkinrouter/catkinrouter/internal/httpreply/replytest"
	"github.com/catkinrouter/catkinrouter/internal/membudget"
)

// replayConn is a connection on which the peer sends some bytes and closes.
type replayConn struct {
	net.Conn
	in io.Reader
}

func (c replayConn) Read(p []byte) (int, error)  { return c.in.Read(p) }
func (c replayConn) Write(p []byte) (int, error) { return len(p), nil }
func (c replayConn) SetDeadline(time.Time) error { return nil }
func (c replayConn) Close() error                { return nil }

// Any bytes in place of a reply must be read without a panic, within the memory
// for replies, and a success must bear the request's ID or none.
func FuzzReply(f *testing.F) {
	for _, c := range append(replytest.Endless, strayReplies) {
		f.Add([]byte(c.Start("Request-Id: r")))
	}
	for _, c := range slices.Concat(replytest.Heads(), replytest.Bodies, replytest.Trailers) {
		f.Add([]byte(c.Raw("Request-Id: r")))
	}
	f.Add([]byte("HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.0 200 OK\r\n\r\nuntil the end"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\nRequest-Id: r\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: y\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		g := New(Options{Now: func() time.Duration { return 0 }, MemoryBytes: 4 << 20}, testProtocol(), nil, gometrics.NewRegistry())
		c := &conn{Conn: replayConn{in: bytes.NewReader(in)}}
		c.r = bufio.NewReaderSize(c.Conn, connBuffer)
		memory := g.memory.Begin(membudget.Replies, 0)
		resp := fasthttp.AcquireResponse()
		defer fasthttp.ReleaseResponse(resp)
		_, err := g.exchange(c, &discovery.Upstream{}, nil, nil, "r", false, time.Now(), resp, &memory)
		if id := string(resp.Header.Peek("Request-Id")); err == nil && id != "r" && id != "" {
			t.Errorf("the reply to %q was taken", id)
		}
		if int64(len(resp.Body())) > memory.Limit() {
			t.Errorf("body of %d bytes", len(resp.Body()))
		}
		memory.Close()
		if n := g.memory.Taken(membudget.Replies); n != 0 {
			t.Errorf("%d bytes taken at the end", n)
		}
	})
}
