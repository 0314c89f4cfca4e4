package gateway

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// Faults of an exchange.
var (
	errStrayReplies = errors.New("upstream sent too many replies to other requests")
	errEncoded      = errors.New("reply has a content encoding that was not asked for")
	errSwitch       = errors.New("upstream switched protocols unasked")
)

const (
	maxReply = 64 << 20 // bytes
	// maxStray bounds interim replies, and late replies to earlier requests,
	// that are passed over before the one awaited.
	maxStray = 8
)

// exchange sends out on c and reads the reply to the request with the ID
// given into resp. It returns true once a byte may have left.
func (g *Gateway) exchange(c *conn, out []byte, id string, headOnly bool, deadline time.Time, resp *fasthttp.Response) (wrote bool, err error) {
	if err := c.SetDeadline(deadline); err != nil {
		return false, err
	}
	if _, err := c.Write(out); err != nil {
		return true, err
	}
	for range maxStray {
		if err := readReply(c, headOnly, resp); err != nil {
			return true, err
		}
		if resp.StatusCode() < fasthttp.StatusOK {
			continue
		}
		if got := string(resp.Header.Peek(g.d.RequestID)); got == id || id != "" && got == "" {
			c.proven = time.Now()
			c.keep = keepAlive(resp)
			if len(resp.Header.Peek(fasthttp.HeaderContentEncoding)) > 0 {
				return true, errEncoded
			}
			return true, nil
		}
		g.m.strayReplies.Inc(1)
	}
	return true, errStrayReplies
}

// readReply reads one reply, interim ones included, with its whole body.
func readReply(c *conn, headOnly bool, resp *fasthttp.Response) error {
	resp.Reset()
	if err := resp.Header.Read(c.r); err != nil {
		return unexpected(err)
	}
	switch code := resp.StatusCode(); {
	case code == fasthttp.StatusSwitchingProtocols:
		return errSwitch
	case code < fasthttp.StatusOK, headOnly, code == fasthttp.StatusNoContent, code == fasthttp.StatusNotModified:
		return nil
	}
	chunked := resp.Header.ContentLength() == -1
	if resp.Header.ContentLength() == -2 {
		resp.SetConnectionClose() // the reply ends with its connection
	}
	if err := resp.ReadBody(c.r, maxReply); err != nil {
		return unexpected(err)
	}
	if chunked {
		return unexpected(resp.Header.ReadTrailer(c.r))
	}
	return nil
}

// unexpected turns the end of input into an error that says so.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// keepMargin is taken off the time for which an upstream says that it keeps an
// idle connection.
const keepMargin = 500 * time.Millisecond

// keepAlive returns how long a connection may be idle.
func keepAlive(resp *fasthttp.Response) time.Duration {
	for part := range strings.SplitSeq(string(resp.Header.Peek("Keep-Alive")), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(v); err == nil {
				return min(maxIdle, time.Duration(n)*time.Second-keepMargin)
			}
		}
	}
	return idleLimit
}

// requestHead returns the request line and the headers that every attempt has.
func (g *Gateway) requestHead(ctx *fasthttp.RequestCtx) []byte {
	h := &ctx.Request.Header
	b := append([]byte(nil), h.Method()...)
	b = append(b, ' ')
	b = append(b, h.RequestURI()...)
	b = append(b, " HTTP/1.1\r\n"...)
	named := strings.ToLower(string(h.Peek(fasthttp.HeaderConnection)))
	for k, v := range h.AllInOrder() {
		name := string(k)
		if g.ownHeader(name) || hopByHop(name, named) {
			continue
		}
		b = append(b, k...)
		b = append(b, ": "...)
		b = append(b, v...)
		b = append(b, "\r\n"...)
	}
	return b
}

// ownHeader tells whether a request header is written anew for each attempt.
func (g *Gateway) ownHeader(name string) bool {
	return strings.EqualFold(name, g.d.Deadline) || strings.EqualFold(name, g.d.ExpectUpstream)
}

// hopByHop tells whether a header concerns one connection alone.
func hopByHop(name, named string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization",
		"te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect":
		return true
	}
	for n := range strings.SplitSeq(named, ",") {
		if n = strings.TrimSpace(n); n != "" && strings.EqualFold(n, name) {
			return true
		}
	}
	return false
}

// appendRequest appends a whole request for one attempt.
func (g *Gateway) appendRequest(b []byte, c *call, upstream string, left time.Duration) []byte {
	b = append(b, c.head...)
	b = fmt.Appendf(b, "%s: %d\r\n%s: %s\r\n", g.d.Deadline, left.Milliseconds(), g.d.ExpectUpstream, upstream)
	if len(c.body) > 0 || c.hasBody {
		b = fmt.Appendf(b, "Content-Length: %d\r\n", len(c.body))
	}
	b = append(b, "\r\n"...)
	return append(b, c.body...)
}
