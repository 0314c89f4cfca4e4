package proxy

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/entry"
	"github.com/catkinrouter/catkinrouter/headers"
)

// Reasons of refusals at the entry's edge, before any decision.
const (
	reasonBadTarget       attempt.Reason = "bad-target"
	reasonBadMethod       attempt.Reason = "bad-method"
	reasonBadKey          attempt.Reason = "bad-key"
	reasonBadTry          attempt.Reason = "bad-try"
	reasonBadDeadline     attempt.Reason = "bad-deadline"
	reasonBadDepth        attempt.Reason = "bad-depth"
	reasonBadRetriesSpent attempt.Reason = "bad-retries-spent"
	reasonBadForwarded    attempt.Reason = "bad-forwarded"
	reasonBadCaller       attempt.Reason = "bad-caller"
	reasonBadLookup       attempt.Reason = "bad-lookup"
	reasonMalformed       attempt.Reason = "malformed-request"
	reasonHeaderTooLarge  attempt.Reason = "header-too-large"
	reasonBodyCut         attempt.Reason = "body-cut"
	reasonSlowRequest     attempt.Reason = "request-timeout"
	reasonStopping        attempt.Reason = "stopping"
)

// Refusal is the body of an answer that is not an upstream's.
type Refusal struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Remedy  string `json:"remedy"`
	// Detail names what was wrong, where the reason alone does not.
	Detail string `json:"detail,omitempty"`
}

// fault is a refusal at the entry's edge; the request did not run.
type fault struct {
	reason attempt.Reason
	detail string
	remedy string // in place of the reason's own
}

// Error names the reason, what was wrong and the remedy.
func (f *fault) Error() string {
	return fmt.Sprintf("%s: %s: %s", f.reason, f.detail, f.remedy)
}

func newFault(why attempt.Reason, detail string) *fault {
	return &fault{reason: why, detail: detail, remedy: kindOf(why, attempt.NotRun).remedy}
}

func badHeader(why attempt.Reason, name, remedy string) *fault {
	return &fault{reason: why, detail: "header " + name + " is malformed or sent twice", remedy: remedy}
}

// kind is how a reason is shown to callers.
type kind struct {
	status int
	remedy string
}

var kinds = map[attempt.Reason]kind{
	reasonBadTarget:       {fasthttp.StatusBadRequest, "send a path that starts with a slash, and the service in the Host header"},
	reasonBadMethod:       {fasthttp.StatusMethodNotAllowed, "use another method; the lookup takes GET"},
	reasonBadKey:          {fasthttp.StatusBadRequest, "correct the header"},
	reasonBadTry:          {fasthttp.StatusBadRequest, "correct the header"},
	reasonBadDeadline:     {fasthttp.StatusBadRequest, "correct the header"},
	reasonBadDepth:        {fasthttp.StatusBadRequest, "correct the header"},
	reasonBadRetriesSpent: {fasthttp.StatusBadRequest, "correct the header"},
	reasonBadForwarded:    {fasthttp.StatusBadRequest, "correct the header"},
	reasonBadCaller:       {fasthttp.StatusBadRequest, "correct the header"},
	reasonBadLookup:       {fasthttp.StatusBadRequest, "ask for " + headers.LookupPath + "?service=NAME with a configured service"},
	reasonMalformed:       {fasthttp.StatusBadRequest, "send a well-formed HTTP/1.1 request"},
	reasonHeaderTooLarge:  {fasthttp.StatusRequestHeaderFieldsTooLarge, "send fewer or shorter headers, or raise max_header in the entry's settings"},
	reasonBodyCut:         {fasthttp.StatusBadRequest, "send the whole body"},
	reasonSlowRequest:     {fasthttp.StatusRequestTimeout, "send the whole request sooner"},
	reasonStopping:        {fasthttp.StatusServiceUnavailable, "ask another entry for addresses"},
}

