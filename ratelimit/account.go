package ratelimit

import (
	"math/rand/v2"
	"time"

	"github.com/catkinrouter/catkinrouter/customer"
)

// Times of an account.
const (
	// RepeatAfter is the time without a reply after which a question is repeated, and the
	// backup allocator is asked too.
	RepeatAfter = 30 * time.Millisecond
	// ReplyTimeout is the time without a reply after which an allocator is suspect, and the
	// longest time that a call waits for a token.
	ReplyTimeout = 60 * time.Millisecond
	// suspectInterval is the time between two questions to a suspect allocator.
	suspectInterval = 250 * time.Millisecond
	// maxLead bounds the time for which tokens are requested ahead.
	maxLead = 200 * time.Millisecond
	// demandWindow is the time over which the rate of calls is averaged.
	demandWindow = time.Second
	// maxWant bounds the tokens of one question.
	maxWant = 1 << 15
)

// Verdict is what happens to a call.
type Verdict uint8

const (
	// Admitted: the call has a token.
	Admitted Verdict = iota + 1
	// Wait: the call waits for a reply.
	Wait
	// OverLimit: the customer has used up its limit.
	OverLimit
	// Unknown: no allocator can be reached, and the instance's own share is used up.
	Unknown
)

// Decision is the result of Take.
type Decision struct {
	Verdict Verdict
	// RetryAfter is when a refused call has a chance, 0 if that is not known.
	RetryAfter time.Duration
	source     source
	expires    time.Duration // of the token, if it was granted
}

// Fallback reports whether the call was decided without the primary allocator.
func (d Decision) Fallback() bool {
	return d.Verdict == Unknown || d.Verdict == Admitted && d.source != fromGrant
}

// source is where a token came from.
type source uint8

const (
	fromGrant source = iota
	fromLease
	fromOwnShare
)

// lot is tokens that were granted together.
type lot struct {
	count   int
	expires time.Duration
}

// Account holds the tokens of one customer at one instance. It is not safe for concurrent
// use.
type Account struct {
	customer Key
	quota    Quota
	limit    customer.Limit
	lots     []lot // those that expire first in front
	demand   meter
	usedAt   time.Duration
	// waiting counts the calls that wait for a reply, refused those refused since the last
	// question.
	waiting, refused int
	number           uint32 // of the last question
	primary, backup  exchange
	lease            heldLease
	own              ownTokens
	// refusedUntil is when the allocator is asked again after it granted too little. Calls
	// refused until then are told to come back one interval after the other, from
	// promisedAt on.
	refusedUntil, promisedAt time.Duration
	// aheadAt is when tokens may be requested ahead of need again.
	aheadAt time.Duration
}

// NewAccount returns an account without tokens. The numbers of its questions begin at a
// random one: those of an earlier process at the same address must not repeat.
func NewAccount(key Key, rng *rand.Rand) *Account {
	return &Account{customer: key, number: rng.Uint32(), own: ownTokens{rng: rng}}
}

// SetLimit sets the limit and the number of instances among which the customer's own
// shares are divided.
func (a *Account) SetLimit(l customer.Limit, q Quota, instances int) {
	a.limit, a.quota = l, q
	a.own.set(l, q, instances)
}

// SetAllocators sets the addresses of the customer's allocators, "" for none. Nothing is
// known of a new one.
func (a *Account) SetAllocators(primary, backup string) {
	a.primary.set(primary)
	a.backup.set(backup)
}

// Take decides about a call: first is set at its first decision, final if it can't wait any
// longer. A call that waited calls StopWaiting before the next Take.
func (a *Account) Take(now time.Duration, first, final bool) Decision {
	a.usedAt = now
	if first {
		a.demand.add(now, 1, demandWindow)
	}
	a.expireExchanges(now)
	if d, ok := a.takeToken(now); ok {
		return d
	}
	if now < a.refusedUntil {
		return a.refuse(now)
	}
	if !final && a.canAsk(now) {
		a.waiting++
		return Decision{Verdict: Wait}
	}
	if a.own.take(now) {
		return Decision{Verdict: Admitted, source: fromOwnShare}
	}
	return Decision{Verdict: Unknown}
}

// StopWaiting ends the wait of one call.
func (a *Account) StopWaiting() { a.waiting-- }

// takeToken takes a granted token, or one of the lease.
func (a *Account) takeToken(now time.Duration) (Decision, bool) {
	a.expireLots(now)
	if len(a.lots) > 0 {
		d := Decision{Verdict: Admitted, source: fromGrant, expires: a.lots[0].expires}
		if a.lots[0].count--; a.lots[0].count == 0 {
			a.lots = a.lots[:copy(a.lots, a.lots[1:])]
		}
		return d, true
	}
	if a.usesLease() && a.lease.take(now, a.limit) {
		return Decision{Verdict: Admitted, source: fromLease}, true
	}
	return Decision{}, false
}

// expireLots drops tokens that are no longer valid.
func (a *Account) expireLots(now time.Duration) {
	n := 0
	for n < len(a.lots) && now >= a.lots[n].expires {
		n++
	}
	if n > 0 {
		a.lots = a.lots[:copy(a.lots, a.lots[n:])]
	}
}

// usesLease reports whether the lease is in use: the primary allocator does not answer,
// or is not yet in charge.
func (a *Account) usesLease() bool { return a.primary.suspect || a.primary.warming }

// refuse refuses a call for which there is no token. Callers are told to come back one after
// the other, also if it is not known whether the customer is over its limit: a customer who
// sends many times its limit while an allocator is new would come back at once, all the time.
func (a *Account) refuse(now time.Duration) Decision {
	a.refused++
	a.promisedAt = max(a.promisedAt, now)
	d := Decision{Verdict: OverLimit, RetryAfter: min(a.promisedAt-now, maxRetryAfter)}
	if !a.primary.authoritative() {
		d.Verdict = Unknown
	}
	a.promisedAt = min(a.promisedAt+seconds(1/a.limit.PerSecond), now+maxRetryAfter)
	return d
}

// Return gives back the token of a call that was not sent.
func (a *Account) Return(now time.Duration, d Decision) {
	switch {
	case d.Verdict != Admitted:
	case d.source == fromLease:
		a.lease.giveBack()
	case d.source == fromOwnShare:
		a.own.tokens++
	case now < d.expires:
		a.insert(lot{1, d.expires})
	}
}

// insert adds tokens, those that expire first in front.
func (a *Account) insert(l lot) {
	a.lots = append(a.lots, l)
	for i := len(a.lots) - 1; i > 0 && a.lots[i].expires < a.lots[i-1].expires; i-- {
		a.lots[i], a.lots[i-1] = a.lots[i-1], a.lots[i]
	}
}

// held returns the number of granted tokens.
func (a *Account) held() (n int) {
	for _, l := range a.lots {
		n += l.count
	}
	return n
}

// IdleSince returns the time of the last call.
func (a *Account) IdleSince() time.Duration { return a.usedAt }
