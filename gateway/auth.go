package gateway

import (
	"bytes"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/customer"
	"github.com/catkinrouter/catkinrouter/route"
)

// keyRefusal is why a request is refused by its key.
type keyRefusal struct {
	status int
	reason string
}

// refusedKey refuses a request without a key of a customer.
var refusedKey = &keyRefusal{fasthttp.StatusUnauthorized, "unknown-key"}

// authScheme is the scheme of the Authorization header, in lower case.
const authScheme = "bearer"

// authenticate returns the customer whose key the request carries; nil on a public route
// without a known key, and if the configuration has no customers.
func (g *Gateway) authenticate(ctx *fasthttp.RequestCtx, customers *customer.Set, r *route.Route) (*customer.Customer, *keyRefusal) {
	if customers == nil {
		return nil, nil
	}
	c := customers.Lookup(keyOf(&ctx.Request.Header))
	if c == nil && !r.Public {
		return nil, refusedKey
	}
	return c, nil
}

// keyOf returns the key in the Authorization header; nil if there is not exactly one such
// header, of the right scheme.
func keyOf(h *fasthttp.RequestHeader) []byte {
	values := h.PeekAll(fasthttp.HeaderAuthorization)
	if len(values) != 1 {
		return nil
	}
	scheme, key, found := bytes.Cut(values[0], []byte{' '})
	if !found || !strings.EqualFold(string(scheme), authScheme) {
		return nil
	}
	return bytes.Trim(key, " ")
}

// refuseKey answers a request that is refused by its key.
func (g *Gateway) refuseKey(ctx *fasthttp.RequestCtx, id string, refusal *keyRefusal) {
	g.refuse(ctx, id, refusal.status, refusal.reason)
	if refusal.status == fasthttp.StatusUnauthorized {
		ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
	}
}
