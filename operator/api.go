// Package operator serves the operators' intent API over HTTP: state an
// intent, get a plan, confirm it.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/platform"
)

// Paths of the intent API.
const (
	PlanPath    = "/v1/plan"
	ConfirmPath = "/v1/confirm"
	ShowPath    = "/v1/show"
)

const callTimeout = 5 * time.Second

// ConfirmRequest is the body of a confirm.
type ConfirmRequest struct {
	Plan string `json:"plan"`
}

// Fault is the body of a refusal.
type Fault struct {
	// Kind is "invalid", "stale", "not-found" or "unavailable".
	Kind   string   `json:"kind"`
	Faults []string `json:"faults"`
}

// Handler serves the intent API on c.
func Handler(c *config.Committer) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		bounded, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		switch string(ctx.Path()) {
		case PlanPath:
			plan(bounded, c, ctx)
		case ConfirmPath:
			confirm(bounded, c, ctx)
		case ShowPath:
			h, _, err := c.Head(bounded)
			answer(ctx, h, err)
		default:
			write(ctx, fasthttp.StatusNotFound, Fault{Kind: "not-found", Faults: []string{"unknown path"}})
		}
	}
}

func plan(bounded context.Context, c *config.Committer, ctx *fasthttp.RequestCtx) {
	var doc config.Document
	if err := json.Unmarshal(ctx.PostBody(), &doc); err != nil {
		write(ctx, fasthttp.StatusBadRequest, Fault{Kind: "invalid", Faults: []string{err.Error()}})
		return
	}
	p, err := c.Plan(bounded, &doc)
	answer(ctx, p, err)
}

func confirm(bounded context.Context, c *config.Committer, ctx *fasthttp.RequestCtx) {
	var r ConfirmRequest
	if err := json.Unmarshal(ctx.PostBody(), &r); err != nil {
		write(ctx, fasthttp.StatusBadRequest, Fault{Kind: "invalid", Faults: []string{err.Error()}})
		return
	}
	h, err := c.Confirm(bounded, r.Plan)
	answer(ctx, h, err)
}

func answer(ctx *fasthttp.RequestCtx, v any, err error) {
	var stale *config.StaleError
	var check *config.CheckError
	switch {
	case err == nil:
		write(ctx, fasthttp.StatusOK, v)
	case errors.As(err, &stale):
		write(ctx, fasthttp.StatusConflict, Fault{Kind: "stale", Faults: []string{err.Error()}})
	case errors.As(err, &check):
		write(ctx, fasthttp.StatusBadRequest, Fault{Kind: "invalid", Faults: []string{err.Error()}})
	case platform.IsKind(err, platform.NotFound):
		write(ctx, fasthttp.StatusNotFound, Fault{Kind: "not-found", Faults: []string{err.Error()}})
	default:
		write(ctx, fasthttp.StatusServiceUnavailable, Fault{Kind: "unavailable", Faults: []string{err.Error()}})
	}
}

func write(ctx *fasthttp.RequestCtx, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}
