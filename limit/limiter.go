// Package limit decides which calls of a service run now, which wait in a
// queue and which are refused. It has a concurrency limit that adapts to
// latency, a short queue that is fair between callers and drops calls that
// cannot meet their deadline, and a cap on the share of long work. It does no
// I/O, starts no goroutines and reads no clock. A Limiter is not safe for
// concurrent use.
package limit

import (
	"time"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/balance"
)

// Options are a service's limits, from the operators' rules and the state of
// the fleet.
type Options struct {
	// Slots is this entry's share of the upstreams' slots. The adaptive limit
	// does not fall below it.
	Slots int
	// MaxSlots is the number of slots of all upstreams together. The adaptive
	// limit does not rise above twice that.
	MaxSlots int
	// Queue is the largest number of waiting calls. Long work has a bound of its
	// own, LongShare of Queue, and is queued up to that bound even if short work
	// fills the queue.
	Queue int
	// LongShare is the share of the limit and of the queue that long work may
	// use, 0 to 1.
	LongShare float64
}

// minLimit is the lowest limit, in calls. It leaves a slot for short work
// beside long work.
const minLimit = 2

// Limiter admits the calls of one service at one entry.
type Limiter struct {
	opt         Options
	adaptive    adaptiveLimit
	running     int
	runningLong int
	shortQueue  fairQueue
	longQueue   fairQueue
	// latency is the moving average of latency by class.
	latency [2]time.Duration
}

// New returns a Limiter. Its limit starts at opt.Slots, or minLimit if that is
// more.
func New(opt Options) *Limiter {
	l := &Limiter{shortQueue: newFairQueue(), longQueue: newFairQueue()}
	l.Update(opt)
	return l
}

// Update replaces the options. Running and waiting calls are kept.
func (l *Limiter) Update(opt Options) {
	l.opt = opt
	floor := max(opt.Slots, minLimit)
	l.adaptive.setBounds(float64(floor), float64(max(2*opt.MaxSlots, floor)))
}

// Request is a call to admit.
type Request struct {
	// ID identifies the call when it leaves the queue.
	ID     uint64
	Caller string
	Class  balance.Class
	// Deadline is the time from which an answer is of no use to the caller.
	Deadline time.Duration
}

// Verdict is the outcome of an admission decision.
type Verdict uint8

// Verdicts.
const (
	// Run: the call holds a slot until Done.
	Run Verdict = iota + 1
	// Wait: the call is queued; Next returns it later, unless it is removed or
	// evicted.
	Wait
	// Refuse: the call must not run.
	Refuse
)

// Decision is the result of Admit.
type Decision struct {
	Verdict Verdict
	// Ticket identifies a queued call; it is set for Wait.
	Ticket Ticket
	// Reason and RetryAfter are set for Refuse.
	Reason     attempt.Reason
	RetryAfter time.Duration
	// Evicted is the ID of another caller's call that was removed from the
	// queue to make room for this one, or 0. It must be refused with
	// ReasonQueueFull.
	Evicted uint64
}

// Ticket identifies a queued call for Remove.
type Ticket struct {
	class balance.Class
	index int32
}

// Limit returns the number of calls that may run at once.
func (l *Limiter) Limit() int { return int(l.adaptive.limit) }

// Running returns the number of calls that hold a slot.
func (l *Limiter) Running() int { return l.running }

// Waiting returns the number of calls in the queue.
func (l *Limiter) Waiting() int { return l.shortQueue.n + l.longQueue.n }

// Admit decides whether a call runs, waits or is refused.
func (l *Limiter) Admit(now time.Duration, r Request) Decision {
	q := l.queue(r.Class)
	if q.n == 0 && l.hasSlot(r.Class) {
		l.acquireSlot(r.Class)
		return Decision{Verdict: Run}
	}
	wait := l.estimateWait(q, r)
	if now+wait+l.latency[r.Class] >= r.Deadline {
		return Decision{Verdict: Refuse, Reason: attempt.ReasonOverload, RetryAfter: wait}
	}
	var evicted uint64
	if l.queueFull(r.Class) {
		var ok bool
		if evicted, ok = q.evict(r.Caller); !ok {
			return Decision{Verdict: Refuse, Reason: attempt.ReasonQueueFull, RetryAfter: wait}
		}
	}
	t := Ticket{class: r.Class, index: q.push(r)}
	return Decision{Verdict: Wait, Ticket: t, Evicted: evicted}
}

