package node

import (
	"context"
	"math/rand/v2"
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
	"github.com/catkinrouter/catkinrouter/internal/connlimit"
	"github.com/catkinrouter/catkinrouter/internal/logs"
	"github.com/catkinrouter/catkinrouter/internal/metrics"
	"github.com/catkinrouter/catkinrouter/internal/panics"
	"github.com/catkinrouter/catkinrouter/mirror"
	"github.com/catkinrouter/catkinrouter/route"
	"github.com/catkinrouter/catkinrouter/store"
)

// Store is the client of the platform's key-value store.
type Store interface {
	ReadAll(ctx context.Context, prefix string) (mirror.Delta, error)
	Changes(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (mirror.Delta, error)
	// ReadAllStale and GetStale may return what was true seconds ago, at a
	// fraction of the cost of an up-to-date read.
	ReadAllStale(ctx context.Context, prefix string) (mirror.Delta, error)
	GetStale(ctx context.Context, key string) (store.Value, error)
	Put(ctx context.Context, key string, data []byte, expect, lease int64) (int64, error)
}

// Adapter holds the platform-specific parts of an instance: store keys, store
// client, header names and decoders.
type Adapter struct {
	Keys           Keys
	Store          Store
	Protocol       gateway.Protocol
	DecodeDocument func(value []byte) (*route.Document, error)
	// DecodeUpstream decodes an upstream's entry that was received at now.
	DecodeUpstream func(key string, value []byte, now time.Duration) (*discovery.Upstream, error)
	UpstreamID     func(key string) string
}

// Node is one load balancer instance.
type Node struct {
	settings Settings
	adapter  Adapter
	log      log.Logger
	started  time.Time

	registry gometrics.Registry
	guard    panics.Guard
	gateway  *gateway.Gateway
	fleet    *fleet.Fleet

	// maintainNow triggers maintain before its next tick.
	maintainNow chan struct{}

	mu        sync.Mutex
	rng       *rand.Rand
	table     *route.Table
	upstreams *discovery.Registry
	// activeItem is the item of the configuration in force, storedVersion the
	// version of the one in the copy of the store, 0 for none.
	activeItem    mirror.Item
	storedVersion uint64
	shared        sharedQuarantine
	evacuations   evacuations

	// quarantineChanged triggers a check of whether the store lacks a quarantined
	// request.
	quarantineChanged chan struct{}
}

// New returns a Node; Run starts it.
func New(settings Settings, adapter Adapter, l log.Logger) *Node {
	seed := rand.Uint64()
	n := &Node{
		settings: settings, adapter: adapter, log: logs.WithPart(l, "node"), started: time.Now(), registry: gometrics.NewRegistry(),
		rng: rand.New(rand.NewPCG(seed, 2)), upstreams: discovery.New(), maintainNow: make(chan struct{}, 1),
		quarantineChanged: make(chan struct{}, 1), evacuations: evacuations{},
	}
	elapsed := elapsedClock(n.now)
	n.guard = panics.Guard{Log: n.log, Count: gometrics.GetOrRegisterCounter("panics_total", n.registry)}
	n.gateway = gateway.New(gateway.Options{
		DataCentre: settings.DataCentre, Address: settings.DataAddress, PeerAddress: settings.PeerAddress, Limits: gatewayLimits(settings), MemoryBytes: settings.MemoryBytes,
		MaxCallers: connlimit.MaxCallers(connlimit.Descriptors(settings.MaxDescriptors, n.log)), QueueOrder: settings.QueueOrder, Now: n.now, Elapsed: elapsed, Seed: seed,
	}, adapter.Protocol, logs.WithPart(l, "gateway"), n.registry)
	n.gateway.SetHooks(gateway.Hooks{
		UpstreamFailed: func(key uint64, weight float64) {
			n.fleet.Warn(fleet.Warning{Upstream: key, Weight: uint8(min(weight, 1) * warningWeightScale)})
		},
		UpstreamLeaving:   func(key uint64) { n.fleet.Warn(fleet.Warning{Upstream: key, Leaving: true}) },
		DataNeeded:        func() { n.fleet.RequestCopy() },
		CrashFound:        n.reportCrash,
		QuarantineChanged: func() { signal(n.quarantineChanged) },
		CopyAge:           func() time.Duration { return n.fleet.CopyAge() },
		AskTokens:         n.askTokens,
	})
	n.fleet = fleet.New(fleet.Options{
		Self: fleet.Info{
			Address: settings.PeerAddress, DataAddress: settings.DataAddress, DataCentre: settings.DataCentre, Region: settings.Region,
			Capacity: settings.Capacity, Incarnation: uint64(n.started.UnixMilli()),
		},
		FirstStart: settings.FirstStart, Seeds: settings.Seeds, DirectoryKey: adapter.Keys.Directory,
		MaxCopyAge:   time.Duration(maxCopyAgeShare * float64(settings.MaxChangeDelay)),
		MaxProvenAge: maxProvenAge(settings), WatchWait: watchWait(settings),
		Now: n.now, Elapsed: elapsed, Log: logs.WithPart(l, "fleet"),
		Guard: n.guard, Metrics: n.registry,
		OnStoreCall: func(outcome string) {
			gometrics.GetOrRegisterCounter("store_calls_total."+outcome, n.registry).Inc(1)
		},
	}, storeSource{adapter}, n)
	return n
}

const (
	// maxCopyAgeShare is the share of Settings.MaxChangeDelay at which an instance
	// whose copy no peer confirms reads the store; the rest is left for the read.
	maxCopyAgeShare = 0.8
	// maxProvenAgeShare is the share of Settings.KeyMaxAge at which an instance whose copy
	// is not proven complete reads the store. It is below that from which the instance is
	// not ready.
	maxProvenAgeShare = 0.5
	// proofDelay is the time in which what a hub has read is proven at all other
	// instances: two heartbeats and a margin.
	proofDelay = 2*fleet.HeartbeatInterval + 100*time.Millisecond
	// minWatchWait and maxWatchWait bound how long a hub's watch waits for changes.
	minWatchWait = 200 * time.Millisecond
	maxWatchWait = time.Second
)

// maxProvenAge returns the age of the copy from which an instance reads the store itself; 0
// if there is no limit.
func maxProvenAge(s Settings) time.Duration {
	return time.Duration(maxProvenAgeShare * float64(s.KeyMaxAge))
}

// watchWait returns how long the watch of a hub waits for changes, so that the copies of all
// instances are proven complete before they reach maxProvenAge; 0 stands for the default. A
// watch with changes proves what was true when it began, and the next one follows it.
func watchWait(s Settings) time.Duration {
	if s.KeyMaxAge == 0 {
		return 0
	}
	return min(maxWatchWait, max(minWatchWait, (maxProvenAge(s)-proofDelay)/2))
}

// storeSource implements fleet.Source for all keys of the store.
type storeSource struct{ adapter Adapter }

// allKeys is the prefix of all keys, so that a single watch reports every
// change.
const allKeys = ""

// ReadAll implements fleet.Source.
func (s storeSource) ReadAll(ctx context.Context) (mirror.Delta, error) {
	return s.adapter.Store.ReadAll(ctx, allKeys)
}

// ReadAllStale implements fleet.Source.
func (s storeSource) ReadAllStale(ctx context.Context) (mirror.Delta, error) {
	return s.adapter.Store.ReadAllStale(ctx, allKeys)
}

// ReadStale implements fleet.Source.
func (s storeSource) ReadStale(ctx context.Context, key string) ([]byte, error) {
	v, err := s.adapter.Store.GetStale(ctx, key)
	return v.Data, err
}

// Watch implements fleet.Source.
func (s storeSource) Watch(ctx context.Context, after store.Revision, wait time.Duration) (mirror.Delta, error) {
	return s.adapter.Store.Changes(ctx, allKeys, after, wait)
}

// Write implements fleet.Source.
func (s storeSource) Write(ctx context.Context, key string, value []byte, expect store.Revision) error {
	_, err := s.adapter.Store.Put(ctx, key, value, int64(expect), 0)
	return err
}

func (n *Node) now() time.Duration { return time.Since(n.started) }

// Run serves on lns until ctx is done. It then drains the gateway before it ends
// the fleet, the maintenance loop and the metrics endpoint. It closes lns.
func (n *Node) Run(ctx context.Context, lns *Listeners) error {
	level.Info(n.log).Log("msg", "start", "id", n.settings.ID, "data_centre", n.settings.DataCentre, "address", n.settings.DataAddress,
		"peer_address", n.settings.PeerAddress, "seeds", strings.Join(n.settings.Seeds, ","), "store", n.settings.StoreAddress)
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, runCtx := errgroup.WithContext(runCtx)
	g.Go(func() error {
		defer cancel()
		return n.gateway.Run(ctx, lns.gateway, n.settings.GracePeriod)
	})
	g.Go(func() error { return n.fleet.Run(runCtx, lns.peers) })
	g.Go(func() error { return n.maintain(ctx, runCtx) })
	g.Go(func() error { return n.storeQuarantine(runCtx) })
	g.Go(func() error { <-runCtx.Done(); return lns.metrics.Close() })
	g.Go(func() error {
		ln := connlimit.NewListener(lns.metrics, "metrics", nil, n.log, n.registry)
		if err := metrics.ServeText(ln, n.registry); runCtx.Err() == nil {
			return err
		}
		return nil
	})
	err := g.Wait()
	level.Info(n.log).Log("msg", "stop", "id", n.settings.ID, "uptime", n.now(), "err", err)
	return err
}

// Reload applies changed seeds, retry and probe budgets and the maximum lookup
// TTL. The data centre and the addresses of callers, lookups, readiness checks,
// peers and the store can't change while the process runs; Reload returns the
// names of those that differ.
func (n *Node) Reload(settings Settings) (ignored []string) {
	for _, f := range []struct{ name, now, next string }{
		{"data address", n.settings.DataAddress, settings.DataAddress},
		{"ready address", n.settings.ReadyAddress, settings.ReadyAddress},
		{"lookup address", n.settings.LookupAddress, settings.LookupAddress},
		{"peer address", n.settings.PeerAddress, settings.PeerAddress},
		{"store address", n.settings.StoreAddress, settings.StoreAddress},
		{"data centre", n.settings.DataCentre, settings.DataCentre},
	} {
		if f.now != f.next {
			ignored = append(ignored, f.name)
		}
	}
	n.fleet.AddSeeds(settings.Seeds)
	n.gateway.SetLimits(gatewayLimits(settings))
	return ignored
}

// gatewayLimits returns the gateway's settings that can change at run time.
func gatewayLimits(settings Settings) gateway.Limits {
	return gateway.Limits{
		RetryBudget:       gateway.RetryBudgetOptions{Share: settings.RetryShare, Allowance: settings.RetryAllowance, Window: settings.RetryWindow},
		ProbesPerUpstream: settings.ProbesPerUpstream, MaxLookupTTL: settings.MaxLookupTTL,
		KeyMaxAge: settings.KeyMaxAge, CustomerQuota: settings.CustomerQuota, ColdLimit: settings.ColdLimit,
	}
}

// ItemsChanged implements fleet.Listener.
func (n *Node) ItemsChanged(now time.Duration, items []mirror.Item, source string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var changes upstreamChanges
	for _, it := range items {
		// A panic, such as in a decoder, loses this item only; it is logged.
		_ = n.guard.Run("store item "+it.Key, func() {
			switch {
			case it.Key == n.adapter.Keys.Configuration:
				n.applyConfiguration(it, source)
			case it.Key == n.adapter.Keys.Quarantine:
				n.applyQuarantine(it, source)
			case strings.HasPrefix(it.Key, n.adapter.Keys.UpstreamPrefix):
				changes.count(n.applyUpstream(now, it, source), it.Revision)
			case isEvacuation(n.adapter.Keys.EvacuationPrefix, it.Key):
				n.applyEvacuation(it)
			}
		})
	}
	changes.log(n.log, source)
	n.recordEvacuations(source)
	n.publish()
}

// applyUpstream applies a changed or deleted upstream entry and returns the effect.
// An entry that can't be decoded counts as deleted.
func (n *Node) applyUpstream(now time.Duration, it mirror.Item, source string) discovery.Change {
	id := n.adapter.UpstreamID(it.Key)
	var change discovery.Change
	state := "removed"
	if it.Deleted {
		change = n.upstreams.Remove(now, id)
	} else {
		u, err := n.adapter.DecodeUpstream(it.Key, it.Value, now)
		if err != nil {
			gometrics.GetOrRegisterCounter("malformed_total.upstream", n.registry).Inc(1)
			level.Warn(n.log).Log("msg", "malformed upstream entry", "key", it.Key, "revision", it.Revision, "source", source, "err", err)
			change = n.upstreams.Remove(now, id)
		} else {
			u.Revision = it.Revision
			state = u.Service + " " + u.Address
			change = n.upstreams.Put(u)
		}
	}
	if change != discovery.Updated && source == fleet.SourceStore {
		level.Info(n.log).Log("msg", "upstream changed", "upstream", id, "change", change, "entry", state, "revision", it.Revision, "source", source)
	}
	return change
}

// publish passes the current routes and usable upstreams to the gateway. If the
// gateway was not ready before, it triggers maintain, so that the fleet learns of
// the readiness without waiting for the next tick.
func (n *Node) publish() {
	if n.table == nil {
		return
	}
	first := !n.gateway.Ready()
	n.gateway.SetRoutes(n.table, n.upstreams.Usable(), n.upstreams.Evacuations()...)
	if first {
		signal(n.maintainNow)
	}
}

// signal wakes the goroutine that waits on ch, which holds one signal.
func signal(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default: // already signalled
	}
}

