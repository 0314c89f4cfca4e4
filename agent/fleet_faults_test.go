package agent

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/membership"
	"github.com/catkinrouter/catkinrouter/standin"
	"github.com/catkinrouter/catkinrouter/store"
	"github.com/catkinrouter/catkinrouter/store/storetest"
)

const (
	// dropLimit is the documented time within which every view drops a dead
	// instance: membership.SilenceLimit, plus time for pauses too short to be
	// detected, the delay of relayed heartbeats, and a sync with the entry.
	dropLimit = membership.SilenceLimit + 4*time.Second
	// convergenceLimit is the documented time within which views converge once
	// the network and the instances are healthy.
	convergenceLimit = 30 * time.Second
	// activationLimit is the target time within which a confirmed configuration
	// is active at all entries.
	activationLimit = 8 * time.Second
)

// faultMachine applies random faults to a fleet, and holds what the checks need.
type faultMachine struct {
	f *fleet
	// diedAt maps the incarnation of each dead entry to its time of death.
	diedAt map[uint64]time.Duration
	// cutLinks holds the cut directions, from one host ID to another.
	cutLinks   map[[2]string]bool
	regionsCut bool // whether the regions are cut from each other
}

func newFaultMachine(t *rapid.T) *faultMachine {
	m := &faultMachine{
		f:      newFleet(rapid.IntRange(3, 8).Draw(t, "instances"), rapid.Uint64().Draw(t, "seed")),
		diedAt: map[uint64]time.Duration{}, cutLinks: map[[2]string]bool{},
	}
	m.f.partitioned = func(from, to *host) bool {
		return m.regionsCut && from.region != to.region || m.cutLinks[[2]string{from.id, to.id}]
	}
	m.f.advance(15 * time.Second)
	return m
}

// pick draws one of the hosts for which ok returns true. It skips the action if
// there is none.
func (m *faultMachine) pick(t *rapid.T, ok func(h *host) bool) *host {
	var candidates []*host
	for _, h := range m.f.hosts {
		if ok(h) {
			candidates = append(candidates, h)
		}
	}
	if len(candidates) == 0 {
		t.Skip("no such instance")
	}
	return rapid.SampledFrom(candidates).Draw(t, "instance")
}

func running(h *host) bool { return !h.down && !h.paused }

// markDead records the death of the current run of h's entry.
func (m *faultMachine) markDead(h *host) { m.diedAt[h.entry.incarnation] = m.f.Now }

func (m *faultMachine) actions() map[string]func(*rapid.T) {
	f := m.f
	return map[string]func(*rapid.T){
		"pass": func(t *rapid.T) { f.advance(time.Duration(rapid.IntRange(1, 20000).Draw(t, "ms")) * time.Millisecond) },
		"kill": func(t *rapid.T) {
			h := m.pick(t, running)
			m.markDead(h)
			h.kill()
		},
		"restart": func(t *rapid.T) {
			f.advance(time.Millisecond)
			m.pick(t, func(h *host) bool { return h.down }).start()
		},
		"pause":  func(t *rapid.T) { m.pick(t, running).pause() },
		"resume": func(t *rapid.T) { m.pick(t, func(h *host) bool { return h.paused }).resume() },
		"restart entry": func(t *rapid.T) {
			h := m.pick(t, running)
			m.markDead(h)
			h.startEntry()
		},
		"network": func(t *rapid.T) {
			f.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
			f.duplication = rapid.Float64Range(0, 0.3).Draw(t, "dup")
			f.delay = time.Duration(rapid.IntRange(1, 400).Draw(t, "delay ms")) * time.Millisecond
		},
		"one way": func(t *rapid.T) {
			a, b := m.pick(t, running), m.pick(t, running)
			m.cutLinks[[2]string{a.id, b.id}] = true
		},
		"cut regions": func(t *rapid.T) { m.regionsCut = true },
		"heal": func(t *rapid.T) {
			m.regionsCut = false
			clear(m.cutLinks)
		},
		"store": func(t *rapid.T) { f.storeDown = rapid.Bool().Draw(t, "down") },
		"slow store": func(t *rapid.T) {
			f.storeDelay = time.Duration(rapid.IntRange(0, 10).Draw(t, "wait s")) * time.Second
		},
		"confirm": func(t *rapid.T) { m.confirm(t) },
		"list":    func(t *rapid.T) { m.wrongList(t) },
	}
}

// confirm accepts a revision in the store. The agent that wrote it either learns
// the result, or does not, as if it died right after the write.
func (m *faultMachine) confirm(t *rapid.T) {
	if m.f.storeDown {
		t.Skip("store down")
	}
	var by *host
	if rapid.Bool().Draw(t, "answered") {
		by = m.pick(t, running)
	}
	m.f.confirm(by)
}

