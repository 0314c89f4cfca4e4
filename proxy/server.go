// Package proxy is the data path of an entry: it accepts callers' requests,
// carries out the steps of the entry's Node and answers the callers.
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
	"github.com/catkinrouter/catkinrouter/internal/connlimit"
	"github.com/catkinrouter/catkinrouter/internal/httpserve"
	"github.com/catkinrouter/catkinrouter/internal/membudget"
	"github.com/catkinrouter/catkinrouter/internal/metrics"
	"github.com/catkinrouter/catkinrouter/link"
	"github.com/catkinrouter/catkinrouter/locate"
	"github.com/catkinrouter/catkinrouter/settings"
)

// Server runs one entry.
type Server struct {
	cfg      Settings
	log      log.Logger
	started  time.Time
	registry gometrics.Registry
	m        *counters
	pool     *pool
	callers  *connlimit.Limiter
	// memory is what callers' connections and the replies to them may take.
	memory *membudget.Budget
	d      *dispatcher
	prober *prober

	syncMu      sync.Mutex // serialises writes of agentState; guards memberCache and maxLookupLifetime
	memberCache link.MemberCache
	agentState  atomic.Pointer[agentState]
	// maxLookupLifetime is the longest lifetime of lookup answers in any
	// configuration so far. A planned stop waits for such answers to expire.
	maxLookupLifetime time.Duration

	times stopTimes
	phase atomic.Uint32 // the phase of a planned stop

	crashChecks atomic.Int64 // checks for crashed upstreams in progress
}

// New returns a Server that has no configuration yet.
func New(cfg Settings, l log.Logger) *Server {
	incarnation := rand.Uint64()
	r := gometrics.NewRegistry()
	m := newCounters(r)
	s := &Server{cfg: cfg, log: l, started: time.Now(), registry: r, m: m, pool: newPool(m), memory: newMemory(&cfg, l)}
	s.callers = newCallerLimiter(&cfg, s.memory, l, r)
	s.times = stopTimes{staleLookups: locate.StaleLookupLimit, margin: stopMargin, grace: closeGrace, limit: cfg.StopTimeout.D()}
	s.d = &dispatcher{
		now: s.now, background: s.runBackground, calls: map[uint64]*call{}, rng: rand.New(rand.NewPCG(incarnation, 2)),
		node: entry.New(entry.Options{ID: cfg.ID, Address: cfg.Address, DataCentre: cfg.DataCentre, Incarnation: incarnation, Seed: incarnation}),
	}
	s.prober = &prober{queue: make(chan entry.Step, probeQueueSize), pool: s.pool, d: s.d, m: m}
	s.d.probe = s.prober.enqueue
	s.pool.upstreamLimit = s.d.connLimit
	s.agentState.Store(newAgentState(nil))
	return s
}

// Run serves until ctx ends and then performs a planned stop, in which calls
// in flight finish, within the stop's time limit.
func (s *Server) Run(ctx context.Context) error {
	lns, err := s.listen()
	if err != nil {
		return err
	}
	return s.serve(ctx, lns)
}

func (s *Server) serve(ctx context.Context, lns *listeners) error {
	srv := s.newHTTPServer()
	ls, err := newLinkServer(s.retrying(lns.link, "agent"), s)
	if err != nil {
		return err
	}
	level.Info(s.log).Log("msg", "serving", "address", s.cfg.Address)
	workCtx, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	g, failed := errgroup.WithContext(workCtx)
	g.Go(func() error {
		return srv.Serve(connlimit.NewListener(lns.data, "callers", s.callers, s.log, s.registry))
	})
	g.Go(ls.serve)
	g.Go(func() error {
		return httpserve.IgnoreClosed(metrics.ServeJSON(s.retrying(lns.metrics, "metrics"), s.registry))
	})
	g.Go(func() error { return s.tick(workCtx) })
	g.Go(func() error { return s.watchCallers(workCtx) })
	g.Go(func() error { return s.maintain(workCtx) })
	for range spareOpeners {
		g.Go(func() error { return s.pool.openSpares(workCtx) })
	}
	for range probeWorkers {
		g.Go(func() error { return s.prober.run(workCtx) })
	}
	g.Go(func() error {
		err := s.shutdown(ctx, failed, srv, lns.data)
		ls.close()
		lns.metrics.Close()
		stopWork()
		s.pool.close()
		return err
	})
	return g.Wait()
}

// retrying returns a listener on ln that goes on when an accept fails.
func (s *Server) retrying(ln net.Listener, name string) net.Listener {
	return connlimit.NewListener(ln, name, nil, s.log, s.registry)
}

// listeners are the listeners of an entry: for callers, the agent and
// metrics.
type listeners struct {
	data, link, metrics net.Listener
}

func (s *Server) listen() (*listeners, error) {
	var l listeners
	for _, a := range []struct {
		key, addr string
		ln        *net.Listener
	}{
		{"address", s.cfg.Address, &l.data},
		{"link_address", s.cfg.LinkAddress, &l.link},
		{"metrics_address", s.cfg.MetricsAddress, &l.metrics},
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

func (s *Server) newHTTPServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler: s.handle, ErrorHandler: s.handleReadError,
		ReadBufferSize: s.cfg.MaxHeader, StreamRequestBody: true, MaxRequestBodySize: streamThreshold,
		ExpectHandler: s.expectContinue, HeaderReceived: s.headerReceived, ConnState: s.callers.SetState,
		NoDefaultDate: true, NoDefaultServerHeader: true, NoDefaultContentType: true,
		DisablePreParseMultipartForm: true, LazyRequestTime: true,
		CloseOnShutdown: true, Logger: httpserve.DiscardLogger{},
	}
}

func (s *Server) now() time.Duration { return time.Since(s.started) }

func (s *Server) tick(ctx context.Context) error {
	return runEvery(ctx, entry.TickInterval, s.d.tick)
}

// runEvery calls do at each interval until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, do func()) error {
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

// maxBody returns the limit of request bodies of a service, in bytes: the
// lower one of the service and the entry.
func (s *Server) maxBody(service string) int {
	if n, ok := s.agentState.Load().maxBody[service]; ok {
		return min(n, s.cfg.MaxBody)
	}
	return s.cfg.MaxBody
}

// handleReadError answers a request that could not be read.
func (s *Server) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	var ne net.Error
	reqErr := newRequestError(reasonMalformed, "the request could not be read")
	switch {
	case errors.As(err, &small):
		reqErr = newRequestError(reasonHeaderTooLarge, "the headers are larger than the entry takes")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		reqErr = newRequestError(attempt.ReasonBodyTooLarge, "the body is larger than the entry takes")
	case errors.As(err, &ne) && ne.Timeout():
		reqErr = newRequestError(reasonRequestTimeout, "the request did not arrive in time")
	}
	s.refuse(ctx, reqErr)
}
