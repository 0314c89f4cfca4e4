package proxy

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/catkinrouter/catkinrouter/balance"
	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/entry"
	"github.com/catkinrouter/catkinrouter/link"
	"github.com/catkinrouter/catkinrouter/locate"
)

// errOrphan ends an attempt whose call is over.
var errOrphan = errors.New("call is over: nothing was sent")

// dispatcher owns the Node: it serialises events and hands the resulting
// steps to the calls they concern. Its lock is held for decisions alone,
// never over I/O.
type dispatcher struct {
	now   func() time.Duration
	side  func(*call, *try)
	probe func(entry.Step)

	mu    sync.Mutex // guards what follows and the fields of calls that say so
	node  *entry.Node
	calls map[uint64]*call
	last  uint64
	steps []entry.Step
	rng   *rand.Rand
}

// begin starts a call and returns what its goroutine is to do first.
func (d *dispatcher) begin(c *call) action {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.last++
	c.id, c.ec.ID = d.last, d.last
	c.began = d.now()
	d.calls[c.id] = c
	d.steps = d.node.Start(c.began, c.ec, d.steps[:0])
	d.route()
	return d.take(c)
}

// finished reports the end of an attempt by c's own goroutine and returns
// what it is to do next.
func (d *dispatcher) finished(c *call, t *try, r entry.Result) action {
	d.mu.Lock()
	defer d.mu.Unlock()
	c.inline = nil
	d.end(t, r)
	return d.take(c)
}

// sideFinished reports the end of an attempt by a goroutine of its own. It
// returns true where nothing uses c any more.
func (d *dispatcher) sideFinished(c *call, t *try, r entry.Result) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	c.sides--
	d.end(t, r)
	return c.over && c.sides == 0
}

// leave tells that c's own goroutine is done with it. It returns true where
// nothing uses c any more.
func (d *dispatcher) leave(c *call) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	c.over = true
	return c.sides == 0
}

// earlier returns the attempt before t of c's own goroutine whose whole reply
// is still in its place; nil where there is none.
func (d *dispatcher) earlier(c *call, t *try) *try {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, old := range c.tries {
		if old != t && !old.side && old.whole && !old.streamed && old.resp == nil {
			return old
		}
	}
	return nil
}

func (d *dispatcher) end(t *try, r entry.Result) {
	d.steps = d.node.Finished(d.now(), t.id, r, d.steps[:0])
	d.route()
}

// tick does what is due.
func (d *dispatcher) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.steps = d.node.Tick(d.now(), d.steps[:0])
	d.route()
}

// cancel tells that the caller of the call with this id went away.
func (d *dispatcher) cancel(c *call, id uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.calls[id] != c || c.gone || c.answered {
		return false
	}
	c.gone = true
	d.steps = d.node.Cancel(d.now(), id, d.steps[:0])
	d.route()
	c.wakeUp()
	return true
}

// route hands out d.steps. Ending a step without a call may append more.
func (d *dispatcher) route() {
	for i := 0; i < len(d.steps); i++ {
		st := &d.steps[i]
		if st.Kind == entry.StepProbe {
			d.probe(*st)
			continue
		}
		c := d.calls[st.Call]
		if c != nil {
			d.deliver(c, st)
			continue
		}
		if st.Kind == entry.StepSend || st.Kind == entry.StepForward {
			d.steps = d.node.Finished(d.now(), st.Attempt, entry.Result{Err: errOrphan}, d.steps)
		}
	}
}

func (d *dispatcher) deliver(c *call, st *entry.Step) {
	switch st.Kind {
	case entry.StepCancel:
		c.cancelTry(st.Attempt)
	case entry.StepAnswer:
		c.answer, c.answered = *st, true
		if c.inline != nil && !c.pending {
			c.inline.cancel() // nothing waits for its reply
		}
	case entry.StepSend, entry.StepForward:
		d.send(c, st)
	}
	c.wakeUp()
}

// send gives an attempt to the call's own goroutine where that is free, else
// to a new one. A recorded attempt may outlast its call's answer, and so has
// a goroutine of its own; but a streamed body is read by the call's own.
func (d *dispatcher) send(c *call, st *entry.Step) {
	t := c.newTry(st)
	if c.inline == nil && (!st.Record || c.ec.Streamed) {
		c.inline, c.pending = t, true
		return
	}
	c.sides++
	t.side = true
	d.side(c, t)
}

// take returns the next action of c's own goroutine.
func (d *dispatcher) take(c *call) action {
	switch {
	case c.answered:
		d.dropPending(c)
		delete(d.calls, c.id)
		return action{answer: true}
	case c.pending:
		c.pending = false
		return action{try: c.inline}
	case c.gone:
		delete(d.calls, c.id)
		return action{gone: true}
	}
	c.waiting = true
	return action{}
}

// dropPending ends an attempt that was not begun before the answer.
func (d *dispatcher) dropPending(c *call) {
	if !c.pending {
		return
	}
	c.pending = false
	d.end(c.inline, entry.Result{Err: errCancelled})
}

// next waits for an action of c's own goroutine.
func (d *dispatcher) next(c *call) action {
	<-c.wake
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.take(c)
}

// probed reports the answer to a probe.
func (d *dispatcher) probed(st *entry.Step, load *balance.Load, latency time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.node.Probed(d.now(), st.Service, st.Upstream, load, latency)
}

// waiting appends the calls that began at least age ago.
func (d *dispatcher) waiting(out []watched, age time.Duration) []watched {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.now() - age
	for id, c := range d.calls {
		if c.began <= before && !c.gone {
			out = append(out, watched{c: c, id: id, conn: c.conn})
		}
	}
	return out
}

// sync puts the agent's state in force and returns the Node's.
func (d *dispatcher) sync(in *link.State, doc *config.Document) link.Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	if doc != nil {
		d.node.Configure(now, in.Revision, doc)
	}
	d.node.Members(now, in.Members, in.LeavingUpstreams)
	return d.node.Status(now)
}

// status returns the Node's state.
func (d *dispatcher) status() link.Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.Status(d.now())
}

// choose answers a lookup: entries that the caller may use, each with a
// permit, and how long.
func (d *dispatcher) choose(q locate.Query, self link.Member, st *state) ([]LookupAddress, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	mine := d.node.Status(now)
	self.Incarnation, self.Uptime, self.Spare = mine.Incarnation, now, mine.Spare
	age := now - st.heard
	a := locate.Choose(q, locate.Table{Self: self, Members: st.members, Age: age}, st.doc.Lookup, d.rng)
	var out []LookupAddress
	for _, c := range a.Choices {
		m := c.Member
		m.Uptime -= age // Permit adds it
		out = append(out, LookupAddress{Address: m.Address, Weight: c.Weight, Permit: d.node.Permit(now, m)})
	}
	return out, a.Lifetime
}

// connLimit returns the most connections to an upstream.
func (d *dispatcher) connLimit(service, upstream string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.ConnLimit(service, upstream)
}
