package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	gometrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/catkinrouter/catkinrouter/discovery"
	"github.com/catkinrouter/catkinrouter/fleet"
	"github.com/catkinrouter/catkinrouter/gateway"
	"github.com/catkinrouter/catkinrouter/internal/logs"
	"github.com/catkinrouter/catkinrouter/internal/metrics"
	"github.com/catkinrouter/catkinrouter/mirror"
	"github.com/catkinrouter/catkinrouter/route"
)

// Store is the platform's store.
type Store interface {
	ReadAll(ctx context.Context, prefix string) (mirror.Delta, error)
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (mirror.Delta, error)
	Put(ctx context.Context, key string, data []byte, expect, lease int64) (int64, error)
}

// Adapter is what an instance needs of a platform.
type Adapter struct {
	Keys           Keys
	Store          Store
	Dialect        gateway.Dialect
	DecodeDocument func(value []byte) (*route.Document, error)
	// DecodeUpstream decodes an upstream's entry taken at a time.
	DecodeUpstream func(key string, value []byte, now time.Duration) (*discovery.Upstream, error)
	UpstreamID     func(key string) string
}

// Node is one instance.
type Node struct {
	set     Settings
	adapter Adapter
	log     log.Logger
	started time.Time

	registry gometrics.Registry
	gateway  *gateway.Gateway
	fleet    *fleet.Fleet

	// changed asks for upkeep at once.
	changed chan struct{}

	mu       sync.Mutex
	rng      *rand.Rand
	table    *route.Table
	upstream *discovery.Registry
}

// New returns a Node that serves nothing yet.
func New(set Settings, a Adapter, l log.Logger) *Node {
	seed := rand.Uint64()
	n := &Node{
		set: set, adapter: a, log: logs.For(l, "node"), started: time.Now(), registry: gometrics.NewRegistry(),
		rng: rand.New(rand.NewPCG(seed, 2)), upstream: discovery.New(), changed: make(chan struct{}, 1),
	}
	n.gateway = gateway.New(gateway.Options{
		DataCentre: set.DataCentre, DataAddress: set.DataAddress, ReadyAddress: set.ReadyAddress, LookupAddress: set.LookupAddress,
		Limits: limits(set), Now: n.now, Seed: seed,
	}, a.Dialect, logs.For(l, "gateway"), n.registry)
	n.gateway.SetHooks(gateway.Hooks{
		Failed: func(key uint64, weight float64) {
			n.fleet.Warn(fleet.Warning{Upstream: key, Weight: uint8(min(weight, 1) * hundredth)})
		},
		Wanted: func() { n.fleet.Want() },
	})
	n.fleet = fleet.New(fleet.Options{
		Self: fleet.Info{
			Address: set.PeerAddress, DataAddress: set.DataAddress, DataCentre: set.DataCentre, Region: set.Region,
			Incarnation: uint64(n.started.UnixMilli()),
		},
		// At a first start no caller waits yet, and one instance can read for
		// all; later ones come back into traffic.
		ReadFirst: !set.FirstStart,
		Seeds:     set.Seeds, HubsKey: a.Keys.Hubs, Now: n.now, Log: logs.For(l, "fleet"),
		StoreCall: func(outcome string) {
			gometrics.GetOrRegisterCounter("store_calls_total."+outcome, n.registry).Inc(1)
		},
	}, source{a}, n)
	return n
}

// source reads the keys that every instance follows.
type source struct{ a Adapter }

// everything is the prefix of all keys: one watch then tells of all changes.
const everything = ""

// ReadAll implements fleet.Source.
func (s source) ReadAll(ctx context.Context) (mirror.Delta, error) {
	return s.a.Store.ReadAll(ctx, everything)
}

// Watch implements fleet.Source.
func (s source) Watch(ctx context.Context, after int64, wait time.Duration) (mirror.Delta, error) {
	return s.a.Store.Changes(ctx, everything, after, wait)
}

