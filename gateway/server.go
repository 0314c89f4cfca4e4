package gateway

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/catkinrouter/catkinrouter/internal/connlimit"
	"github.com/catkinrouter/catkinrouter/internal/httpserve"
	"github.com/catkinrouter/catkinrouter/quarantine"
	"github.com/catkinrouter/catkinrouter/route"
)

// Limits of callers' connections.
const (
	// connectionBytes is the memory that an open connection of a caller takes: its buffers,
	// its goroutine and the state of its request.
	connectionBytes = 48 << 10 // bytes
	// headerBuffer holds the header of a request.
	headerBuffer = 20 << 10 // bytes
	// MaxHeaderBytes is the largest limit of header bytes that operators may set; the rest
	// of the buffer is for the method and the line ends.
	MaxHeaderBytes = headerBuffer - 128
	// maxAuxiliaryBody limits the body of a lookup or readiness check, which is not used.
	maxAuxiliaryBody = 4 << 10 // bytes
	// writeTimeout limits the time that a caller takes to read its response.
	writeTimeout = 30 * time.Second
	// bodyTimeout limits the time from the end of a request's header to that of its body.
	bodyTimeout = 10 * time.Second
	// auxiliaryTimeout limits the time to read a lookup or readiness check, and the wait
	// for the next one.
	auxiliaryTimeout = 10 * time.Second
)

// minCallerTimeout is the shortest timeout that takes effect: under it, a caller could hardly
// use its connection.
const minCallerTimeout = 100 * time.Millisecond

// defaultTimeouts are in force until the operators set theirs.
var defaultTimeouts = connlimit.Timeouts{Idle: 30 * time.Second, Header: 10 * time.Second}

// callerTimeouts returns the timeouts of callers' connections under the operators' limits.
func callerTimeouts(l route.Limits) connlimit.Timeouts {
	t := defaultTimeouts
	if l.IdleTimeout > 0 {
		t.Idle = max(minCallerTimeout, l.IdleTimeout)
	}
	if l.HeaderTimeout > 0 {
		t.Header = max(minCallerTimeout, l.HeaderTimeout)
	}
	return t
}

// setBodyTimeout is called with the header of each request. It sets the time for the body, if
// there is one.
func setBodyTimeout(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if h.ContentLength() == 0 {
		return fasthttp.RequestConfig{}
	}
	return fasthttp.RequestConfig{ReadTimeout: bodyTimeout}
}

// Listeners are the bound listeners of a Gateway.
type Listeners struct{ Data, Ready, Lookup net.Listener }

// Listen binds the addresses for callers, readiness checks and lookups.
func Listen(data, ready, lookup string) (*Listeners, error) {
	var l Listeners
	for _, a := range []struct {
		addr string
		ln   *net.Listener
	}{{data, &l.Data}, {ready, &l.Ready}, {lookup, &l.Lookup}} {
		ln, err := net.Listen("tcp4", a.addr)
		if err != nil {
			l.Close()
			return nil, fmt.Errorf("listen on %s: %w: check that no other process uses the address", a.addr, err)
		}
		*a.ln = ln
	}
	return &l, nil
}

// Close closes the listeners that are bound.
func (l *Listeners) Close() {
	for _, ln := range []net.Listener{l.Data, l.Ready, l.Lookup} {
		if ln != nil {
			ln.Close()
		}
	}
}

// Run serves until ctx is done, then shuts down gracefully within stopLimit. It
// closes the listeners.
func (g *Gateway) Run(ctx context.Context, lns *Listeners, stopLimit time.Duration) error {
	dataServer := &fasthttp.Server{
		Handler: g.handle, ErrorHandler: g.handleReadError, ReadBufferSize: headerBuffer,
		StreamRequestBody: true, MaxRequestBodySize: prefetchedBody,
		HeaderReceived: setBodyTimeout, WriteTimeout: writeTimeout, NoDefaultDate: true, NoDefaultServerHeader: true,
		NoDefaultContentType: true, DisablePreParseMultipartForm: true, LazyRequestTime: true, Logger: httpserve.DiscardLogger{},
		ConnState: g.callers.SetState,
	}
	readyServer, lookupServer := g.newAuxiliaryServer(), g.newAuxiliaryServer()
	baseCtx, stop := context.WithCancel(context.Background())
	defer stop()
	eg, groupCtx := errgroup.WithContext(baseCtx)
	eg.Go(func() error { return g.serve(dataServer, lns.Data, "callers", g.callers) })
	eg.Go(func() error { return g.serve(readyServer, lns.Ready, "ready", nil) })
	eg.Go(func() error { return g.serve(lookupServer, lns.Lookup, "lookup", nil) })
	eg.Go(func() error { return g.maintain(groupCtx) })
	eg.Go(func() error {
		select {
		case <-ctx.Done():
			g.shutDown(stopLimit, dataServer)
		case <-groupCtx.Done():
		}
		lns.Close()
		stop()
		return nil
	})
	err := eg.Wait()
	g.pool.close()
	return err
}

// newAuxiliaryServer returns a server of lookups and readiness checks.
func (g *Gateway) newAuxiliaryServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler: g.handleAuxiliary, MaxRequestBodySize: maxAuxiliaryBody, ReadTimeout: auxiliaryTimeout, NoDefaultServerHeader: true, NoDefaultDate: true, Logger: httpserve.DiscardLogger{},
	}
}

// serve serves on ln until it is closed. It goes on when an accept fails, and holds no
// more connections than limit, if it is not nil, allows.
func (g *Gateway) serve(srv *fasthttp.Server, ln net.Listener, name string, limit *connlimit.Limiter) error {
	return httpserve.IgnoreClosed(srv.Serve(connlimit.NewListener(ln, name, limit, g.log, g.metrics.registry)))
}

// rejection returns the response to a connection beyond the limit. None of its requests
// has run.
func rejection([]byte) []byte {
	const reason = "too-many-connections\n"
	return fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n"+
		"Retry-After: %s\r\nContent-Length: %d\r\n\r\n%s", formatRetryAfter(0), len(reason), reason)
}

func (g *Gateway) maintain(ctx context.Context) error {
	t := time.NewTicker(idleCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			g.pool.closeExpired()
			g.updateQuarantine(func(t *quarantine.Table) { t.Expire(g.now()) })
			g.retryBudgets.setInstances(g.now(), int(g.liveCount.Load()))
		}
	}
}
