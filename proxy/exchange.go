package proxy

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/balance"
	"github.com/catkinrouter/catkinrouter/entry"
	"github.com/catkinrouter/catkinrouter/headers"
)

// Errors of an exchange.
var (
	errUnframed    = errors.New("reply has no length and no chunks, so its end cannot be told from a cut: let the upstream state one")
	errSwitch      = errors.New("upstream switched protocols unasked: let it answer in HTTP/1.1")
	errInterim     = errors.New("upstream sent too many interim replies")
	errCancelled   = errors.New("attempt was cancelled")
	errNoTime      = errors.New("no time is left for the attempt")
	errProbeStatus = errors.New("probe was not answered with status 200")
)

const (
	maxReply = 64 << 20 // bytes
	// identityLength is fasthttp's content length of a reply that ends with
	// its connection; chunkedLength that of a reply in chunks.
	identityLength = -2
	chunkedLength  = -1
	maxInterim     = 16
	maxRetryAfter  = 3600 // seconds
)

// exchange sends the call's request to the address of the attempt and reads
// the whole reply into resp.
func (s *Server) exchange(c *call, t *try, resp *fasthttp.Response) entry.Result {
	var r entry.Result
	began := time.Now()
	if t.step.Timeout <= 0 {
		r.Err = errNoTime
		return r
	}
	cn, err := s.pool.get(&t.step, t.step.Timeout)
	if err != nil {
		r.Err = err
		return r
	}
	if !t.hold(cn) {
		s.pool.put(cn)
		r.Err = errCancelled
		return r
	}
	var rest *replyStream
	r.Wrote, r.Err = cn.send(c, t, began)
	if r.Err == nil {
		sent := time.Now()
		rest, r.Err = cn.receive(resp, c.req.headOnly, !t.side && !t.step.Record)
		if !t.side {
			c.upstream += time.Since(sent)
		}
	}
	t.drop()
	if r.Err != nil {
		s.pool.discard(cn)
		if r.Wrote {
			s.m.cutReplies.Inc(1)
		}
		return r
	}
	t.whole = true
	readResult(&r, resp)
	if rest != nil {
		s.stream(rest, cn, t, resp)
		return r
	}
	s.pool.done(cn, resp)
	if t.step.Record && len(resp.Body()) <= attempt.MaxReply {
		r.Reply = recorded(resp)
	}
	return r
}

// send writes the request. It returns true once a byte may have left.
func (c *conn) send(cl *call, t *try, began time.Time) (wrote bool, err error) {
	left := t.step.Timeout - time.Since(began)
	if left <= 0 {
		return false, errNoTime
	}
	if err := c.SetDeadline(began.Add(t.step.Timeout)); err != nil {
		return false, err
	}
	if t.isCancelled() {
		return false, errCancelled
	}
	req := &cl.req
	c.used = true
	c.out = append(c.out[:0], req.head...)
	c.out = req.appendTail(c.out, &cl.ec, &t.step, left)
	if req.rest == nil && len(req.body) > 0 && len(req.body) <= maxInlineBody {
		c.out = append(c.out, req.body...)
		_, err = c.Write(c.out)
		return true, err
	}
	if len(req.body) == 0 && req.rest == nil {
		_, err = c.Write(c.out)
		return true, err
	}
	if req.rest != nil {
		return true, c.sendStream(req)
	}
	bufs := net.Buffers{c.out, req.body}
	_, err = bufs.WriteTo(c.Conn)
	return true, err
}

// maxInlineBody is the largest body that is copied behind the headers to be
// written with them.
const maxInlineBody = 16 << 10 // bytes

// receive reads a reply: the whole of it, or where it may be streamed and is
// large, its header and the first part. The rest comes from the stream.
func (c *conn) receive(resp *fasthttp.Response, headOnly, mayStream bool) (*replyStream, error) {
	resp.ResetBody()
	resp.SkipBody = headOnly
	if err := readHeader(c, resp); err != nil {
		return nil, err
	}
	if hasNoBody(resp, headOnly) {
		return nil, nil
	}
	length := resp.Header.ContentLength()
	switch {
	case length == identityLength:
		return nil, errUnframed
	case mayStream && length > streamAbove:
		return newReplyStream(c, resp, length), nil
	case mayStream && length == chunkedLength:
		return c.receiveChunks(resp)
	}
	if err := resp.ReadBody(c.r, maxReply); err != nil {
		return nil, err
	}
	if length == chunkedLength {
		return nil, unexpected(resp.Header.ReadTrailer(c.r))
	}
	return nil, nil
}

// readHeader reads the header of the final reply.
func readHeader(c *conn, resp *fasthttp.Response) error {
	for range maxInterim {
		if err := resp.Header.Read(c.r); err != nil {
			return err
		}
		switch code := resp.StatusCode(); {
		case code == fasthttp.StatusSwitchingProtocols:
			return errSwitch
		case code >= fasthttp.StatusOK:
			return nil
		}
	}
	return errInterim
}

// hasNoBody tells whether a reply ends with its header.
func hasNoBody(resp *fasthttp.Response, headOnly bool) bool {
	code := resp.StatusCode()
	return headOnly || code == fasthttp.StatusNoContent || code == fasthttp.StatusNotModified
}

// unexpected turns the end of input into an error that says so.
func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

func recorded(resp *fasthttp.Response) *attempt.Reply {
	return &attempt.Reply{
		Status: resp.StatusCode(),
		Header: bytes.Clone(resp.Header.Header()),
		Body:   bytes.Clone(resp.Body()),
	}
}

func readResult(r *entry.Result, resp *fasthttp.Response) {
	h := &resp.Header
	r.Status = resp.StatusCode()
	r.Shed = len(h.Peek(headers.Shed)) > 0
	r.Leaving = len(h.Peek(headers.Leaving)) > 0
	r.RetriesSpent = len(h.Peek(headers.RetriesSpent)) > 0
	r.Load = parseLoad(string(h.Peek(headers.Load)))
	r.Outcome = parseOutcome(string(h.Peek(headers.Outcome)))
	r.Reason = attempt.Reason(h.Peek(headers.Reason))
	if n, err := fasthttp.ParseUint(h.Peek(fasthttp.HeaderRetryAfter)); err == nil {
		r.RetryAfter = time.Duration(min(n, maxRetryAfter)) * time.Second
	}
}

func parseOutcome(s string) attempt.Outcome {
	for _, o := range [...]attempt.Outcome{attempt.Answered, attempt.NotRun, attempt.Unknown} {
		if o.String() == s {
			return o
		}
	}
	return 0
}

// parseLoad reads a report such as "3/6"; nil where it is not one.
func parseLoad(s string) *balance.Load {
	a, b, ok := strings.Cut(s, "/")
	if !ok {
		return nil
	}
	working, err1 := strconv.Atoi(a)
	slots, err2 := strconv.Atoi(b)
	if err1 != nil || err2 != nil || working < 0 || slots < 1 {
		return nil
	}
	return &balance.Load{Working: working, Slots: slots}
}