// Write implements fleet.Source.
func (s source) Write(ctx context.Context, key string, value []byte, expect int64) error {
	_, err := s.a.Store.Put(ctx, key, value, expect, 0)
	return err
}

func (n *Node) now() time.Duration { return time.Since(n.started) }

// Run serves until ctx ends, then stops in order.
func (n *Node) Run(ctx context.Context) error {
	level.Info(n.log).Log("msg", "start", "id", n.set.ID, "data_centre", n.set.DataCentre, "address", n.set.DataAddress,
		"peer_address", n.set.PeerAddress, "seeds", strings.Join(n.set.Seeds, ","), "store", n.set.StoreAddress)
	ln, err := net.Listen("tcp4", n.set.MetricsAddress)
	if err != nil {
		return fmt.Errorf("metrics address: %w: set another port", err)
	}
	live, end := context.WithCancel(context.Background())
	defer end()
	g, live := errgroup.WithContext(live)
	g.Go(func() error {
		defer end()
		return n.gateway.Run(ctx, n.set.StopLimit)
	})
	g.Go(func() error { return n.fleet.Run(live) })
	g.Go(func() error { return n.upkeep(ctx, live) })
	g.Go(func() error { <-live.Done(); return ln.Close() })
	g.Go(func() error {
		if err := metrics.ServeText(ln, n.registry); live.Err() == nil {
			return err
		}
		return nil
	})
	err = g.Wait()
	level.Info(n.log).Log("msg", "stop", "id", n.set.ID, "uptime", n.now(), "err", err)
	return err
}

// Reload takes changed settings: seeds, budgets and lifetimes. Addresses and
// names hold for the life of the process; changes of those are returned.
func (n *Node) Reload(set Settings) (ignored []string) {
	for _, f := range []struct{ name, now, next string }{
		{"data address", n.set.DataAddress, set.DataAddress},
		{"ready address", n.set.ReadyAddress, set.ReadyAddress},
		{"lookup address", n.set.LookupAddress, set.LookupAddress},
		{"peer address", n.set.PeerAddress, set.PeerAddress},
		{"store address", n.set.StoreAddress, set.StoreAddress},
		{"data centre", n.set.DataCentre, set.DataCentre},
	} {
		if f.now != f.next {
			ignored = append(ignored, f.name)
		}
	}
	n.fleet.Seed(set.Seeds)
	n.gateway.SetLimits(limits(set))
	return ignored
}

// limits are the settings of the gateway that may change.
func limits(set Settings) gateway.Limits {
	return gateway.Limits{
		Budget:            gateway.BudgetOptions{Share: set.RetryShare, Allowance: set.RetryAllowance, Window: set.RetryWindow},
		ProbesPerUpstream: set.ProbesPerUpstream, MaxLookupLife: set.MaxLookupLife,
	}
}

// upkeepInterval is the time between two looks at what changes by time alone.
const upkeepInterval = 250 * time.Millisecond

// upkeep gives up lapsed upstreams and tells the fleet this instance's state.
func (n *Node) upkeep(ctx, live context.Context) error {
	t := time.NewTicker(upkeepInterval)
	defer t.Stop()
	leaving := false
	for {
		select {
		case <-live.Done():
			return nil
		case <-ctx.Done():
			if !leaving {
				leaving = true
				n.gateway.Leave()
				level.Info(n.log).Log("msg", "stopping", "limit", n.set.StopLimit)
			}
			ctx = context.Background()
		case <-t.C:
		case <-n.changed:
		}
		n.expire()
		n.fleet.SetState(n.gateway.Ready(), leaving)
	}
}

func (n *Node) expire() {
	n.mu.Lock()
	defer n.mu.Unlock()
	gone := n.upstream.Expire(n.now())
	for _, id := range gone {
		level.Info(n.log).Log("msg", "upstream changed", "upstream", id, "change", discovery.Gone, "reason", "its entry did not come back")
	}
	if len(gone) > 0 {
		n.publish()
	}
}

