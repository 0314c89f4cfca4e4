package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/catkinrouter/catkinrouter/admission"
)

// leastCostQueue holds the calls that wait for a free slot in the least-cost order, and
// what its decisions need to know of each service and route. It is safe for concurrent
// use.
type leastCostQueue struct {
	mu        sync.Mutex
	byService map[string]*costQueue
	// usual holds the deadlines of the requests of each route.
	usual map[string]*admission.Longest
}

// costQueue is the queue of one service.
type costQueue struct {
	waiters []*waiter // in no order, since the order changes with time
	// first is the first in the order at firstAt, nil if the queue has changed since.
	first   *waiter
	firstAt time.Duration

	freed   admission.Rate
	targets admission.Longest
	returns admission.Returns
	// nextTrial is when a call that seems too late is sent again.
	nextTrial time.Duration
}

const (
	// firstMaxAge is the time for which the first call is not determined again. All
	// waiting calls ask for it at each poll.
	firstMaxAge = 5 * time.Millisecond
	// trialInterval is the time between calls of a service that are sent although
	// they seem too late; their times correct an estimate that is too long.
	trialInterval = time.Second
)

func newLeastCostQueue() *leastCostQueue {
	return &leastCostQueue{byService: map[string]*costQueue{}, usual: map[string]*admission.Longest{}}
}

// withService calls fn with the queue of a service.
func (q *leastCostQueue) withService(service string, fn func(*costQueue)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.byService[service]
	if s == nil {
		s = new(costQueue)
		q.byService[service] = s
	}
	fn(s)
}

// usualDeadline records the time that a request of a route has, and returns that of the
// route's first requests.
func (q *leastCostQueue) usualDeadline(now time.Duration, route string, left time.Duration) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.usual[route]
	if l == nil {
		l = new(admission.Longest)
		q.usual[route] = l
	}
	l.Add(now, left)
	return l.Value(now)
}

// recordTarget records the target of a call of the service.
func (q *leastCostQueue) recordTarget(now time.Duration, service string, target time.Duration) {
	q.withService(service, func(s *costQueue) { s.targets.Add(now, target) })
}

// slotFreed records that a slot of the service became free for this instance.
func (q *leastCostQueue) slotFreed(now time.Duration, service string) {
	q.withService(service, func(s *costQueue) { s.freed.Add(now) })
}

// trial reports whether a call that seems too late is sent nevertheless.
func (q *leastCostQueue) trial(now time.Duration, service string) (due bool) {
	q.withService(service, func(s *costQueue) {
		if due = now >= s.nextTrial; due {
			s.nextTrial = now + trialInterval
		}
	})
	return due
}

// enqueue adds a call. While the queue holds more calls than the bound allows, the last in
// the order is turned away; enqueue returns false if that is the new one.
func (q *leastCostQueue) enqueue(now time.Duration, service string, call admission.Call, upstreams int) (w *waiter, ok bool) {
	w = &waiter{slot: make(chan choice, 1), priority: call.Priority, call: call, turnedAway: make(chan struct{})}
	q.withService(service, func(s *costQueue) {
		s.waiters, s.first = append(s.waiters, w), nil
		bound := admission.Bound(s.freed.Expected(now), s.targets.Value(now), upstreams)
		for len(s.waiters) > max(1, bound) {
			last := s.last(now)
			s.delete(last)
			close(last.turnedAway)
		}
		ok = slices.Contains(s.waiters, w)
	})
	return w, ok
}

// mustWait reports whether a waiting call goes before the given one.
func (q *leastCostQueue) mustWait(now time.Duration, service string, call admission.Call) (must bool) {
	q.withService(service, func(s *costQueue) {
		first := s.firstAfter(now, firstMaxAge)
		must = first != nil && admission.Compare(now, first.call, call) <= 0
	})
	return must
}

// empty reports whether no call of the service waits.
func (q *leastCostQueue) empty(service string) (empty bool) {
	q.withService(service, func(s *costQueue) { empty = len(s.waiters) == 0 })
	return empty
}

// isFirst reports whether w is the next call to get a slot.
func (q *leastCostQueue) isFirst(now time.Duration, service string, w *waiter) (first bool) {
	q.withService(service, func(s *costQueue) { first = s.firstAfter(now, firstMaxAge) == w })
	return first
}

// remove takes w out of the queue. If w has already been given a choice, remove returns
// it.
func (q *leastCostQueue) remove(service string, w *waiter) (ch choice, handedOff bool) {
	q.withService(service, func(s *costQueue) {
		s.delete(w)
		select {
		case ch = <-w.slot:
			handedOff = true
		default:
		}
	})
	return ch, handedOff
}

// handOff gives a choice to the first call in the order. It returns false if the queue is
// empty.
func (q *leastCostQueue) handOff(now time.Duration, service string, ch choice) (handedOff bool) {
	q.withService(service, func(s *costQueue) {
		if first := s.firstAfter(now, 0); first != nil {
			s.delete(first)
			first.slot <- ch
			handedOff = true
		}
	})
	return handedOff
}

// ahead returns the number of waiting calls that go before the given one.
func (q *leastCostQueue) ahead(now time.Duration, service string, call admission.Call) (n int) {
	q.withService(service, func(s *costQueue) { n = s.ahead(now, call) })
	return n
}

// promise returns after how long the caller of a rejected call has a chance.
func (q *leastCostQueue) promise(now time.Duration, service string, call admission.Call) (after time.Duration) {
	call.Retrying = true // as it will be when it returns
	q.withService(service, func(s *costQueue) {
		after = s.returns.Promise(now, call.Priority, s.freed.PerSecond(now), s.ahead(now, call), call.Deadline-now)
	})
	return after
}

// ahead returns the number of waiting calls that go before the given one.
func (s *costQueue) ahead(now time.Duration, call admission.Call) (n int) {
	for _, w := range s.waiters {
		if admission.Compare(now, w.call, call) < 0 {
			n++
		}
	}
	return n
}

// firstAfter returns the first call in the order, as determined at most maxAge ago, or nil.
func (s *costQueue) firstAfter(now, maxAge time.Duration) *waiter {
	if len(s.waiters) == 0 {
		return nil
	}
	if s.first == nil || now-s.firstAt > maxAge {
		s.first, s.firstAt = slices.MinFunc(s.waiters, orderAt(now)), now
	}
	return s.first
}

// last returns the last call in the order.
func (s *costQueue) last(now time.Duration) *waiter { return slices.MaxFunc(s.waiters, orderAt(now)) }

// orderAt returns the comparison of waiting calls at a time.
func orderAt(now time.Duration) func(a, b *waiter) int {
	return func(a, b *waiter) int { return admission.Compare(now, a.call, b.call) }
}

// delete takes w out of the queue if it is there.
func (s *costQueue) delete(w *waiter) {
	if i := slices.Index(s.waiters, w); i >= 0 {
		s.waiters = slices.Delete(s.waiters, i, i+1)
	}
	if s.first == w {
		s.first = nil
	}
}
