package entry

import (
	"time"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/link"
)

// PermitMargin is how long a permit remains valid after the lookup's answer
// expires. It covers calls that start just before that, and their repeats.
const PermitMargin = time.Minute

// Permit returns a permit, as text, for keyed calls at the member m; "" before
// the first configuration. Each caller needs its own permit. The expiry is an
// uptime of the member, estimated from the last one received. An error in the
// estimate only shortens or extends the permit: the home compares the expiry
// with its own clock.
func (n *Node) Permit(now time.Duration, m link.Member) string {
	now = n.advance(now)
	if n.doc == nil {
		return ""
	}
	uptime := m.Uptime + now - n.membersAt
	if m.ID == n.opt.ID && m.Incarnation == n.opt.Incarnation {
		uptime = now
	}
	lifetime := min(n.doc.Lookup.Lifetime.D()+PermitMargin, attempt.MaxLifetime/2)
	return n.signer.Sign(attempt.Permit{
		Home: m.ID, Address: m.Address, Incarnation: m.Incarnation,
		Expires: uptime + lifetime, Nonce: n.rng.Uint64(),
	})
}
