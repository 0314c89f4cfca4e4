package ratelimit

import (
	"math/rand/v2"
	"time"

	"github.com/catkinrouter/catkinrouter/customer"
)

// heldLease is the rate at which an instance may admit calls without a reply.
type heldLease struct {
	perSecond float64
	until     time.Duration
	tokens    bucket
	// spent counts the tokens used so far.
	spent uint32
}

// at returns the leased rate, 0 once the lease has ended.
func (l *heldLease) at(now time.Duration) float64 {
	if now >= l.until {
		return 0
	}
	return l.perSecond
}

// take takes a token of the lease. The allocator's charge begins with the last question
// that was answered, and so do the tokens.
func (l *heldLease) take(now time.Duration, limit customer.Limit) bool {
	rate := min(l.at(now), limit.PerSecond)
	l.tokens.refill(now, rate, max(1, rate))
	if rate == 0 || l.tokens.take(1) == 0 {
		return false
	}
	l.spent++
	return true
}

// giveBack returns the token of a call that was not sent.
func (l *heldLease) giveBack() {
	l.tokens.tokens++
	l.spent--
}

// renew takes the lease of a reply to a question sent at askedAt.
func (l *heldLease) renew(askedAt time.Duration, r Reply) {
	l.perSecond, l.until = r.Lease, askedAt+leaseTime
	if !r.Warming {
		l.tokens = bucket{at: askedAt}
	}
}

// ownTokens is what an instance admits without any allocator: the part of the tolerance
// that falls to it. It is drawn by chance for each period of Quota.Window, such that the
// sum over all instances is ownShare of the tolerance; a token for each would exceed it.
type ownTokens struct {
	rng    *rand.Rand
	mean   float64 // tokens per period
	length time.Duration
	period time.Duration // the number of the current one
	tokens int
}

// set sets the limit and the number of instances.
func (o *ownTokens) set(l customer.Limit, q Quota, instances int) {
	o.mean, o.length = ownShare*q.tolerance(l)/float64(instances), q.window()
}

// take takes a token of the present period.
func (o *ownTokens) take(now time.Duration) bool {
	if period := 1 + now/o.length; period != o.period {
		o.period, o.tokens = period, int(o.mean+o.rng.Float64())
	}
	if o.tokens == 0 {
		return false
	}
	o.tokens--
	return true
}
