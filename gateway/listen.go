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

// Bounds of callers' connections.
const (
	// maxHeader is above what operators let callers send.
	maxHeader = 20 << 10 // bytes
	maxBody   = 64 << 20 // bytes
	// readTimeout bounds the arrival of a request, idleTimeout the wait for
	// the next; both are above what operators set.
	readTimeout = 10 * time.Second
	idleTimeout = 30 * time.Second
)

// listeners are what a Gateway serves on.
type listeners struct{ front, ready, lookup net.Listener }

func (g *Gateway) listen() (*listeners, error) {
	var l listeners
	for _, a := range []struct {
		addr string
		ln   *net.Listener
	}{{g.opt.DataAddress, &l.front}, {g.opt.ReadyAddress, &l.ready}, {g.opt.LookupAddress, &l.lookup}} {
		ln, err := net.Listen("tcp4", a.addr)
		if err != nil {
			l.close()
			return nil, fmt.Errorf("address %s: %w: is another process using it?", a.addr, err)
		}
		*a.ln = ln
	}
	return &l, nil
}

func (l *listeners) close() {
	for _, ln := range []net.Listener{l.front, l.ready, l.lookup} {
		if ln != nil {
			ln.Close()
		}
	}
}

// Run serves until ctx ends, then stops in order within the limit given.
func (g *Gateway) Run(ctx context.Context, stopLimit time.Duration) error {
	lns, err := g.listen()
	if err != nil {
		return err
	}
	return g.serve(ctx, lns, stopLimit)
}

func (g *Gateway) serve(ctx context.Context, lns *listeners, stopLimit time.Duration) error {
	front := &fasthttp.Server{
		Handler: g.handle, ErrorHandler: g.malformed, ReadBufferSize: maxHeader, MaxRequestBodySize: maxBody,
		ReadTimeout: readTimeout, IdleTimeout: idleTimeout, NoDefaultDate: true, NoDefaultServerHeader: true,
		NoDefaultContentType: true, DisablePreParseMultipartForm: true, LazyRequestTime: true, Logger: httpserve.Quiet{},
	}
	side := &fasthttp.Server{
		Handler: g.handleSide, ReadTimeout: readTimeout, NoDefaultServerHeader: true, NoDefaultDate: true, Logger: httpserve.Quiet{},
	}
	work, stop := context.WithCancel(context.Background())
	defer stop()
	eg, failed := errgroup.WithContext(work)
	eg.Go(func() error { return httpserve.IgnoreClosed(front.Serve(lns.front)) })
	eg.Go(func() error { return httpserve.IgnoreClosed(side.Serve(lns.ready)) })
	eg.Go(func() error { return httpserve.IgnoreClosed(side.Serve(lns.lookup)) })
	eg.Go(func() error { return g.upkeep(failed) })
	eg.Go(func() error {
		select {
		case <-ctx.Done():
			g.stopInTurn(stopLimit, front)
		case <-failed.Done():
		}
		lns.close()
		stop()
		return nil
	})
	err := eg.Wait()
	g.pool.close()
	return err
}

func (g *Gateway) upkeep(ctx context.Context) error {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			g.pool.sweep()
			g.budgets.fleet(g.now(), int(g.live.Load()))
		}
	}
}
