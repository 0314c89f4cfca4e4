package gateway

import (
	"slices"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/pick"
)

// handoff gives the slot that a finished request leaves at an upstream to a
// call that waits for room: the freshest evidence there is, and it costs no
// probe. It is safe for concurrent use.
type handoff struct {
	mu      sync.Mutex
	waiting map[string][]waiter // by service, the most urgent first
}

// waiter is a call that waits for room.
type waiter struct {
	slot     chan choice
	priority int
}

func newHandoff() *handoff { return &handoff{waiting: map[string][]waiter{}} }

// wait registers a call that waits for room at a service: behind those as
// urgent as itself, before less urgent ones. Priority 0 is the most urgent.
func (h *handoff) wait(service string, priority int) chan choice {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := waiter{slot: make(chan choice, 1), priority: priority}
	list := h.waiting[service]
	i := len(list)
	for i > 0 && list[i-1].priority > priority {
		i--
	}
	h.waiting[service] = slices.Insert(list, i, w)
	return w.slot
}

// leave ends the wait. A choice that came meanwhile is returned.
func (h *handoff) leave(service string, ch chan choice) (choice, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := h.waiting[service]
	i := slices.IndexFunc(list, func(w waiter) bool { return w.slot == ch })
	if i < 0 {
		return <-ch, true
	}
	h.waiting[service] = slices.Delete(list, i, i+1)
	return choice{}, false
}

// give offers a choice to the call that is the most urgent; false where none
// waits.
func (h *handoff) give(service string, ch choice) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := h.waiting[service]
	if len(list) == 0 {
		return false
	}
	list[0].slot <- ch
	h.waiting[service] = slices.Delete(list, 0, 1)
	return true
}

// settle takes the upstream's report on a reply as evidence, and gives the
// connection to a call that waits for room there, or back to the pool.
func (g *Gateway) settle(c *call, t *try, cn *conn) {
	r, err := g.d.ParseLoad(string(t.resp.Header.Peek(g.d.Load)))
	closes := t.resp.ConnectionClose()
	if err == nil {
		room := g.work.full(c.service.Name).Room(g.now(), &r, 0)
		g.ev.with(t.upstream, func(ev *pick.Evidence) { ev.Reported(g.now(), &r, room, g.job(c).Turn()) })
		free := room && r.Pace <= pick.GoodEnough && !closes
		sound := t.resp.StatusCode() < fasthttp.StatusInternalServerError
		next := choice{answer: answer{upstream: t.upstream, report: &r, conn: cn}, delay: g.work.of(c.route.Name), known: 1}
		if free && sound && g.handoff.give(c.service.Name, next) {
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
