package proxy

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/entry"
	"github.com/catkinrouter/catkinrouter/headers"
	"github.com/catkinrouter/catkinrouter/internal/httpserve"
)

// handle serves one request. It runs in the goroutine of the caller's
// connection, the call's handler goroutine, which also runs the call's inline
// attempts.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == headers.LookupPath {
		s.lookup(ctx)
	} else {
		s.forward(ctx)
	}
	if s.currentPhase() >= closing || s.callers.Crowded() {
		ctx.SetConnectionClose()
	}
}

// forward serves a request for an upstream.
func (s *Server) forward(ctx *fasthttp.RequestCtx) {
	began := time.Now()
	c := acquireCall(ctx.Conn())
	reqErr := s.readRequest(ctx, c)
	if reqErr == nil && s.currentPhase() >= finishing {
		// It might be aborted at the end of the stop.
		reqErr = newRequestError(reasonStopping, "the entry is stopping and takes no more calls")
	}
	if reqErr != nil {
		s.refuse(ctx, reqErr)
		releaseCall(c)
		return
	}
	if s.execute(ctx, c) {
		s.writeAnswer(ctx, c)
	}
	s.m.held.Update((time.Since(began) - c.upstreamWait).Microseconds())
	if s.d.detach(c) {
		releaseCall(c)
	}
}

// readRequest reads the request into c.
func (s *Server) readRequest(ctx *fasthttp.RequestCtx, c *call) *requestError {
	if reqErr := c.req.read(ctx, &c.ec); reqErr != nil {
		return reqErr
	}
	return s.readBody(ctx, c)
}

// execute carries out the call's actions until it is answered. It returns
// false if the caller disconnected instead.
func (s *Server) execute(ctx *fasthttp.RequestCtx, c *call) bool {
	a := s.d.begin(c)
	for {
		switch {
		case a.callAttempt != nil:
			s.saveEarlierReply(ctx, c, a.callAttempt)
			r := s.runInline(ctx, c, a.callAttempt)
			a = s.d.finished(c, a.callAttempt, r)
		case a.answer:
			return true
		case a.callerGone:
			httpserve.CloseWithoutResponse(ctx)
			return false
		default:
			a = s.d.waitAction(c)
		}
	}
}

// saveEarlierReply copies the complete reply of an earlier attempt out of
// ctx.Response before t overwrites it, since the Node may still answer with
// it.
func (s *Server) saveEarlierReply(ctx *fasthttp.RequestCtx, c *call, t *callAttempt) {
	if t == &c.first[0] {
		return
	}
	if old := s.d.earlierReply(c, t); old != nil {
		old.resp = fasthttp.AcquireResponse()
		ctx.Response.CopyTo(old.resp)
	}
}

// runBackground runs an attempt in its own goroutine.
func (s *Server) runBackground(c *call, t *callAttempt) {
	t.resp = fasthttp.AcquireResponse()
	t.resp.Header.SetNoDefaultContentType(true)
	go func() {
		r := s.exchange(c, t, t.resp)
		if s.d.backgroundFinished(c, t, r) {
			releaseCall(c)
		}
	}()
}

// runInline runs an attempt in the handler goroutine.
func (s *Server) runInline(ctx *fasthttp.RequestCtx, c *call, t *callAttempt) entry.Result {
	if c.ec.Streamed {
		if err := setBodyDeadline(ctx, &t.step); err != nil {
			return entry.Result{Err: err}
		}
	}
	return s.exchange(c, t, &ctx.Response)
}
