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

// errCallEnded is the result of an attempt that the Node starts for a call
// that has ended.
var errCallEnded = errors.New("call has ended: nothing was sent")

// dispatcher owns the Node: it serialises events and passes the resulting
// steps to the calls they concern. Its mutex is held for decisions only,
// never during I/O.
type dispatcher struct {
	// now returns the time since the server started.
	now func() time.Duration
	// background starts an attempt in its own goroutine.
	background func(*call, *callAttempt)
	// probe queues a probe without blocking.
	probe func(entry.Step)

	mu     sync.Mutex // guards the fields below, and those of calls
	node   *entry.Node
	calls  map[uint64]*call
	lastID uint64
	steps  []entry.Step
	rng    *rand.Rand
}

// begin starts a call and returns the first action of its handler goroutine.
func (d *dispatcher) begin(c *call) action {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastID++
	c.id, c.ec.ID = d.lastID, d.lastID
	c.began = d.now()
	d.calls[c.id] = c
	d.steps = d.node.Start(c.began, c.ec, d.steps[:0])
	d.routeSteps()
	return d.nextAction(c)
}

// finished reports the end of an inline attempt and returns the next action
// of the handler goroutine.
func (d *dispatcher) finished(c *call, t *callAttempt, r entry.Result) action {
	d.mu.Lock()
	defer d.mu.Unlock()
	c.inline = nil
	d.finishAttempt(t, r)
	return d.nextAction(c)
}

// backgroundFinished reports the end of a background attempt. It returns true
// if nothing uses c any more, so that c can be released.
func (d *dispatcher) backgroundFinished(c *call, t *callAttempt, r entry.Result) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	c.backgroundCount--
	d.finishAttempt(t, r)
	return c.handlerDone && c.backgroundCount == 0
}

// detach records that the handler goroutine no longer uses c. It returns true
// if nothing uses c any more, so that c can be released.
func (d *dispatcher) detach(c *call) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	c.handlerDone = true
	return c.backgroundCount == 0
}

// earlierReply returns the inline attempt before t whose complete reply is
// still in ctx.Response; nil if there is none.
func (d *dispatcher) earlierReply(c *call, t *callAttempt) *callAttempt {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, old := range c.attempts {
		if old != t && !old.background && old.complete && !old.streamed && old.resp == nil {
			return old
		}
	}
	return nil
}

// finishAttempt passes the result of t to the Node and routes the steps that
// follow.
func (d *dispatcher) finishAttempt(t *callAttempt, r entry.Result) {
	d.steps = d.node.Finished(d.now(), t.id, r, d.steps[:0])
	d.routeSteps()
}

// tick runs the Node's timed work.
func (d *dispatcher) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.steps = d.node.Tick(d.now(), d.steps[:0])
	d.routeSteps()
}

// cancel tells the Node that the caller of the call with this id has
// disconnected. It returns false if that call was answered or cancelled
// before.
func (d *dispatcher) cancel(c *call, id uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.calls[id] != c || c.callerGone || c.answered {
		return false
	}
	c.callerGone = true
	d.steps = d.node.Cancel(d.now(), id, d.steps[:0])
	d.routeSteps()
	c.wakeUp()
	return true
}

// routeSteps carries out d.steps or passes them to their calls. An attempt of
// a call that has ended is finished with errCallEnded, which may append
// further steps.
func (d *dispatcher) routeSteps() {
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
			d.steps = d.node.Finished(d.now(), st.Attempt, entry.Result{Err: errCallEnded}, d.steps)
		}
	}
}

func (d *dispatcher) deliver(c *call, st *entry.Step) {
	switch st.Kind {
	case entry.StepCancel:
		c.cancelAttempt(st.Attempt)
	case entry.StepAnswer:
		c.answer, c.answered = *st, true
		if c.inline != nil && !c.pending {
			c.inline.cancel() // the call has its answer, so this reply is not needed
		}
	case entry.StepSend, entry.StepForward:
		d.send(c, st)
	}
	c.wakeUp()
}

