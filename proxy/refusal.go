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

// Reasons of refusals before a request reaches the Node.
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
	reasonBodyTruncated   attempt.Reason = "body-cut"
	reasonRequestTimeout  attempt.Reason = "request-timeout"
	reasonStopping        attempt.Reason = "stopping"
	reasonTooManyCallers  attempt.Reason = "too-many-connections"
)

// Refusal is the body of an answer that does not come from an upstream.
type Refusal struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Remedy  string `json:"remedy"`
	// Detail describes what was wrong, if the reason alone does not.
	Detail string `json:"detail,omitempty"`
}

// requestError is the refusal of a request before it reaches the Node; the
// request did not run.
type requestError struct {
	reason attempt.Reason
	detail string
	remedy string // specific to the error, or the default of the reason
}

// Error returns the reason, what was wrong and the remedy.
func (e *requestError) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.reason, e.detail, e.remedy)
}

func newRequestError(code attempt.Reason, detail string) *requestError {
	return &requestError{reason: code, detail: detail, remedy: refusalFor(code, attempt.NotRun).remedy}
}

func newHeaderError(code attempt.Reason, name, remedy string) *requestError {
	return &requestError{reason: code, detail: "header " + name + " is malformed or sent twice", remedy: remedy}
}

// refusalInfo is the HTTP status and the remedy that a refusal shows to
// callers.
type refusalInfo struct {
	status int
	remedy string
}

// edgeRefusals holds the status and the remedy for each reason to refuse a
// request before it reaches the Node.
var edgeRefusals = map[attempt.Reason]refusalInfo{
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
	reasonBodyTruncated:   {fasthttp.StatusBadRequest, "send the whole body"},
	reasonRequestTimeout:  {fasthttp.StatusRequestTimeout, "send the whole request sooner"},
	reasonStopping:        {fasthttp.StatusServiceUnavailable, "ask another entry for addresses"},
	reasonTooManyCallers:  {fasthttp.StatusServiceUnavailable, "come back later, or ask another entry for addresses"},
}

// nodeStatuses holds the Node's reasons with a status other than the default
// of their outcome.
var nodeStatuses = map[attempt.Reason]int{
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

// refusalFor returns the status and the remedy of a refusal.
func refusalFor(reason attempt.Reason, o attempt.Outcome) refusalInfo {
	k := edgeRefusals[reason]
	unknown := o == attempt.Unknown
	switch {
	case k.status != 0:
	case nodeStatuses[reason] != 0:
		k.status = nodeStatuses[reason]
	case unknown:
		k.status = fasthttp.StatusGatewayTimeout
	default:
		k.status = fasthttp.StatusServiceUnavailable
	}
	switch {
	case k.remedy != "":
	case reason.Remedy() != "":
		k.remedy = reason.Remedy()
	case unknown:
		k.remedy = "the call may have run: check, or repeat it with the same " + headers.Key
	default:
		k.remedy = "the call did not run: repeat it later"
	}
	return k
}

// outcome returns the outcome to report. The request did not run, but for one
// with a key NotRun also says that no earlier try ran, which only the key's
// home can tell; headers that were too large may have contained a key.
func (e *requestError) outcome(h *fasthttp.RequestHeader) attempt.Outcome {
	keyed := len(h.Peek(headers.Key)) > 0 && e.reason != reasonBadKey
	if keyed || e.reason == reasonHeaderTooLarge {
		return attempt.Unknown
	}
	return attempt.NotRun
}

// refuse answers a request that is refused before it reaches the Node.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, reqErr *requestError) {
	o := reqErr.outcome(&ctx.Request.Header)
	s.m.outcome(o).Inc(1)
	s.m.refused(reqErr.reason).Inc(1)
	k := refusalFor(reqErr.reason, o)
	s.writeRefusal(ctx, k.status, 0, Refusal{
		Outcome: o.String(), Reason: string(reqErr.reason), Remedy: reqErr.remedy, Detail: reqErr.detail,
	})
}

// refuseStep answers a call with the outcome and reason of its StepAnswer.
func (s *Server) refuseStep(ctx *fasthttp.RequestCtx, st *entry.Step) {
	s.m.refused(st.Reason).Inc(1)
	k := refusalFor(st.Reason, st.Outcome)
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
	h.Set(headers.Entry, s.cfg.ID)
	if after > 0 {
		h.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int((after+time.Second-1)/time.Second)))
	}
}
