package gateway

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/catkinrouter/catkinrouter/admission"
)

// replayStep is the resolution of a replay's clock.
const replayStep = time.Millisecond

// arrival is one request of a load, with the callers' settings.
type arrival struct {
	at, target, deadline, work time.Duration
	priority, retries          int
}

// tally counts a priority's calls by what their callers got.
type tally struct{ inTarget, late, refused int }

func (t tally) plus(u tally) tally {
	return tally{t.inTarget + u.inTarget, t.late + u.late, t.refused + u.refused}
}

func (t tally) calls() float64 { return float64(t.inTarget + t.late + t.refused) }

// inTargetShare and refusedShare are shares of the calls.
func (t tally) inTargetShare() float64 { return float64(t.inTarget) / t.calls() }
func (t tally) refusedShare() float64  { return float64(t.refused) / t.calls() }

// replayCall is one try of an arrival.
type replayCall struct {
	arrival
	first time.Duration // arrival of the first try
	order admission.Call
	w     *waiter
}

// replay replays arrivals against a service with slots, without a network.
type replay struct {
	now time.Duration
	// paces holds the slowdown of each slot.
	paces []float64
	// down reports whether the service frees and accepts nothing, as in an outage.
	down func(now time.Duration) bool
	rng  *rand.Rand

	leastCost *leastCostQueue // nil: the order by priority
	queue     *waitQueue

	running []*replayCall
	ends    []time.Duration
	waiting []*replayCall
	// coming holds the arrivals in order of time, returning the callers that come back.
	coming    []arrival
	returning []*replayCall
	result    map[int]tally
}

// run replays the arrivals and returns what their callers got, by priority.
func (r *replay) run(order admission.QueueOrder, arrivals []arrival) map[int]tally {
	r.rng, r.result, r.queue = rand.New(rand.NewPCG(1, 2)), map[int]tally{}, newWaitQueue()
	if order == admission.LeastCost {
		r.leastCost = newLeastCostQueue()
	}
	r.running, r.ends = make([]*replayCall, len(r.paces)), make([]time.Duration, len(r.paces))
	end := time.Duration(0)
	for _, a := range arrivals {
		end = max(end, a.at+a.deadline)
	}
	r.coming = slices.SortedFunc(slices.Values(arrivals), func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	for ; r.now <= end; r.now += replayStep {
		if r.down == nil || !r.down(r.now) {
			r.finish()
			r.arrive()
			r.fill()
		} else {
			r.arrive()
		}
		r.expire()
	}
	return r.result
}

// finish ends the calls whose work is done, or whose caller's time is over.
func (r *replay) finish() {
	for i, c := range r.running {
		if c == nil || r.now < r.ends[i] && r.now < c.first+c.deadline {
			continue
		}
		t := r.result[c.priority]
		switch took := r.now - c.first; {
		case r.now < r.ends[i]:
			t.refused++
		case took <= c.target:
			t.inTarget++
		default:
			t.late++
		}
		r.result[c.priority], r.running[i] = t, nil
		if r.leastCost != nil {
			r.leastCost.slotFreed(r.now, testService)
		}
	}
}

// arrive queues the calls that arrive now.
func (r *replay) arrive() {
	for len(r.coming) > 0 && r.coming[0].at <= r.now {
		r.enqueue(&replayCall{arrival: r.coming[0], first: r.coming[0].at})
		r.coming = r.coming[1:]
	}
	list := r.returning
	r.returning = nil
	for _, c := range list {
		if c.at <= r.now {
			r.enqueue(c)
		} else {
			r.returning = append(r.returning, c)
		}
	}
}

func (r *replay) enqueue(c *replayCall) {
	left := c.first + c.deadline - c.at
	c.order = admission.Call{Priority: c.priority, Arrived: c.at, Deadline: c.at + left, Work: c.work}
	if r.leastCost == nil {
		c.w = r.queue.enqueue(testService, c.priority)
		r.waiting = append(r.waiting, c)
		return
	}
	timing := admission.Timing{Arrived: c.at, Left: left, Target: c.target}
	timing.Usual = r.leastCost.usualDeadline(r.now, time.Duration(c.target+c.deadline).String(), left)
	c.order.Target, c.order.Retrying = timing.TargetTime(), timing.IsRetry()
	r.leastCost.recordTarget(r.now, testService, c.target)
	if c.order.TooLate(r.now) {
		r.reject(c)
		return
	}
	w, ok := r.leastCost.enqueue(r.now, testService, c.order, len(r.paces)/replaySlots)
	if !ok {
		r.reject(c)
		return
	}
	c.w = w
	r.waiting = append(r.waiting, c)
}

// replaySlots is the number of slots of an upstream.
const replaySlots = 2

// fill hands the free slots to the first calls in the queue.
func (r *replay) fill() {
	for i := range r.running {
		if r.running[i] != nil {
			continue
		}
		if r.leastCost != nil {
			r.leastCost.handOff(r.now, testService, choice{})
		} else {
			r.queue.handOff(testService, choice{})
		}
		for k, c := range r.waiting {
			if len(c.w.slot) > 0 {
				r.running[i], r.ends[i] = c, r.now+time.Duration(r.paces[i]*float64(c.work))
				r.waiting = append(r.waiting[:k:k], r.waiting[k+1:]...)
				break
			}
		}
	}
}

// expire rejects the calls that were turned away, or have waited as long as they may.
func (r *replay) expire() {
	var still []*replayCall
	for _, c := range r.waiting {
		limit := c.at + time.Duration(queueTargetShare*float64(c.target))
		if r.leastCost != nil {
			limit = c.order.WaitUntil()
		}
		select {
		case <-c.w.turnedAway:
			limit = 0
		default:
		}
		if r.now < limit {
			still = append(still, c)
			continue
		}
		if r.leastCost != nil {
			r.leastCost.remove(testService, c.w)
		} else {
			r.queue.remove(testService, c.w)
		}
		r.reject(c)
	}
	r.waiting = still
}

// reject lets the caller return after Retry-After, of which it honours up to a third of
// the time that it has left, or counts the call as refused.
func (r *replay) reject(c *replayCall) {
	left := c.first + c.deadline - r.now
	after := minRetryAfter
	if r.leastCost != nil {
		after = max(after, min(r.leastCost.promise(r.now, testService, c.order), admission.MaxRetryAfter(left)-retryAfterJitter))
	}
	after = min(after+time.Duration(r.rng.Int64N(int64(retryAfterJitter))), left/3)
	if c.retries == 0 || left <= 0 {
		t := r.result[c.priority]
		t.refused++
		r.result[c.priority] = t
		return
	}
	again := &replayCall{arrival: c.arrival, first: c.first}
	again.at, again.retries = r.now+after, c.retries-1
	r.returning = append(r.returning, again)
}
