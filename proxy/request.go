package proxy

import (
	"bytes"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/entry"
	"github.com/catkinrouter/catkinrouter/headers"
	"github.com/catkinrouter/catkinrouter/internal/reqtarget"
)

// request is a caller's request in the form that is sent to upstreams. It is
// built once, and can be sent repeatedly unless its body is streamed.
type request struct {
	// head holds the request line and the headers common to all attempts,
	// each with its CRLF.
	head []byte
	// body is the complete body, or the first part of a streamed one.
	body []byte
	// rest is the remainder of a streamed body; nil otherwise.
	rest io.Reader
	// restLen is the number of bytes in rest; negative if it is unknown.
	restLen int
	// limit is the maximum size of a streamed body, in bytes.
	limit int
	// headOnly is set for a HEAD request; its reply has no body.
	headOnly bool
}

func (r *request) reset() {
	*r = request{head: r.head[:0], body: r.body[:0]}
}

// Limits of header values.
const (
	maxKey      = 512            // bytes
	maxCaller   = 128            // bytes
	maxTry      = 1 << 20        // tries
	maxDeadline = 24 * time.Hour // time left
	maxDepth    = 64             // calls
)

// read stores the request line and the headers of ctx in r, and the values
// that the Node needs in c.
func (r *request) read(ctx *fasthttp.RequestCtx, c *entry.Call) *requestError {
	h := &ctx.Request.Header
	target, err := reqtarget.Parse(h.RequestURI(), h.Host())
	if err != nil {
		return newRequestError(reasonBadTarget, err.Error())
	}
	if h.RequestURI()[0] != '/' {
		return newRequestError(reasonBadTarget, "the request line holds a URI in place of a path")
	}
	if h.IsConnect() || h.IsTrace() {
		return newRequestError(reasonBadMethod, "CONNECT and TRACE are not served")
	}
	c.Service = string(serviceOf(target.Host))
	c.Method = methodOf(h.Method())
	c.Path = string(target.Path)
	r.headOnly = h.IsHead()
	r.head = append(r.head, h.Method()...)
	r.head = append(r.head, ' ')
	r.head = append(r.head, h.RequestURI()...)
	r.head = append(r.head, " HTTP/1.1\r\n"...)
	connTokens := h.Peek(fasthttp.HeaderConnection)
	for k, v := range h.AllInOrder() {
		if reqErr := r.parseHeader(k, v, connTokens, c); reqErr != nil {
			return reqErr
		}
	}
	if c.Caller == "" {
		c.Caller = remoteIP(ctx.RemoteAddr())
	}
	return nil
}

// parseHeader stores a header in c, in the request, in both, or drops it if
// it is hop-by-hop.
func (r *request) parseHeader(k, v, connTokens []byte, c *entry.Call) *requestError {
	switch string(k) {
	case headers.Key:
		if !isVisibleASCII(v, maxKey) || c.Key != "" {
			return newHeaderError(reasonBadKey, headers.Key, "send one value of up to 512 visible ASCII characters")
		}
		c.Key = string(v)
	case headers.Try:
		return parseIntHeader(&c.Try, v, 1, maxTry, reasonBadTry, headers.Try)
	case headers.Deadline:
		ms := 0
		reqErr := parseIntHeader(&ms, v, 1, int(maxDeadline/time.Millisecond), reasonBadDeadline, headers.Deadline)
		c.Timeout = time.Duration(ms) * time.Millisecond
		return reqErr
	case headers.Depth:
		return parseIntHeader(&c.Depth, v, 0, maxDepth, reasonBadDepth, headers.Depth)
	case headers.RetriesSpent:
		c.RetriesSpent = true
		return checkFlagHeader(v, reasonBadRetriesSpent, headers.RetriesSpent)
	case headers.Forwarded:
		c.Forwarded = true
		return checkFlagHeader(v, reasonBadForwarded, headers.Forwarded)
	case headers.Attempt: // of the connection that the request came on
	case headers.Caller:
		if !isVisibleASCII(v, maxCaller) {
			return newHeaderError(reasonBadCaller, headers.Caller, "send up to 128 visible ASCII characters")
		}
		c.Caller = string(v)
		r.add(k, v)
	default:
		if !isHopByHop(k, connTokens) {
			r.add(k, v)
		}
	}
	return nil
}

