// Package proxy is the data path of an entry: it accepts callers, carries out
// the steps of the entry's Node and answers.
package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/rpc"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/entry"
	"github.com/catkinrouter/catkinrouter/headers"
	"github.com/catkinrouter/catkinrouter/internal/metrics"
	"github.com/catkinrouter/catkinrouter/link"
)

// Server runs one entry.
type Server struct {
	set     Settings
	log     log.Logger
	started time.Time
	metrics gometrics.Registry
	pool    *pool

	mu      sync.Mutex // guards node, members, doc and lastCall
	node    *entry.Node
	members []link.Member
	doc     *config.Document
	last    uint64
}

// New returns a Server without a configuration.
func New(set Settings, l log.Logger) *Server {
	inc := rand.Uint64()
	return &Server{
		set: set, log: l, started: time.Now(), metrics: gometrics.NewRegistry(), pool: newPool(),
		node: entry.New(entry.Options{ID: set.ID, Address: set.Address, DataCentre: set.DataCentre, Incarnation: inc, Seed: inc}),
	}
}

// Run serves until ctx ends, then finishes the requests in flight.
func (s *Server) Run(ctx context.Context) error {
	data, err := net.Listen("tcp", s.set.Address)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", s.set.LinkAddress)
	if err != nil {
		return err
	}
	mln, err := net.Listen("tcp", s.set.MetricsAddress)
	if err != nil {
		return err
	}
	srv := &fasthttp.Server{
		Handler: s.handle, ReadBufferSize: s.set.MaxHeader, MaxRequestBodySize: config.DefaultMaxBody,
		NoDefaultDate: true, NoDefaultServerHeader: true, CloseOnShutdown: true, Logger: quiet{},
	}
	level.Info(s.log).Log("msg", "serving", "address", s.set.Address)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return srv.Serve(data) })
	g.Go(func() error { return s.serveLink(ln) })
	g.Go(func() error { return ignoreClosed(metrics.Serve(mln, s.metrics)) })
	g.Go(func() error { return s.tick(ctx) })
	g.Go(func() error {
		<-ctx.Done()
		err := srv.Shutdown()
		ln.Close()
		mln.Close()
		s.pool.close()
		return err
	})
	return g.Wait()
}

type quiet struct{}

func (quiet) Printf(string, ...any) {}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (s *Server) now() time.Duration { return time.Since(s.started) }

func (s *Server) tick(ctx context.Context) error {
	t := time.NewTicker(entry.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			s.mu.Lock()
			s.node.Tick(s.now(), nil)
			s.mu.Unlock()
		}
	}
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == headers.LookupPath {
		s.lookup(ctx)
		return
	}
	c := s.call(ctx)
	s.mu.Lock()
	s.last++
	c.ID = s.last
	steps := s.node.Start(s.now(), c, nil)
	s.mu.Unlock()
	for len(steps) > 0 {
		step := steps[0]
		if step.Kind == entry.StepAnswer {
			s.answer(ctx, step)
			return
		}
		r := s.pool.exchange(step, &ctx.Request, &ctx.Response)
		s.mu.Lock()
		steps = s.node.Finished(s.now(), step.Attempt, r, nil)
		s.mu.Unlock()
	}
}

func (s *Server) call(ctx *fasthttp.RequestCtx) entry.Call {
	h := &ctx.Request.Header
	service := string(h.Host())
	if host, _, err := net.SplitHostPort(service); err == nil {
		service = host
	}
	ms, _ := strconv.Atoi(string(h.Peek(headers.Deadline)))
	return entry.Call{
		Service: service, Method: string(h.Method()), Path: string(ctx.Path()),
		Key: string(h.Peek(headers.Key)), Timeout: time.Duration(ms) * time.Millisecond,
	}
}

// answer writes the outcome; the reply of an answered call is in ctx already.
func (s *Server) answer(ctx *fasthttp.RequestCtx, step entry.Step) {
	gometrics.GetOrRegisterCounter("outcome."+step.Outcome.String(), s.metrics).Inc(1)
	if step.Outcome != attempt.Answered {
		gometrics.GetOrRegisterCounter("refused."+string(step.Reason), s.metrics).Inc(1)
		ctx.Response.Reset()
		b, _ := json.Marshal(Refusal{Outcome: step.Outcome.String(), Reason: string(step.Reason)})
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetContentType("application/json")
		ctx.SetBody(b)
		ctx.Response.Header.Set(headers.Reason, string(step.Reason))
	}
	ctx.Response.Header.Set(headers.Outcome, step.Outcome.String())
	ctx.Response.Header.Set(headers.Entry, s.set.ID)
}

// Refusal is the body of an answer that is not an upstream's.
type Refusal struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Remedy  string `json:"remedy"`
}

// LookupAnswer is the body of the address lookup's answer.
type LookupAnswer struct {
	Service   string          `json:"service"`
	LifeMs    int64           `json:"life_ms"`
	Addresses []LookupAddress `json:"addresses"`
}

// LookupAddress is one entry that a caller may use.
type LookupAddress struct {
	Address string  `json:"address"`
	Weight  float64 `json:"weight"`
	// Permit begins the Catkin-Key of non-idempotent calls to Address.
	Permit string `json:"permit"`
}

func (s *Server) lookup(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := LookupAnswer{Service: string(ctx.QueryArgs().Peek("service"))}
	if s.doc == nil {
		ctx.Error("no configuration yet: try another entry", fasthttp.StatusServiceUnavailable)
		return
	}
	a.LifeMs = s.doc.Lookup.Lifetime.D().Milliseconds()
	for _, m := range s.members {
		a.Addresses = append(a.Addresses, LookupAddress{Address: m.Address, Weight: 1})
	}
	b, _ := json.Marshal(a)
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

func (s *Server) serveLink(ln net.Listener) error {
	srv := rpc.NewServer()
	if err := srv.RegisterName("Entry", &linkService{s}); err != nil {
		return err
	}
	for {
		c, err := ln.Accept()
		if err != nil {
			return ignoreClosed(err)
		}
		go srv.ServeConn(c)
	}
}

type linkService struct{ s *Server }

// Sync takes the agent's state and answers the entry's.
func (l *linkService) Sync(in *link.State, out *link.Status) error {
	var doc *config.Document
	if len(in.Document) > 0 {
		doc = &config.Document{}
		if err := json.Unmarshal(in.Document, doc); err != nil {
			return err
		}
	}
	s := l.s
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if doc != nil {
		s.node.Configure(now, in.Revision, doc)
		s.doc = doc
	}
	s.members = in.Members
	s.node.Members(now, in.Members, in.LeavingUpstreams)
	*out = s.node.Status(now)
	return nil
}
