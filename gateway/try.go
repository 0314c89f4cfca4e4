package gateway

import (
	"errors"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/customer"
	"github.com/catkinrouter/catkinrouter/discovery"
	"github.com/catkinrouter/catkinrouter/internal/membudget"
	"github.com/catkinrouter/catkinrouter/pick"
)

// outcome is how an attempt ended.
type outcome uint8

const (
	// succeeded: a complete reply that is not an error.
	succeeded outcome = iota + 1
	// notRun: the upstream has not run the request and will not run it.
	notRun
	// ranAndFailed: the upstream ran the request and replied with an error.
	ranAndFailed
	// mayHaveRun: no complete, valid reply arrived after the request was sent.
	mayHaveRun
)

func (o outcome) String() string {
	switch o {
	case succeeded:
		return "succeeded"
	case notRun:
		return "not-run"
	case ranAndFailed:
		return "ran-and-failed"
	}
	return "may-have-run"
}

// try is one attempt of a call. Its goroutine owns resp and the fields below
// until the try is sent to the call's finished channel.
type try struct {
	choice
	upstream  *discovery.Upstream
	reason    string
	startedAt time.Duration
	// expected is the time that the attempt was expected to take when it started.
	expected time.Duration
	// customer is the one that the request is sent for, nil for none.
	customer *customer.Customer
	// head is that of the call when the attempt was launched.
	head []byte

	mu        sync.Mutex
	cn        *conn
	cancelled bool
	// sentAt is when the request was written, 0 before.
	sentAt time.Duration
	// finished is set once the attempt's goroutine no longer uses memory,
	// discarded once the call will not use the reply.
	finished, discarded bool

	// connNumber is that of the connection on which the request was written, 0 if none.
	connNumber uint64

	resp   *fasthttp.Response
	memory membudget.Reservation // of the reply's body
	wrote  bool
	// unheard is set if the attempt was given up before a byte of a reply arrived.
	unheard bool
	err     error
	took    time.Duration
	outcome outcome
	// complete is set if resp is a complete reply of the upstream.
	complete bool
	// crashChecked is closed once it is known whether the upstream crashed; nil if that
	// is not in question.
	crashChecked <-chan struct{}
}

// errCancelled ends an attempt that was cancelled before it was sent.
var errCancelled = errors.New("attempt was cancelled")

// minSendTime is the least time before the deadline at which a request is
// still sent; no upstream can reply in less.
const minSendTime = 5 * time.Millisecond

// errNoTime ends an attempt with less than minSendTime left before it is sent.
var errNoTime = errors.New("too little time left before the deadline to send the request")

// launch starts an attempt at the chosen upstream.
func (c *call) launch(ch choice, reason string) *try {
	t := &try{
		choice: ch, upstream: ch.probeResult.upstream, reason: reason, startedAt: c.g.now(), expected: c.expectedTime(ch), customer: c.attemptCustomer, head: c.head,
		resp: fasthttp.AcquireResponse(), memory: c.g.memory.Begin(membudget.Replies, 0),
	}
	c.tries = append(c.tries, t)
	c.tried[t.upstream.ID] = true
	c.g.evidence.update(t.upstream, (*pick.Evidence).Sent)
	if t.rateLimit.Named {
		c.g.metrics.limitedSends.Inc(1)
	}
	if t.cold {
		c.g.metrics.coldSends.Inc(1)
	}
	if reason != "" {
		c.log("additional attempt started", "why", reason, "upstream", t.upstream.ID, "cost", ch.cost, "known", ch.known)
	}
	c.body.hold()
	go func() {
		defer c.body.release()
		if err := c.g.guard.Run("attempt", func() { c.g.send(c, t) }); err != nil {
			t.wrote, t.err, t.complete = true, err, false // it may have been sent
			t.cancel()
		}
		c.g.recordEnd(c, t)
		if !t.wrote {
			c.g.withdraw(&t.choice)
		}
		t.release(func() { t.finished = true })
		c.finished <- t
	}()
	return t
}

// send executes the attempt.
func (g *Gateway) send(c *call, t *try) {
	timeLeft := c.deadline - t.startedAt
	cn, err := g.connFor(c, &t.choice, timeLeft)
	if err != nil {
		t.err = err
		return
	}
	if !t.setConn(cn) {
		cn.Close()
		t.err = errCancelled
		return
	}
	timeLeft = c.deadline - g.now()
	if t.err = g.checkBeforeSend(t, timeLeft); t.err != nil {
		if t.clearConn() {
			g.pool.put(cn)
		}
		return
	}
	t.connNumber = cn.number
	var body [][]byte
	cn.writeBuf, body = g.appendRequest(cn.writeBuf[:0], c, t, timeLeft)
	sent := g.now()
	t.recordSent(sent)
	t.wrote, t.err = g.exchange(cn, t.upstream, cn.writeBuf, body, c.id, c.isHead, time.Now().Add(timeLeft+replyMargin), t.resp, &t.memory)
	t.took, t.unheard = g.now()-sent, cn.heardNothing(t.err)
	if t.err == nil {
		g.recordRateLimit(t.upstream, t.resp)
	}
	kept := t.clearConn()
	if t.complete = t.err == nil; !kept || !t.complete {
		cn.Close()
		return
	}
	g.finishExchange(c, t, cn)
}

