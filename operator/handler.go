package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/settings"
)

// Limits of the intent API.
const (
	// MaxBody bounds a request's body, in bytes.
	MaxBody = 1 << 20
	// MaxConcurrent bounds the requests served at once; further ones are
	// refused as busy.
	MaxConcurrent = 16
	// CallTimeout bounds the store calls of one request.
	CallTimeout = 5 * time.Second
)

// Option changes a Handler.
type Option func(*server)

// WithStatus serves StatusPath from s.
func WithStatus(s StatusSource) Option { return func(a *server) { a.status = s } }

// WithMetrics counts in r: "operator.<path>" for requests, "operator.refused.
// <kind>" for refusals.
func WithMetrics(r gometrics.Registry) Option { return func(a *server) { a.metrics = r } }

// WithAccepted calls f with the head of each confirm that succeeded, so that
// the agent holds it at once.
func WithAccepted(f func(config.Head)) Option { return func(a *server) { a.accepted = f } }

// WithTimeout bounds the store calls of one request; CallTimeout by default.
func WithTimeout(d time.Duration) Option { return func(a *server) { a.timeout = d } }

// Handler serves the intent API on c. It is safe for concurrent use.
func Handler(c *config.Committer, opts ...Option) fasthttp.RequestHandler {
	s := &server{
		commit: c, metrics: gometrics.NewRegistry(), accepted: func(config.Head) {},
		timeout: CallTimeout, slots: make(chan struct{}, MaxConcurrent),
	}
	for _, o := range opts {
		o(s)
	}
	return s.handle
}

type server struct {
	commit   *config.Committer
	status   StatusSource
	metrics  gometrics.Registry
	accepted func(config.Head)
	timeout  time.Duration
	slots    chan struct{}
}

// call answers one request with a value or an error.
type call func(context.Context, *fasthttp.RequestCtx) (any, error)

// route returns what serves a path, and whether it takes a POST alone.
func (s *server) route(path string) (c call, post bool) {
	switch path {
	case PlanPath:
		return s.plan, true
	case IntentPath:
		return s.intent, true
	case ConfirmPath:
		return s.confirm, true
	case ShowPath:
		return s.show, false
	case HistoryPath:
		return s.history, false
	case DiffPath:
		return s.diff, false
	case StatusPath:
		return s.readStatus, false
	}
	return nil, false
}

func (s *server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	c, post := s.route(path)
	switch {
	case c == nil:
		s.refuse(ctx, refusal(KindNotFound, "unknown path: use %s, %s, %s, %s, %s, %s or %s",
			PlanPath, IntentPath, ConfirmPath, ShowPath, HistoryPath, DiffPath, StatusPath))
		return
	case !allowed(string(ctx.Method()), post):
		s.refuse(ctx, refusal(KindMethod, "method %s is not taken here: use %s", ctx.Method(), method(post)))
		return
	case len(ctx.PostBody()) > MaxBody:
		s.refuse(ctx, refusal(KindTooLarge, "body of %d bytes is larger than %d: shorten the document", len(ctx.PostBody()), MaxBody))
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		s.refuse(ctx, refusal(KindBusy, "%d requests are served already: ask again, or another agent", MaxConcurrent))
		return
	}
	s.count("operator." + path[len("/v1/"):])
	bounded, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	v, err := c(bounded, ctx)
	if err != nil {
		s.refuse(ctx, err)
		return
	}
	s.write(ctx, fasthttp.StatusOK, v)
}

func allowed(m string, post bool) bool {
	return m == fasthttp.MethodPost || !post && m == fasthttp.MethodGet
}

func method(post bool) string {
	if post {
		return "POST"
	}
	return "GET or POST"
}

func (s *server) plan(bounded context.Context, ctx *fasthttp.RequestCtx) (any, error) {
	var doc config.Document
	if err := decode(ctx, &doc); err != nil {
		return nil, err
	}
	return withoutDocument(s.commit.Plan(bounded, &doc))
}

func (s *server) intent(bounded context.Context, ctx *fasthttp.RequestCtx) (any, error) {
	var in config.Intent
	if err := decode(ctx, &in); err != nil {
		return nil, err
	}
	return withoutDocument(s.commit.PlanIntent(bounded, &in))
}

// withoutDocument leaves out what the operator sent, secrets among it.
func withoutDocument(p *config.Plan, err error) (any, error) {
	if err != nil {
		return nil, err
	}
	out := *p
	out.Document = nil
	return out, nil
}

func (s *server) confirm(bounded context.Context, ctx *fasthttp.RequestCtx) (any, error) {
	var r ConfirmRequest
	if err := decode(ctx, &r); err != nil {
		return nil, err
	}
	if !planName(r.Plan) {
		return nil, refusal(KindMalformed, "%q is not a plan: copy the 16 digits from the answer to a plan", r.Plan)
	}
	a, err := s.commit.Confirm(bounded, r.Plan)
	if err != nil {
		return nil, err
	}
	s.accepted(a.Head)
	return a, nil
}

// planName tells whether id can be a plan's; others are no part of a key.
func planName(id string) bool {
	return len(id) == config.PlanIDLength && !slices.ContainsFunc([]byte(id), func(b byte) bool {
		return !(b >= '0' && b <= '9' || b >= 'a' && b <= 'f')
	})
}

func (s *server) show(bounded context.Context, _ *fasthttp.RequestCtx) (any, error) {
	h, _, err := s.commit.Head(bounded)
	h.Recent = nil
	return h, err
}

func (s *server) history(bounded context.Context, _ *fasthttp.RequestCtx) (any, error) {
	h, _, err := s.commit.Head(bounded)
	return History{Commits: h.Recent}, err
}

func (s *server) diff(bounded context.Context, ctx *fasthttp.RequestCtx) (any, error) {
	from, err := revision(ctx, "from")
	if err != nil {
		return nil, err
	}
	to, err := revision(ctx, "to")
	if err != nil {
		return nil, err
	}
	return s.commit.Compare(bounded, from, to)
}

// revision reads a revision from the query; 0 where it is left out.
func revision(ctx *fasthttp.RequestCtx, name string) (uint64, error) {
	text := string(ctx.QueryArgs().Peek(name))
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, refusal(KindMalformed, "%s=%q is not a revision: give a whole number as history shows it", name, text)
	}
	return n, nil
}

func (s *server) readStatus(context.Context, *fasthttp.RequestCtx) (any, error) {
	if s.status == nil {
		return nil, refusal(KindNotFound, "this agent gives no status: ask another agent")
	}
	return s.status.Status(), nil
}

// decode reads the body strictly; its error is a refusal.
func decode(ctx *fasthttp.RequestCtx, v any) error {
	if err := settings.Decode("body", ctx.PostBody(), v); err != nil {
		f := &Refusal{Fault{Kind: KindMalformed}}
		for _, e := range settings.Errors(err) {
			f.Fault.Faults = append(f.Fault.Faults, e.Error())
		}
		return f
	}
	return nil
}

func (s *server) refuse(ctx *fasthttp.RequestCtx, err error) {
	f := faultOf(err)
	s.count("operator.refused." + string(f.Kind))
	s.write(ctx, status(f.Kind), f)
}

func (s *server) count(name string) { gometrics.GetOrRegisterCounter(name, s.metrics).Inc(1) }

func (s *server) write(ctx *fasthttp.RequestCtx, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		b = fmt.Appendf(nil, `{"kind":%q,"faults":[%q]}`, KindInternal, err.Error())
		status = fasthttp.StatusInternalServerError
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}
