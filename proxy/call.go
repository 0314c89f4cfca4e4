package proxy

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/entry"
)

// call is one caller request on its way. Fields are guarded by the
// dispatcher's lock unless they say otherwise.
type call struct {
	id    uint64
	began time.Duration
	// conn is the caller's connection; it does not change.
	conn net.Conn
	// ec and req are written before the first attempt and only read later.
	ec  entry.Call
	req request
	// wake holds at most one token.
	wake    chan struct{}
	waiting bool
	// inline is the attempt of the call's own goroutine.
	inline *try
	// pending is set until that goroutine took inline.
	pending bool
	// sides counts the attempts in goroutines of their own.
	sides int
	tries []*try
	first [1]try // the first attempt, so that most calls allocate none

	answer   entry.Step
	answered bool
	// gone is set once the caller went away.
	gone bool
	// over is set once the call's own goroutine is done with it.
	over bool

	// upstream is the time that the call's own goroutine waited for replies.
	// It belongs to that goroutine.
	upstream time.Duration
}

// action is what a call's own goroutine is to do next; the zero action means
// to wait.
type action struct {
	try    *try
	answer bool
	gone   bool
}

// try is one attempt of a call.
type try struct {
	id   uint64
	step entry.Step
	// side is set where the attempt has a goroutine of its own.
	side bool
	// resp holds the reply of an attempt that is not the newest of the
	// call's own goroutine.
	resp *fasthttp.Response
	// whole is set where the reply is whole, or streamed to the caller.
	whole bool
	// streamed replies are read while they are sent to the caller.
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

// releaseCall makes c fit for reuse. No attempt may be under way.
func releaseCall(c *call) {
	for _, t := range c.tries {
		if t.resp != nil {
			fasthttp.ReleaseResponse(t.resp)
			t.resp = nil
		}
	}
	select {
	case <-c.wake:
	default:
	}
	wake, req, tries := c.wake, c.req, c.tries[:0]
	req.reset()
	*c = call{wake: wake, req: req, tries: tries}
	callPool.Put(c)
}

func (c *call) newTry(st *entry.Step) *try {
	t := &c.first[0]
	if len(c.tries) > 0 {
		t = &try{}
	}
	t.id, t.step = st.Attempt, *st
	c.tries = append(c.tries, t)
	return t
}

func (c *call) find(attempt uint64) *try {
	for _, t := range c.tries {
		if t.id == attempt {
			return t
		}
	}
	return nil
}

func (c *call) cancelTry(attempt uint64) {
	if t := c.find(attempt); t != nil {
		t.cancel()
	}
}

// wakeUp makes a waiting call look for its next action.
func (c *call) wakeUp() {
	if !c.waiting {
		return
	}
	c.waiting = false
	c.wake <- struct{}{}
}

// hold gives the attempt its connection; it returns false where the attempt
// was cancelled before.
func (t *try) hold(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cancelled {
		return false
	}
	t.conn = c
	return true
}

// drop takes the connection back; it is not cancelled after that.
func (t *try) drop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn = nil
}

func (t *try) cancel() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancelled = true
	if t.conn != nil {
		t.conn.abort()
	}
}

func (t *try) isCancelled() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cancelled
}
