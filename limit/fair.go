package limit

// fair is a queue in which callers take turns, one call each (fair queueing
// by round robin, Nagle, RFC 970), each caller's calls in order of arrival.
// Its nodes are reused, so that a steady load allocates nothing.
type fair struct {
	n int
	// byCaller holds the callers that have calls waiting.
	byCaller map[string]int32
	flows    []flow
	places   []place
	// turn is the flow whose call is next; none where the queue is empty.
	turn int32
	// Heads of the lists of unused flows and places.
	freeFlow, freePlace int32
}

const none = int32(-1)

// flow is one caller's calls, and its place in the ring of turns.
type flow struct {
	caller     string
	n          int
	head, tail int32
	next, prev int32
}

// place is one waiting call in its flow's list.
type place struct {
	request    Request
	flow       int32
	next, prev int32
}

func newFair() fair {
	return fair{byCaller: map[string]int32{}, turn: none, freeFlow: none, freePlace: none}
}

// waiting is the number of the caller's calls in the queue.
func (q *fair) waiting(caller string) int {
	if f, ok := q.byCaller[caller]; ok {
		return q.flows[f].n
	}
	return 0
}

func (q *fair) push(r Request) int32 {
	f := q.flow(r.Caller)
	p := q.newPlace()
	tail := q.flows[f].tail
	q.places[p] = place{request: r, flow: f, next: none, prev: tail}
	if tail == none {
		q.flows[f].head = p
	} else {
		q.places[tail].next = p
	}
	q.flows[f].tail = p
	q.flows[f].n++
	q.n++
	return p
}

// pop takes the next caller's oldest call; the queue must not be empty.
func (q *fair) pop() Request {
	f := q.turn
	q.turn = q.flows[f].next
	p := q.flows[f].head
	r := q.places[p].request
	q.remove(p)
	return r
}

// evict puts out the newest call of the caller with the most calls waiting,
// if another call of this caller would leave it with more than this caller.
func (q *fair) evict(caller string) (id uint64, ok bool) {
	if q.n == 0 {
		return 0, false
	}
	worst := q.turn
	for f := q.flows[q.turn].next; f != q.turn; f = q.flows[f].next {
		if q.flows[f].n > q.flows[worst].n {
			worst = f
		}
	}
	if q.flows[worst].n <= q.waiting(caller)+1 {
		return 0, false
	}
	p := q.flows[worst].tail
	id = q.places[p].request.ID
	q.remove(p)
	return id, true
}

func (q *fair) remove(p int32) {
	at := q.places[p]
	f := &q.flows[at.flow]
	if at.prev == none {
		f.head = at.next
	} else {
		q.places[at.prev].next = at.next
	}
	if at.next == none {
		f.tail = at.prev
	} else {
		q.places[at.next].prev = at.prev
	}
	q.places[p] = place{next: q.freePlace}
	q.freePlace = p
	q.n--
	f.n--
	if f.n == 0 {
		q.drop(at.flow)
	}
}

// flow returns the caller's flow; a new one gets the last turn.
func (q *fair) flow(caller string) int32 {
	if f, ok := q.byCaller[caller]; ok {
		return f
	}
	f := q.newFlow()
	q.byCaller[caller] = f
	q.flows[f] = flow{caller: caller, head: none, tail: none, next: f, prev: f}
	if q.turn == none {
		q.turn = f
		return f
	}
	last := q.flows[q.turn].prev
	q.flows[f].next, q.flows[f].prev = q.turn, last
	q.flows[last].next = f
	q.flows[q.turn].prev = f
	return f
}

// drop takes an empty flow out of the ring.
func (q *fair) drop(i int32) {
	f := q.flows[i]
	delete(q.byCaller, f.caller)
	q.flows[f.prev].next = f.next
	q.flows[f.next].prev = f.prev
	switch {
	case f.next == i:
		q.turn = none
	case q.turn == i:
		q.turn = f.next
	}
	q.flows[i] = flow{next: q.freeFlow}
	q.freeFlow = i
}

func (q *fair) newPlace() int32 {
	p := q.freePlace
	if p == none {
		q.places = append(q.places, place{})
		return int32(len(q.places) - 1)
	}
	q.freePlace = q.places[p].next
	return p
}

func (q *fair) newFlow() int32 {
	f := q.freeFlow
	if f == none {
		q.flows = append(q.flows, flow{})
		return int32(len(q.flows) - 1)
	}
	q.freeFlow = q.flows[f].next
	return f
}
