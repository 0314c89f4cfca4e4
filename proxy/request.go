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
)

// request is a caller's request in the form that goes to upstreams. It is
// made once and sent any number of times.
type request struct {
	// head holds the request line and the headers that every attempt has,
	// each with its line end.
	head []byte
	// body is the whole body, or the first part of a streamed one.
	body []byte
	// rest is the remainder of a streamed body; nil otherwise.
	rest io.Reader
	// restLen is the number of bytes in rest; -1 where it is not known.
	restLen int
	// limit bounds a streamed body, in bytes.
	limit    int
	headOnly bool
}

func (r *request) reset() {
	*r = request{head: r.head[:0], body: r.body[:0]}
}

// Bounds of header values.
const (
	maxKey      = 512            // bytes
	maxCaller   = 128            // bytes
	maxTry      = 1 << 20        // tries
	maxDeadline = 24 * time.Hour // time left
	maxDepth    = 64             // calls
)

// read takes the request line and the headers of ctx into r, and the values
// that decisions need into c.
func (r *request) read(ctx *fasthttp.RequestCtx, c *entry.Call) *fault {
	h := &ctx.Request.Header
	target := h.RequestURI()
	if len(target) == 0 || target[0] != '/' {
		return newFault(reasonBadTarget, "the request line holds no path")
	}
	if h.IsConnect() || h.IsTrace() {
		return newFault(reasonBadMethod, "CONNECT and TRACE are not served")
	}
	c.Service = string(serviceOf(h.Host()))
	c.Method = methodOf(h.Method())
	c.Path = string(ctx.Path())
	r.headOnly = h.IsHead()
	r.head = append(r.head, h.Method()...)
	r.head = append(r.head, ' ')
	r.head = append(r.head, target...)
	r.head = append(r.head, " HTTP/1.1\r\n"...)
	named := h.Peek(fasthttp.HeaderConnection)
	for k, v := range h.AllInOrder() {
		if f := r.header(k, v, named, c); f != nil {
			return f
		}
	}
	if c.Caller == "" {
		c.Caller = remoteIP(ctx.RemoteAddr())
	}
	return nil
}

// header takes one header: into c, into the request, or not at all.
func (r *request) header(k, v, named []byte, c *entry.Call) *fault {
	switch string(k) {
	case headers.Key:
		if !isToken(v, maxKey) || c.Key != "" {
			return badHeader(reasonBadKey, headers.Key, "send one value of up to 512 visible ASCII characters")
		}
		c.Key = string(v)
	case headers.Try:
		return setInt(&c.Try, v, 1, maxTry, reasonBadTry, headers.Try)
	case headers.Deadline:
		ms := 0
		f := setInt(&ms, v, 1, int(maxDeadline/time.Millisecond), reasonBadDeadline, headers.Deadline)
		c.Timeout = time.Duration(ms) * time.Millisecond
		return f
	case headers.Depth:
		return setInt(&c.Depth, v, 0, maxDepth, reasonBadDepth, headers.Depth)
	case headers.RetriesSpent:
		c.RetriesSpent = true
		return checkOne(v, reasonBadRetriesSpent, headers.RetriesSpent)
	case headers.Forwarded:
		c.Forwarded = true
		return checkOne(v, reasonBadForwarded, headers.Forwarded)
	case headers.Caller:
		if !isToken(v, maxCaller) {
			return badHeader(reasonBadCaller, headers.Caller, "send up to 128 visible ASCII characters")
		}
		c.Caller = string(v)
		r.add(k, v)
	default:
		if !isHopByHop(k, named) {
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

// appendTail appends the headers that differ between attempts, and the empty
// line.
func (r *request) appendTail(b []byte, c *entry.Call, st *entry.Step, left time.Duration) []byte {
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

// serviceOf returns the host without its port.
func serviceOf(host []byte) []byte {
	if i := bytes.LastIndexByte(host, ':'); i >= 0 {
		return host[:i]
	}
	return host
}

// methodOf returns the method as text, without an allocation for common ones.
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

// isHopByHop tells whether a header concerns one connection alone, by its
// name or because the Connection header names it, and so is not passed on.
// Content-Length and Expect are written anew.
func isHopByHop(k, named []byte) bool {
	switch string(k) {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect":
		return true
	}
	return len(named) > 0 && containsToken(named, k)
}

func containsToken(list, k []byte) bool {
	for t := range bytes.SplitSeq(list, []byte{','}) {
		if bytes.EqualFold(bytes.TrimSpace(t), k) {
			return true
		}
	}
	return false
}

func isToken(v []byte, longest int) bool {
	if len(v) == 0 || len(v) > longest {
		return false
	}
	for _, b := range v {
		if b <= ' ' || b > '~' {
			return false
		}
	}
	return true
}

func setInt(out *int, v []byte, low, high int, why attempt.Reason, name string) *fault {
	n, err := fasthttp.ParseUint(v)
	if err != nil || n < low || n > high || *out != 0 {
		return badHeader(why, name, "send one whole number from "+strconv.Itoa(low)+" to "+strconv.Itoa(high))
	}
	*out = n
	return nil
}

func checkOne(v []byte, why attempt.Reason, name string) *fault {
	if string(v) != "1" {
		return badHeader(why, name, "send 1, or leave the header out")
	}
	return nil
}