// send starts an attempt in the handler goroutine if that is free, and else
// in the background. An attempt with KeepReply set may outlast its call's
// answer, so it runs in the background as well, unless the request's body is
// streamed: the handler goroutine reads that.
func (d *dispatcher) send(c *call, st *entry.Step) {
	t := c.newAttempt(st)
	if c.inline == nil && (!st.KeepReply || c.ec.Streamed) {
		c.inline, c.pending = t, true
		return
	}
	c.backgroundCount++
	t.background = true
	d.background(c, t)
}

// nextAction returns the next action of c's handler goroutine.
func (d *dispatcher) nextAction(c *call) action {
	switch {
	case c.answered:
		d.cancelPending(c)
		delete(d.calls, c.id)
		return action{answer: true}
	case c.pending:
		c.pending = false
		return action{callAttempt: c.inline}
	case c.callerGone:
		delete(d.calls, c.id)
		return action{callerGone: true}
	}
	c.waiting = true
	return action{}
}

// cancelPending ends an inline attempt that had not started before the
// answer.
func (d *dispatcher) cancelPending(c *call) {
	if !c.pending {
		return
	}
	c.pending = false
	d.finishAttempt(c.inline, entry.Result{Err: errCancelled})
}

// waitAction waits for the next action of c's handler goroutine.
func (d *dispatcher) waitAction(c *call) action {
	<-c.wake
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.nextAction(c)
}

// probed passes the result of a probe to the Node.
func (d *dispatcher) probed(st *entry.Step, load *balance.Load, latency time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.node.Probed(d.now(), st.Service, st.Upstream, load, latency)
}

// callsOlderThan appends the calls in progress that began at least age ago.
func (d *dispatcher) callsOlderThan(out []watchedCall, age time.Duration) []watchedCall {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.now() - age
	for id, c := range d.calls {
		if c.began <= before && !c.callerGone {
			out = append(out, watchedCall{c: c, id: id, conn: c.conn})
		}
	}
	return out
}

// sync applies the agent's state to the Node and returns the Node's status.
func (d *dispatcher) sync(in *link.State, doc *config.Document) link.Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	if doc != nil {
		d.node.Configure(now, in.Revision, doc)
	}
	d.node.SetMembers(now, in.Members, in.LeavingUpstreams)
	wall := time.Now()
	d.node.MergeQuarantined(now, wall, in.Quarantined)
	out := d.node.Status(now)
	out.Quarantined = d.node.Quarantined(now, wall)
	return out
}

// crashed reports that an upstream crashed at a time under an attempt of a call, sent at
// began.
func (d *dispatcher) crashed(c entry.Call, upstream string, began, at time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.node.Crashed(d.now(), c, upstream, began, at)
}

// status returns the Node's status.
func (d *dispatcher) status() link.Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.Status(d.now())
}

// choose answers a lookup: it returns the entries that the caller may use,
// each with a permit, and the lifetime of the answer.
func (d *dispatcher) choose(q locate.Query, self link.Member, st *agentState) ([]LookupAddress, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	status := d.node.Status(now)
	self.Incarnation, self.Uptime, self.Spare = status.Incarnation, now, status.Spare
	age := now - st.receivedAt
	a := locate.Choose(q, locate.Table{Self: self, Members: st.members, Age: age}, st.doc.Lookup, d.rng)
	var out []LookupAddress
	for _, c := range a.Choices {
		m := c.Member
		m.Uptime -= age // Choose has added the age, and Permit adds it again
		out = append(out, LookupAddress{Address: m.Address, Weight: c.Weight, Permit: d.node.Permit(now, m)})
	}
	return out, a.Lifetime
}

// connLimit returns the maximum number of connections to an upstream.
func (d *dispatcher) connLimit(service, upstream string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.ConnLimit(service, upstream)
}
