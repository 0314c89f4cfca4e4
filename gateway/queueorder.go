package gateway

import (
	"cmp"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/catkinrouter/catkinrouter/admission"
	"github.com/catkinrouter/catkinrouter/route"
)

// Reasons of calls that the queue turns away.
const (
	reasonNoRoom = "no-room"
	// reasonTooLate: the call can no longer be answered before its deadline.
	reasonTooLate = "too-late"
	// reasonQueueFull: the queue is full, and the call would be its last.
	reasonQueueFull = "queue-full"
	// reasonDisplaced: the call was the last in the full queue when another arrived.
	reasonDisplaced = "displaced"
)

// leastCostFor returns the queue of the least-cost order if it is in force for a service, or
// nil. With the order by configuration it is where requests of the service differ in priority.
func (g *Gateway) leastCostFor(t *route.Table, service string) *leastCostQueue {
	if g.opt.QueueOrder == admission.ByConfiguration && !t.PrioritiesDiffer(service) {
		return nil
	}
	return g.leastCost
}

// inputs returns the inputs of the least-cost order. Whether the call is a retry is
// decided when it is first asked for, at its arrival.
func (c *call) inputs() admission.Call {
	if c.orderInputs == nil {
		left := cmp.Or(c.callerTime, c.deadline-c.arrived)
		timing := admission.Timing{
			Arrived: c.arrived, Left: left, Usual: c.leastCost.usualDeadline(c.arrived, c.route.Name, left), Target: c.route.TargetLatency,
		}
		c.orderInputs = &admission.Call{
			Priority: c.priority(), Arrived: c.arrived, Target: min(timing.TargetTime(), c.deadline), Deadline: c.deadline, Retrying: timing.IsRetry(),
		}
		c.leastCost.recordTarget(c.arrived, c.service.Name, cmp.Or(c.route.TargetLatency, left))
	}
	in := *c.orderInputs
	in.Work = c.work()
	return in
}

// tooLate reports whether the call is rejected since it can't meet its deadline. Only
// measured work rejects a call.
func (c *call) tooLate() bool {
	if c.leastCost == nil {
		return false
	}
	now, in := c.g.now(), c.inputs()
	return in.TooLate(now) && c.g.estimates.measured(c.workKey()) && !c.leastCost.trial(now, c.service.Name)
}

// waitLimit returns until when the call waits for a slot.
func (c *call) waitLimit() time.Duration {
	if c.leastCost != nil {
		return c.inputs().WaitUntil()
	}
	return c.arrived + time.Duration(queueTargetShare*float64(c.route.TargetLatency))
}

// mustWait reports whether the call must wait behind others.
func (c *call) mustWait() bool {
	if c.leastCost != nil {
		return c.leastCost.mustWait(c.g.now(), c.service.Name, c.inputs())
	}
	return c.g.queue.mustWait(c.service.Name, c.priority())
}

// callsAhead returns the number of waiting calls that go before the call.
func (c *call) callsAhead() int {
	if c.leastCost != nil {
		return c.leastCost.ahead(c.g.now(), c.service.Name, c.inputs())
	}
	return c.g.queue.ahead(c.service.Name, c.priority())
}

// enqueue adds the call to the queue of its service. It returns false if the queue is full.
func (c *call) enqueue() (*waiter, bool) {
	if c.leastCost != nil {
		return c.leastCost.enqueue(c.g.now(), c.service.Name, c.inputs(), len(c.upstreams()))
	}
	return c.g.queue.enqueue(c.service.Name, c.priority()), true
}

// dequeue takes the call out of the queue. If it has already been given a choice, dequeue
// returns it.
func (c *call) dequeue(w *waiter) (choice, bool) {
	if c.leastCost != nil {
		return c.leastCost.remove(c.service.Name, w)
	}
	return c.g.queue.remove(c.service.Name, w)
}

// isFirst reports whether the call is the next to get a slot.
func (c *call) isFirst(w *waiter) bool {
	if c.leastCost != nil {
		return c.leastCost.isFirst(c.g.now(), c.service.Name, w)
	}
	return c.g.queue.isFirst(c.service.Name, w)
}

// queueEmpty reports whether no call of the service waits.
func (g *Gateway) queueEmpty(service string) bool {
	return g.queue.empty(service) && (g.leastCost == nil || g.leastCost.empty(service))
}

// giveToFirst gives a choice to the first call in the queue. It returns false if the queue
// is empty.
func (g *Gateway) giveToFirst(service string, ch choice) bool {
	if g.leastCost != nil && g.leastCost.handOff(g.now(), service, ch) {
		return true
	}
	return g.queue.handOff(service, ch)
}

// recordFreedSlot records that a request of the service has finished at its upstream.
func (g *Gateway) recordFreedSlot(service string) {
	if g.leastCost != nil {
		g.leastCost.slotFreed(g.now(), service)
	}
}

// returnAfter returns after how long a rejected caller has a chance, 0 if that is not
// known. An instance in a planned stop promises no slot: others serve the caller at once.
func (c *call) returnAfter() time.Duration {
	if c.leastCost == nil || c.g.phase.Load() != serving {
		return 0
	}
	after := c.leastCost.promise(c.g.now(), c.service.Name, c.inputs())
	return min(after, admission.MaxRetryAfter(c.timeLeft())-retryAfterJitter)
}

// reject returns the result of a call that the queue turns away.
func (c *call) reject(reason string) callResult {
	if c.leastCost != nil {
		in := c.inputs()
		c.g.metrics.recordRejection(reason, in.Priority)
		c.log("rejected by the queue order", "reason", reason, "priority", in.Priority, "waited", c.g.now()-c.arrived,
			"time_left", c.timeLeft(), "target_left", in.Target-c.g.now(), "work", in.Work, "retrying", in.Retrying, "ahead", c.callsAhead())
	}
	return c.failureResult(reason)
}

// recordRejection counts a call that the queue turned away, by reason and priority.
func (m *metricSet) recordRejection(reason string, priority int) {
	gometrics.GetOrRegisterCounter("queue_rejections_total."+reason+"."+admission.PriorityLabel(priority), m.registry).Inc(1)
}
