// Package connlimit keeps a server accepting connections when descriptors or memory are
// short, and bounds how many it holds.
package connlimit

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	gometrics "github.com/rcrowley/go-metrics"
)

// Times of failed accepts.
const (
	minRetryDelay = 5 * time.Millisecond
	maxRetryDelay = time.Second
	// logPeriod is the time between two log lines about failed accepts of a listener.
	logPeriod = 10 * time.Second
)

// Listener is a net.Listener whose Accept fails only once it is closed, or can never
// accept again. Other errors, such as too few descriptors, are retried with a growing pause.
type Listener struct {
	net.Listener
	name   string
	log    log.Logger
	failed gometrics.Counter
	limit  *Limiter // may be nil

	closed    chan struct{}
	closeOnce sync.Once
	delay     time.Duration // of the last pause, 0 after a success
	loggedAt  time.Time
	unlogged  int
}

// NewListener returns a Listener on ln with a name for the log. Connections beyond limit, if
// it is not nil, are not returned. Failed accepts are counted as accept_errors_total.NAME.
func NewListener(ln net.Listener, name string, limit *Limiter, logger log.Logger, registry gometrics.Registry) *Listener {
	return &Listener{
		Listener: ln, name: name, log: logger, limit: limit, closed: make(chan struct{}),
		failed: gometrics.GetOrRegisterCounter("accept_errors_total."+name, registry),
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		switch {
		case err == nil && l.limit.admit(c):
			l.delay = 0
			return c, nil
		case err == nil:
		case isFinal(err):
			return nil, err
		default:
			l.handleFailure(err)
		}
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// isFinal reports whether no later accept can succeed.
func isFinal(err error) bool {
	for _, final := range []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK} {
		if errors.Is(err, final) {
			return true
		}
	}
	return false
}

// handleFailure counts and logs a failed accept, makes room for the next one and waits.
func (l *Listener) handleFailure(err error) {
	l.failed.Inc(1)
	l.unlogged++
	if now := time.Now(); now.Sub(l.loggedAt) >= logPeriod {
		level.Warn(l.log).Log("msg", "connections not accepted", "listener", l.name, "errors", l.unlogged, "err", err)
		l.loggedAt, l.unlogged = now, 0
	}
	l.limit.CloseIdle(idleClosedOnFailure)
	l.delay = min(max(2*l.delay, minRetryDelay), maxRetryDelay)
	select {
	case <-time.After(l.delay):
	case <-l.closed:
	}
}
