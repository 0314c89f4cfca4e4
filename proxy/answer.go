package proxy

import (
	"bufio"
	"bytes"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/entry"
	"github.com/catkinrouter/catkinrouter/headers"
)

// reply answers a call as its StepAnswer says.
func (s *Server) reply(ctx *fasthttp.RequestCtx, c *call) {
	st := &c.answer
	s.m.outcome(st.Outcome).Inc(1)
	t := c.find(st.Attempt)
	switch {
	case st.Reply != nil:
		if err := writeStored(ctx, st.Reply); err != nil {
			st.Outcome, st.Reason = attempt.Unknown, attempt.ReasonReplyNotKept
			s.refuseStep(ctx, st)
			return
		}
		cleanReply(&ctx.Response.Header)
	case t != nil && t.whole && passes(t, st):
		useReply(ctx, c, t)
		cleanReply(&ctx.Response.Header)
	default:
		s.refuseStep(ctx, st)
		return
	}
	h := &ctx.Response.Header
	h.Set(headers.Outcome, st.Outcome.String())
	h.Set(headers.Entry, s.set.ID)
	if st.Outcome != attempt.Answered {
		s.m.refused(st.Reason).Inc(1)
		h.Set(headers.Reason, string(st.Reason))
	}
	if st.RetriesSpent {
		h.Set(headers.RetriesSpent, "1")
	}
}

// passes tells whether the attempt's reply is the caller's answer: an
// upstream's where the call was answered, another entry's always.
func passes(t *try, st *entry.Step) bool {
	return st.Outcome == attempt.Answered || t.step.Kind == entry.StepForward
}

// useReply puts the reply of t into ctx, unless it is there already.
func useReply(ctx *fasthttp.RequestCtx, c *call, t *try) {
	if t.resp != nil {
		t.resp.CopyTo(&ctx.Response)
	}
	ctx.Response.SkipBody = c.req.headOnly
}

// writeStored answers with a reply that was kept, header and body.
func writeStored(ctx *fasthttp.RequestCtx, r *attempt.Reply) error {
	ctx.Response.Reset()
	if err := ctx.Response.Header.Read(bufio.NewReader(bytes.NewReader(r.Header))); err != nil {
		return err
	}
	ctx.SetBody(r.Body)
	return nil
}

// cleanReply removes what concerns the connection to the upstream alone and
// what the upstream said to the entry.
func cleanReply(h *fasthttp.ResponseHeader) {
	if named := h.Peek(fasthttp.HeaderConnection); len(named) > 0 {
		for t := range bytes.SplitSeq(bytes.Clone(named), []byte{','}) {
			h.DelBytes(bytes.TrimSpace(t))
		}
		h.ResetConnectionClose()
		h.Del(fasthttp.HeaderConnection)
	}
	for _, k := range entryOnly {
		h.Del(k)
	}
}

// entryOnly lists the reply headers that callers do not get.
var entryOnly = [...]string{
	fasthttp.HeaderKeepAlive, fasthttp.HeaderProxyConnection, fasthttp.HeaderProxyAuthenticate, fasthttp.HeaderUpgrade,
	headers.Load, headers.Shed, headers.Leaving, headers.Reason,
}
