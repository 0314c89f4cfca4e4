package config_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/store/storetest"
)

// commit is an accepted revision, as the oracle saw the store take it.
type commit struct {
	plan, digest string
	by           string // process that wrote it
}

// request is a plan, a confirm or a read of the head that runs in steps.
type request struct {
	*storetest.Process
	plan    string // confirmed; empty for others
	doubted bool   // the answer of a head write was lost
	settle  func()
}

// machine runs agents on one store, stopped and failed at any call, beside an
// oracle: the list of revisions that the store took.
type machine struct {
	store    *storetest.Store
	now      time.Time
	requests []*request
	started  int
	keepers  [4]config.Keeper
	floor    [4]uint64 // revision that a keeper has reached
	bases    map[string]uint64
	plans    []string
	accepted []commit
	refused  map[string]error // by process: told that it put nothing in force
	stale    map[string]bool  // by plan
	broken   error
}

func newMachine() *machine {
	m := &machine{now: time.Unix(0, 0), bases: map[string]uint64{}, refused: map[string]error{}, stale: map[string]bool{}}
	m.store = storetest.NewStore(func() time.Time { return m.now }, m.onWrite)
	return m
}

func (m *machine) fail(format string, args ...any) {
	if m.broken == nil {
		m.broken = fmt.Errorf(format, args...)
	}
}

// onWrite is the oracle: the head moves by one revision, from the base of an
// accepted plan.
func (m *machine) onWrite(w storetest.Write) {
	if w.Key != config.HeadKey {
		return
	}
	h, err := config.DecodeHead(w.Value.Data)
	if err != nil {
		m.fail("head written by %s: %v", w.User, err)
		return
	}
	if h.Revision != uint64(len(m.accepted))+1 || m.bases[h.PlanID] != h.Revision-1 {
		m.fail("%s moved revision %d to %d by plan %s on %d", w.User, len(m.accepted), h.Revision, h.PlanID, m.bases[h.PlanID])
	}
	if err := m.refused[w.User]; err != nil {
		m.fail("%s was told %q, then moved the head to %d", w.User, err, h.Revision)
	}
	m.accepted = append(m.accepted, commit{plan: h.PlanID, digest: h.Digest, by: w.User})
}

func (m *machine) start(plan string, f func(*config.Committer) func()) {
	m.started++
	r := &request{plan: plan}
	r.Process = m.store.Go(fmt.Sprintf("process-%d", m.started), func(c *storetest.Client) {
		r.settle = f(config.NewCommitter(c, config.WithClock(func() time.Time { return m.now })))
	})
	m.requests = append(m.requests, r)
}

func (m *machine) startPlan(doc *config.Document) {
	m.start("", func(c *config.Committer) func() {
		p, err := c.Plan(context.Background(), doc)
		return func() { m.planned(p, err) }
	})
}

func (m *machine) startIntent(in config.Intent) {
	m.start("", func(c *config.Committer) func() {
		p, err := c.PlanIntent(context.Background(), &in)
		return func() { m.planned(p, err) }
	})
}

func (m *machine) planned(p *config.Plan, err error) {
	if err != nil {
		return
	}
	if base, ok := m.bases[p.ID]; ok && base != p.Base || p.Base > uint64(len(m.accepted)) {
		m.fail("plan %s on %d, before on %d", p.ID, p.Base, base)
	}
	m.plans = append(m.plans, p.ID)
	m.bases[p.ID] = p.Base
}

func (m *machine) startConfirm(id string) {
	name := fmt.Sprintf("process-%d", m.started+1)
	m.start(id, func(c *config.Committer) func() {
		a, err := c.Confirm(context.Background(), id)
		return func() { m.confirmed(name, id, a, err) }
	})
}

// confirmed checks what a confirm was told against what the store took.
func (m *machine) confirmed(name, id string, a config.Accepted, err error) {
	var stale *config.StaleError
	var indefinite *config.IndefiniteError
	switch {
	case err == nil:
		if a.Revision == 0 || a.Revision > uint64(len(m.accepted)) || m.accepted[a.Revision-1].plan != id {
			m.fail("%s was told that %s is revision %d", name, id, a.Revision)
		}
		return
	case errors.As(err, &indefinite):
		if !m.request(name).doubted {
			m.fail("%s was told %q without a lost answer", name, err)
		}
		return
	case errors.As(err, &stale):
		m.stale[id] = true
	}
	m.refused[name] = err
	for _, c := range m.accepted {
		if c.by == name {
			m.fail("%s was told %q, and had moved the head", name, err)
		}
	}
}

func (m *machine) request(name string) *request {
	for _, r := range m.requests {
		if r.Name() == name {
			return r
		}
	}
	return &request{}
}

func (m *machine) startRead(k int) {
	m.start("", func(c *config.Committer) func() {
		h, _, err := c.Head(context.Background())
		return func() {
			if err == nil {
				m.offer(k, h)
			}
		}
	})
}

func (m *machine) offer(k int, h config.Head) {
	_, _ = m.keepers[k].Offer(h) // check judges what it holds
}

// step lets request i make its next call.
func (m *machine) step(i int, f storetest.Fault) {
	r := m.requests[i]
	lost := f == storetest.LostCall || f == storetest.LostAnswer || f == storetest.Late
	if c := r.Next(); lost && c.Op == storetest.Put && c.Key == config.HeadKey {
		r.doubted = true
	}
	r.Step(f)
	m.reap(i)
}

