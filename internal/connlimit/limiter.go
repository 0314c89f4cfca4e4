package connlimit

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/internal/membudget"
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

// Options are the fixed settings of a Limiter.
type Options struct {
	// Name stands in the metrics connections_idle_closed_total.NAME and
	// connections_rejected_total.NAME.
	Name string
	// Max is the most open connections; 0 sets no bound.
	Max int
	// Response returns what a rejected connection gets, of which the given bytes were read.
	Response func(request []byte) []byte
	// ConnectionBytes is the memory that a connection takes from Memory, which may be nil.
	ConnectionBytes int64
	Memory          *membudget.Budget
}

// Timeouts bound how long a connection waits for a request; 0 sets no bound.
type Timeouts struct {
	// Idle is the time until the first byte of a request.
	Idle time.Duration
	// Header is the time from that byte to the end of the request's header.
	Header time.Duration
}

// of returns the timeout of a connection in the given state.
func (t Timeouts) of(state fasthttp.ConnState) time.Duration {
	if state == fasthttp.StateActive {
		return t.Header
	}
	return t.Idle
}

// Limiter bounds the open connections of an HTTP server. At the bound, the connections
// that have been idle longest are closed for new ones; while none is idle, new ones are
// rejected. It also sets their read deadlines, so the server must have neither a
// ReadTimeout nor an IdleTimeout. It is safe for concurrent use.
type Limiter struct {
	opt Options

	closedIdle, rejected gometrics.Counter
	rejections           chan struct{}

	count atomic.Int64 // of open, less ending

	mu       sync.Mutex
	timeouts Timeouts
	open     map[net.Conn]*connState
	// ending is the number of open connections that have expired.
	ending int
}

// connState is the state of an open connection.
type connState struct {
	fasthttp.ConnState
	since time.Time
	// expired is set once the wait for a request was ended.
	expired bool
}

// waits reports whether the connection waits for a request.
func (st *connState) waits() bool {
	return st.ConnState == fasthttp.StateIdle || st.ConnState == fasthttp.StateNew
}

// NewLimiter returns a Limiter.
func NewLimiter(opt Options, registry gometrics.Registry) *Limiter {
	return &Limiter{
		opt: opt, open: map[net.Conn]*connState{},
		closedIdle: gometrics.GetOrRegisterCounter("connections_idle_closed_total."+opt.Name, registry),
		rejected:   gometrics.GetOrRegisterCounter("connections_rejected_total."+opt.Name, registry),
		rejections: make(chan struct{}, maxRejections),
	}
}

// SetState records the state of a connection. It is the ConnState hook of the server.
func (l *Limiter) SetState(c net.Conn, state fasthttp.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.open[c]
	if st == nil {
		st = &connState{}
		l.open[c] = st
	}
	if st.expired {
		l.ending--
	}
	*st = connState{ConnState: state, since: time.Now()}
	if state == fasthttp.StateClosed || state == fasthttp.StateHijacked {
		delete(l.open, c)
	} else {
		l.setDeadline(c, st)
	}
	l.updateCount()
}

// SetTimeouts sets the timeouts. They also hold for connections that are idle now.
func (l *Limiter) SetTimeouts(t Timeouts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.timeouts == t {
		return
	}
	l.timeouts = t
	for c, st := range l.open {
		if st.waits() && !st.expired {
			l.setDeadline(c, st)
		}
	}
}

// setDeadline sets the read deadline of a connection by its state. The caller holds the
// lock, so that it does not replace the deadline of a later state.
func (l *Limiter) setDeadline(c net.Conn, st *connState) {
	var deadline time.Time
	if d := l.timeouts.of(st.ConnState); d > 0 {
		deadline = st.since.Add(d)
	}
	// An error means that the connection is closed, which the server sees itself.
	_ = c.SetReadDeadline(deadline)
}

// updateCount sets the number of connections that stay open. The caller holds the lock.
func (l *Limiter) updateCount() {
	n := int64(len(l.open) - l.ending)
	if l.count.Swap(n) != n && l.opt.Memory != nil {
		l.opt.Memory.Set(membudget.Connections, n*l.opt.ConnectionBytes)
	}
}

// hasRoom reports whether one more connection may be open.
func (l *Limiter) hasRoom() bool {
	if l.opt.Max > 0 && l.Open() >= l.opt.Max {
		return false
	}
	return l.opt.Memory == nil || l.opt.Memory.Fits(membudget.Connections, l.opt.ConnectionBytes)
}

// Open returns the number of open connections, without those that are being closed.
func (l *Limiter) Open() int { return int(l.count.Load()) }

// crowdedShare is the share of the bound from which connections are better not kept.
const crowdedShare = 0.75

// Crowded reports whether so many connections are open that those whose request has been
// answered should be closed rather than kept for the next one.
func (l *Limiter) Crowded() bool {
	if l.opt.Max > 0 && float64(l.Open()) > crowdedShare*float64(l.opt.Max) {
		return true
	}
	return !l.hasRoom()
}

// admit reports whether c may be served. If not, it rejects c, and waits while too many
// others are being rejected.
func (l *Limiter) admit(c net.Conn) bool {
	if l == nil || l.hasRoom() || l.CloseIdle(1) > 0 {
		return true
	}
	l.rejected.Inc(1)
	l.rejections <- struct{}{}
	go func() {
		defer func() { <-l.rejections }()
		reject(c, l.opt.Response)
	}()
	return false
}

// CloseIdle ends up to n connections, those that have been idle longest, and returns their
// number. A request that arrives at the same time is either served or not read at all: an
// expired deadline ends the wait for a request, not one that has been read.
func (l *Limiter) CloseIdle(n int) (closed int) {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.longestIdle(n) {
		l.open[c].expired = true
		l.ending++
		if c.SetReadDeadline(time.Unix(1, 0)) == nil {
			closed++
		}
	}
	l.updateCount()
	l.closedIdle.Inc(int64(closed))
	return closed
}

// longestIdle returns up to n connections that wait for a request, those that have waited
// longest first. The caller holds the lock.
func (l *Limiter) longestIdle(n int) []net.Conn {
	var idle []net.Conn
	for c, st := range l.open {
		isFresh := st.ConnState == fasthttp.StateNew && time.Since(st.since) < newGrace
		if st.waits() && !isFresh && !st.expired {
			idle = append(idle, c)
		}
	}
	since := func(a, b net.Conn) int { return l.open[a].since.Compare(l.open[b].since) }
	if n == 1 && len(idle) > 0 {
		return []net.Conn{slices.MinFunc(idle, since)}
	}
	slices.SortFunc(idle, since)
	return idle[:min(n, len(idle))]
}

// reject sends a response in place of serving c and closes it. It reads what has arrived of
// the request: a close with unread bytes would discard the response.
func reject(c net.Conn, response func(request []byte) []byte) {
	defer c.Close()
	if c.SetDeadline(time.Now().Add(rejectionTimeout)) != nil {
		return
	}
	buf := make([]byte, rejectionBuffer)
	n, err := c.Read(buf)
	if err != nil {
		return
	}
	if _, err := c.Write(response(buf[:n])); err != nil {
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
