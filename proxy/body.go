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

// bodyTimeout bounds the time from the end of a request's headers in which the first part
// of its body arrives.
const bodyTimeout = 30 * time.Second

// streamThreshold is the size above which bodies are streamed, in bytes.
// Smaller ones are held in memory as a whole, so that they can be sent again.
const streamThreshold = 64 << 10

// errBodyTooLarge ends the sending of a streamed body that exceeds its limit.
var errBodyTooLarge = errors.New("streamed request body exceeds max_body: send less, or raise max_body")

// readBody reads the request's body: a small one completely; of a large one
// at most the first part, and the rest becomes a stream.
func (s *Server) readBody(ctx *fasthttp.RequestCtx, c *call) *requestError {
	length := ctx.Request.Header.ContentLength()
	limit := s.maxBody(c.ec.Service)
	stream := ctx.RequestBodyStream()
	switch {
	case length > limit:
		ctx.SetConnectionClose()
		return newRequestError(attempt.ReasonBodyTooLarge, "the body is larger than the service takes")
	case stream == nil:
		c.req.setEmptyBody(c.ec.Method)
	case length > streamThreshold:
		c.req.stream(stream, length, limit)
	default:
		if reqErr := c.req.readBuffered(stream, length, limit); reqErr != nil {
			return reqErr
		}
	}
	c.ec.Streamed = c.req.rest != nil
	c.ec.BodyBytes = max(len(c.req.body), length, 0)
	c.ec.Digest = requestDigest(ctx.Request.Header.RequestURI(), c.req.body, c.ec.Streamed)
	c.ec.CredentialsDigest = xxhash.Sum64(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	return nil
}

// expectContinue handles "Expect: 100-continue" before the body is sent: it
// accepts a declared length within the limit and refuses a larger one.
func (s *Server) expectContinue(ctx *fasthttp.RequestCtx) int {
	service := string(serviceOf(ctx.Request.Header.Host()))
	if ctx.Request.Header.ContentLength() <= s.maxBody(service) {
		return fasthttp.StatusContinue
	}
	s.refuse(ctx, newRequestError(attempt.ReasonBodyTooLarge, "the body is larger than the service takes"))
	return fasthttp.StatusRequestEntityTooLarge
}

// headerReceived limits the body that is read ahead to one byte if the
// declared length is too large, so that the handler can refuse the request
// without waiting for more of the body.
func (s *Server) headerReceived(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if n := h.ContentLength(); n > 0 && n > s.maxBody(string(serviceOf(h.Host()))) {
		return fasthttp.RequestConfig{MaxRequestBodySize: 1, ReadTimeout: bodyTimeout}
	}
	return fasthttp.RequestConfig{ReadTimeout: bodyTimeout}
}

// setEmptyBody adds "Content-Length: 0" to a POST or PUT request.
func (r *request) setEmptyBody(method string) {
	if method == fasthttp.MethodPost || method == fasthttp.MethodPut {
		r.addInt(fasthttp.HeaderContentLength, 0)
	}
}

// stream makes rest the remainder of the body, and adds the header for its
// length. If length is negative, the length is unknown and the body is sent
// in chunks.
func (r *request) stream(rest io.Reader, length, limit int) {
	r.rest, r.restLen, r.limit = rest, length, limit
	if length >= 0 {
		r.addInt(fasthttp.HeaderContentLength, length)
		return
	}
	r.head = append(r.head, "Transfer-Encoding: chunked\r\n"...)
}

// readBuffered reads a body of up to streamThreshold bytes completely. The
// rest of a longer chunked body is streamed.
func (r *request) readBuffered(body io.Reader, length, limit int) *requestError {
	want := length
	if length < 0 {
		want = streamThreshold
	}
	n, err := r.readUpTo(body, want)
	switch {
	case length < 0 && err == nil:
		r.stream(body, -1, limit)
		return nil
	case err == io.EOF && (length < 0 || n == length), err == nil:
		if n > limit {
			return newRequestError(attempt.ReasonBodyTooLarge, "the body is larger than the service takes")
		}
		r.addInt(fasthttp.HeaderContentLength, n)
		return nil
	}
	return newRequestError(reasonBodyTruncated, "the body ended early")
}

// readUpTo reads up to want bytes into the request's body. It returns io.EOF
// if the body ended before that, and another error if it was truncated.
func (r *request) readUpTo(body io.Reader, want int) (int, error) {
	if cap(r.body) < want {
		r.body = make([]byte, 0, want)
	}
	r.body = r.body[:want]
	n, err := io.ReadFull(body, r.body)
	r.body = r.body[:n]
	if err == io.ErrUnexpectedEOF && !isTruncated(body) {
		err = io.EOF
	}
	return n, err
}

// isTruncated reports whether a body that came up short was truncated by a
// read error. A further Read tells: a failed stream fails again, and a
// complete one returns io.EOF.
func isTruncated(body io.Reader) bool {
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

// sendChunks writes a body of unknown length in chunks. If the body is
// truncated or too large, the last chunk is left out, so that the upstream
// does not take the body for complete.
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
			return errBodyTooLarge
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

// requestDigest returns a hash of the request's URI and, unless it is
// streamed, its body. It detects a key that is used for two different
// requests, and a request that comes again.
func requestDigest(uri, body []byte, streamed bool) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(uri) // never fails
	if !streamed {
		_, _ = d.Write([]byte{0})
		_, _ = d.Write(body)
	}
	return d.Sum64()
}

// setBodyDeadline bounds the time in which a streamed body arrives from the
// caller.
func setBodyDeadline(ctx *fasthttp.RequestCtx, st *entry.Step) error {
	return ctx.SetReadDeadline(time.Now().Add(st.Timeout))
}
