package connlimit

import (
	"container/list"
	"net"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

const (
	// idleClosedOnFailure is the number of idle connections that are closed when an accept
	// has failed.
	idleClosedOnFailure = 16
	// maxRejections bounds the connections that are being rejected at the same time.
	maxRejections = 32
	// rejectionTimeout bounds the time that rejecting a connection takes.
	rejectionTimeout = 250 * time.Millisecond
	// newGrace is how long a new connection without a request does not count as idle.
	newGrace = 500 * time.Millisecond
	// rejectionBuffer is the part of a rejected request that is read, so that closing the
	// connection does not discard the response.
	rejectionBuffer = 16 << 10 // bytes
)

// Limiter bounds the open connections of an HTTP server. At the bound, the connections
// that have been idle longest are closed for new ones; while none is idle, new ones are
// rejected. It is safe for concurrent use.
type Limiter struct {
	max      int
	response func() []byte

	closedIdle, rejected gometrics.Counter
	rejections           chan struct{}

	mu   sync.Mutex
	open map[net.Conn]*list.Element // with its place in idle, nil for one in use
	idle *list.List                 // of idleConn, in order of idleSince
}

// idleConn is a connection without a request.
type idleConn struct {
	net.Conn
	since time.Time
	isNew bool // it has had none at all
}

// NewLimiter returns a Limiter for at most max connections; 0 sets no bound. A rejected one
// gets the bytes that response returns. It counts in connections_idle_closed_total.NAME
// and connections_rejected_total.NAME.
func NewLimiter(name string, max int, response func() []byte, registry gometrics.Registry) *Limiter {
	return &Limiter{
		max: max, response: response, open: map[net.Conn]*list.Element{}, idle: list.New(),
		closedIdle: gometrics.GetOrRegisterCounter("connections_idle_closed_total."+name, registry),
		rejected:   gometrics.GetOrRegisterCounter("connections_rejected_total."+name, registry),
		rejections: make(chan struct{}, maxRejections),
	}
}

// SetState records the state of a connection. It is the ConnState hook of the server.
func (l *Limiter) SetState(c net.Conn, state fasthttp.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.open[c]; e != nil {
		l.idle.Remove(e)
	}
	switch state {
	case fasthttp.StateNew, fasthttp.StateIdle:
		l.open[c] = l.idle.PushBack(idleConn{c, time.Now(), state == fasthttp.StateNew})
	case fasthttp.StateActive:
		l.open[c] = nil
	default:
		delete(l.open, c)
	}
}

// Open returns the number of open connections.
func (l *Limiter) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// crowdedShare is the share of the bound from which connections are better not kept.
const crowdedShare = 0.75

// Crowded reports whether so many connections are open that those whose request has been
// answered should be closed rather than kept for the next one.
func (l *Limiter) Crowded() bool {
	return l.max > 0 && float64(l.Open()) > crowdedShare*float64(l.max)
}

// admit reports whether c may be served. If not, it rejects c, and waits while too many
// others are being rejected.
func (l *Limiter) admit(c net.Conn) bool {
	if l == nil || l.max == 0 || l.Open() < l.max || l.closeIdle(1) > 0 {
		return true
	}
	l.rejected.Inc(1)
	l.rejections <- struct{}{}
	go func() {
		defer func() { <-l.rejections }()
		reject(c, l.response())
	}()
	return false
}

// closeIdle ends up to n connections, those that have been idle longest, and returns their
// number. A request that arrives at the same time is either served or not read at all: an
// expired deadline ends the wait for a request, not one that has been read.
func (l *Limiter) closeIdle(n int) (closed int) {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for e := l.idle.Front(); e != nil && closed < n; {
		c := e.Value.(idleConn)
		this := e
		e = e.Next()
		if c.isNew && time.Since(c.since) < newGrace {
			continue
		}
		l.idle.Remove(this)
		l.open[c.Conn] = nil
		if c.SetReadDeadline(time.Unix(1, 0)) == nil {
			closed++
		}
	}
	l.closedIdle.Inc(int64(closed))
	return closed
}

// reject sends a response in place of serving c and closes it. It reads what has arrived of
// the request: a close with unread bytes would discard the response.
func reject(c net.Conn, response []byte) {
	defer c.Close()
	if c.SetDeadline(time.Now().Add(rejectionTimeout)) != nil {
		return
	}
	buf := make([]byte, rejectionBuffer)
	if _, err := c.Read(buf); err != nil {
		return
	}
	if _, err := c.Write(response); err != nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok && t.CloseWrite() == nil {
		for {
			if _, err := c.Read(buf); err != nil {
				return
			}
		}
	}
}
