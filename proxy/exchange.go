package proxy

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/balance"
	"github.com/catkinrouter/catkinrouter/entry"
	"github.com/catkinrouter/catkinrouter/headers"
	"github.com/catkinrouter/catkinrouter/internal/httpreply"
	"github.com/catkinrouter/catkinrouter/internal/membudget"
	"github.com/catkinrouter/catkinrouter/notice"
)

// Errors of an exchange.
var (
	errUnframed       = errors.New("reply has neither a Content-Length nor chunks, so a truncated one would look complete: make the upstream send one of them")
	errProtocolSwitch = errors.New("upstream switched protocols without an Upgrade request: make it answer in HTTP/1.1")
	errSkipped        = errors.New("upstream sent too many interim (1xx) or repeated replies without the one that is due")
	errCancelled      = errors.New("attempt was cancelled")
	errNoTimeLeft     = errors.New("no time left for the attempt")
	errProbeStatus    = errors.New("upstream did not answer the probe with status 200")
)

const (
	// identityLength and chunkedLength are fasthttp's content lengths of a
	// reply that ends when its connection closes, and of a chunked reply.
	identityLength = -2
	chunkedLength  = -1
	// maxSkipped bounds the replies that are read in search of the final one.
	maxSkipped = 16
)

// exchange sends the call's request to the address of the attempt and reads
// the reply into resp: completely, or with a stream as its body if it is
// large.
func (s *Server) exchange(c *call, t *callAttempt, resp *fasthttp.Response) entry.Result {
	var r entry.Result
	began := time.Now()
	if t.step.Timeout <= 0 {
		r.Err = errNoTimeLeft
		return r
	}
	cn, err := s.pool.get(&t.step, t.step.Timeout)
	if err != nil {
		r.Err = err
		return r
	}
	if !t.attachConn(cn) {
		s.pool.put(cn)
		r.Err = errCancelled
		return r
	}
	var rest *replyStream
	r.MayHaveSent, r.Err = cn.send(c, t, began)
	if r.Err == nil {
		sent := time.Now()
		rest, r.Err = s.receive(cn, t, resp, c.req.headOnly)
		if !t.background {
			c.upstreamWait += time.Since(sent)
		}
	}
	t.detachConn()
	if r.Err != nil {
		s.pool.discard(cn)
		if r.MayHaveSent {
			s.m.lostReply(r.Err)
		}
		s.checkCrash(c, t, began, &r)
		return r
	}
	t.complete = true
	readResult(&r, resp)
	if rest != nil {
		s.streamReply(rest, cn, t, resp)
		return r
	}
	s.pool.release(cn, resp)
	if t.step.KeepReply && len(resp.Body()) <= attempt.MaxReplyBytes {
		r.Reply = cloneReply(resp)
	}
	return r
}

