package gateway

import (
	"slices"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/admission"
	"github.com/catkinrouter/catkinrouter/pick"
)

// waitQueue holds the calls that wait for a free slot, by service. When a
// request finishes, its slot at the upstream is handed to one of them: the
// load report of its reply is the most recent evidence available, and costs no
// probe. It is safe for concurrent use.
type waitQueue struct {
	mu        sync.Mutex
	byService map[string][]*waiter // the most urgent call first
}

// waiter is a call in the queue.
type waiter struct {
	slot     chan choice
	priority int
	// call holds the inputs of the least-cost order. turnedAway is closed if the call
	// is turned away while it waits; nil with the order by priority.
	call       admission.Call
	turnedAway chan struct{}
}

func newWaitQueue() *waitQueue { return &waitQueue{byService: map[string][]*waiter{}} }

// enqueue inserts a call after those of the same or a more urgent priority.
// Priority 0 is the most urgent.
func (q *waitQueue) enqueue(service string, priority int) *waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := &waiter{slot: make(chan choice, 1), priority: priority}
	list := q.byService[service]
	i := len(list)
	for i > 0 && list[i-1].priority > priority {
		i--
	}
	q.byService[service] = slices.Insert(list, i, w)
	return w
}

// mustWait reports whether the queue holds a call that is at least as urgent.
func (q *waitQueue) mustWait(service string, priority int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := q.byService[service]
	return len(list) > 0 && list[0].priority <= priority
}

// empty reports whether no call of the service waits.
func (q *waitQueue) empty(service string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.byService[service]) == 0
}

// isFirst reports whether w is the next call to get a slot.
func (q *waitQueue) isFirst(service string, w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := q.byService[service]
	return len(list) > 0 && list[0] == w
}

// remove takes w out of the queue. If w has already been given a choice,
// remove returns it.
func (q *waitQueue) remove(service string, w *waiter) (choice, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := q.byService[service]
	i := slices.Index(list, w)
	if i < 0 {
		return <-w.slot, true
	}
	q.byService[service] = slices.Delete(list, i, i+1)
	return choice{}, false
}

// handOff gives a choice to the first call in the queue. It returns false if
// the queue is empty.
func (q *waitQueue) handOff(service string, ch choice) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := q.byService[service]
	if len(list) == 0 {
		return false
	}
	list[0].slot <- ch
	q.byService[service] = slices.Delete(list, 0, 1)
	return true
}

// ahead returns the number of calls in the queue that are at least as urgent.
func (q *waitQueue) ahead(service string, priority int) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, w := range q.byService[service] {
		if w.priority <= priority {
			n++
		}
	}
	return n
}

// handOff gives a choice to the first queued call of the service, if there is one
// and the upstream's rate limit admits it.
func (g *Gateway) handOff(service string, ch choice) bool {
	if g.queueEmpty(service) || !g.admit(&ch) {
		return false
	}
	if !g.giveToFirst(service, ch) {
		g.withdraw(&ch)
		return false
	}
	g.metrics.handoffs.Inc(1)
	return true
}

// finishExchange records the load report of a reply as evidence. It hands the
// connection to a queued call if the upstream has room, and otherwise returns
// it to the pool, or closes it if the upstream does or it is exhausted.
func (g *Gateway) finishExchange(c *call, t *try, cn *conn) {
	g.recordFreedSlot(c.service.Name)
	r, err := g.proto.ParseLoad(string(t.resp.Header.Peek(g.proto.Load)))
	closes := t.resp.ConnectionClose() || cn.exhausted()
	if err == nil {
		room := g.estimates.fullnessOf(c.service.Name).Room(g.now(), &r, 0)
		g.evidence.update(t.upstream, func(ev *pick.Evidence) {
			ev.RecordReport(g.now(), &r, room, g.estimates.pacesOf(c.service.Name).Slow(r.Pace), g.job(c).MeanServiceTime())
		})
		usable := room && r.Pace <= pick.AcceptableDelayFactor && !closes
		healthy := t.resp.StatusCode() < fasthttp.StatusInternalServerError
		next := choice{probeResult: probeResult{upstream: t.upstream, report: &r, conn: cn}, delay: c.work(), known: 1}
		if usable && healthy && g.handOff(c.service.Name, next) {
			return
		}
	}
	if closes || g.evidence.leaving(t.upstream) {
		cn.Close()
		return
	}
	g.pool.put(cn)
}