// statuses are those of the Node's reasons that differ from their outcome's.
var statuses = map[attempt.Reason]int{
	attempt.ReasonUnknownService:  fasthttp.StatusNotFound,
	attempt.ReasonBodyTooLarge:    fasthttp.StatusRequestEntityTooLarge,
	attempt.ReasonDeadline:        fasthttp.StatusGatewayTimeout,
	attempt.ReasonQueueFull:       fasthttp.StatusTooManyRequests,
	attempt.ReasonTooManyRepeats:  fasthttp.StatusTooManyRequests,
	attempt.ReasonMalformedKey:    fasthttp.StatusBadRequest,
	attempt.ReasonPermitVersion:   fasthttp.StatusConflict,
	attempt.ReasonPermitSigner:    fasthttp.StatusConflict,
	attempt.ReasonPermitSignature: fasthttp.StatusConflict,
	attempt.ReasonPermitExpired:   fasthttp.StatusConflict,
	attempt.ReasonPermitTooLong:   fasthttp.StatusConflict,
	attempt.ReasonHomeGone:        fasthttp.StatusConflict,
	attempt.ReasonNotRunEarlier:   fasthttp.StatusConflict,
	attempt.ReasonKeyReused:       fasthttp.StatusConflict,
	attempt.ReasonReplyNotKept:    fasthttp.StatusConflict,
}

// kindOf returns the status and the remedy of an answer.
func kindOf(why attempt.Reason, o attempt.Outcome) kind {
	k := kinds[why]
	unknown := o == attempt.Unknown
	switch {
	case k.status != 0:
	case statuses[why] != 0:
		k.status = statuses[why]
	case unknown:
		k.status = fasthttp.StatusGatewayTimeout
	default:
		k.status = fasthttp.StatusServiceUnavailable
	}
	switch {
	case k.remedy != "":
	case why.Remedy() != "":
		k.remedy = why.Remedy()
	case unknown:
		k.remedy = "the call may have run: check, or repeat it with the same " + headers.Key
	default:
		k.remedy = "the call did not run: repeat it later"
	}
	return k
}

// outcome is what a request that was refused at the edge is told. It did not
// run, but not-run with a key says that no earlier try did, which only the
// key's home knows; headers that were too large may have held a key.
func (f *fault) outcome(h *fasthttp.RequestHeader) attempt.Outcome {
	keyed := len(h.Peek(headers.Key)) > 0 && f.reason != reasonBadKey
	if keyed || f.reason == reasonHeaderTooLarge {
		return attempt.Unknown
	}
	return attempt.NotRun
}

// refuse answers a request that was refused at the edge.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, f *fault) {
	o := f.outcome(&ctx.Request.Header)
	s.m.outcome(o).Inc(1)
	s.m.refused(f.reason).Inc(1)
	k := kindOf(f.reason, o)
	s.writeRefusal(ctx, k.status, 0, Refusal{
		Outcome: o.String(), Reason: string(f.reason), Remedy: f.remedy, Detail: f.detail,
	})
}

// refuseStep answers with an outcome that the Node decided.
func (s *Server) refuseStep(ctx *fasthttp.RequestCtx, st *entry.Step) {
	s.m.refused(st.Reason).Inc(1)
	k := kindOf(st.Reason, st.Outcome)
	s.writeRefusal(ctx, k.status, st.RetryAfter, Refusal{
		Outcome: st.Outcome.String(), Reason: string(st.Reason), Remedy: k.remedy,
	})
}

func (s *Server) writeRefusal(ctx *fasthttp.RequestCtx, status int, after time.Duration, r Refusal) {
	ctx.Response.Reset()
	b, err := json.Marshal(r)
	if err != nil {
		b = nil
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
	h := &ctx.Response.Header
	h.Set(headers.Outcome, r.Outcome)
	h.Set(headers.Reason, r.Reason)
	h.Set(headers.Entry, s.set.ID)
	if after > 0 {
		h.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int((after+time.Second-1)/time.Second)))
	}
}
