package proxy

import (
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/entry"
)

// streamAbove is the size above which bodies are streamed, in bytes. Smaller
// ones are held whole, so that they can be sent again.
const streamAbove = 64 << 10

// errTooLong ends a streamed body that passes its bound.
var errTooLong = errors.New("body is larger than the service takes: send less, or raise max_body")

// readBody takes the request's body: whole, or its first part and the rest
// as a stream.
func (s *Server) readBody(ctx *fasthttp.RequestCtx, c *call) *fault {
	length := ctx.Request.Header.ContentLength()
	limit := s.maxBody(c.ec.Service)
	stream := ctx.RequestBodyStream()
	switch {
	case length > limit:
		ctx.SetConnectionClose()
		return newFault(attempt.ReasonBodyTooLarge, "the body is larger than the service takes")
	case stream == nil:
		c.req.noBody(c.ec.Method)
	case length > streamAbove:
		c.req.stream(stream, length, limit)
	default:
		if f := c.req.readStart(stream, length, limit); f != nil {
			return f
		}
	}
	c.ec.Streamed = c.req.rest != nil
	c.ec.BodyBytes = max(len(c.req.body), length, 0)
	if c.ec.Key != "" {
		c.ec.Digest = digest(ctx.Request.Header.RequestURI(), c.req.body, c.ec.Streamed)
	}
	return nil
}

// expect answers "Expect: 100-continue" before the body is sent.
func (s *Server) expect(ctx *fasthttp.RequestCtx) int {
	service := string(serviceOf(ctx.Request.Header.Host()))
	if ctx.Request.Header.ContentLength() <= s.maxBody(service) {
		return fasthttp.StatusContinue
	}
	s.refuse(ctx, newFault(attempt.ReasonBodyTooLarge, "the body is larger than the service takes"))
	return fasthttp.StatusRequestEntityTooLarge
}

// headerReceived lets a request whose body is too large reach its handler
// before more of the body than one byte arrived.
func (s *Server) headerReceived(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if n := h.ContentLength(); n > 0 && n > s.maxBody(string(serviceOf(h.Host()))) {
		return fasthttp.RequestConfig{MaxRequestBodySize: 1}
	}
	return fasthttp.RequestConfig{}
}

func (r *request) noBody(method string) {
	if method == fasthttp.MethodPost || method == fasthttp.MethodPut {
		r.addInt(fasthttp.HeaderContentLength, 0)
	}
}

func (r *request) stream(rest io.Reader, length, limit int) {
	r.rest, r.restLen, r.limit = rest, length, limit
	if length >= 0 {
		r.addInt(fasthttp.HeaderContentLength, length)
		return
	}
	r.head = append(r.head, "Transfer-Encoding: chunked\r\n"...)
}

// readStart reads a body of up to streamAbove bytes whole. The rest of a
// longer one, which came in chunks, is streamed.
func (r *request) readStart(body io.Reader, length, limit int) *fault {
	want := length
	if length < 0 {
		want = streamAbove
	}
	n, err := r.fill(body, want)
	switch {
	case length < 0 && err == nil:
		r.stream(body, -1, limit)
		return nil
	case err == io.EOF && (length < 0 || n == length), err == nil:
		if n > limit {
			return newFault(attempt.ReasonBodyTooLarge, "the body is larger than the service takes")
		}
		r.addInt(fasthttp.HeaderContentLength, n)
		return nil
	}
	return newFault(reasonBodyCut, "the body ended early")
}

// fill reads up to want bytes into the request's body. It returns io.EOF
// where the body ended before.
func (r *request) fill(body io.Reader, want int) (int, error) {
	if cap(r.body) < want {
		r.body = make([]byte, 0, want)
	}
	r.body = r.body[:want]
	n, err := io.ReadFull(body, r.body)
	r.body = r.body[:n]
	if err == io.ErrUnexpectedEOF && !isCut(body) {
		err = io.EOF
	}
	return n, err
}

// isCut tells whether a body failed, rather than ended: a stream that failed
// does so again, and one that ended gives io.EOF.
func isCut(body io.Reader) bool {
	var b [1]byte
	_, err := body.Read(b[:])
	return err != io.EOF
}

// sendStream writes the headers in c.out and a streamed body.
func (c *conn) sendStream(req *request) error {
	if _, err := c.Write(c.out); err != nil {
		return err
	}
	if req.restLen >= 0 {
		n, err := io.Copy(c.Conn, io.LimitReader(req.rest, int64(req.restLen)))
		if err == nil && n < int64(req.restLen) {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	return c.sendChunks(req)
}

// sendChunks writes a body of unknown length in chunks. One that is cut or
// too long does not get its last chunk.
func (c *conn) sendChunks(req *request) error {
	if err := c.sendChunk(req.body); err != nil {
		return err
	}
	buf := make([]byte, connBuffer)
	total := len(req.body)
	for {
		n, err := req.rest.Read(buf)
		total += n
		if total > req.limit {
			return errTooLong
		}
		if err2 := c.sendChunk(buf[:n]); err2 != nil {
			return err2
		}
		if err == io.EOF {
			_, err = c.Write([]byte("0\r\n\r\n"))
			return err
		}
		if err != nil {
			return err
		}
	}
}

func (c *conn) sendChunk(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	c.out = strconv.AppendInt(c.out[:0], int64(len(b)), 16)
	c.out = append(c.out, "\r\n"...)
	c.out = append(c.out, b...)
	c.out = append(c.out, "\r\n"...)
	_, err := c.Write(c.out)
	return err
}

// digest tells requests under one key apart.
func digest(uri, body []byte, streamed bool) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(uri) // never fails
	if !streamed {
		_, _ = d.Write([]byte{0})
		_, _ = d.Write(body)
	}
	return d.Sum64()
}

// bodyDeadline bounds the time in which a streamed request arrives.
func bodyDeadline(ctx *fasthttp.RequestCtx, st *entry.Step) error {
	return ctx.SetReadDeadline(time.Now().Add(st.Timeout))
}
