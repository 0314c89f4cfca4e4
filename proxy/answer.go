package proxy

import (
	"bufio"
	"bytes"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/entry"
	"github.com/catkinrouter/catkinrouter/headers"
)

// writeAnswer writes the response described by the call's StepAnswer: a
// stored reply, the reply of an attempt, or a refusal.
func (s *Server) writeAnswer(ctx *fasthttp.RequestCtx, c *call) {
	st := &c.answer
	s.m.outcome(st.Outcome).Inc(1)
	t := c.findAttempt(st.Attempt)
	switch {
	case st.Reply != nil:
		if err := writeStoredReply(ctx, st.Reply); err != nil {
			st.Outcome, st.Reason = attempt.Unknown, attempt.ReasonReplyNotKept
			s.refuseStep(ctx, st)
			return
		}
		removeInternalHeaders(&ctx.Response.Header)
	case t != nil && t.complete && isAnswer(t, st):
		writeReply(ctx, c, t)
		removeInternalHeaders(&ctx.Response.Header)
	default:
		s.refuseStep(ctx, st)
		return
	}
	h := &ctx.Response.Header
	h.Set(headers.Outcome, st.Outcome.String())
	h.Set(headers.Entry, s.cfg.ID)
	if st.Outcome != attempt.Answered {
		s.m.refused(st.Reason).Inc(1)
		h.Set(headers.Reason, string(st.Reason))
	}
	if st.RetriesSpent {
		h.Set(headers.RetriesSpent, "1")
	}
}

// isAnswer reports whether the reply of t is passed to the caller: an
// upstream's reply if the call was answered, another entry's reply in every
// case.
func isAnswer(t *callAttempt, st *entry.Step) bool {
	return st.Outcome == attempt.Answered || t.step.Kind == entry.StepForward
}

// replyMemoryKey is the key of the request's value that holds the memory of its reply. The
// HTTP server closes such values once the response is written.
type replyMemoryKey struct{}

// writeReply copies the reply of t into ctx, unless it was read into
// ctx.Response directly.
func writeReply(ctx *fasthttp.RequestCtx, c *call, t *callAttempt) {
	if t.resp != nil {
		t.resp.CopyTo(&ctx.Response)
	}
	if t.memory != nil {
		ctx.SetUserValue(replyMemoryKey{}, t.memory)
		t.memory = nil
	}
	ctx.Response.SkipBody = c.req.headOnly
}

// writeStoredReply writes a stored reply, header and body, as the response.
func writeStoredReply(ctx *fasthttp.RequestCtx, r *attempt.Reply) error {
	ctx.Response.Reset()
	if err := ctx.Response.Header.Read(bufio.NewReader(bytes.NewReader(r.Header))); err != nil {
		return err
	}
	ctx.SetBody(r.Body)
	return nil
}

// removeInternalHeaders removes the headers that concern only the connection
// to the upstream, and those that the upstream sends to the entry alone.
func removeInternalHeaders(h *fasthttp.ResponseHeader) {
	if connTokens := h.Peek(fasthttp.HeaderConnection); len(connTokens) > 0 {
		for t := range bytes.SplitSeq(bytes.Clone(connTokens), []byte{','}) {
			h.DelBytes(bytes.TrimSpace(t))
		}
		h.ResetConnectionClose()
		h.Del(fasthttp.HeaderConnection)
	}
	for _, k := range internalHeaders {
		h.Del(k)
	}
}

// internalHeaders lists the reply headers that are not passed to callers.
var internalHeaders = [...]string{
	fasthttp.HeaderKeepAlive, fasthttp.HeaderProxyConnection, fasthttp.HeaderProxyAuthenticate, fasthttp.HeaderUpgrade,
	headers.Load, headers.Shed, headers.Leaving, headers.Reason, headers.Attempt,
}
