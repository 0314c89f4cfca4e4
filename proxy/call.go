package proxy

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/entry"
	"github.com/catkinrouter/catkinrouter/internal/membudget"
)

// call is one caller request in progress. Its fields are guarded by the
// dispatcher's mutex unless stated otherwise.
//
// The handler goroutine of a call is that of the caller's connection. It runs
// the call's inline attempts; each background attempt has its own goroutine.
type call struct {
	id    uint64
	began time.Duration
	// conn is the caller's connection; it does not change.
	conn net.Conn
	// ec, the call as the Node sees it, and req are written before the first
	// attempt and only read after that.
	ec  entry.Call
	req request
	// wake resumes the handler goroutine while waiting is set. It is buffered
	// for one signal.
	wake    chan struct{}
	waiting bool
	// inline is the current attempt of the handler goroutine; nil for none.
	inline *callAttempt
	// pending is set until the handler goroutine has taken inline.
	pending bool
	// backgroundCount is the number of background attempts in progress.
	backgroundCount int
	attempts        []*callAttempt
	first           [1]callAttempt // storage for the first attempt, so that most calls allocate none

	answer   entry.Step
	answered bool
	// callerGone is set once the caller has disconnected.
	callerGone bool
	// handlerDone is set once the handler goroutine no longer uses the call.
	handlerDone bool

	// upstreamWait is the time that the handler goroutine has waited for
	// replies. Only that goroutine uses it.
	upstreamWait time.Duration
}

// action is what a call's handler goroutine does next; the zero action means
// to wait.
type action struct {
	callAttempt *callAttempt
	answer      bool
	callerGone  bool
}

// callAttempt is one attempt of a call: a request to an upstream or to
// another entry.
type callAttempt struct {
	id   uint64
	step entry.Step
	// background is set if the attempt runs in its own goroutine.
	background bool
	// resp holds the reply of a background attempt, or of an inline attempt
	// that a later one has followed. It is nil while the reply is in the
	// handler's ctx.Response.
	resp *fasthttp.Response
	// memory is that of a large reply which was read whole; nil for others.
	memory *membudget.Reservation
	// complete is set once the reply was read completely, or its rest is left
	// to be streamed to the caller.
	complete bool
	// streamed is set if the reply is read while it is sent to the caller.
	streamed bool

	mu        sync.Mutex // guards conn and cancelled
	conn      *conn
	cancelled bool
}

var callPool = sync.Pool{New: func() any { return &call{wake: make(chan struct{}, 1)} }}

func acquireCall(c net.Conn) *call {
	v := callPool.Get().(*call)
	v.conn = c
	return v
}

// releaseCall resets c and returns it to the pool. No attempt of c may be in
// progress.
func releaseCall(c *call) {
	for _, t := range c.attempts {
		if t.resp != nil {
			fasthttp.ReleaseResponse(t.resp)
			t.resp = nil
		}
		if t.memory != nil {
			t.memory.Close()
			t.memory = nil
		}
	}
	select {
	case <-c.wake:
	default:
	}
	wake, req, attempts := c.wake, c.req, c.attempts[:0]
	req.reset()
	*c = call{wake: wake, req: req, attempts: attempts}
	callPool.Put(c)
}

func (c *call) newAttempt(st *entry.Step) *callAttempt {
	t := &c.first[0]
	if len(c.attempts) > 0 {
		t = &callAttempt{}
	}
	t.id, t.step = st.Attempt, *st
	c.attempts = append(c.attempts, t)
	return t
}

func (c *call) findAttempt(attemptID uint64) *callAttempt {
	for _, t := range c.attempts {
		if t.id == attemptID {
			return t
		}
	}
	return nil
}

func (c *call) cancelAttempt(attemptID uint64) {
	if t := c.findAttempt(attemptID); t != nil {
		t.cancel()
	}
}

// wakeUp resumes the handler goroutine if it is waiting for its next action.
func (c *call) wakeUp() {
	if !c.waiting {
		return
	}
	c.waiting = false
	c.wake <- struct{}{}
}

// attachConn sets the connection that cancel aborts. It returns false if the
// attempt was cancelled before.
func (t *callAttempt) attachConn(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cancelled {
		return false
	}
	t.conn = c
	return true
}

// detachConn removes the connection from the attempt; cancel no longer aborts
// it.
func (t *callAttempt) detachConn() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn = nil
}

func (t *callAttempt) cancel() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancelled = true
	if t.conn != nil {
		t.conn.abort()
	}
}

func (t *callAttempt) isCancelled() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cancelled
}