// send writes the request. It returns true, also with an error, if a byte may
// have left the process.
func (c *conn) send(cl *call, t *callAttempt, began time.Time) (wrote bool, err error) {
	left := t.step.Timeout - time.Since(began)
	if left <= 0 {
		return false, errNoTimeLeft
	}
	if err := c.SetDeadline(began.Add(t.step.Timeout)); err != nil {
		return false, err
	}
	if t.isCancelled() {
		return false, errCancelled
	}
	req := &cl.req
	c.out = append(c.out[:0], req.head...)
	c.out = c.appendAttempt(c.out, req.headOnly)
	c.out = req.appendAttemptHeaders(c.out, &cl.ec, &t.step, left)
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

// maxInlineBody is the size of the largest body that is copied behind the
// headers, so that both are sent by one write.
const maxInlineBody = 16 << 10 // bytes

// receive reads a reply into resp. Of a large reply that may be sent to the caller while it
// is read, it reads the header and at most the first part of the body, and returns a stream
// of the body.
func (s *Server) receive(c *conn, t *callAttempt, resp *fasthttp.Response, headOnly bool) (*replyStream, error) {
	mayStream := !t.background && !t.step.KeepReply
	resp.ResetBody()
	resp.SkipBody = headOnly
	if err := readHeader(c, resp); err != nil {
		return nil, err
	}
	if hasNoBody(resp, headOnly) {
		return nil, nil
	}
	switch length := resp.Header.ContentLength(); {
	case mayStream && length > streamThreshold:
		return newReplyStream(c, resp, length), nil
	case mayStream && length == chunkedLength:
		return c.receiveChunks(resp)
	}
	return nil, s.readReplyBody(c, t, resp)
}

// readReplyBody reads the whole body and trailer of a reply. A large one takes memory for replies.
func (s *Server) readReplyBody(c *conn, t *callAttempt, resp *fasthttp.Response) error {
	length := resp.Header.ContentLength()
	if length == identityLength {
		return errUnframed
	}
	if length >= 0 && length <= streamThreshold {
		return resp.ReadBody(c.r, streamThreshold)
	}
	var src io.Reader = io.LimitReader(c.r, int64(length))
	if length == chunkedLength {
		src = httputil.NewChunkedReader(c.r)
	}
	memory := s.memory.Begin(membudget.Replies, 0)
	t.memory = &memory
	body, err := memory.ReadAll(src, int64(length))
	if err == nil && len(body) < length {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return err
	}
	resp.SetBodyRaw(body)
	if length == chunkedLength {
		return unexpectedEOF(httpreply.ReadTrailer(c.r, &resp.Header))
	}
	return nil
}

// readHeader reads the header of the final reply. It skips interim replies, and late copies
// of replies to earlier requests.
func readHeader(c *conn, resp *fasthttp.Response) error {
	for range maxSkipped {
		if err := httpreply.ReadHead(c.r, &resp.Header); err != nil {
			return err
		}
		switch code := resp.StatusCode(); {
		case code == fasthttp.StatusSwitchingProtocols:
			return errProtocolSwitch
		case code < fasthttp.StatusOK:
			continue
		}
		late, err := c.isLate(resp)
		if !late || err != nil {
			return err
		}
		if err := c.skip(resp); err != nil {
			return err
		}
	}
	return errSkipped
}

// maxSkippedBytes bounds the body of a late reply.
const maxSkippedBytes = 64 << 20

// skip reads a late reply to its end, and keeps nothing of it.
func (c *conn) skip(resp *fasthttp.Response) error {
	if hasNoBody(resp, false) {
		return nil
	}
	switch length := resp.Header.ContentLength(); {
	case length == identityLength || length > maxSkippedBytes:
		return errSkipped
	case length == chunkedLength:
		n, err := io.Copy(io.Discard, io.LimitReader(httputil.NewChunkedReader(c.r), maxSkippedBytes))
		if err != nil || n == maxSkippedBytes {
			return errors.Join(err, errSkipped)
		}
		return unexpectedEOF(httpreply.ReadTrailer(c.r, &resp.Header))
	default:
		_, err := io.CopyN(io.Discard, c.r, int64(length))
		return unexpectedEOF(err)
	}
}

// readSmall reads a reply with a body of at most limit bytes into resp.
func (c *conn) readSmall(resp *fasthttp.Response, limit int) error {
	resp.ResetBody()
	if err := readHeader(c, resp); err != nil {
		return err
	}
	if hasNoBody(resp, false) {
		return nil
	}
	length := resp.Header.ContentLength()
	if length == identityLength {
		return errUnframed
	}
	if err := resp.ReadBody(c.r, limit); err != nil {
		return err
	}
	if length == chunkedLength {
		return unexpectedEOF(httpreply.ReadTrailer(c.r, &resp.Header))
	}
	return nil
}

// hasNoBody reports whether a reply ends with its header.
func hasNoBody(resp *fasthttp.Response, headOnly bool) bool {
	code := resp.StatusCode()
	return headOnly || code == fasthttp.StatusNoContent || code == fasthttp.StatusNotModified
}

// unexpectedEOF turns io.EOF into io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// cloneReply returns a copy of resp for the Node to store.
func cloneReply(resp *fasthttp.Response) *attempt.Reply {
	return &attempt.Reply{
		Status: resp.StatusCode(),
		Header: bytes.Clone(resp.Header.Header()),
		Body:   bytes.Clone(resp.Body()),
	}
}

// readResult sets the fields of r that come from the reply's status and
// headers.
func readResult(r *entry.Result, resp *fasthttp.Response) {
	h := &resp.Header
	r.Status = resp.StatusCode()
	r.Shed = len(h.Peek(headers.Shed)) > 0
	r.Leaving = len(h.Peek(headers.Leaving)) > 0
	r.RetriesSpent = len(h.Peek(headers.RetriesSpent)) > 0
	r.Load = parseLoad(string(h.Peek(headers.Load)))
	r.Outcome = parseOutcome(string(h.Peek(headers.Outcome)))
	r.Reason = attempt.Reason(h.Peek(headers.Reason))
	r.RetryAfter = notice.ParseRetryAfter(h.PeekAll(fasthttp.HeaderRetryAfter), time.Now())
}

// parseOutcome returns the outcome named s; 0 if there is none.
func parseOutcome(s string) attempt.Outcome {
	for _, o := range [...]attempt.Outcome{attempt.Answered, attempt.NotRun, attempt.Unknown} {
		if o.String() == s {
			return o
		}
	}
	return 0
}

// maxLoadNumber is the largest number in a load report that counts.
const maxLoadNumber = 1_000_000

// parseLoad parses a load report such as "3/6", the requests in progress and
// the slots. It returns nil if s is malformed.
func parseLoad(s string) *balance.Load {
	a, b, ok := strings.Cut(s, "/")
	if !ok {
		return nil
	}
	working, err1 := strconv.Atoi(a)
	slots, err2 := strconv.Atoi(b)
	if err1 != nil || err2 != nil || working < 0 || slots < 1 || max(working, slots) > maxLoadNumber {
		return nil
	}
	return &balance.Load{Outstanding: working, Slots: slots}
}