// wrongList omits instances from the list, duplicates them and sets Leaving at
// random.
func (m *faultMachine) wrongList(t *rapid.T) {
	m.f.list = nil
	for _, h := range m.f.hosts {
		for range rapid.IntRange(0, 2).Draw(t, "times") {
			m.f.list = append(m.f.list, store.Instance{
				ID: h.id, Address: h.address, Region: h.region, Leaving: rapid.Bool().Draw(t, "leaving"),
			})
		}
	}
}

// check verifies the invariants that hold at all times, also during faults.
func (m *faultMachine) check(t *rapid.T) {
	for _, h := range m.f.hosts {
		if len(h.violations) > 0 {
			t.Fatal(h.violations)
		}
		if h.down || h.paused {
			continue
		}
		if h.entry.revision > m.f.head.Revision {
			t.Fatalf("%s: revision %d active, %d accepted", h.id, h.entry.revision, m.f.head.Revision)
		}
		m.checkDeadAreRemoved(t, h)
	}
}

// checkDeadAreRemoved verifies that lookups at h's entry return no entry that has
// been dead for longer than dropLimit.
func (m *faultMachine) checkDeadAreRemoved(t *rapid.T, h *host) {
	for _, o := range h.entry.state.Members {
		since, dead := m.diedAt[o.Incarnation]
		// For a host that was paused or restarted, the limit counts from then.
		if limit := max(since, h.resumed, h.started) + dropLimit; dead && !o.Leaving && m.f.Now > limit && o.ID != h.id {
			t.Fatalf("%s advertises %s, dead for %v", h.id, o.ID, m.f.Now-since)
		}
	}
}

// healAndCheck ends all faults, leaving dead instances dead, and verifies that the
// accepted configuration becomes active everywhere and the views converge.
func (m *faultMachine) healAndCheck(t *rapid.T) {
	f := m.f
	f.loss, f.duplication, f.delay, f.storeDown, f.storeDelay, m.regionsCut = 0, 0, 5*time.Millisecond, false, 0, false
	clear(m.cutLinks)
	for _, h := range f.hosts {
		if h.paused {
			h.resume()
		}
	}
	alive := slices.DeleteFunc(slices.Clone(f.hosts), func(h *host) bool { return h.down })
	if len(alive) == 0 {
		return
	}
	if _, ok := f.advanceUntil(activationLimit, func() bool { return revisionActive(alive, f.head.Revision) }); !ok {
		t.Fatalf("revision %d not active at all entries within %v", f.head.Revision, activationLimit)
	}
	if f.head.Revision == 0 {
		f.confirm(nil)
	}
	for i := range f.hosts {
		f.list = append(f.list, store.Instance{ID: f.hosts[i].id, Address: f.hosts[i].address, Region: f.hosts[i].region})
	}
	if _, ok := f.advanceUntil(convergenceLimit, func() bool { return viewsConverged(alive) }); !ok {
		t.Fatal("views do not converge")
	}
	m.check(t)
}

// Guards against reverts of the active configuration and dead instances that stay
// in views, under random faults of instances, network, store and list. After the
// faults end, the views must converge and the accepted configuration must become
// active.
func TestFleetUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFaultMachine(t)
		actions := m.actions()
		actions[""] = m.check
		t.Repeat(actions)
		m.healAndCheck(t)
	})
}

// Two regions are partitioned for an hour, one of them also from the store. That
// one must keep its configuration and drop the other region. After the partition
// the views must converge and the newest configuration must become active in both.
func TestRegionsPartitionedForAnHour(t *testing.T) {
	f := newFleet(8, 1)
	first := f.confirm(nil)
	if _, ok := f.advanceUntil(convergenceLimit, func() bool { return viewsConverged(f.hosts) }); !ok {
		t.Fatal("views do not converge at the start")
	}
	inAddis := func(h *host) bool { return h.region == "addis" }
	f.partitioned = func(from, to *host) bool { return from.region != to.region }
	f.storePartitioned = inAddis
	f.advance(dropLimit)
	f.confirm(f.hosts[0])
	f.advance(time.Hour)
	near, far := f.regions()
	switch {
	case !revisionActive(near, f.head.Revision):
		t.Error("not active in the region with the store")
	case !viewsConverged(near) || !viewsConverged(far):
		t.Error("views differ within a region")
	}
	for _, h := range far {
		switch {
		case h.entry.revision != first.Revision:
			t.Errorf("%s: revision %d during the partition", h.id, h.entry.revision)
		case h.advertises(near[0]):
			t.Errorf("%s advertises an unreachable instance", h.id)
		case h.node.Status(h.now()).StoreReachable:
			t.Errorf("%s reports that the store is reachable", h.id)
		}
	}
	f.partitioned = func(_, _ *host) bool { return false }
	took, ok := f.advanceUntil(convergenceLimit, func() bool { return viewsConverged(f.hosts) && revisionActive(f.hosts, f.head.Revision) })
	if !ok {
		t.Fatal("views do not converge after the partition")
	}
	t.Logf("views converged and the configuration was active %v after the partition", took)
}

