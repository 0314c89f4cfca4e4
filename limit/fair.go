package limit

// fairQueue is a fair queue of waiting calls: callers are served round robin,
// one call each (J. Nagle, RFC 970), and the calls of one caller first in,
// first out. Flows and queued calls are kept in slices with free lists, so that
// a steady load does not allocate.
type fairQueue struct {
	// n is the number of calls in the queue.
	n int
	// byCaller maps each caller with waiting calls to the index of its flow.
	byCaller map[string]int32
	flows    []flow
	calls    []queuedCall
	// cursor is the flow that is served next; none if the queue is empty.
	cursor int32
	// Heads of the free lists of flows and calls.
	freeFlow, freeCall int32
}

// none is the index that ends a list.
const none = int32(-1)

// flow is the list of one caller's waiting calls, and a node of the ring of
// flows that are served in turn.
type flow struct {
	caller     string
	n          int
	head, tail int32
	next, prev int32
}

// queuedCall is a node of its flow's list of waiting calls.
type queuedCall struct {
	request    Request
	flow       int32
	next, prev int32
}

func newFairQueue() fairQueue {
	return fairQueue{byCaller: map[string]int32{}, cursor: none, freeFlow: none, freeCall: none}
}

// waiting returns the number of the caller's calls in the queue.
func (q *fairQueue) waiting(caller string) int {
	if f, ok := q.byCaller[caller]; ok {
		return q.flows[f].n
	}
	return 0
}

// push appends r to its caller's flow and returns the index for remove.
func (q *fairQueue) push(r Request) int32 {
	f := q.flow(r.Caller)
	i := q.newCall()
	tail := q.flows[f].tail
	q.calls[i] = queuedCall{request: r, flow: f, next: none, prev: tail}
	if tail == none {
		q.flows[f].head = i
	} else {
		q.calls[tail].next = i
	}
	q.flows[f].tail = i
	q.flows[f].n++
	q.n++
	return i
}

// pop removes and returns the oldest call of the caller that is served next.
// The queue must not be empty.
func (q *fairQueue) pop() Request {
	f := q.cursor
	q.cursor = q.flows[f].next
	i := q.flows[f].head
	r := q.calls[i].request
	q.remove(i)
	return r
}

// evict makes room for a call of caller: it removes the newest call of the
// caller with the most waiting calls and returns that call's ID. It removes
// nothing and returns false if caller, with its new call, would have at least
// as many calls waiting.
func (q *fairQueue) evict(caller string) (id uint64, ok bool) {
	if q.n == 0 {
		return 0, false
	}
	longest := q.cursor
	for f := q.flows[q.cursor].next; f != q.cursor; f = q.flows[f].next {
		if q.flows[f].n > q.flows[longest].n {
			longest = f
		}
	}
	if q.flows[longest].n <= q.waiting(caller)+1 {
		return 0, false
	}
	i := q.flows[longest].tail
	id = q.calls[i].request.ID
	q.remove(i)
	return id, true
}

// remove removes the queued call at an index that push returned.
func (q *fairQueue) remove(i int32) {
	c := q.calls[i]
	f := &q.flows[c.flow]
	if c.prev == none {
		f.head = c.next
	} else {
		q.calls[c.prev].next = c.next
	}
	if c.next == none {
		f.tail = c.prev
	} else {
		q.calls[c.next].prev = c.prev
	}
	q.calls[i] = queuedCall{next: q.freeCall}
	q.freeCall = i
	q.n--
	f.n--
	if f.n == 0 {
		q.removeFlow(c.flow)
	}
}

// flow returns the caller's flow. A new flow joins the ring behind all others.
func (q *fairQueue) flow(caller string) int32 {
	if f, ok := q.byCaller[caller]; ok {
		return f
	}
	f := q.newFlow()
	q.byCaller[caller] = f
	q.flows[f] = flow{caller: caller, head: none, tail: none, next: f, prev: f}
	if q.cursor == none {
		q.cursor = f
		return f
	}
	last := q.flows[q.cursor].prev
	q.flows[f].next, q.flows[f].prev = q.cursor, last
	q.flows[last].next = f
	q.flows[q.cursor].prev = f
	return f
}

// removeFlow removes an empty flow from the ring and frees it.
func (q *fairQueue) removeFlow(i int32) {
	f := q.flows[i]
	delete(q.byCaller, f.caller)
	q.flows[f.prev].next = f.next
	q.flows[f.next].prev = f.prev
	switch {
	case f.next == i:
		q.cursor = none
	case q.cursor == i:
		q.cursor = f.next
	}
	q.flows[i] = flow{next: q.freeFlow}
	q.freeFlow = i
}

func (q *fairQueue) newCall() int32 {
	i := q.freeCall
	if i == none {
		q.calls = append(q.calls, queuedCall{})
		return int32(len(q.calls) - 1)
	}
	q.freeCall = q.calls[i].next
	return i
}

func (q *fairQueue) newFlow() int32 {
	f := q.freeFlow
	if f == none {
		q.flows = append(q.flows, flow{})
		return int32(len(q.flows) - 1)
	}
	q.freeFlow = q.flows[f].next
	return f
}
