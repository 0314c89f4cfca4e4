package ratelimit

import (
	"time"

	"github.com/catkinrouter/catkinrouter/customer"
)

const (
	// rateWindow is the time over which the rate of grants to an instance is averaged.
	rateWindow = 5 * time.Second
	// minLease is the least rate that is leased, in tokens per second: instances with a lower
	// one are often silent, and the charge for it would lack elsewhere.
	minLease = 2.0
	// leaseFactor times the average rate is leased, since calls come in clusters.
	leaseFactor = 1.5
)

// Times of replies that grant too little.
const (
	// minAskAfter and maxAskAfter bound the time after which an instance asks again.
	minAskAfter = 20 * time.Millisecond
	maxAskAfter = 200 * time.Millisecond
	// askSpacing is the time between two questions of different instances: the questions
	// about one customer then cost the allocator the same with any number of instances.
	askSpacing = time.Millisecond
	// maxRetryAfter bounds the time after which refused calls are told to come back.
	maxRetryAfter = 5 * time.Second
)

// allocation is the state of one customer at an allocator.
type allocation struct {
	limit    customer.Limit
	capacity float64 // of the regular bucket
	askedAt  time.Duration
	// primary is set once this instance was asked as the primary allocator. Until warmUntil
	// it grants from asNew.
	primary   bool
	warmUntil time.Duration
	// regular is the bucket of the limit.
	regular bucket
	// asBackup and asNew hold the parts of the tolerance for a backup allocator and for one
	// that is new to the customer.
	asBackup, asNew bucket
	holders         map[string]*holder
	// leases holds the holders with a lease, leased the sum of their leases.
	leases    map[*holder]struct{}
	leased    float64
	checkedAt time.Duration
	// promisedAt is the time at which the last refused call was told to come back.
	promisedAt time.Duration
}

// holder is what an allocator knows of an instance that has asked for a customer's tokens.
type holder struct {
	number    uint32
	reply     Reply
	repliedAt time.Duration
	rate      meter
	// lease is in force from leasedAt. charged is what the customer's bucket paid for it,
	// up to chargedTo.
	lease     float64
	leasedAt  time.Duration
	charged   float64
	chargedTo time.Duration
	// spent is the holder's count of what it spent of leases, once spentKnown is set.
	spent      uint32
	spentKnown bool
}

// holder returns what is known of the instance at address from.
func (s *allocation) holder(from string) *holder {
	h := s.holders[from]
	if h == nil {
		h = &holder{}
		s.holders[from] = h
	}
	return h
}

// capacityFor returns the capacity of the bucket. It holds one token at least where this
// instance sees a majority of the fleet, so that a customer without a burst is served.
func capacityFor(l customer.Limit, share float64) float64 {
	if share > majority {
		return max(1, share*l.Burst)
	}
	return share * l.Burst
}

// warmRate is the part of the rate that a new allocator grants. In the first moments of a
// fleet, while its instances disagree on the allocator, two may do so at a time.
const warmRate = 0.5

// update refills the buckets and charges leases. share is the part of the fleet that this
// instance sees.
func (s *allocation) update(now time.Duration, limit customer.Limit, q Quota, share float64) {
	s.limit, s.capacity = limit, capacityFor(limit, share)
	s.refillRegular(now, share)
	part := share * q.tolerance(limit)
	reserve, capacity := reserveRate*part/q.window().Seconds(), reserveBurst*part
	s.asBackup.refill(now, reserve, capacity)
	// Holders of leases of an earlier allocator spend them beside what this one grants.
	s.asNew.refill(now, max(reserve, warmRate*share*limit.PerSecond-s.leased), capacity)
	if now-s.checkedAt >= leaseCheckInterval {
		s.checkedAt = now
		s.chargeLeases(now)
	}
}

// refillRegular refills the regular bucket. It stays as it is until warmUntil, and then gets
// what is left of asNew.
func (s *allocation) refillRegular(now time.Duration, share float64) {
	rate := s.limit.PerSecond * share
	if now < s.warmUntil {
		rate = 0
	}
	if s.regular.at < s.warmUntil {
		s.regular.at = min(now, s.warmUntil)
		if now >= s.warmUntil {
			s.regular.tokens, s.asNew.tokens = s.regular.tokens+s.asNew.tokens, 0
		}
	}
	s.regular.refill(now, rate, s.capacity)
}

