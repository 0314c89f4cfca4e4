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
)

// Limits of callers' connections.
const (
	// maxHeader is above the header sizes that operators allow callers.
	maxHeader = 20 << 10 // bytes
	// maxAuxiliaryBody limits the body of a lookup or readiness check, which is not used.
	maxAuxiliaryBody = 4 << 10 // bytes
	// writeTimeout limits the time that a caller takes to read its response.
	writeTimeout = 30 * time.Second
	// readTimeout limits the time to read a request, idleTimeout the wait for
	// the next one. Both are above the values that operators set.
	readTimeout = 10 * time.Second
	idleTimeout = 30 * time.Second
)

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
		Handler: g.handle, ErrorHandler: g.handleReadError, ReadBufferSize: maxHeader,
		StreamRequestBody: true, MaxRequestBodySize: prefetchedBody,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, NoDefaultDate: true, NoDefaultServerHeader: true,
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
		Handler: g.handleAuxiliary, MaxRequestBodySize: maxAuxiliaryBody, ReadTimeout: readTimeout, NoDefaultServerHeader: true, NoDefaultDate: true, Logger: httpserve.DiscardLogger{},
	}
}

// serve serves on ln until it is closed. It goes on when an accept fails, and holds no
// more connections than limit, if it is not nil, allows.
func (g *Gateway) serve(srv *fasthttp.Server, ln net.Listener, name string, limit *connlimit.Limiter) error {
	return httpserve.IgnoreClosed(srv.Serve(connlimit.NewListener(ln, name, limit, g.log, g.metrics.registry)))
}

// rejection returns the response to a connection beyond the limit. None of its requests
// has run.
func rejection() []byte {
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
