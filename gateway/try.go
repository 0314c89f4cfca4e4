package gateway

import (
	"errors"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/discovery"
	"github.com/catkinrouter/catkinrouter/pick"
)

// outcome is how an attempt ended.
type outcome uint8

const (
	// succeeded: a whole answer that is no failure.
	succeeded outcome = iota + 1
	// notRun: the upstream did not run the request and won't.
	notRun
	// ranAndFailed: the upstream ran it and answered with a failure.
	ranAndFailed
	// mayHaveRun: no whole answer came after the request was sent.
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

// try is one attempt of a call. Its goroutine owns resp and the fields behind
// it until it was sent to the call's results.
type try struct {
	choice
	upstream *discovery.Upstream
	why      string
	began    time.Duration

	mu        sync.Mutex
	cn        *conn
	cancelled bool

	resp    *fasthttp.Response
	wrote   bool
	err     error
	took    time.Duration
	outcome outcome
	// whole is set where resp is a whole answer of the upstream.
	whole bool
}

// errCancelled ends an attempt that the call gave up before it was sent.
var errCancelled = errors.New("attempt was cancelled")

// leastTime is the time below which an upstream could not answer.
const leastTime = 5 * time.Millisecond

// errNoTime ends an attempt before it was sent.
var errNoTime = errors.New("no time left for the upstream")

// launch starts an attempt at the upstream chosen.
func (c *call) launch(ch choice, why string) *try {
	t := &try{choice: ch, upstream: ch.answer.upstream, why: why, began: c.g.now(), resp: fasthttp.AcquireResponse()}
	c.tried[t.upstream.ID] = true
	c.g.ev.with(t.upstream, (*pick.Evidence).Sent)
	if why != "" {
		c.log("sent again", "why", why, "upstream", t.upstream.ID, "cost", ch.cost, "known", ch.known)
	}
	go func() {
		c.g.send(c, t)
		c.g.ev.with(t.upstream, (*pick.Evidence).Ended)
		c.results <- t
	}()
	return t
}

// send carries the attempt out.
func (g *Gateway) send(c *call, t *try) {
	left := c.deadline - t.began
	cn := t.choice.conn
	if cn == nil {
		if cn, t.err = g.pool.dial(t.upstream.Address, left); t.err != nil {
			return
		}
	}
	if !t.hold(cn) {
		cn.Close()
		t.err = errCancelled
		return
	}
	if left = c.deadline - g.now(); left < leastTime {
		t.err = errNoTime
		if t.drop() {
			g.pool.put(cn)
		}
		return
	}
	cn.out = g.appendRequest(cn.out[:0], c, t.upstream.ID, left)
	sent := g.now()
	t.wrote, t.err = g.exchange(cn, cn.out, c.id, c.headOnly, time.Now().Add(left+replyMargin), t.resp)
	t.took = g.now() - sent
	if !t.drop() || t.err != nil {
		cn.Close()
		return
	}
	t.whole = true
	g.settle(c, t, cn)
}

// replyMargin is how long a reply is awaited past the call's deadline: the
// call itself ends the attempt.
const replyMargin = 100 * time.Millisecond

// hold makes cn the connection that cancel closes; false where the attempt was
// cancelled already.
func (t *try) hold(cn *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cancelled {
		return false
	}
	t.cn = cn
	return true
}

// drop takes the connection back; false where it was closed by cancel.
func (t *try) drop() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cn = nil
	return !t.cancelled
}

// cancel ends the attempt: an upstream stops work when its connection closes.
func (t *try) cancel() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancelled = true
	if t.cn != nil {
		t.cn.Close()
	}
}

// Weights of evidence, as parts of a failed request.
const (
	shedWeight      = 0.5
	misplacedWeight = 3
)

// judge sets the attempt's outcome and takes it as evidence.
func (g *Gateway) judge(c *call, t *try) {
	now := g.now()
	status := t.resp.StatusCode()
	failed, weight := true, 1.0
	switch {
	case errors.Is(t.err, errNoTime):
		t.outcome, weight = notRun, 0 // says nothing about the upstream
	case t.err != nil && !t.wrote:
		t.outcome = notRun
	case t.err != nil:
		t.outcome = mayHaveRun
	case status == fasthttp.StatusMisdirectedRequest:
		t.outcome, weight = notRun, misplacedWeight
	case len(t.resp.Header.Peek(g.d.NotRun)) > 0:
		t.outcome, weight = notRun, shedWeight
	case status >= fasthttp.StatusInternalServerError:
		t.outcome = ranAndFailed
	case status < fasthttp.StatusMultipleChoices && len(t.resp.Header.Peek(g.d.Signature)) == 0:
		t.outcome, t.whole = mayHaveRun, false
	default:
		t.outcome, failed = succeeded, false
		g.learn(c, t)
	}
	g.ev.record(now, t.upstream, failed, weight)
	if failed {
		if t.outcome != notRun && !t.late(c) {
			g.hooks.Failed(keyOf(t.upstream), weight)
		}
		c.log("attempt failed", "upstream", t.upstream.ID, "outcome", t.outcome.String(), "status", status,
			"took", t.took, "err", t.err)
	}
}

// late tells whether the attempt failed since it took too long, which says
// less about the upstream than about the request.
func (t *try) late(c *call) bool { return t.took >= (c.deadline-t.began)*9/10 }

// learn takes the time that an attempt took, less the upstream's pace.
func (g *Gateway) learn(c *call, t *try) {
	r := t.report
	if r == nil || !r.Free(t.since) {
		return
	}
	took := time.Duration(float64(t.took) / max(1, r.Pace))
	ratio := float64(took) / float64(g.work.of(c.route.Name))
	g.work.changeFull(c.service.Name, func(f *pick.Fullness) { f.Add(g.now(), ratio, r.NearlyFull(t.since)) })
	if !r.NearlyFull(t.since) {
		g.work.add(c.route.Name, took)
	}
}