// StoreRecovered implements fleet.Listener.
func (n *Node) StoreRecovered(now time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.upstreams.StoreRecovered(now)
}

// warningWeightScale converts between requests and the hundredths of a request
// that fleet.Warning.Weight holds.
const warningWeightScale = 100

// WarningReceived implements fleet.Listener.
func (n *Node) WarningReceived(_ time.Duration, w fleet.Warning) {
	if w.Leaving {
		n.gateway.RecordRemoteLeaving(w.Upstream)
		return
	}
	n.gateway.RecordRemoteFailure(w.Upstream, float64(w.Weight)/warningWeightScale)
}

// MembersChanged implements fleet.Listener.
func (n *Node) MembersChanged(_ time.Duration, v fleet.View) {
	level.Info(n.log).Log("msg", "members changed", "live", v.Live(), "usable", len(v.Usable))
	n.gateway.SetFleet(gateway.Fleet{Usable: gatewayInstances(v.Usable), Unready: gatewayInstances(v.Unready), Live: v.LiveIn, Allocators: v.Allocators, Stored: v.Stored})
}

// gatewayInstances converts instances of the fleet to those of the gateway.
func gatewayInstances(list []fleet.Instance) []gateway.Instance {
	out := make([]gateway.Instance, len(list))
	for i, in := range list {
		out[i] = gateway.Instance{Address: in.DataAddress, DataCentre: in.DataCentre}
	}
	return out
}
