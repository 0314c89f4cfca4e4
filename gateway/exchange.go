package gateway

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/discovery"
	"github.com/catkinrouter/catkinrouter/internal/httpreply"
	"github.com/catkinrouter/catkinrouter/internal/membudget"
)

// Errors of an exchange.
var (
	errStrayReplies    = errors.New("too many interim or stray replies from the upstream")
	errContentEncoding = errors.New("reply has a Content-Encoding, which is not supported")
	errProtocolSwitch  = errors.New("upstream switched protocols without an upgrade request")
	errUnidentified    = errors.New("reply without the request's ID on a connection in use again: it may belong to an earlier request")
)

// maxRepliesRead limits the replies read for one request. Interim replies, and
// late replies to earlier requests, are skipped.
const maxRepliesRead = 8

// exchange writes out and the segments of body to c, a connection to u that has not carried
// the request's ID before, and reads the reply into resp, with memory for its body. The ID is
// empty for a health check. It returns true once a byte may have been sent. A reply without
// an ID is taken only if nothing else was asked for on the connection.
func (g *Gateway) exchange(c *conn, u *discovery.Upstream, out []byte, body [][]byte, id string, isHead bool, deadline time.Time, resp *fasthttp.Response, memory *membudget.Reservation) (wrote bool, err error) {
	defer func() {
		if httpreply.IsMalformed(err) {
			g.metrics.malformedReplies.Inc(1)
		}
	}()
	if err := c.SetDeadline(deadline); err != nil {
		return false, err
	}
	first := !c.used
	c.recordSent(id, isHead)
	if err := c.write(out, body); err != nil {
		return true, err
	}
	for range maxRepliesRead {
		if err := readHead(c, resp); err != nil {
			return true, err
		}
		if resp.StatusCode() < fasthttp.StatusOK {
			continue
		}
		own, err := g.isOwn(resp, id, first)
		if err != nil {
			return true, err
		}
		if own {
			g.recordNotice(u, resp, id == "")
		}
		if err := readBody(c, isHead && own, resp, memory); err != nil {
			return true, err
		}
		if own {
			return true, finishReply(c, resp)
		}
		g.metrics.strayReplies.Inc(1)
	}
	return true, errStrayReplies
}

// isOwn reports whether resp is the reply to the request with the given ID, empty for a
// health check, and not a late one to an earlier request. It returns an error if that can't
// be told; first is set if nothing was sent on the connection before.
func (g *Gateway) isOwn(resp *fasthttp.Response, id string, first bool) (bool, error) {
	switch got := string(resp.Header.Peek(g.proto.RequestID)); {
	case got == id:
		return true, nil
	case got != "":
		return false, nil
	case first:
		return true, nil
	case g.isHealthReply(resp):
		return false, nil
	}
	return false, errUnidentified
}

// isHealthReply reports whether resp can only be the reply to a health check: it names the
// upstream, and is neither a refusal nor signed.
func (g *Gateway) isHealthReply(resp *fasthttp.Response) bool {
	h := &resp.Header
	code := h.StatusCode()
	return (code == fasthttp.StatusOK || code == fasthttp.StatusServiceUnavailable) &&
		len(h.Peek(g.proto.UpstreamID)) > 0 && len(h.Peek(g.proto.NotRun)) == 0 && len(h.Peek(g.proto.Signature)) == 0
}

// finishReply records that c has delivered a whole reply, and checks that its body can
// be passed on.
func finishReply(c *conn, resp *fasthttp.Response) error {
	c.lastReplyAt = time.Now()
	c.idleLimit = idleLimitOf(resp)
	if len(resp.Header.Peek(fasthttp.HeaderContentEncoding)) > 0 {
		return errContentEncoding
	}
	return nil
}

// readHead reads the head of one final or interim reply. It must fit the buffer of the
// connection.
func readHead(c *conn, resp *fasthttp.Response) error {
	resp.Reset()
	resp.Header.SetNoDefaultContentType(true)
	if err := httpreply.ReadHead(c.r, &resp.Header); err != nil {
		return unexpectedEOF(err)
	}
	if resp.StatusCode() == fasthttp.StatusSwitchingProtocols {
		return errProtocolSwitch
	}
	return nil
}