// chargeLeases charges the bucket for the leases of silent instances, which may be
// cut off and use them, and drops the leases that ended.
func (s *allocation) chargeLeases(now time.Duration) {
	for h := range s.leases {
		if now-h.leasedAt < silentAfter {
			continue
		}
		end := min(now, h.leasedAt+leaseTime)
		amount := h.lease * max(0, end-max(h.chargedTo, h.leasedAt, s.warmUntil)).Seconds()
		h.charged, h.chargedTo = h.charged+amount, end
		s.regular.tokens -= amount
		if now >= h.leasedAt+leaseTime {
			s.drop(h)
		}
	}
}

// settle replaces what was charged for the holder's lease by what it spent. spent is the
// holder's count of the tokens that it ever spent of leases.
func (s *allocation) settle(h *holder, spent uint32) {
	used := max(0, int32(spent-h.spent)) // a process that restarted counts from 0 again
	if !h.spentKnown {
		used = 0 // of an earlier allocator's lease
	}
	h.spent, h.spentKnown = spent, true
	s.regular.tokens = min(s.regular.tokens+h.charged-float64(used), s.capacity)
	h.charged = 0
}

// answer grants tokens to h from the bucket that its question is for, and renews its lease.
func (s *allocation) answer(now time.Duration, h *holder, q Question, quota Quota) Reply {
	r := Reply{Number: q.Number, Customer: q.Customer, Backup: q.Backup, Warming: !q.Backup && now < s.warmUntil}
	switch {
	case q.Backup:
		r.Granted = s.asBackup.take(q.Want)
	case r.Warming:
		r.Granted = s.asNew.take(q.Want)
		h.spent, h.spentKnown = q.Spent, true
		s.lease(now, h, q.Lease)
	default:
		s.settle(h, q.Spent)
		r.Granted = s.grant(q)
		h.rate.add(now, float64(r.Granted), rateWindow)
		s.lease(now, h, s.leaseFor(now, h, quota))
	}
	if !q.Backup {
		r.Lease = h.lease
	}
	if r.Granted < q.Want {
		r.AskAfter, r.RetryAfter = s.postpone(now, q, r.Granted)
	}
	return r
}

// grant takes tokens for calls that wait, and those ahead of need only as far as the bucket
// stays half full: they must not be lacking for calls at other instances. If calls are
// refused anyway, all are granted.
func (s *allocation) grant(q Question) int {
	want := q.Want
	if q.Refused == 0 {
		want = min(want, max(q.Waiting, int(s.regular.tokens-s.capacity/2)))
	}
	return s.regular.take(want)
}

// leaseFor returns the rate to lease to h: none if the reserve of the backup allocator
// suffices for the customer.
func (s *allocation) leaseFor(now time.Duration, h *holder, q Quota) float64 {
	if s.limit.PerSecond*leaseTime.Seconds() < 2*reserveBurst*q.tolerance(s.limit) {
		return 0
	}
	return leaseFactor * h.rate.rate(now, rateWindow)
}

// lease sets the lease of h to perSecond, or less if the others leave less of the limit.
func (s *allocation) lease(now time.Duration, h *holder, perSecond float64) {
	s.drop(h)
	perSecond = min(perSecond, s.limit.PerSecond-s.leased)
	if perSecond < minLease {
		return
	}
	h.lease, h.leasedAt, h.chargedTo = perSecond, now, now
	s.leases[h] = struct{}{}
	s.leased += perSecond
}

// drop ends the lease of h.
func (s *allocation) drop(h *holder) {
	if h.lease == 0 {
		return
	}
	s.leased -= h.lease
	h.lease = 0
	delete(s.leases, h)
}

// postpone returns when to ask again, and when the first call without a token has a
// chance: after those that were refused before it.
func (s *allocation) postpone(now time.Duration, q Question, granted int) (askAfter, retryAfter time.Duration) {
	interval := seconds(1 / s.limit.PerSecond)
	next := seconds(max(0, 1-s.regular.tokens) / s.limit.PerSecond)
	askAfter = min(max(next, time.Duration(len(s.holders))*askSpacing, minAskAfter), maxAskAfter)
	at := min(max(now+next, s.promisedAt), now+maxRetryAfter)
	refused := max(0, q.Waiting-granted) + q.Refused
	s.promisedAt = min(at+time.Duration(refused)*interval, now+maxRetryAfter)
	return askAfter, at - now
}
