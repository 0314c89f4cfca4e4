package proxy

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/link"
	"github.com/catkinrouter/catkinrouter/locate"
)

// LookupAnswer is the body of the answer to an address lookup.
type LookupAnswer struct {
	Service string `json:"service"`
	// LifetimeMs is how long the caller may use the answer, in milliseconds.
	LifetimeMs int64           `json:"life_ms"`
	Addresses  []LookupAddress `json:"addresses"`
}

// LookupAddress is one entry that a caller may use.
type LookupAddress struct {
	Address string `json:"address"`
	// Weight is proportional to the share of the caller's calls that should
	// go to Address; the largest of an answer is 1.
	Weight float64 `json:"weight"`
	// Permit is the first part of the Catkin-Key of non-idempotent calls to
	// Address.
	Permit string `json:"permit"`
}

// lookup answers an address lookup.
func (s *Server) lookup(ctx *fasthttp.RequestCtx) {
	if !ctx.IsGet() {
		s.refuse(ctx, newRequestError(reasonBadMethod, "the lookup takes GET"))
		return
	}
	st := s.agentState.Load()
	if st.doc == nil {
		s.refuse(ctx, newRequestError(attempt.ReasonNoConfiguration, "the entry has no configuration yet"))
		return
	}
	service := string(ctx.QueryArgs().Peek("service"))
	if _, ok := st.maxBody[service]; !ok {
		s.refuse(ctx, newRequestError(reasonBadLookup, "the query names no configured service"))
		return
	}
	args := ctx.QueryArgs()
	q := locate.Query{DataCentre: string(args.Peek("data_centre")), Region: string(args.Peek("region"))}
	addresses, lifetime := s.d.choose(q, s.self(), st)
	if len(addresses) == 0 {
		s.refuse(ctx, newRequestError(reasonStopping, "the entry is stopping and knows no other"))
		return
	}
	a := LookupAnswer{Service: service, LifetimeMs: lifetime.Milliseconds(), Addresses: addresses}
	b, err := json.Marshal(a)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	s.m.lookups.Inc(1)
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// self returns this entry as a member for its own lookups, without the values
// that the Node adds.
func (s *Server) self() link.Member {
	return link.Member{
		ID: s.cfg.ID, Address: s.cfg.Address, DataCentre: s.cfg.DataCentre, Region: s.cfg.Region,
		Leaving: s.currentPhase() >= leaving,
	}
}
