// Package limit decides which calls of a service run now, which wait and
// which are refused: a concurrency limit learned from latency, a short queue
// that is fair between callers and drops what cannot meet its deadline, and a
// capped share for long work. It does no I/O, starts no goroutines and reads
// no clock. A Limiter is not safe for concurrent use.
package limit

import (
	"time"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/balance"
)

// Options are what an operator's rules and the fleet say of a service.
type Options struct {
	// Slots is this entry's share of the upstreams' slots. The learned limit
	// does not fall below it.
	Slots int
	// MaxSlots is the number of slots of all upstreams together. The learned
	// limit does not pass twice that.
	MaxSlots int
	// Queue bounds the calls that wait.
	Queue int
	// LongShare is the share of the limit that long work may hold.
	LongShare float64
}

// minLimit leaves a place for short work beside long work.
const minLimit = 2

// Limiter admits the calls of one service at one entry.
type Limiter struct {
	opt     Options
	learned learner
	running int
	long    int
	short   fair
	slow    fair
	// latency is the recent mean latency by class.
	latency [2]time.Duration
}

// New returns a Limiter that admits up to its share of slots at first.
func New(opt Options) *Limiter {
	l := &Limiter{short: newFair(), slow: newFair()}
	l.Update(opt)
	return l
}

// Update takes new options; what runs and waits stays.
func (l *Limiter) Update(opt Options) {
	l.opt = opt
	floor := max(opt.Slots, minLimit)
	l.learned.bounds(float64(floor), float64(max(2*opt.MaxSlots, floor)))
}

// Request is a call that asks to run.
type Request struct {
	// ID is returned when the call leaves the queue.
	ID     uint64
	Caller string
	Class  balance.Class
	// Deadline is the time at which the answer is worthless.
	Deadline time.Duration
}

// Verdict says what becomes of a Request.
type Verdict uint8

// Verdicts.
const (
	// Run: the call holds a slot until Done.
	Run Verdict = iota + 1
	// Wait: Next returns the call later, unless Remove takes it out.
	Wait
	// Refuse: the call does not run.
	Refuse
)

// Decision is the answer to a Request.
type Decision struct {
	Verdict Verdict
	// Ticket is the place of a call that waits.
	Ticket Ticket
	// Reason and RetryAfter are set for Refuse.
	Reason     attempt.Reason
	RetryAfter time.Duration
	// Evicted is the ID of a call of another caller that was put out of the
	// queue for this one, to be told ReasonQueueFull; 0 for none.
	Evicted uint64
}

// Ticket is a place in the queue.
type Ticket struct {
	class balance.Class
	place int32
}

// Limit is the number of calls that may run at once.
func (l *Limiter) Limit() int { return int(l.learned.limit) }

// Running is the number of calls that hold a slot.
func (l *Limiter) Running() int { return l.running }

// Waiting is the number of calls in the queue.
func (l *Limiter) Waiting() int { return l.short.n + l.slow.n }

// Admit decides on a call.
func (l *Limiter) Admit(now time.Duration, r Request) Decision {
	q := l.queue(r.Class)
	if q.n == 0 && l.fits(r.Class) {
		l.take(r.Class)
		return Decision{Verdict: Run}
	}
	wait := l.wait(q, r)
	if now+wait+l.latency[r.Class] >= r.Deadline {
		return Decision{Verdict: Refuse, Reason: attempt.ReasonOverload, RetryAfter: wait}
	}
	var evicted uint64
	if l.full(r.Class) {
		var ok bool
		if evicted, ok = q.evict(r.Caller); !ok {
			return Decision{Verdict: Refuse, Reason: attempt.ReasonQueueFull, RetryAfter: wait}
		}
	}
	t := Ticket{class: r.Class, place: q.push(r)}
	return Decision{Verdict: Wait, Ticket: t, Evicted: evicted}
}

func (l *Limiter) queue(c balance.Class) *fair {
	if c == balance.Long {
		return &l.slow
	}
	return &l.short
}

// full tells whether the class's part of the queue is taken.
func (l *Limiter) full(c balance.Class) bool {
	if c == balance.Long {
		return l.slow.n >= max(1, int(l.opt.LongShare*float64(l.opt.Queue)))
	}
	return l.Waiting() >= l.opt.Queue
}

// longCap is the number of slots that long work may hold.
func (l *Limiter) longCap() int {
	return min(max(1, int(l.opt.LongShare*l.learned.limit)), l.Limit()-1)
}

// longFloor is the number of slots that waiting long work is sure of.
func (l *Limiter) longFloor() int { return (l.longCap() + 1) / 2 }

// fits tells whether one more call of the class may run.
func (l *Limiter) fits(c balance.Class) bool {
	free := l.Limit() - l.running
	if c == balance.Long {
		return free > 0 && l.long < l.longCap()
	}
	if l.slow.n > 0 {
		free -= max(0, l.longFloor()-l.long)
	}
	return free > 0
}

func (l *Limiter) take(c balance.Class) {
	l.running++
	l.learned.peak = max(l.learned.peak, l.running)
	if c == balance.Long {
		l.long++
	}
}

// wait estimates how long r would wait: callers take turns, so only that many
// turns of the others come before it.
func (l *Limiter) wait(q *fair, r Request) time.Duration {
	slots := l.Limit()
	if r.Class == balance.Long {
		slots = l.longCap()
	}
	ahead := min(q.n, (q.waiting(r.Caller)+1)*len(q.byCaller)) + 1
	return l.latency[r.Class] * time.Duration(ahead) / time.Duration(slots)
}

// Released is a call that leaves the queue.
type Released struct {
	ID uint64
	// Late calls cannot meet their deadline and hold no slot.
	Late bool
}

// Next returns a call that leaves the queue now. Call it until it returns
// false after each Done and at each tick.
func (l *Limiter) Next(now time.Duration) (Released, bool) {
	c, ok := l.nextClass()
	if !ok {
		return Released{}, false
	}
	r := l.queue(c).pop()
	if now+l.latency[c] >= r.Deadline {
		return Released{ID: r.ID, Late: true}, true
	}
	l.take(c)
	return Released{ID: r.ID}, true
}

func (l *Limiter) nextClass() (balance.Class, bool) {
	long := l.slow.n > 0 && l.fits(balance.Long)
	switch {
	case long && l.long < l.longFloor():
		return balance.Long, true
	case l.short.n > 0 && l.fits(balance.Short):
		return balance.Short, true
	case long:
		return balance.Long, true
	}
	return 0, false
}

// Remove takes a waiting call out of the queue.
func (l *Limiter) Remove(t Ticket) { l.queue(t.class).remove(t.place) }

// Sample tells how a call that held a slot ended.
type Sample struct {
	Class balance.Class
	// Latency is the time of its last attempt; 0 gives no evidence.
	Latency time.Duration
	// Shed is set where an upstream refused the call.
	Shed bool
}

// latencyWeight is the weight of one sample in the recent mean.
const latencyWeight = 16

// Done gives a call's slot back and learns from the call.
func (l *Limiter) Done(now time.Duration, s Sample) {
	l.running--
	if s.Class == balance.Long {
		l.long--
	}
	if s.Latency > 0 {
		l.latency[s.Class] += (s.Latency - l.latency[s.Class]) / latencyWeight
	}
	l.learned.add(now, s)
}
