// Package simclock is the clock of tests that run in simulated time: events happen in
// the order of their times, and nothing waits.
package simclock

import (
	"container/heap"
	"time"
)

// Clock holds the simulated time and the events to come. The zero value is at 0. It is
// not safe for concurrent use.
type Clock struct {
	// Now is the time since the start of the simulation.
	Now   time.Duration
	queue queue
	order int
}

// At calls do at a time, or now if that has passed. Events of the same time happen in
// the order of the calls of At.
func (c *Clock) At(at time.Duration, do func()) {
	c.order++
	heap.Push(&c.queue, event{max(at, c.Now), c.order, do})
}

// After calls do after d.
func (c *Clock) After(d time.Duration, do func()) { c.At(c.Now+d, do) }

// RunUntil runs all events up to end, also those that these add, and sets Now to end.
func (c *Clock) RunUntil(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		e := heap.Pop(&c.queue).(event)
		c.Now = e.at
		e.do()
	}
	c.Now = end
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

// queue implements heap.Interface.
type queue []event

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *queue) Push(e any) { *q = append(*q, e.(event)) }

func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
