package gateway

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/catkinrouter/catkinrouter/internal/httpserve"
)

// Limits of callers' connections.
const (
	// maxHeader is above the header sizes that operators allow callers.
	maxHeader = 20 << 10 // bytes
	maxBody   = 64 << 20 // bytes
	// readTimeout limits the time to read a request, idleTimeout the wait for
	// the next one. Both are above the values that operators set.
	readTimeout = 10 * time.Second
	idleTimeout = 30 * time.Second
)

// listeners are the listeners of a Gateway.
type listeners struct{ data, ready, lookup net.Listener }

func (g *Gateway) listen() (*listeners, error) {
	var l listeners
	for _, a := range []struct {
		addr string
		ln   *net.Listener
	}{{g.opt.DataAddress, &l.data}, {g.opt.ReadyAddress, &l.ready}, {g.opt.LookupAddress, &l.lookup}} {
		ln, err := net.Listen("tcp4", a.addr)
		if err != nil {
			l.close()
			return nil, fmt.Errorf("listen on %s: %w: check that no other process uses the address", a.addr, err)
		}
		*a.ln = ln
	}
	return &l, nil
}

func (l *listeners) close() {
	for _, ln := range []net.Listener{l.data, l.ready, l.lookup} {
		if ln != nil {
			ln.Close()
		}
	}
}

// Run serves until ctx is done, then shuts down gracefully within stopLimit.
func (g *Gateway) Run(ctx context.Context, stopLimit time.Duration) error {
	lns, err := g.listen()
	if err != nil {
		return err
	}
	return g.serve(ctx, lns, stopLimit)
}

func (g *Gateway) serve(ctx context.Context, lns *listeners, stopLimit time.Duration) error {
	dataServer := &fasthttp.Server{
		Handler: g.handle, ErrorHandler: g.handleReadError, ReadBufferSize: maxHeader, MaxRequestBodySize: maxBody,
		ReadTimeout: readTimeout, IdleTimeout: idleTimeout, NoDefaultDate: true, NoDefaultServerHeader: true,
		NoDefaultContentType: true, DisablePreParseMultipartForm: true, LazyRequestTime: true, Logger: httpserve.DiscardLogger{},
	}
	auxServer := &fasthttp.Server{
		Handler: g.handleAuxiliary, ReadTimeout: readTimeout, NoDefaultServerHeader: true, NoDefaultDate: true, Logger: httpserve.DiscardLogger{},
	}
	baseCtx, stop := context.WithCancel(context.Background())
	defer stop()
	eg, groupCtx := errgroup.WithContext(baseCtx)
	eg.Go(func() error { return httpserve.IgnoreClosed(dataServer.Serve(lns.data)) })
	eg.Go(func() error { return httpserve.IgnoreClosed(auxServer.Serve(lns.ready)) })
	eg.Go(func() error { return httpserve.IgnoreClosed(auxServer.Serve(lns.lookup)) })
	eg.Go(func() error { return g.maintain(groupCtx) })
	eg.Go(func() error {
		select {
		case <-ctx.Done():
			g.shutDown(stopLimit, dataServer)
		case <-groupCtx.Done():
		}
		lns.close()
		stop()
		return nil
	})
	err := eg.Wait()
	g.pool.close()
	return err
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
			g.retryBudgets.setInstances(g.now(), int(g.liveCount.Load()))
		}
	}
}
