package proxy

import (
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/internal/httpreply"
)

// replyStream is the body of a large reply, read from the upstream while it
// is sent to the caller. If the reply is truncated, Read returns an error,
// and the caller's connection is closed before the reply's length or last
// chunk is reached.
type replyStream struct {
	c    *conn
	resp *fasthttp.Response
	// buffered is the first part of the body, which was read already.
	buffered []byte
	body     io.Reader
	// length is the reply's Content-Length; chunkedLength if it is chunked.
	length int
	// remaining is the part of length that was not read yet.
	remaining int
	pool      *pool
	m         *counters
	ended     bool
}

func newReplyStream(c *conn, resp *fasthttp.Response, length int) *replyStream {
	return &replyStream{c: c, resp: resp, body: c.r, length: length, remaining: length}
}

// receiveChunks reads a chunked reply completely, or returns it as a stream
// if it is large.
func (c *conn) receiveChunks(resp *fasthttp.Response) (*replyStream, error) {
	chunks := httputil.NewChunkedReader(c.r)
	buffered := make([]byte, connBuffer)
	n, err := io.ReadFull(chunks, buffered)
	for err == nil && n < streamThreshold {
		var m int
		buffered = append(buffered, make([]byte, len(buffered))...)
		m, err = io.ReadFull(chunks, buffered[n:])
		n += m
	}
	buffered = buffered[:n]
	if err == nil {
		return &replyStream{c: c, resp: resp, buffered: buffered, body: chunks, length: chunkedLength}, nil
	}
	if !endOfChunks(chunks, err) {
		return nil, unexpectedEOF(err)
	}
	resp.SetBody(buffered)
	return nil, unexpectedEOF(httpreply.ReadTrailer(c.r, &resp.Header))
}

// endOfChunks reports whether a read that came up short reached the last
// chunk. A further read tells, since a chunked reader returns the same error
// again: io.EOF after the last chunk, another one if the reply was truncated.
func endOfChunks(chunks io.Reader, err error) bool {
	if err != io.EOF && err != io.ErrUnexpectedEOF {
		return false
	}
	var b [1]byte
	_, err = chunks.Read(b[:])
	return err == io.EOF
}

// streamReply makes rest the body of resp.
func (s *Server) streamReply(rest *replyStream, c *conn, t *callAttempt, resp *fasthttp.Response) {
	rest.pool, rest.m = s.pool, s.m
	t.streamed = true
	resp.SetBodyStream(rest, rest.length)
}

// Read implements io.Reader.
func (r *replyStream) Read(p []byte) (int, error) {
	if len(r.buffered) > 0 {
		n := copy(p, r.buffered)
		r.buffered = r.buffered[n:]
		return n, nil
	}
	if r.ended {
		return 0, io.EOF
	}
	if r.length >= 0 && len(p) > r.remaining {
		p = p[:r.remaining]
	}
	n, err := r.body.Read(p)
	r.remaining -= n
	switch {
	case r.length >= 0 && r.remaining == 0:
		r.finish()
		return n, nil
	case r.length < 0 && err == io.EOF:
		return n, r.readTrailer()
	case err != nil:
		r.abort(err)
		return n, unexpectedEOF(err)
	}
	return n, nil
}

// readTrailer ends a chunked reply; it returns io.EOF if the trailer is
// complete.
func (r *replyStream) readTrailer() error {
	if err := httpreply.ReadTrailer(r.c.r, &r.resp.Header); err != nil {
		r.abort(err)
		return unexpectedEOF(err)
	}
	r.finish()
	return io.EOF
}

// finish returns the connection to the pool.
func (r *replyStream) finish() {
	r.ended = true
	r.pool.release(r.c, r.resp)
}

// abort closes the connection after a reply that ended with err.
func (r *replyStream) abort(err error) {
	r.ended = true
	r.m.lostReply(err)
	r.pool.discard(r.c)
}

// Close implements io.Closer. It closes the connection unless the body was
// read to its end.
func (r *replyStream) Close() error {
	if !r.ended {
		r.ended = true
		r.pool.discard(r.c)
	}
	return nil
}