// checkBeforeSend returns why the request must not be written now, or nil: the call may have
// waited since its upstream was picked and its key was looked up.
func (g *Gateway) checkBeforeSend(t *try, timeLeft time.Duration) error {
	switch {
	case timeLeft < minSendTime:
		return errNoTime
	case g.unwanted(t.upstream) || !g.evidence.confirmCold(g.now(), &t.choice):
		return errUnwanted
	case t.customer != nil && !g.servesKeys():
		return errKeysOutOfDate
	}
	return nil
}

// connFor returns the choice's connection, or a new one if it has none or one that may not
// carry the call.
func (g *Gateway) connFor(c *call, ch *choice, timeout time.Duration) (*conn, error) {
	if ch.conn != nil && ch.conn.mayCarry(c.id) {
		return ch.conn, nil
	}
	if ch.conn != nil {
		g.metrics.repeatedIDs.Inc(1)
		g.pool.put(ch.conn)
	}
	return g.pool.dial(ch.upstream.Address, timeout)
}

// replyMargin is how long after the call's deadline the connection still waits
// for a reply, because the call itself cancels the attempt at its deadline.
const replyMargin = 100 * time.Millisecond

// setConn sets the connection that cancel closes. It returns false if the
// attempt is already cancelled.
func (t *try) setConn(cn *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cancelled {
		return false
	}
	t.cn = cn
	return true
}

// clearConn detaches the connection from cancel. It returns false if cancel
// has closed it.
func (t *try) clearConn() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cn = nil
	return !t.cancelled
}

// cancelDelay is how long the connection of a cancelled attempt stays open: a reply that
// is on its way may say that the upstream is leaving, or wants a pause.
const cancelDelay = 25 * time.Millisecond

// cancel cancels the attempt. An upstream stops running a request when its
// connection closes. It returns false if the attempt was cancelled before.
func (t *try) cancel() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cancelled {
		return false
	}
	t.cancelled = true
	if cn := t.cn; cn != nil {
		time.AfterFunc(cancelDelay, func() { cn.Close() })
	}
	return true
}

// release calls mark, and returns the memory of the reply once its goroutine has
// finished and the call will not use it.
func (t *try) release(mark func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if mark(); t.finished && t.discarded {
		t.memory.Close()
	}
}

// Weights of failures, relative to a failed request.
const (
	shedWeight        = 0.5
	misdirectedWeight = 3
)

// classify sets the attempt's outcome and records it as evidence. Failures of
// requests that may have run are also reported through Hooks.UpstreamFailed,
// unless the attempt ended near its deadline.
func (g *Gateway) classify(c *call, t *try) {
	now := g.now()
	status := t.resp.StatusCode()
	failed, weight := true, 1.0
	switch {
	case errors.Is(t.err, errNoTime), errors.Is(t.err, errUnwanted), errors.Is(t.err, errKeysOutOfDate):
		t.outcome, weight = notRun, 0 // no evidence about the upstream
	case t.err != nil && !t.wrote:
		t.outcome = notRun
	case t.err != nil:
		t.outcome = mayHaveRun
	case status == fasthttp.StatusMisdirectedRequest:
		t.outcome, weight = notRun, misdirectedWeight
	case len(t.resp.Header.Peek(g.proto.NotRun)) > 0:
		if t.outcome, weight = notRun, shedWeight; g.noticeOf(t.resp, false).Pause > 0 {
			weight = 0 // the upstream says itself for how long
		}
	case status >= fasthttp.StatusInternalServerError:
		t.outcome = ranAndFailed
	case status < fasthttp.StatusMultipleChoices && len(t.resp.Header.Peek(g.proto.Signature)) == 0:
		t.outcome, t.complete = mayHaveRun, false
	default:
		t.outcome, failed = succeeded, false
		g.learnWork(c, t)
		c.recordAnswered()
	}
	g.evidence.recordOutcome(now, t.upstream, failed, weight)
	if failed {
		if t.outcome != notRun && !t.nearDeadline(c) {
			g.hooks.UpstreamFailed(upstreamKey(t.upstream), weight)
		}
		c.log("attempt failed", "upstream", t.upstream.ID, "outcome", t.outcome.String(), "status", status,
			"address", t.upstream.Address, "conn", t.connNumber, "took", t.took, "err", t.err, "content", c.content())
		g.checkCrash(c, t)
	}
}

// nearDeadline reports whether the attempt took at least 90% of the time it
// had. Such a failure says less about the upstream than about the request.
func (t *try) nearDeadline(c *call) bool { return t.took >= (c.deadline-t.startedAt)*9/10 }

// learnWork records the time of a successful attempt, divided by the
// upstream's pace. Only attempts that found a free slot count, and only those
// at upstreams that were not nearly full change the route's work.
func (g *Gateway) learnWork(c *call, t *try) {
	r := t.report
	if r == nil || !r.Free(t.sentSince) {
		return
	}
	took := time.Duration(float64(t.took) / max(1, r.Pace))
	ratio := float64(took) / float64(c.work())
	g.estimates.updateFullness(c.service.Name, func(f *pick.Fullness) { f.Add(g.now(), ratio, r.NearlyFull(t.sentSince)) })
	if !r.NearlyFull(t.sentSince) {
		g.estimates.recordWork(c.workKey(), took)
	}
}