// Items implements fleet.Listener.
func (n *Node) Items(now time.Duration, items []mirror.Item, source string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, it := range items {
		switch {
		case it.Key == n.adapter.Keys.Configuration:
			n.configure(it, source)
		case strings.HasPrefix(it.Key, n.adapter.Keys.Upstreams):
			n.discover(now, it, source)
		}
	}
	n.publish()
}

// configure puts a newer configuration in force; an older one, or one that
// can't be read, changes nothing.
func (n *Node) configure(it mirror.Item, source string) {
	if it.Deleted {
		level.Warn(n.log).Log("msg", "configuration ignored", "reason", "deleted in the store", "revision", it.Revision, "source", source)
		return
	}
	doc, err := n.adapter.DecodeDocument(it.Value)
	if err != nil {
		gometrics.GetOrRegisterCounter("malformed_total.configuration", n.registry).Inc(1)
		level.Warn(n.log).Log("msg", "configuration ignored", "revision", it.Revision, "source", source, "err", err)
		return
	}
	if n.table != nil && doc.Version <= n.table.Version {
		level.Info(n.log).Log("msg", "configuration ignored", "reason", "not newer", "version", doc.Version, "in_force", n.table.Version, "source", source)
		return
	}
	n.table = route.NewTable(doc, n.rng)
	gometrics.GetOrRegisterGauge("configuration_version", n.registry).Update(int64(doc.Version))
	level.Info(n.log).Log("msg", "configuration in force", "version", doc.Version, "revision", it.Revision, "routes", len(doc.Rules),
		"services", len(doc.Services), "source", source)
}

// discover takes an upstream's entry.
func (n *Node) discover(now time.Duration, it mirror.Item, source string) {
	id := n.adapter.UpstreamID(it.Key)
	var change discovery.Change
	state := "removed"
	if it.Deleted {
		change = n.upstream.Remove(now, id)
	} else {
		u, err := n.adapter.DecodeUpstream(it.Key, it.Value, now)
		if err != nil {
			gometrics.GetOrRegisterCounter("malformed_total.upstream", n.registry).Inc(1)
			level.Warn(n.log).Log("msg", "upstream entry ignored", "key", it.Key, "revision", it.Revision, "source", source, "err", err)
			change = n.upstream.Remove(now, id)
		} else {
			u.Revision = it.Revision
			state = u.Service + " " + u.Address
			change = n.upstream.Put(u)
		}
	}
	if change != discovery.Updated {
		level.Info(n.log).Log("msg", "upstream changed", "upstream", id, "change", change, "entry", state, "revision", it.Revision, "source", source)
	}
}

// publish gives the gateway what is in force.
func (n *Node) publish() {
	if n.table == nil {
		return
	}
	first := !n.gateway.Ready()
	n.gateway.Serve(n.table, n.upstream.Usable())
	if first {
		select {
		case n.changed <- struct{}{}:
		default: // upkeep is asked for already
		}
	}
}

// StoreReturned implements fleet.Listener.
func (n *Node) StoreReturned(now time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.upstream.StoreReturned(now)
}

// hundredth is the unit of a warning's weight, as part of a request.
const hundredth = 100

// Warned implements fleet.Listener.
func (n *Node) Warned(_ time.Duration, w fleet.Warning) {
	n.gateway.Warned(w.Upstream, float64(w.Weight)/hundredth)
}

// Members implements fleet.Listener.
func (n *Node) Members(_ time.Duration, live []fleet.Member) {
	var usable []gateway.Instance
	for _, m := range live {
		if m.Ready && !m.Leaving {
			usable = append(usable, gateway.Instance{Address: m.DataAddress, DataCentre: m.DataCentre})
		}
	}
	level.Info(n.log).Log("msg", "members changed", "live", len(live), "usable", len(usable))
	n.gateway.Fleet(usable, len(live))
}
