package entry

import (
	"time"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/link"
)

// PermitMargin is how long a permit outlasts the lookup's answer, for calls
// that begin at the answer's end and for their repeats.
const PermitMargin = time.Minute

// Permit returns a permit for keyed calls at the member, in text, of which
// each caller needs one of its own; "" before a configuration. Its expiry is
// an uptime of the member, worked out from the one last heard: an error makes
// the permit shorter or longer, never the home's judgement wrong.
func (n *Node) Permit(now time.Duration, m link.Member) string {
	now = n.advance(now)
	if n.doc == nil {
		return ""
	}
	uptime := m.Uptime + now - n.heard
	if m.ID == n.opt.ID && m.Incarnation == n.opt.Incarnation {
		uptime = now
	}
	lifetime := min(n.doc.Lookup.Lifetime.D()+PermitMargin, attempt.MaxLifetime/2)
	return n.signer.Sign(attempt.Permit{
		Home: m.ID, Address: m.Address, Incarnation: m.Incarnation,
		Expires: uptime + lifetime, Nonce: n.rng.Uint64(),
	})
}
