package proxy

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/link"
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
	a := LookupAnswer{
		Service: service, LifeMs: st.doc.Lookup.Lifetime.D().Milliseconds(),
		Addresses: s.d.permits(s.handedOut()),
	}
	b, err := json.Marshal(a)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	s.m.lookups.Inc(1)
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// handedOut returns the members that lookups may name.
func (s *Server) handedOut() []link.Member {
	var out []link.Member
	for _, m := range s.state.Load().members {
		if m.Leaving || m.ID == s.set.ID && s.at() >= leaving {
			continue
		}
		out = append(out, m)
	}
	return out
}
