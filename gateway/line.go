package gateway

import (
	"slices"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/pick"
)

// line holds the calls that wait for room at each service. The slot that a
// finished request leaves at an upstream goes to one of them: the freshest
// evidence there is, and it costs no probe. It is safe for concurrent use.
type line struct {
	mu      sync.Mutex
	waiting map[string][]*waiter // by service, the most urgent first
}

// waiter is a call that waits for room.
type waiter struct {
	slot     chan choice
	priority int
}

func newLine() *line { return &line{waiting: map[string][]*waiter{}} }

// join puts a call behind those as urgent as itself, before less urgent ones.
// Priority 0 is the most urgent.
func (l *line) join(service string, priority int) *waiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := &waiter{slot: make(chan choice, 1), priority: priority}
	list := l.waiting[service]
	i := len(list)
	for i > 0 && list[i-1].priority > priority {
		i--
	}
	l.waiting[service] = slices.Insert(list, i, w)
	return w
}

// ahead tells whether a call waits that is at least as urgent.
func (l *line) ahead(service string, priority int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.waiting[service]
	return len(list) > 0 && list[0].priority <= priority
}

// heads tells whether w is the next to get a slot.
func (l *line) heads(service string, w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.waiting[service]
	return len(list) > 0 && list[0] == w
}

// leave ends the wait. A choice that came meanwhile is returned.
func (l *line) leave(service string, w *waiter) (choice, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.waiting[service]
	i := slices.Index(list, w)
	if i < 0 {
		return <-w.slot, true
	}
	l.waiting[service] = slices.Delete(list, i, i+1)
	return choice{}, false
}

// give offers a choice to the call that is the most urgent; false where none
// waits.
func (l *line) give(service string, ch choice) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.waiting[service]
	if len(list) == 0 {
		return false
	}
	list[0].slot <- ch
	l.waiting[service] = slices.Delete(list, 0, 1)
	return true
}

// settle takes the upstream's report on a reply as evidence, and gives the
// connection to a call that waits for room there, or back to the pool.
func (g *Gateway) settle(c *call, t *try, cn *conn) {
	r, err := g.d.ParseLoad(string(t.resp.Header.Peek(g.d.Load)))
	closes := t.resp.ConnectionClose()
	if err == nil {
		room := g.work.full(c.service.Name).Room(g.now(), &r, 0)
		g.ev.with(t.upstream, func(ev *pick.Evidence) {
			ev.Reported(g.now(), &r, room, g.work.paces(c.service.Name).Slow(r.Pace), g.job(c).Turn())
		})
		free := room && r.Pace <= pick.GoodEnough && !closes
		sound := t.resp.StatusCode() < fasthttp.StatusInternalServerError
		next := choice{answer: answer{upstream: t.upstream, report: &r, conn: cn}, delay: g.work.of(c.route.Name), known: 1}
		if free && sound && g.line.give(c.service.Name, next) {
			g.m.handoffs.Inc(1)
			return
		}
	}
	if closes {
		cn.Close()
		return
	}
	g.pool.put(cn)
}
