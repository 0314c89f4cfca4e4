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
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes = 1 << 20
	// MaxConcurrentRequests is the maximum number of requests in flight;
	// further ones are refused with KindBusy.
	MaxConcurrentRequests = 16
	// StoreTimeout is the default timeout of all store calls of one
	// request together.
	StoreTimeout = 5 * time.Second
)

// Option configures a Handler.
type Option func(*server)

// WithStatus serves StatusPath from src. Without it StatusPath answers
// KindNotFound.
func WithStatus(src StatusSource) Option { return func(s *server) { s.status = src } }

// WithMetrics registers the counters in r: "operator.<path>" counts requests,
// "operator.refused.<kind>" counts refusals.
func WithMetrics(r gometrics.Registry) Option { return func(s *server) { s.metrics = r } }

// WithOnAccepted calls f with the head that each successful confirm returns, so
// that the agent applies it without waiting for its next read of the store.
func WithOnAccepted(f func(config.Head)) Option { return func(s *server) { s.onAccepted = f } }

// WithStoreTimeout sets the timeout of the store calls of one request; the
// default is StoreTimeout.
func WithStoreTimeout(d time.Duration) Option { return func(s *server) { s.storeTimeout = d } }

// Handler returns a handler that serves the intent API on c. The handler is
// safe for concurrent use.
func Handler(c *config.Committer, opts ...Option) fasthttp.RequestHandler {
	s := &server{
		commit: c, metrics: gometrics.NewRegistry(), onAccepted: func(config.Head) {},
		storeTimeout: StoreTimeout, inFlight: make(chan struct{}, MaxConcurrentRequests),
	}
	for _, o := range opts {
		o(s)
	}
	return s.handle
}

type server struct {
	commit       *config.Committer
	status       StatusSource
	metrics      gometrics.Registry
	onAccepted   func(config.Head)
	storeTimeout time.Duration
	inFlight     chan struct{} // semaphore
}

// handlerFunc returns the value to send as JSON, or the error to refuse the
// request with.
type handlerFunc func(context.Context, *fasthttp.RequestCtx) (any, error)

