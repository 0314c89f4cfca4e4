// Package ratelimit enforces the limits of customers over all instances. One instance
// allocates a customer's tokens from a bucket (Allocator); each instance that serves the
// customer requests tokens from it and spends them (Account). The package does no I/O and
// reads no clock. The load that it answers is a customer who sends many times its limit
// through any number of instances, while some of them can't reach each other.
// See docs/design/customer-rate-limits.md.
package ratelimit

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinrouter/catkinrouter/customer"
	"github.com/catkinrouter/catkinrouter/internal/rendezvous"
)

// Key identifies a customer in messages between instances.
type Key uint64

// KeyOf returns the key of the customer with the given name.
func KeyOf(name string) Key { return Key(xxhash.Sum64String(name)) }

// Assign returns the addresses of the customer's primary allocator and of its backup among
// those of all allocators, "" if there is none.
func Assign(allocators []string, key Key) (primary, backup string) {
	var text [8]byte
	binary.BigEndian.PutUint64(text[:], uint64(key))
	var first, second uint64
	for _, a := range allocators {
		switch h := rendezvous.Hash(a, string(text[:])); {
		case primary == "" || h > first:
			primary, backup, first, second = a, primary, h, first
		case backup == "" || h > second:
			backup, second = a, h
		}
	}
	return primary, backup
}

// Question is a request for tokens of a customer.
type Question struct {
	// Number identifies the question among those of its sender; a repeated one has the
	// same number.
	Number   uint32
	Customer Key
	// Backup is set if the receiver is asked as the customer's backup allocator.
	Backup bool
	// Want is the number of tokens wanted, Waiting how many of them calls wait for, Refused
	// the number of calls refused since the last question.
	Want, Waiting, Refused int
	// Lease is the lease that the sender holds, in tokens per second, and Spent the
	// count of all that it spent of leases so far; it may wrap.
	Lease float64
	Spent uint32
}

// Reply is the answer to a Question.
type Reply struct {
	Number   uint32
	Customer Key
	Backup   bool
	// Unknown is set by an instance that can't allocate; it counts as no reply.
	Unknown bool
	// Warming is set by an allocator that is new to the customer: a lease of an earlier
	// one stays in use.
	Warming bool
	// Partial is set by an allocator that sees no majority of the fleet: it does not know
	// whether the customer is over its limit.
	Partial bool
	Granted int
	// Lease is the rate, in tokens per second, at which the receiver may admit calls
	// if it gets no further reply, for leaseTime from its question on.
	Lease float64
	// AskAfter is when to ask again, RetryAfter when the first call that got no token has a
	// chance; both are set if fewer tokens were granted than wanted.
	AskAfter, RetryAfter time.Duration
}

// Quota bounds the calls of a customer in any Window: (PerSecond x Window + Burst) x
// (1 + Overshoot) + Slack, by its customer.Limit.
type Quota struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64 // calls
}

// Shares of the tolerance. Two buckets of reserveBurst and reserveRate may be in use at a
// time, those of a backup and of a new allocator: all shares add up to 1.
const (
	lifetimeShare = 1.0 / 4
	reserveBurst  = 1.0 / 4
	reserveRate   = 1.0 / 16 // per window
	ownShare      = 1.0 / 16 // per period; a window may touch two periods
)

// defaultWindow stands for a Window that is not set.
const defaultWindow = 5 * time.Second

func (q Quota) window() time.Duration {
	if q.Window <= 0 {
		return defaultWindow
	}
	return q.Window
}

// tolerance returns the number of calls by which a window may exceed the limit.
func (q Quota) tolerance(l customer.Limit) float64 {
	return q.Overshoot*(l.PerSecond*q.window().Seconds()+l.Burst) + q.Slack
}

// Limits of the lifetime of tokens: below the first, the round trip would use it up.
const (
	minLifetime = 50 * time.Millisecond
	maxLifetime = time.Second
)

// lifetime returns how long tokens are valid after they were requested. All tokens that
// are valid at the start of a window are at most lifetimeShare of the tolerance.
func (q Quota) lifetime(l customer.Limit) time.Duration {
	return min(max(seconds(lifetimeShare*q.tolerance(l)/l.PerSecond), minLifetime), maxLifetime)
}

// leaseTime is how long a lease lasts. It covers the time in which a fleet replaces an
// allocator that failed: its heartbeats time out and the list of members spreads.
const leaseTime = 3 * time.Second

// seconds converts s, capped at an hour so that it does not overflow.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, 3600) * float64(time.Second))
}

// bucket is a token bucket. It may hold less than nothing.
type bucket struct {
	tokens float64
	at     time.Duration
}

// refill adds perSecond x the time since the last refill, up to capacity.
func (b *bucket) refill(now time.Duration, perSecond, capacity float64) {
	b.tokens = min(b.tokens+perSecond*(now-b.at).Seconds(), capacity)
	b.at = now
}

// take removes up to want whole tokens and returns their number.
func (b *bucket) take(want int) int {
	n := max(0, min(want, int(b.tokens)))
	b.tokens -= float64(n)
	return n
}
