// Package proxy is the data path of an entry: it accepts callers, carries out
// the steps of the entry's Node and answers.
package proxy

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/entry"
	"github.com/catkinrouter/catkinrouter/internal/httpserve"
	"github.com/catkinrouter/catkinrouter/internal/metrics"
	"github.com/catkinrouter/catkinrouter/link"
	"github.com/catkinrouter/catkinrouter/locate"
	"github.com/catkinrouter/catkinrouter/settings"
)

// Server runs one entry.
type Server struct {
	set      Settings
	log      log.Logger
	started  time.Time
	registry gometrics.Registry
	m        *counters
	pool     *pool
	d        *dispatcher
	prober   *prober

	syncMu sync.Mutex // serialises writes of state, and guards inbox and life
	inbox  link.Inbox
	state  atomic.Pointer[state]
	// life is the longest lifetime of lookup answers that was in force.
	life time.Duration

	times stopTimes
	phase atomic.Uint32 // a phase of the planned stop
}

// New returns a Server without a configuration.
func New(set Settings, l log.Logger) *Server {
	inc := rand.Uint64()
	r := gometrics.NewRegistry()
	m := newCounters(r)
	s := &Server{set: set, log: l, started: time.Now(), registry: r, m: m, pool: newPool(m)}
	s.times = stopTimes{handOut: locate.HandOutLimit, margin: stopMargin, grace: closeGrace, limit: set.StopTimeout.D()}
	s.d = &dispatcher{
		now: s.now, side: s.runSide, calls: map[uint64]*call{}, rng: rand.New(rand.NewPCG(inc, 2)),
		node: entry.New(entry.Options{ID: set.ID, Address: set.Address, DataCentre: set.DataCentre, Incarnation: inc, Seed: inc}),
	}
	s.prober = &prober{ring: make(chan entry.Step, probeRing), pool: s.pool, d: s.d, m: m}
	s.d.probe = s.prober.push
	s.pool.limitOf = s.d.connLimit
	s.state.Store(newState(nil))
	return s
}

// Run serves until ctx ends, then finishes the requests in flight.
func (s *Server) Run(ctx context.Context) error {
	lns, err := s.listen()
	if err != nil {
		return err
	}
	return s.serve(ctx, lns)
}

func (s *Server) serve(ctx context.Context, lns *listeners) error {
	srv := s.newHTTP()
	ls, err := newLinkServer(lns.link, s)
	if err != nil {
		return err
	}
	level.Info(s.log).Log("msg", "serving", "address", s.set.Address)
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	g, failed := errgroup.WithContext(work)
	g.Go(func() error { return srv.Serve(lns.data) })
	g.Go(ls.serve)
	g.Go(func() error { return httpserve.IgnoreClosed(metrics.Serve(lns.metrics, s.registry)) })
	g.Go(func() error { return s.tick(work) })
	g.Go(func() error { return s.watch(work) })
	g.Go(func() error { return s.upkeep(work) })
	for range spareOpeners {
		g.Go(func() error { return s.pool.openSpares(work) })
	}
	for range probeWorkers {
		g.Go(func() error { return s.prober.run(work) })
	}
	g.Go(func() error {
		err := s.stopInTurn(ctx, failed, srv, lns.data)
		ls.close()
		lns.metrics.Close()
		stopWork()
		s.pool.close()
		return err
	})
	return g.Wait()
}

// listeners are the addresses that an entry serves.
type listeners struct {
	data, link, metrics net.Listener
}

func (s *Server) listen() (*listeners, error) {
	var l listeners
	for _, a := range []struct {
		key, addr string
		ln        *net.Listener
	}{
		{"address", s.set.Address, &l.data},
		{"link_address", s.set.LinkAddress, &l.link},
		{"metrics_address", s.set.MetricsAddress, &l.metrics},
	} {
		ln, err := settings.Listen(a.key, a.addr)
		if err != nil {
			l.close()
			return nil, err
		}
		*a.ln = ln
	}
	return &l, nil
}

func (l *listeners) close() {
	for _, ln := range []net.Listener{l.data, l.link, l.metrics} {
		if ln != nil {
			ln.Close()
		}
	}
}

func (s *Server) newHTTP() *fasthttp.Server {
	return &fasthttp.Server{
		Handler: s.handle, ErrorHandler: s.malformed,
		ReadBufferSize: s.set.MaxHeader, StreamRequestBody: true, MaxRequestBodySize: streamAbove,
		ReadTimeout: readTimeout, IdleTimeout: idleTimeout, ExpectHandler: s.expect, HeaderReceived: s.headerReceived,
		NoDefaultDate: true, NoDefaultServerHeader: true, NoDefaultContentType: true,
		DisablePreParseMultipartForm: true, LazyRequestTime: true,
		CloseOnShutdown: true, Logger: httpserve.Quiet{},
	}
}

const (
	// readTimeout bounds the time in which a request's headers and the
	// first part of its body arrive.
	readTimeout = 30 * time.Second
	// idleTimeout is how long a caller's connection may wait for its next
	// request.
	idleTimeout = 90 * time.Second
)

func (s *Server) now() time.Duration { return time.Since(s.started) }

func (s *Server) tick(ctx context.Context) error {
	return every(ctx, entry.TickInterval, s.d.tick)
}

// every calls do at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, do func()) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			do()
		}
	}
}

// maxBody is the bound of the bodies of a service.
func (s *Server) maxBody(service string) int {
	if n, ok := s.state.Load().maxBody[service]; ok {
		return min(n, s.set.MaxBody)
	}
	return s.set.MaxBody
}

// malformed answers a request that could not be read.
func (s *Server) malformed(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	var ne net.Error
	f := newFault(reasonMalformed, "the request could not be read")
	switch {
	case errors.As(err, &small):
		f = newFault(reasonHeaderTooLarge, "the headers are larger than the entry takes")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		f = newFault(attempt.ReasonBodyTooLarge, "the body is larger than the entry takes")
	case errors.As(err, &ne) && ne.Timeout():
		f = newFault(reasonSlowRequest, "the request did not arrive in time")
	}
	s.refuse(ctx, f)
}