// regions returns the hosts in the region of the first host, and the others.
func (f *fleet) regions() (near, far []*host) {
	for _, h := range f.hosts {
		if h.region == f.hosts[0].region {
			near = append(near, h)
		} else {
			far = append(far, h)
		}
	}
	return near, far
}

// An instance that restarts while the store is down must get the highest revision
// from its peers, and be advertised after that.
func TestFreshInstanceWithStoreDown(t *testing.T) {
	f := newFleet(8, 1)
	f.confirm(nil)
	f.advanceUntil(convergenceLimit, func() bool { return viewsConverged(f.hosts) })
	f.confirm(f.hosts[0]) // the store goes down right after this write
	f.storeDown = true
	h := f.hosts[5]
	h.kill()
	f.advance(time.Second)
	h.start()
	took, ok := f.advanceUntil(activationLimit, func() bool { return revisionActive(f.hosts, f.head.Revision) })
	if !ok {
		t.Fatal("not active at all entries")
	}
	t.Logf("active after %v", took)
	if _, ok := f.advanceUntil(convergenceLimit, func() bool { return viewsConverged(f.hosts) }); !ok {
		t.Fatal("the restarted instance is not advertised")
	}
}

// Two operators confirm plans with the same base while a region is partitioned
// from the other and from the store. Exactly one plan must be accepted. It must
// become active in the region with the store during the partition, and in the
// other one after it.
func TestConcurrentConfirmsDuringRegionPartition(t *testing.T) {
	f := newFleet(8, 1)
	store := storetest.NewStore(func() time.Time { return time.Unix(0, int64(f.Now)) }, nil)
	first := f.confirmConcurrently(t, store, 1)
	if _, ok := f.advanceUntil(convergenceLimit, func() bool { return viewsConverged(f.hosts) && revisionActive(f.hosts, first.Revision) }); !ok {
		t.Fatal("views do not converge at the start")
	}
	f.partitioned = func(from, to *host) bool { return from.region != to.region }
	f.storePartitioned = func(h *host) bool { return h.region == "addis" }
	second := f.confirmConcurrently(t, store, 2)
	near, far := f.regions()
	if _, ok := f.advanceUntil(activationLimit, func() bool { return revisionActive(near, second.Revision) }); !ok {
		t.Error("not active in the region with the store")
	}
	for _, h := range far {
		if h.entry.revision != first.Revision {
			t.Errorf("%s: revision %d during the partition", h.id, h.entry.revision)
		}
	}
	f.partitioned, f.storePartitioned = func(_, _ *host) bool { return false }, func(*host) bool { return false }
	if _, ok := f.advanceUntil(activationLimit, func() bool { return revisionActive(f.hosts, second.Revision) }); !ok {
		t.Error("not active at all entries after the partition")
	}
	for _, h := range f.hosts {
		if h.node.Head().Digest != second.Digest || len(h.violations) > 0 {
			t.Errorf("%s holds %s, accepted is %s; %v", h.id, h.node.Head().Digest, second.Digest, h.violations)
		}
	}
}

// confirmConcurrently lets operators at the first and the third instance plan on
// the same base and confirm both plans. It fails unless exactly one is accepted,
// and returns the resulting head.
func (f *fleet) confirmConcurrently(t *testing.T, store *storetest.Store, n int) config.Head {
	t.Helper()
	ctx := context.Background()
	var plans []*config.Plan
	committers := []*config.Committer{config.NewCommitter(store.Client("a", nil)), config.NewCommitter(store.Client("b", nil))}
	for i, c := range committers {
		p, err := c.Plan(ctx, validDocument(fmt.Sprintf("site-%d-%d", n, i)))
		if err != nil {
			t.Fatal(err)
		}
		plans = append(plans, p)
	}
	accepted := 0
	for i, c := range committers {
		a, err := c.Confirm(ctx, plans[i].ID)
		if err != nil {
			continue
		}
		accepted++
		f.head = a.Head
		f.headKeyRevision++
		h := f.hosts[2*i]
		h.perform(h.node.Accept(h.now(), a.Head))
	}
	if accepted != 1 {
		t.Fatalf("%d of 2 plans with the same base were accepted", accepted)
	}
	return f.head
}

func validDocument(site string) *config.Document {
	s := standin.Settings{
		Site: site, MaxEntries: 19, DataCentres: []config.DataCentre{{Name: "bole", Region: "addis"}},
		Lookup: config.Lookup{Lifetime: config.Duration(10 * time.Second), Addresses: 3},
		Services: []standin.ServiceSettings{{
			Name: "stockview", FirstAddress: "127.0.0.1:9000", Count: 2, Slots: 3, Connections: 250, DataCentres: []string{"bole"},
		}},
	}
	d := s.Document()
	return &d
}