// route returns the handler of a path, nil for an unknown one, and whether it
// accepts POST only.
func (s *server) route(path string) (h handlerFunc, postOnly bool) {
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

func (s *server) handle(req *fasthttp.RequestCtx) {
	path := string(req.Path())
	h, postOnly := s.route(path)
	switch {
	case h == nil:
		s.refuse(req, newRefusal(KindNotFound, "unknown path: use %s, %s, %s, %s, %s, %s or %s",
			PlanPath, IntentPath, ConfirmPath, ShowPath, HistoryPath, DiffPath, StatusPath))
		return
	case !methodAllowed(string(req.Method()), postOnly):
		s.refuse(req, newRefusal(KindMethod, "method %s is not allowed on this path: use %s", req.Method(), allowedMethods(postOnly)))
		return
	case len(req.PostBody()) > MaxBodyBytes:
		s.refuse(req, newRefusal(KindTooLarge, "request body of %d bytes exceeds the limit of %d: shorten the document", len(req.PostBody()), MaxBodyBytes))
		return
	}
	select {
	case s.inFlight <- struct{}{}:
		defer func() { <-s.inFlight }()
	default:
		s.refuse(req, newRefusal(KindBusy, "%d requests are already in flight: retry, or use another agent", MaxConcurrentRequests))
		return
	}
	s.count("operator." + path[len("/v1/"):])
	ctx, cancel := context.WithTimeout(context.Background(), s.storeTimeout)
	defer cancel()
	v, err := h(ctx, req)
	if err != nil {
		s.refuse(req, err)
		return
	}
	s.write(req, fasthttp.StatusOK, v)
}

func methodAllowed(m string, postOnly bool) bool {
	return m == fasthttp.MethodPost || !postOnly && m == fasthttp.MethodGet
}

func allowedMethods(postOnly bool) string {
	if postOnly {
		return "POST"
	}
	return "GET or POST"
}

func (s *server) plan(ctx context.Context, req *fasthttp.RequestCtx) (any, error) {
	var doc config.Document
	if err := decode(req, &doc); err != nil {
		return nil, err
	}
	return withoutDocument(s.commit.Plan(ctx, &doc))
}

func (s *server) intent(ctx context.Context, req *fasthttp.RequestCtx) (any, error) {
	var in config.Intent
	if err := decode(req, &in); err != nil {
		return nil, err
	}
	return withoutDocument(s.commit.PlanIntent(ctx, &in))
}

// withoutDocument returns the plan without its document: the operator sent it,
// and it holds secrets.
func withoutDocument(p *config.Plan, err error) (any, error) {
	if err != nil {
		return nil, err
	}
	out := *p
	out.Document = nil
	return out, nil
}

func (s *server) confirm(ctx context.Context, req *fasthttp.RequestCtx) (any, error) {
	var r ConfirmRequest
	if err := decode(req, &r); err != nil {
		return nil, err
	}
	if !validPlanID(r.Plan) {
		return nil, newRefusal(KindMalformed, "%q is not a plan ID: copy the 16 digits from the answer to a plan", r.Plan)
	}
	a, err := s.commit.Confirm(ctx, r.Plan)
	if err != nil {
		return nil, err
	}
	s.onAccepted(a.Head)
	return a, nil
}

// validPlanID reports whether id has the form of a plan ID. Other text must not
// become a part of a store key.
func validPlanID(id string) bool {
	return len(id) == config.PlanIDLength && !slices.ContainsFunc([]byte(id), func(b byte) bool {
		return !(b >= '0' && b <= '9' || b >= 'a' && b <= 'f')
	})
}

func (s *server) show(ctx context.Context, _ *fasthttp.RequestCtx) (any, error) {
	h, _, err := s.commit.Head(ctx)
	h.Recent = nil
	return h, err
}

func (s *server) history(ctx context.Context, _ *fasthttp.RequestCtx) (any, error) {
	h, _, err := s.commit.Head(ctx)
	return History{Commits: h.Recent}, err
}

func (s *server) diff(ctx context.Context, req *fasthttp.RequestCtx) (any, error) {
	from, err := revisionParam(req, "from")
	if err != nil {
		return nil, err
	}
	to, err := revisionParam(req, "to")
	if err != nil {
		return nil, err
	}
	return s.commit.Compare(ctx, from, to)
}

// revisionParam reads a revision from the query parameter name; 0 if the
// parameter is absent.
func revisionParam(req *fasthttp.RequestCtx, name string) (uint64, error) {
	text := string(req.QueryArgs().Peek(name))
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, newRefusal(KindMalformed, "%s=%q is not a revision: give a whole number as history shows it", name, text)
	}
	return n, nil
}

func (s *server) readStatus(context.Context, *fasthttp.RequestCtx) (any, error) {
	if s.status == nil {
		return nil, newRefusal(KindNotFound, "this agent serves no status: use another agent")
	}
	return s.status.Status(), nil
}

// decode reads the request body into v. Unknown keys, duplicate keys and wrong
// types are errors; the error is a *Refusal with KindMalformed.
func decode(req *fasthttp.RequestCtx, v any) error {
	if err := settings.Decode("body", req.PostBody(), v); err != nil {
		r := &Refusal{Fault{Kind: KindMalformed}}
		for _, e := range settings.Errors(err) {
			r.Fault.Faults = append(r.Fault.Faults, e.Error())
		}
		return r
	}
	return nil
}

func (s *server) refuse(req *fasthttp.RequestCtx, err error) {
	f := faultOf(err)
	s.count("operator.refused." + string(f.Kind))
	s.write(req, statusCode(f.Kind), f)
}

func (s *server) count(name string) { gometrics.GetOrRegisterCounter(name, s.metrics).Inc(1) }

func (s *server) write(req *fasthttp.RequestCtx, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		b = fmt.Appendf(nil, `{"kind":%q,"faults":[%q]}`, KindInternal, err.Error())
		status = fasthttp.StatusInternalServerError
	}
	req.SetStatusCode(status)
	req.SetContentType("application/json")
	req.SetBody(b)
}