// readBody reads the whole body of a final reply. Its trailer must fit the buffer of the
// connection.
func readBody(c *conn, isHead bool, resp *fasthttp.Response, memory *membudget.Reservation) error {
	switch code := resp.StatusCode(); {
	case isHead, code == fasthttp.StatusNoContent, code == fasthttp.StatusNotModified:
		return nil
	}
	return unexpectedEOF(readReplyBody(memory, c, resp))
}

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// idleLimitMargin is subtracted from the time that an upstream announces for
// idle connections.
const idleLimitMargin = 500 * time.Millisecond

// idleLimitOf returns how long the connection may be idle after resp: the
// timeout of its Keep-Alive header, or defaultIdleLimit.
func idleLimitOf(resp *fasthttp.Response) time.Duration {
	for part := range strings.SplitSeq(string(resp.Header.Peek("Keep-Alive")), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(v); err == nil {
				return min(maxIdleLimit, time.Duration(n)*time.Second-idleLimitMargin)
			}
		}
	}
	return defaultIdleLimit
}

// requestHead returns the request line and the headers that are the same in
// every attempt. If there are customers, the caller's key is left out.
func (g *Gateway) requestHead(ctx *fasthttp.RequestCtx, customers bool) []byte {
	h := &ctx.Request.Header
	b := append([]byte(nil), h.Method()...)
	b = append(b, ' ')
	b = append(b, h.RequestURI()...)
	b = append(b, " HTTP/1.1\r\n"...)
	connectionHeader := strings.ToLower(string(h.Peek(fasthttp.HeaderConnection)))
	for k, v := range h.AllInOrder() {
		name := string(k)
		if g.isPerAttemptHeader(name) || g.isHopByHop(name, connectionHeader) || customers && strings.EqualFold(name, fasthttp.HeaderAuthorization) {
			continue
		}
		b = append(b, k...)
		b = append(b, ": "...)
		b = append(b, v...)
		b = append(b, "\r\n"...)
	}
	return b
}

// isPerAttemptHeader reports whether a request header is set by this system in each
// attempt, whatever the caller sent.
func (g *Gateway) isPerAttemptHeader(name string) bool {
	return strings.EqualFold(name, g.proto.Deadline) || strings.EqualFold(name, g.proto.ExpectUpstream) || strings.EqualFold(name, g.proto.Customer)
}

// isHopByHop reports whether a header applies to a single connection only. The request's ID
// and the signature never do, whatever the Connection header names: without them, a caller
// can't tell the answer to its request.
func (g *Gateway) isHopByHop(name, connectionHeader string) bool {
	if strings.EqualFold(name, g.proto.RequestID) || strings.EqualFold(name, g.proto.Signature) {
		return false
	}
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization",
		"te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect":
		return true
	}
	for token := range strings.SplitSeq(connectionHeader, ",") {
		if token = strings.TrimSpace(token); token != "" && strings.EqualFold(token, name) {
			return true
		}
	}
	return false
}

// maxInlineBody is the size of the largest body that is copied behind the headers, so that
// both are sent by one write.
const maxInlineBody = 16 << 10 // bytes

// appendRequest appends a request for one attempt. It returns the segments of the body that
// follow it.
func (g *Gateway) appendRequest(b []byte, c *call, t *try, timeLeft time.Duration) (out []byte, rest [][]byte) {
	b = append(b, t.head...)
	b = fmt.Appendf(b, "%s: %d\r\n%s: %s\r\n", g.proto.Deadline, timeLeft.Milliseconds(), g.proto.ExpectUpstream, t.upstream.ID)
	if t.customer != nil {
		b = fmt.Appendf(b, "%s: %s\r\n", g.proto.Customer, t.customer.Name)
	}
	if c.body.size > 0 || c.hasBody {
		b = fmt.Appendf(b, "Content-Length: %d\r\n", c.body.size)
	}
	b = append(b, "\r\n"...)
	if c.body.size > maxInlineBody {
		return b, c.body.segments
	}
	for _, s := range c.body.segments {
		b = append(b, s...)
	}
	return b, nil
}
