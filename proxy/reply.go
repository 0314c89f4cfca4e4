package proxy

import (
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"
)

// replyStream is the body of a large reply, read from the upstream while it
// is sent to the caller. A cut ends it with an error, upon which the caller's
// connection is closed short of the reply's length or last chunk.
type replyStream struct {
	c    *conn
	resp *fasthttp.Response
	// start was read already.
	start []byte
	body  io.Reader
	// length is the reply's Content-Length; chunkedLength for one in chunks.
	length int
	left   int
	pool   *pool
	m      *counters
	ended  bool
}

func newReplyStream(c *conn, resp *fasthttp.Response, length int) *replyStream {
	return &replyStream{c: c, resp: resp, body: c.r, length: length, left: length}
}

// receiveChunks reads a reply in chunks whole, or returns it as a stream
// where it is large.
func (c *conn) receiveChunks(resp *fasthttp.Response) (*replyStream, error) {
	chunks := httputil.NewChunkedReader(c.r)
	start := make([]byte, connBuffer)
	n, err := io.ReadFull(chunks, start)
	for err == nil && n < streamAbove {
		var m int
		start = append(start, make([]byte, len(start))...)
		m, err = io.ReadFull(chunks, start[n:])
		n += m
	}
	start = start[:n]
	if err == nil {
		return &replyStream{c: c, resp: resp, start: start, body: chunks, length: chunkedLength}, nil
	}
	if !endOfChunks(chunks, err) {
		return nil, unexpected(err)
	}
	resp.SetBody(start)
	return nil, unexpected(resp.Header.ReadTrailer(c.r))
}

// endOfChunks tells whether a read of chunks that came short met the last
// chunk rather than a cut: a reader of chunks keeps its error.
func endOfChunks(chunks io.Reader, err error) bool {
	if err != io.EOF && err != io.ErrUnexpectedEOF {
		return false
	}
	var b [1]byte
	_, err = chunks.Read(b[:])
	return err == io.EOF
}

// stream makes rest the body of resp.
func (s *Server) stream(rest *replyStream, c *conn, t *try, resp *fasthttp.Response) {
	rest.pool, rest.m = s.pool, s.m
	t.streamed = true
	resp.SetBodyStream(rest, rest.length)
}

// Read reads the body.
func (r *replyStream) Read(p []byte) (int, error) {
	if len(r.start) > 0 {
		n := copy(p, r.start)
		r.start = r.start[n:]
		return n, nil
	}
	if r.ended {
		return 0, io.EOF
	}
	if r.length >= 0 && len(p) > r.left {
		p = p[:r.left]
	}
	n, err := r.body.Read(p)
	r.left -= n
	switch {
	case r.length >= 0 && r.left == 0:
		r.end()
		return n, nil
	case r.length < 0 && err == io.EOF:
		return n, r.trailer()
	case err != nil:
		r.cut()
		return n, unexpected(err)
	}
	return n, nil
}

func (r *replyStream) trailer() error {
	if err := r.resp.Header.ReadTrailer(r.c.r); err != nil {
		r.cut()
		return unexpected(err)
	}
	r.end()
	return io.EOF
}

func (r *replyStream) end() {
	r.ended = true
	r.pool.done(r.c, r.resp)
}

func (r *replyStream) cut() {
	r.ended = true
	r.m.cutReplies.Inc(1)
	r.pool.discard(r.c)
}

// Close gives up what was not read.
func (r *replyStream) Close() error {
	if !r.ended {
		r.ended = true
		r.pool.discard(r.c)
	}
	return nil
}
