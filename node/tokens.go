package node

import (
	"math"
	"time"

	"github.com/catkinrouter/catkinrouter/fleet"
	"github.com/catkinrouter/catkinrouter/ratelimit"
)

// leaseScale converts between tokens per second and the thousandths in datagrams.
const leaseScale = 1000

// askTokens implements gateway.Hooks.AskTokens: it sends a question to another instance.
func (n *Node) askTokens(to string, q ratelimit.Question) {
	n.fleet.RequestTokens(to, fleet.TokenRequest{
		Backup: q.Backup, Number: q.Number, Customer: uint64(q.Customer),
		Want: toUint16(q.Want), Waiting: toUint16(q.Waiting), Refused: toUint16(q.Refused),
		LeaseMilli: toMilli(q.Lease), LeaseSpent: q.Spent,
	})
}

// TokensRequested implements fleet.Listener.
func (n *Node) TokensRequested(_ time.Duration, from string, r fleet.TokenRequest) fleet.TokenReply {
	reply := n.gateway.AnswerTokens(from, ratelimit.Question{
		Number: r.Number, Customer: ratelimit.Key(r.Customer), Backup: r.Backup,
		Want: int(r.Want), Waiting: int(r.Waiting), Refused: int(r.Refused),
		Lease: float64(r.LeaseMilli) / leaseScale, Spent: r.LeaseSpent,
	})
	return fleet.TokenReply{
		Backup: reply.Backup, Unknown: reply.Unknown, Warming: reply.Warming, Partial: reply.Partial, Number: reply.Number, Customer: uint64(reply.Customer),
		Granted: toUint16(reply.Granted), LeaseMilli: toMilli(reply.Lease),
		AskAfterMillis: toUint16(int(reply.AskAfter.Milliseconds())), RetryAfterMillis: toUint16(int(reply.RetryAfter.Milliseconds())),
	}
}

// TokensGranted implements fleet.Listener.
func (n *Node) TokensGranted(_ time.Duration, r fleet.TokenReply) {
	n.gateway.ReceiveTokens(ratelimit.Reply{
		Number: r.Number, Customer: ratelimit.Key(r.Customer), Backup: r.Backup, Unknown: r.Unknown, Warming: r.Warming, Partial: r.Partial,
		Granted: int(r.Granted), Lease: float64(r.LeaseMilli) / leaseScale,
		AskAfter: time.Duration(r.AskAfterMillis) * time.Millisecond, RetryAfter: time.Duration(r.RetryAfterMillis) * time.Millisecond,
	})
}

// toUint16 converts n to the nearest value of a field of a datagram.
func toUint16(n int) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }

// toMilli converts a rate, rounded down: more than was granted must not be leased.
func toMilli(perSecond float64) uint32 {
	return uint32(min(max(perSecond*leaseScale, 0), math.MaxUint32))
}