func (l *Limiter) queue(c balance.Class) *fairQueue {
	if c == balance.Long {
		return &l.longQueue
	}
	return &l.shortQueue
}

// queueFull reports whether no more calls of the class may be queued. Long work
// may use only its share of the queue.
func (l *Limiter) queueFull(c balance.Class) bool {
	if c == balance.Long {
		return l.longQueue.n >= max(1, int(l.opt.LongShare*float64(l.opt.Queue)))
	}
	return l.Waiting() >= l.opt.Queue
}

// maxLongSlots returns the number of slots that long work may hold.
func (l *Limiter) maxLongSlots() int {
	return min(max(1, int(l.opt.LongShare*l.adaptive.limit)), l.Limit()-1)
}

// reservedLongSlots returns the number of slots reserved for long work while
// long work waits.
func (l *Limiter) reservedLongSlots() int { return (l.maxLongSlots() + 1) / 2 }

// hasSlot reports whether one more call of the class may run.
func (l *Limiter) hasSlot(c balance.Class) bool {
	free := l.Limit() - l.running
	if c == balance.Long {
		return free > 0 && l.runningLong < l.maxLongSlots()
	}
	if l.longQueue.n > 0 {
		free -= max(0, l.reservedLongSlots()-l.runningLong)
	}
	return free > 0
}

func (l *Limiter) acquireSlot(c balance.Class) {
	l.running++
	l.adaptive.peakRunning = max(l.adaptive.peakRunning, l.running)
	if c == balance.Long {
		l.runningLong++
	}
}

// estimateWait estimates how long r would wait in q. Callers are served round
// robin, so at most one call per caller and round runs before it.
func (l *Limiter) estimateWait(q *fairQueue, r Request) time.Duration {
	slots := l.Limit()
	if r.Class == balance.Long {
		slots = l.maxLongSlots()
	}
	ahead := min(q.n, (q.waiting(r.Caller)+1)*len(q.byCaller)) + 1
	return l.latency[r.Class] * time.Duration(ahead) / time.Duration(slots)
}

// Dequeued is a call that left the queue.
type Dequeued struct {
	ID uint64
	// Late is set if the call can no longer meet its deadline. It must not run
	// and holds no slot.
	Late bool
}

// Next removes a call from the queue that runs now, or that is late. Call it
// after each Done and at each tick until it returns false.
func (l *Limiter) Next(now time.Duration) (Dequeued, bool) {
	c, ok := l.nextClass()
	if !ok {
		return Dequeued{}, false
	}
	r := l.queue(c).pop()
	if now+l.latency[c] >= r.Deadline {
		return Dequeued{ID: r.ID, Late: true}, true
	}
	l.acquireSlot(c)
	return Dequeued{ID: r.ID}, true
}

// nextClass returns the class of the next call to run, or false if no waiting
// call may run. Long work is served first up to its reserved slots, then short
// work, then long work up to its cap.
func (l *Limiter) nextClass() (balance.Class, bool) {
	long := l.longQueue.n > 0 && l.hasSlot(balance.Long)
	switch {
	case long && l.runningLong < l.reservedLongSlots():
		return balance.Long, true
	case l.shortQueue.n > 0 && l.hasSlot(balance.Short):
		return balance.Short, true
	case long:
		return balance.Long, true
	}
	return 0, false
}

// Remove removes a waiting call from the queue.
func (l *Limiter) Remove(t Ticket) { l.queue(t.class).remove(t.index) }

// Sample describes how a call that held a slot ended.
type Sample struct {
	Class balance.Class
	// Latency is the duration of the call's last attempt; 0 if none was measured.
	Latency time.Duration
	// Shed is set if an upstream refused the call.
	Shed bool
}

// latencySmoothing is the divisor of the moving average of latency: a sample
// has a weight of 1/latencySmoothing.
const latencySmoothing = 16

// Done releases a call's slot and updates the adaptive limit with the sample.
func (l *Limiter) Done(now time.Duration, s Sample) {
	l.running--
	if s.Class == balance.Long {
		l.runningLong--
	}
	if s.Latency > 0 {
		l.latency[s.Class] += (s.Latency - l.latency[s.Class]) / latencySmoothing
	}
	l.adaptive.add(now, s)
}