func (r *request) add(k, v []byte) {
	r.head = append(r.head, k...)
	r.head = append(r.head, ": "...)
	r.head = append(r.head, v...)
	r.head = append(r.head, "\r\n"...)
}

func (r *request) addInt(k string, v int) {
	r.head = appendInt(r.head, k, v)
}

func appendInt(b []byte, k string, v int) []byte {
	b = append(b, k...)
	b = append(b, ": "...)
	b = strconv.AppendInt(b, int64(v), 10)
	return append(b, "\r\n"...)
}

// appendAttemptHeaders appends the headers that differ between attempts, and
// the empty line after the headers.
func (r *request) appendAttemptHeaders(b []byte, c *entry.Call, st *entry.Step, left time.Duration) []byte {
	b = appendInt(b, headers.Deadline, max(1, int(left/time.Millisecond)))
	if st.RetriesSpent || c.RetriesSpent {
		b = append(b, headers.RetriesSpent+": 1\r\n"...)
	}
	if c.Key != "" {
		b = append(b, headers.Key+": "...)
		b = append(b, c.Key...)
		b = append(b, "\r\n"...)
	}
	if c.Try > 0 {
		b = appendInt(b, headers.Try, c.Try)
	}
	if st.Kind != entry.StepForward {
		return append(appendInt(b, headers.Depth, c.Depth+1), "\r\n"...)
	}
	b = appendInt(b, headers.Depth, c.Depth)
	b = append(b, headers.Forwarded+": 1\r\n"...)
	return append(b, "\r\n"...)
}

// serviceOf returns the service that a Host header names: the host without
// its port.
func serviceOf(host []byte) []byte {
	if i := bytes.LastIndexByte(host, ':'); i >= 0 {
		return host[:i]
	}
	return host
}

// methodOf returns the method as a string, without an allocation for common
// ones.
func methodOf(m []byte) string {
	switch string(m) {
	case fasthttp.MethodGet:
		return fasthttp.MethodGet
	case fasthttp.MethodPost:
		return fasthttp.MethodPost
	case fasthttp.MethodPut:
		return fasthttp.MethodPut
	}
	return string(m)
}

func remoteIP(a net.Addr) string {
	if t, ok := a.(*net.TCPAddr); ok {
		return t.IP.String()
	}
	return a.String()
}

// isHopByHop reports whether a header is not passed on because it concerns a
// single connection, by its name or because the Connection header lists it.
// It includes Content-Length, which is written anew, and Expect, which the
// entry answers itself.
func isHopByHop(k, connTokens []byte) bool {
	switch string(k) {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect":
		return true
	}
	return len(connTokens) > 0 && containsToken(connTokens, k)
}

func containsToken(list, k []byte) bool {
	for t := range bytes.SplitSeq(list, []byte{','}) {
		if bytes.EqualFold(bytes.TrimSpace(t), k) {
			return true
		}
	}
	return false
}

// isVisibleASCII reports whether v is 1 to maxLen visible ASCII characters.
func isVisibleASCII(v []byte, maxLen int) bool {
	if len(v) == 0 || len(v) > maxLen {
		return false
	}
	for _, b := range v {
		if b <= ' ' || b > '~' {
			return false
		}
	}
	return true
}

// parseIntHeader parses v, from low to high, into out. It refuses a value if
// an earlier header of the same name has set out already.
func parseIntHeader(out *int, v []byte, low, high int, reason attempt.Reason, name string) *requestError {
	n, err := fasthttp.ParseUint(v)
	if err != nil || n < low || n > high || *out != 0 {
		return newHeaderError(reason, name, "send one whole number from "+strconv.Itoa(low)+" to "+strconv.Itoa(high))
	}
	*out = n
	return nil
}

func checkFlagHeader(v []byte, reason attempt.Reason, name string) *requestError {
	if string(v) != "1" {
		return newHeaderError(reason, name, "send 1, or leave the header out")
	}
	return nil
}
