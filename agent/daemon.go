// Package agent is the control process of an instance: configuration,
// membership, peer exchange and the operators' intent API.
package agent

import (
	"context"
	"net"
	"net/rpc"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/internal/metrics"
	"github.com/catkinrouter/catkinrouter/link"
	"github.com/catkinrouter/catkinrouter/operator"
	"github.com/catkinrouter/catkinrouter/platform"
)

// Daemon runs one agent.
type Daemon struct {
	set     Settings
	log     log.Logger
	metrics gometrics.Registry
	client  *platform.Client
	commit  *config.Committer

	head   config.Head
	entry  *rpc.Client
	status link.Status
}

// syncInterval is the time between two syncs with the entry.
const syncInterval = 250 * time.Millisecond

// NewDaemon returns a Daemon for checked settings.
func NewDaemon(set Settings, l log.Logger) *Daemon {
	c := platform.NewClient(set.StoreAddress, set.ListAddress)
	return &Daemon{set: set, log: l, metrics: gometrics.NewRegistry(), client: c, commit: config.NewCommitter(c)}
}

// Run serves until ctx ends.
func (d *Daemon) Run(ctx context.Context) error {
	oln, err := net.Listen("tcp", d.set.OperatorAddress)
	if err != nil {
		return err
	}
	mln, err := net.Listen("tcp", d.set.MetricsAddress)
	if err != nil {
		return err
	}
	srv := &fasthttp.Server{Handler: operator.Handler(d.commit), NoDefaultDate: true, NoDefaultServerHeader: true, CloseOnShutdown: true}
	level.Info(d.log).Log("msg", "serving operators", "address", d.set.OperatorAddress)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return srv.Serve(oln) })
	g.Go(func() error { metrics.Serve(mln, d.metrics); return nil })
	g.Go(func() error { d.loop(ctx); return nil })
	g.Go(func() error {
		<-ctx.Done()
		mln.Close()
		return srv.Shutdown()
	})
	return g.Wait()
}

func (d *Daemon) loop(ctx context.Context) {
	t := time.NewTicker(syncInterval)
	defer t.Stop()
	for {
		d.readHead(ctx)
		if err := d.syncEntry(ctx); err != nil {
			level.Debug(d.log).Log("msg", "entry not reached", "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (d *Daemon) readHead(ctx context.Context) {
	h, _, err := d.commit.Head(ctx)
	if err != nil {
		level.Debug(d.log).Log("msg", "store not read", "err", err)
		return
	}
	if h.Revision > d.head.Revision {
		d.head = h
		level.Info(d.log).Log("msg", "configuration in force", "revision", h.Revision)
	}
}

func (d *Daemon) syncEntry(ctx context.Context) error {
	if d.entry == nil {
		c, err := rpc.Dial("tcp", d.set.EntryLink)
		if err != nil {
			return err
		}
		d.entry = c
	}
	st := link.State{Revision: d.head.Revision, Digest: d.head.Digest, Members: d.members(ctx)}
	if d.status.Revision != d.head.Revision {
		st.Document = d.head.Document
	}
	var out link.Status
	if err := d.entry.Call(link.Method, &st, &out); err != nil {
		d.entry.Close()
		d.entry, d.status = nil, link.Status{}
		return err
	}
	d.status = out
	return nil
}

func (d *Daemon) members(context.Context) []link.Member {
	return []link.Member{{
		ID: d.set.ID, Address: d.set.EntryAddress, DataCentre: d.set.DataCentre, Region: d.set.Region,
		Incarnation: d.status.Incarnation, Uptime: d.status.Uptime, Spare: d.status.Spare,
	}}
}
