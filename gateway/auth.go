package gateway

import (
	"bytes"
	"errors"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/customer"
)

// keyRefusal is why a request is refused by its key. It has not run.
type keyRefusal struct {
	status int
	reason string
}

// Refusals of a request by its key.
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

// presentedKey is the key that a request carries, or why it carries none. The key stays in
// the memory of the request's header.
type presentedKey struct {
	key   []byte
	fault *keyRefusal
}

// keyOf returns the key in the Authorization header, which must be the only one.
func keyOf(h *fasthttp.RequestHeader) presentedKey {
	values := h.PeekAll(fasthttp.HeaderAuthorization)
	switch {
	case len(values) == 0:
		return presentedKey{fault: refusedNoKey}
	case len(values) > 1 || len(values[0]) < len(authScheme) || !bytes.EqualFold(values[0][:len(authScheme)], authScheme):
		return presentedKey{fault: refusedMalformedKey}
	}
	key := bytes.Trim(values[0][len(authScheme):], " ")
	if len(key) == 0 || len(key) > customer.MaxKeyBytes {
		return presentedKey{fault: refusedMalformedKey}
	}
	return presentedKey{key: key}
}

// identify returns the customer that holds the key: nil if there are no customers, and on a
// public route without a known key. fresh is set if the copy of the store is new enough to
// tell; if it is not, a key that is not known may be a new one.
func identify(p presentedKey, customers *customer.Set, fresh, public bool) (*customer.Customer, *keyRefusal) {
	if customers == nil {
		return nil, nil
	}
	refusal := p.fault
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

// authenticate is identify by the customers in force. It reads the age of the copy first: the
// customers are then at least as new as the age says.
func (g *Gateway) authenticate(p presentedKey, public bool) (*customer.Customer, *keyRefusal) {
	fresh := g.keys.freshness().serves(g.keyCopyAge())
	c, refusal := identify(p, g.snapshot.Load().table.Customers, fresh, public)
	if refusal == refusedKeysOutOfDate {
		g.CheckKeys()
	}
	return c, refusal
}

// identify records which customer holds the call's key now: it may have been withdrawn since
// the call arrived. It returns a refusal if the call must not be sent. If the first customers
// came into force meanwhile, the key must not be forwarded.
func (c *call) identify() *keyRefusal {
	var refusal *keyRefusal
	c.identified, refusal = c.g.authenticate(c.key, c.route.Public)
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
