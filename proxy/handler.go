package proxy

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/entry"
	"github.com/catkinrouter/catkinrouter/headers"
)

// handle serves one request. It runs in the goroutine of the caller's
// connection, which also carries out the call's attempts, but for those that
// run beside another.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == headers.LookupPath {
		s.lookup(ctx)
	} else {
		s.forward(ctx)
	}
	if s.at() >= closing {
		ctx.SetConnectionClose()
	}
}

// forward serves a request for an upstream.
func (s *Server) forward(ctx *fasthttp.RequestCtx) {
	began := time.Now()
	c := acquireCall(ctx.Conn())
	if f := s.accept(ctx, c); f != nil {
		s.refuse(ctx, f)
		releaseCall(c)
		return
	}
	if s.carryOut(ctx, c) {
		s.reply(ctx, c)
	}
	s.m.held.Update((time.Since(began) - c.upstream).Microseconds())
	if s.d.leave(c) {
		releaseCall(c)
	}
}

// accept reads the request into c.
func (s *Server) accept(ctx *fasthttp.RequestCtx, c *call) *fault {
	if f := c.req.read(ctx, &c.ec); f != nil {
		return f
	}
	return s.readBody(ctx, c)
}

// carryOut does what the Node asks for the call until it is answered; it
// returns false where the caller went away instead.
func (s *Server) carryOut(ctx *fasthttp.RequestCtx, c *call) bool {
	a := s.d.begin(c)
	for {
		switch {
		case a.try != nil:
			s.setAside(ctx, c, a.try)
			r := s.attempt(ctx, c, a.try)
			a = s.d.finished(c, a.try, r)
		case a.answer:
			return true
		case a.gone:
			ctx.SetConnectionClose()
			return false
		default:
			a = s.d.next(c)
		}
	}
}

// setAside keeps the whole reply of an earlier attempt, since the answer may
// name it.
func (s *Server) setAside(ctx *fasthttp.RequestCtx, c *call, t *try) {
	if t == &c.first[0] {
		return
	}
	if old := s.d.earlier(c, t); old != nil {
		old.resp = fasthttp.AcquireResponse()
		ctx.Response.CopyTo(old.resp)
	}
}

// runSide carries out an attempt beside another of the same call.
func (s *Server) runSide(c *call, t *try) {
	t.resp = fasthttp.AcquireResponse()
	t.resp.Header.SetNoDefaultContentType(true)
	go func() {
		r := s.exchange(c, t, t.resp)
		if s.d.sideFinished(c, t, r) {
			releaseCall(c)
		}
	}()
}

// attempt carries out an attempt of the call's own goroutine.
func (s *Server) attempt(ctx *fasthttp.RequestCtx, c *call, t *try) entry.Result {
	if c.ec.Streamed {
		if err := bodyDeadline(ctx, &t.step); err != nil {
			return entry.Result{Err: err}
		}
	}
	return s.exchange(c, t, &ctx.Response)
}
