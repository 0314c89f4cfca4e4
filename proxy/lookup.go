package proxy

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/link"
	"github.com/catkinrouter/catkinrouter/locate"
)

// LookupAnswer is the body of the address lookup's answer.
type LookupAnswer struct {
	Service   string          `json:"service"`
	LifeMs    int64           `json:"life_ms"`
	Addresses []LookupAddress `json:"addresses"`
}

// LookupAddress is one entry that a caller may use.
type LookupAddress struct {
	Address string  `json:"address"`
	Weight  float64 `json:"weight"`
	// Permit begins the Catkin-Key of non-idempotent calls to Address.
	Permit string `json:"permit"`
}

func (s *Server) lookup(ctx *fasthttp.RequestCtx) {
	if !ctx.IsGet() {
		s.refuse(ctx, newFault(reasonBadMethod, "the lookup takes GET"))
		return
	}
	st := s.state.Load()
	if st.doc == nil {
		s.refuse(ctx, newFault(attempt.ReasonNoConfiguration, "the entry has no configuration yet"))
		return
	}
	service := string(ctx.QueryArgs().Peek("service"))
	if _, ok := st.maxBody[service]; !ok {
		s.refuse(ctx, newFault(reasonBadLookup, "the query names no configured service"))
		return
	}
	args := ctx.QueryArgs()
	q := locate.Query{DataCentre: string(args.Peek("data_centre")), Region: string(args.Peek("region"))}
	addresses, life := s.d.choose(q, s.self(), st)
	if len(addresses) == 0 {
		s.refuse(ctx, newFault(reasonStopping, "the entry is stopping and knows no other"))
		return
	}
	a := LookupAnswer{Service: service, LifeMs: life.Milliseconds(), Addresses: addresses}
	b, err := json.Marshal(a)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	s.m.lookups.Inc(1)
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// self is this entry as its own lookups see it.
func (s *Server) self() link.Member {
	return link.Member{
		ID: s.set.ID, Address: s.set.Address, DataCentre: s.set.DataCentre, Region: s.set.Region,
		Leaving: s.at() >= leaving,
	}
}