// reap settles request i if it has ended.
func (m *machine) reap(i int) {
	r := m.requests[i]
	if !r.Done() {
		return
	}
	if r.settle != nil {
		r.settle()
	}
	m.requests = append(m.requests[:i], m.requests[i+1:]...)
}

func (m *machine) kill(i int) {
	m.requests[i].Kill()
	m.requests = append(m.requests[:i], m.requests[i+1:]...)
}

func (m *machine) run(i int) {
	for n := len(m.requests); n == len(m.requests); {
		m.step(i, storetest.None)
	}
}

// heal lets everything that is under way end without faults.
func (m *machine) heal() {
	for m.store.LateWrites() > 0 {
		m.store.Release(0)
	}
	for len(m.requests) > 0 {
		m.run(0)
	}
}

// check holds at all times.
func (m *machine) check(t *rapid.T) {
	if m.broken != nil {
		t.Fatal(m.broken)
	}
	seen := map[string]bool{}
	for _, c := range m.accepted {
		if seen[c.plan] || m.stale[c.plan] {
			t.Fatalf("plan %s accepted twice or after it was told as stale", c.plan)
		}
		seen[c.plan] = true
	}
	for i := range m.keepers {
		v := m.keepers[i].Version()
		if v.Revision < m.floor[i] {
			t.Fatalf("keeper %d went from revision %d to %d", i, m.floor[i], v.Revision)
		}
		m.floor[i] = v.Revision
		if v.Revision > 0 && (v.Revision > uint64(len(m.accepted)) || m.accepted[v.Revision-1].digest != v.Digest) {
			t.Fatalf("keeper %d holds revision %d, which was never accepted", i, v.Revision)
		}
	}
}

// converge checks that every instance that reaches the store or a peer comes
// to hold the newest accepted revision.
func (m *machine) converge(t *rapid.T) {
	m.heal()
	m.startRead(0)
	m.run(0)
	for i := range m.keepers {
		m.offer(i, m.keepers[0].Head())
	}
	m.check(t)
	for i := range m.keepers {
		if v := m.keepers[i].Version(); v.Revision != uint64(len(m.accepted)) {
			t.Fatalf("keeper %d holds revision %d of %d", i, v.Revision, len(m.accepted))
		}
	}
}

var faults = []storetest.Fault{
	storetest.None, storetest.None, storetest.None, storetest.None,
	storetest.Down, storetest.LostCall, storetest.LostAnswer, storetest.Late, storetest.StaleRead,
}

func (m *machine) actions() map[string]func(*rapid.T) {
	pick := func(t *rapid.T, n int) int {
		if n == 0 {
			t.Skip("none")
		}
		return rapid.IntRange(0, n-1).Draw(t, "which")
	}
	request := func(t *rapid.T) int { return pick(t, len(m.requests)) }
	return map[string]func(*rapid.T){
		"":     m.check,
		"plan": func(t *rapid.T) { m.startPlan(document(rapid.IntRange(1, 4).Draw(t, "document"))) },
		"plan whole": func(t *rapid.T) {
			m.startPlan(document(rapid.IntRange(1, 4).Draw(t, "document")))
			m.run(len(m.requests) - 1)
		},
		"drain": func(t *rapid.T) { m.startIntent(config.Intent{Drain: []string{"stockview-1"}}) },
		"confirm": func(t *rapid.T) {
			m.startConfirm(m.plans[pick(t, len(m.plans))])
		},
		"confirm newest": func(t *rapid.T) {
			if len(m.plans) == 0 {
				t.Skip("none")
			}
			m.startConfirm(m.plans[len(m.plans)-1])
		},
		"read": func(t *rapid.T) { m.startRead(rapid.IntRange(0, len(m.keepers)-1).Draw(t, "keeper")) },
		"step": func(t *rapid.T) { m.step(request(t), rapid.SampledFrom(faults).Draw(t, "fault")) },
		"run":  func(t *rapid.T) { m.run(request(t)) },
		"storm": func(t *rapid.T) {
			for i, n := request(t), len(m.requests); n == len(m.requests); {
				m.step(i, rapid.SampledFrom(faults).Draw(t, "fault"))
			}
		},
		"kill": func(t *rapid.T) { m.kill(request(t)) },
		"late": func(t *rapid.T) { m.store.Release(pick(t, m.store.LateWrites())) },
		"gossip": func(t *rapid.T) {
			from, to := rapid.IntRange(0, 3).Draw(t, "from"), rapid.IntRange(0, 3).Draw(t, "to")
			m.offer(to, damaged(t, m.keepers[from].Head()))
		},
		"replace": func(t *rapid.T) {
			i := rapid.IntRange(0, 3).Draw(t, "keeper")
			m.keepers[i], m.floor[i] = config.Keeper{}, 0
		},
		"advance": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 1, 1, 1, 61}).Draw(t, "minutes")) * time.Minute)
		},
	}
}

// damaged returns h whole, cut short or under another revision.
func damaged(t *rapid.T, h config.Head) config.Head {
	switch rapid.IntRange(0, 3).Draw(t, "damage") {
	case 1:
		h.Document = h.Document[:len(h.Document)/2]
	case 2:
		h.Revision += 10
	}
	return h
}

// An accepted configuration stands for ever and never reverts, whatever
// happens to the store, the agents and the peers between any two calls.
func TestAcceptedConfigurationStands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		defer func() {
			for len(m.requests) > 0 {
				m.kill(0)
			}
		}()
		t.Repeat(m.actions())
		m.converge(t)
	})
}
