package ratelimit

import (
	"slices"
	"time"

	"github.com/catkinrouter/catkinrouter/customer"
)

// Times of an allocator.
const (
	// startupQuiet is how long a process that started allocates nothing: it does not yet
	// know the other instances, and would take itself for the only one. Instances that start
	// together find each other within that time, or learn their number from the store.
	startupQuiet = 300 * time.Millisecond
	// warmUp is how long an allocator that is new to a customer grants less: until no lease
	// of an earlier one remains.
	warmUp = leaseTime
	// startupTime is how long the number of instances that a process sees may be too low.
	startupTime = 2 * time.Second
	// silentAfter is the time without a question after which a lease is charged.
	silentAfter = 500 * time.Millisecond
	// repeatTime is how long replies to repeated questions are kept.
	repeatTime = 2 * time.Second
	// IdleTime is the time without calls after which a customer's state is dropped.
	IdleTime = time.Minute
	// sweepInterval is the time between two searches for idle customers and instances,
	// leaseCheckInterval between two for silent holders of leases.
	sweepInterval = 10 * time.Second
	// frozenAfter is the time without a call of Alive after which the process has been
	// stopped for so long that others may have replaced it.
	frozenAfter        = time.Second
	leaseCheckInterval = 50 * time.Millisecond
)

// Allocator grants tokens of the customers that are assigned to this instance. It is not
// safe for concurrent use.
type Allocator struct {
	quota     Quota
	startedAt time.Duration
	// changedAt is when the set of allocators last changed.
	changedAt  time.Duration
	self       string
	allocators []string
	// aliveAt is the time of the last call of Alive.
	aliveAt   time.Duration
	size      fleetSize
	customers map[Key]*allocation
	sweptAt   time.Duration
}

// NewAllocator returns an Allocator of a process at the address self that starts now.
func NewAllocator(now time.Duration, self string, q Quota) *Allocator {
	return &Allocator{quota: q, self: self, startedAt: now, changedAt: now, aliveAt: now, customers: map[Key]*allocation{}, sweptAt: now}
}

// SetQuota replaces the quota.
func (a *Allocator) SetQuota(q Quota) { a.quota = q }

// SetFleet sets the addresses of the allocators of all customers, the number of live
// instances, and the number of instances that are known by other means, 0 for none.
func (a *Allocator) SetFleet(now time.Duration, allocators []string, live, known int) {
	if !slices.Equal(a.allocators, allocators) {
		a.allocators, a.changedAt = slices.Clone(allocators), now
		for key, s := range a.customers {
			s.primary = s.primary && a.isPrimary(key)
		}
	}
	a.size.set(now, live, known)
}

// Alive tells that the process runs. It is called several times within frozenAfter.
func (a *Allocator) Alive(now time.Duration) {
	if now-a.aliveAt >= frozenAfter {
		a.changedAt = now
		for _, s := range a.customers {
			s.primary = false
		}
	}
	a.aliveAt = now
}

// designInstances is the number of instances assumed by a process that can't yet know how
// many there are; fleets are designed for fewer.
const designInstances = 500

// Instances returns the number of instances among which the own shares of accounts are
// divided: those that this one saw lately, not just those that it sees while it may be cut
// off.
func (a *Allocator) Instances(now time.Duration) int {
	a.size.expire(now)
	if now-a.startedAt < startupTime {
		return max(a.size.most, designInstances)
	}
	return max(1, a.size.most)
}

// isPrimary reports whether this instance takes itself for the customer's primary
// allocator.
func (a *Allocator) isPrimary(key Key) bool {
	primary, _ := Assign(a.allocators, key)
	return primary == a.self
}

// Grant answers a question of the instance at address from about a customer with the
// given limit.
func (a *Allocator) Grant(now time.Duration, from string, limit customer.Limit, q Question) Reply {
	if !limit.Limited() || now-a.startedAt < startupQuiet {
		return Reply{Number: q.Number, Customer: q.Customer, Backup: q.Backup, Unknown: true}
	}
	a.Alive(now)
	a.sweep(now)
	s := a.allocation(now, q, limit)
	h := s.holder(from)
	if h.number == q.Number && h.reply.Backup == q.Backup && now-h.repliedAt < repeatTime {
		return h.reply
	}
	s.update(now, limit, a.quota, a.size.share(now))
	r := s.answer(now, h, q, a.quota)
	r.Partial = a.size.share(now) <= majority
	h.number, h.reply, h.repliedAt = q.Number, r, now
	return r
}

// allocation returns the state of the customer. A customer that is new here may have an
// allocator elsewhere if the set of allocators has just changed.
func (a *Allocator) allocation(now time.Duration, q Question, limit customer.Limit) *allocation {
	s := a.customers[q.Customer]
	if s == nil {
		s = &allocation{holders: map[string]*holder{}, leases: map[*holder]struct{}{}}
		s.asBackup = bucket{tokens: reserveBurst * a.quota.tolerance(limit) * a.size.share(now), at: now}
		s.asNew, s.regular.at = s.asBackup, now
		a.customers[q.Customer] = s
	}
	switch {
	case q.Backup || s.primary:
	case !a.isPrimary(q.Customer):
		s.warmUntil = now + warmUp // the sender's view is ahead of this one, or behind it
	default:
		s.primary, s.warmUntil = true, a.changedAt+warmUp
		if now >= s.warmUntil {
			s.regular = bucket{tokens: capacityFor(limit, a.size.share(now)), at: now}
		} else {
			s.regular = bucket{at: now}
		}
	}
	s.askedAt = now
	return s
}

// sweep drops customers and instances that are idle.
func (a *Allocator) sweep(now time.Duration) {
	if now-a.sweptAt < sweepInterval {
		return
	}
	a.sweptAt = now
	for key, s := range a.customers {
		if now-s.askedAt >= IdleTime {
			delete(a.customers, key)
			continue
		}
		for from, h := range s.holders {
			if now-h.repliedAt >= IdleTime {
				delete(s.holders, from)
			}
		}
	}
}
