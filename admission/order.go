// Package admission decides which calls wait, get a slot or are turned away when a
// service has too few slots: the least-cost queue order, the bound on the queue, and when
// a rejected caller is told to return. It does no I/O and reads no clock.
package admission

import (
	"cmp"
	"time"
)

// Call holds the inputs of the order. Times are durations since the same start as the
// clock that the functions are given.
type Call struct {
	// Priority 0 is the most urgent.
	Priority int
	Arrived  time.Duration
	// Target is the time until which an answer is worth most to the caller.
	Target   time.Duration
	Deadline time.Duration
	// Work is the expected time that the call takes once it has a slot.
	Work time.Duration
	// Retrying is set if the caller tries again after a rejection.
	Retrying bool
}

// Shares of the time that a call had at its arrival after which it counts as one and as
// two priorities more urgent.
const (
	firstAgingShare  = 0.5
	secondAgingShare = 0.75
)

// TooLate reports whether the call can no longer meet its deadline. It answers a backlog
// after an outage: work on calls whose callers have given up would delay all others.
func (c Call) TooLate(now time.Duration) bool { return now+c.Work > c.Deadline }

// meetsTarget reports whether the call can still be answered within its target.
func (c Call) meetsTarget(now time.Duration) bool { return now+c.Work <= c.Target }

// urgency returns the call's priority after aging. It answers a flood of urgent calls that
// lasts: less urgent ones get slots before their time is over. A call that will miss
// its target does not age: it would displace more urgent calls that can still meet theirs.
// Nothing is more urgent than priority 0.
func (c Call) urgency(now time.Duration) int {
	if !c.meetsTarget(now) {
		return c.Priority
	}
	waited, had := now-c.Arrived, c.Deadline-c.Arrived
	steps := 0
	if float64(waited) >= firstAgingShare*float64(had) {
		steps++
	}
	if float64(waited) >= secondAgingShare*float64(had) {
		steps++
	}
	return max(min(c.Priority, 0), c.Priority-steps)
}

// Compare returns a negative number if a goes before b, and a positive one if b goes before
// a. The call that is last costs its caller least to delay or to reject: it is less urgent,
// will miss its target anyway, has another try, or would take a slot for longer. It answers
// bursts above the capacity, in which first come, first served makes most answers late.
func Compare(now time.Duration, a, b Call) int {
	return cmp.Or(
		cmp.Compare(a.urgency(now), b.urgency(now)),
		firstIf(a.meetsTarget(now), b.meetsTarget(now)),
		firstIf(a.Retrying, b.Retrying),
		cmp.Compare(a.Work, b.Work),
		cmp.Compare(a.Arrived, b.Arrived),
	)
}

// firstIf compares two calls by a condition; the one for which it holds goes first.
func firstIf(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// WaitUntil returns until when the call waits for a slot: as long as it can be answered
// within its target, or, if it is a retry, at all. It answers callers with one retry: a
// first try that can only be late makes room and returns, a last one uses all its time.
func (c Call) WaitUntil() time.Duration {
	if c.Retrying {
		return c.Deadline - c.Work
	}
	return min(c.Target, c.Deadline) - c.Work
}

// retryShare is the share of its route's usual deadline below which a call is a retry. A
// first request has up to a few percent less than that when it arrives.
const retryShare = 0.97

// Timing holds the times of a request by which retries are recognised.
type Timing struct {
	Arrived time.Duration
	// Left is the time until the deadline, Usual that of a first request of the route.
	Left, Usual time.Duration
	// Target is the route's latency target, 0 for none.
	Target time.Duration
}

// IsRetry reports whether the request is a caller's further try. It answers callers that
// return after a rejection, with the rest of the time that they had.
func (t Timing) IsRetry() bool { return float64(t.Left) < retryShare*float64(t.Usual) }

// TargetTime returns the time until which an answer meets the target. The target of a
// retry is counted from the first try, since the caller has waited since then. A route
// without a target has the deadline as its target.
func (t Timing) TargetTime() time.Duration {
	switch {
	case t.Target <= 0:
		return t.Arrived + t.Left
	case t.IsRetry():
		return t.Arrived + t.Target - (t.Usual - t.Left)
	}
	return t.Arrived + t.Target
}
