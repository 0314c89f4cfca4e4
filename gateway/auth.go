package gateway

import (
	"bytes"
	"errors"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/customer"
)

// keyRefusal is why a request is refused for its API key. It has not run.
type keyRefusal struct {
	status int
	reason string
}

// Refusals of a request for its API key.
var (
	refusedNoKey         = &keyRefusal{fasthttp.StatusUnauthorized, "missing-key"}
	refusedMalformedKey  = &keyRefusal{fasthttp.StatusUnauthorized, "malformed-key"}
	refusedUnknownKey    = &keyRefusal{fasthttp.StatusUnauthorized, "unknown-key"}
	refusedKeysOutOfDate = &keyRefusal{fasthttp.StatusServiceUnavailable, "keys-out-of-date"}
)

// errKeysOutOfDate ends an attempt before it is sent.
var errKeysOutOfDate = errors.New("copy of the store became too old to tell whether the key is in force")

// authScheme is the scheme of the Authorization header, in lower case, with the space after it.
var authScheme = []byte("bearer ")

// presentedKey is the API key that a request carries, or why it carries none. The key stays
// in the memory of the request's header.
type presentedKey struct {
	key     []byte
	refusal *keyRefusal
}

// presentedKeyOf returns the API key in the Authorization header, which must be the only one.
func presentedKeyOf(h *fasthttp.RequestHeader) presentedKey {
	values := h.PeekAll(fasthttp.HeaderAuthorization)
	switch {
	case len(values) == 0:
		return presentedKey{refusal: refusedNoKey}
	case len(values) > 1 || len(values[0]) < len(authScheme) || !bytes.EqualFold(values[0][:len(authScheme)], authScheme):
		return presentedKey{refusal: refusedMalformedKey}
	}
	key := bytes.Trim(values[0][len(authScheme):], " ")
	if len(key) == 0 || len(key) > customer.MaxKeyBytes {
		return presentedKey{refusal: refusedMalformedKey}
	}
	return presentedKey{key: key}
}

// customerOf returns the customer that holds the key: nil if there are no customers, and on a
// public route without a known key. fresh is set if the copy of the store is new enough to
// tell; if it is not, a key that is not known may be a new one.
func customerOf(p presentedKey, customers *customer.Set, fresh, public bool) (*customer.Customer, *keyRefusal) {
	if customers == nil {
		return nil, nil
	}
	refusal := p.refusal
	switch {
	case refusal != nil:
	case !fresh:
		refusal = refusedKeysOutOfDate
	default:
		if c := customers.Lookup(p.key); c != nil {
			return c, nil
		}
		refusal = refusedUnknownKey
	}
	if public {
		return nil, nil
	}
	return nil, refusal
}

// authenticate is customerOf by the customers in force. It reads the age of the copy first: the
// customers are then at least as new as the age says.
func (g *Gateway) authenticate(p presentedKey, public bool) (*customer.Customer, *keyRefusal) {
	fresh := g.keys.freshness().serves(g.keyCopyAge())
	c, refusal := customerOf(p, g.snapshot.Load().table.Customers, fresh, public)
	if refusal == refusedKeysOutOfDate {
		g.CheckKeys()
	}
	return c, refusal
}

// recheckKey looks the call's key up again before an attempt: it may have been withdrawn
// since the call arrived. It returns a refusal if the call must not be sent. If the first
// customers came into force meanwhile, it removes the key from the forwarded headers.
func (c *call) recheckKey() *keyRefusal {
	var refusal *keyRefusal
	c.attemptCustomer, refusal = c.g.authenticate(c.key, c.route.Public)
	if !c.hasCustomers && c.g.snapshot.Load().table.Customers != nil {
		c.hasCustomers, c.head = true, c.g.requestHead(c.ctx, true)
	}
	return refusal
}

// keyRefusalResult returns the result of a call whose key no longer admits it.
func (c *call) keyRefusalResult(r *keyRefusal) callResult {
	if c.failedTry != nil || c.mayHaveRun {
		return c.failureResult(r.reason)
	}
	return callResult{kind: resultRefused, status: r.status, reason: r.reason}
}
