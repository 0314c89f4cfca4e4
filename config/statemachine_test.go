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

// acceptedRevision is a revision of the head that took effect in the store.
type acceptedRevision struct {
	plan, digest string
	writer       string // process that wrote it
}

// request is a plan, a confirm or a read of the head that runs one store call
// at a time.
type request struct {
	*storetest.Process
	plan        string // plan to confirm, empty for other requests
	unanswered  bool   // a write of the head got no answer
	checkResult func() // checks the result after the request has ended
}

// stateMachine runs requests of agents on one store, with a fault or a crash
// at any store call. It compares their results with the revisions of the head
// that took effect in the store.
type stateMachine struct {
	store        *storetest.Store
	now          time.Time
	requests     []*request
	started      int
	replicas     [4]config.Replica
	lastRevision [4]uint64         // revision of each replica at the last check
	bases        map[string]uint64 // by plan
	plans        []string
	accepted     []acceptedRevision
	refused      map[string]error // by process: confirms that returned "put nothing in force"
	stale        map[string]bool  // by plan: confirms that returned a StaleError
	violation    error            // first violation of an invariant
}

func newStateMachine() *stateMachine {
	m := &stateMachine{now: time.Unix(0, 0), bases: map[string]uint64{}, refused: map[string]error{}, stale: map[string]bool{}}
	m.store = storetest.NewStore(func() time.Time { return m.now }, m.onWrite)
	return m
}

func (m *stateMachine) recordViolation(format string, args ...any) {
	if m.violation == nil {
		m.violation = fmt.Errorf(format, args...)
	}
}

// onWrite checks each write of the head that takes effect: the revision must
// rise by one, from the base of the plan, and the writer must not have
// returned an error that excludes the write.
func (m *stateMachine) onWrite(w storetest.Write) {
	if w.Key != config.HeadKey {
		return
	}
	h, err := config.DecodeHead(w.Value.Data)
	if err != nil {
		m.recordViolation("%s wrote an invalid head: %v", w.User, err)
		return
	}
	if h.Revision != uint64(len(m.accepted))+1 || m.bases[h.PlanID] != h.Revision-1 {
		m.recordViolation("%s advanced revision %d to %d with plan %s on base %d", w.User, len(m.accepted), h.Revision, h.PlanID, m.bases[h.PlanID])
	}
	if err := m.refused[w.User]; err != nil {
		m.recordViolation("confirm of %s failed with %q, then advanced the head to %d", w.User, err, h.Revision)
	}
	m.accepted = append(m.accepted, acceptedRevision{plan: h.PlanID, digest: h.Digest, writer: w.User})
}

// start starts a request that runs f. The function that f returns checks the
// request's result.
func (m *stateMachine) start(plan string, f func(*config.Committer) func()) {
	m.started++
	r := &request{plan: plan}
	r.Process = m.store.Go(fmt.Sprintf("process-%d", m.started), func(c *storetest.Client) {
		r.checkResult = f(config.NewCommitter(c, config.WithClock(func() time.Time { return m.now })))
	})
	m.requests = append(m.requests, r)
}

func (m *stateMachine) startPlan(doc *config.Document) {
	m.start("", func(c *config.Committer) func() {
		p, err := c.Plan(context.Background(), doc)
		return func() { m.checkPlan(p, err) }
	})
}

func (m *stateMachine) startIntent(in config.Intent) {
	m.start("", func(c *config.Committer) func() {
		p, err := c.PlanIntent(context.Background(), &in)
		return func() { m.checkPlan(p, err) }
	})
}

// checkPlan checks that the plan's base is an accepted revision or 0, and that
// plans with the same ID have the same base.
func (m *stateMachine) checkPlan(p *config.Plan, err error) {
	if err != nil {
		return
	}
	if base, ok := m.bases[p.ID]; ok && base != p.Base || p.Base > uint64(len(m.accepted)) {
		m.recordViolation("plan %s has base %d, earlier base %d", p.ID, p.Base, base)
	}
	m.plans = append(m.plans, p.ID)
	m.bases[p.ID] = p.Base
}

func (m *stateMachine) startConfirm(id string) {
	name := fmt.Sprintf("process-%d", m.started+1)
	m.start(id, func(c *config.Committer) func() {
		a, err := c.Confirm(context.Background(), id)
		return func() { m.checkConfirm(name, id, a, err) }
	})
}

// checkConfirm compares the result of a confirm with the accepted revisions.
func (m *stateMachine) checkConfirm(name, id string, a config.Accepted, err error) {
	var stale *config.StaleError
	var indefinite *config.IndefiniteError
	switch {
	case err == nil:
		if a.Revision == 0 || a.Revision > uint64(len(m.accepted)) || m.accepted[a.Revision-1].plan != id {
			m.recordViolation("confirm of %s returned plan %s as revision %d, which it is not", name, id, a.Revision)
		}
		return
	case errors.As(err, &indefinite):
		if !m.request(name).unanswered {
			m.recordViolation("confirm of %s returned %q although every write was answered", name, err)
		}
		return
	case errors.As(err, &stale):
		m.stale[id] = true
	}
	m.refused[name] = err
	for _, rev := range m.accepted {
		if rev.writer == name {
			m.recordViolation("confirm of %s returned %q after it advanced the head", name, err)
		}
	}
}

func (m *stateMachine) request(name string) *request {
	for _, r := range m.requests {
		if r.Name() == name {
			return r
		}
	}
	return &request{}
}

func (m *stateMachine) startRead(k int) {
	m.start("", func(c *config.Committer) func() {
		h, _, err := c.Head(context.Background())
		return func() {
			if err == nil {
				m.offer(k, h)
			}
		}
	})
}

func (m *stateMachine) offer(k int, h config.Head) {
	_, _ = m.replicas[k].Offer(h) // check verifies the replica's state
}

// step makes the next store call of request i, with fault f.
func (m *stateMachine) step(i int, f storetest.Fault) {
	r := m.requests[i]
	noAnswer := f == storetest.LostRequest || f == storetest.LostResponse || f == storetest.DelayedWrite
	if c := r.Next(); noAnswer && c.Op == storetest.Put && c.Key == config.HeadKey {
		r.unanswered = true
	}
	r.Step(f)
	m.finishIfDone(i)
}

// finishIfDone checks the result of request i and removes it, if it has ended.
func (m *stateMachine) finishIfDone(i int) {
	r := m.requests[i]
	if !r.Done() {
		return
	}
	if r.checkResult != nil {
		r.checkResult()
	}
	m.requests = append(m.requests[:i], m.requests[i+1:]...)
}

func (m *stateMachine) kill(i int) {
	m.requests[i].Kill()
	m.requests = append(m.requests[:i], m.requests[i+1:]...)
}

// complete runs request i to its end without faults.
func (m *stateMachine) complete(i int) {
	for n := len(m.requests); n == len(m.requests); {
		m.step(i, storetest.None)
	}
}

// completeAll applies the delayed writes and runs all requests to their ends
// without faults.
func (m *stateMachine) completeAll() {
	for m.store.DelayedWrites() > 0 {
		m.store.ReleaseWrite(0)
	}
	for len(m.requests) > 0 {
		m.complete(0)
	}
}

// check verifies the invariants that hold after every action.
func (m *stateMachine) check(t *rapid.T) {
	if m.violation != nil {
		t.Fatal(m.violation)
	}
	seen := map[string]bool{}
	for _, rev := range m.accepted {
		if seen[rev.plan] || m.stale[rev.plan] {
			t.Fatalf("plan %s was accepted twice, or although a confirm returned that it is stale", rev.plan)
		}
		seen[rev.plan] = true
	}
	for i := range m.replicas {
		v := m.replicas[i].Version()
		if v.Revision < m.lastRevision[i] {
			t.Fatalf("replica %d went from revision %d to %d", i, m.lastRevision[i], v.Revision)
		}
		m.lastRevision[i] = v.Revision
		if v.Revision > 0 && (v.Revision > uint64(len(m.accepted)) || m.accepted[v.Revision-1].digest != v.Digest) {
			t.Fatalf("replica %d holds revision %d, which was never accepted", i, v.Revision)
		}
	}
}

// converge checks that every replica adopts the newest accepted revision once
// it gets a head from the store or from a peer.
func (m *stateMachine) converge(t *rapid.T) {
	m.completeAll()
	m.startRead(0)
	m.complete(0)
	for i := range m.replicas {
		m.offer(i, m.replicas[0].Head())
	}
	m.check(t)
	for i := range m.replicas {
		if v := m.replicas[i].Version(); v.Revision != uint64(len(m.accepted)) {
			t.Fatalf("replica %d holds revision %d of %d", i, v.Revision, len(m.accepted))
		}
	}
}

// faults are the faults to choose from. Four of nine are None, so that many
// calls succeed.
var faults = []storetest.Fault{
	storetest.None, storetest.None, storetest.None, storetest.None,
	storetest.Down, storetest.LostRequest, storetest.LostResponse, storetest.DelayedWrite, storetest.StaleRead,
}

// actions returns the actions of the state machine. Rapid chooses among their
// names in sorted order: a new order changes the cases that a seed gives.
func (m *stateMachine) actions() map[string]func(*rapid.T) {
	randomIndex := func(t *rapid.T, n int) int {
		if n == 0 {
			t.Skip("none")
		}
		return rapid.IntRange(0, n-1).Draw(t, "which")
	}
	requestIndex := func(t *rapid.T) int { return randomIndex(t, len(m.requests)) }
	return map[string]func(*rapid.T){
		"":     m.check,
		"plan": func(t *rapid.T) { m.startPlan(testDocument(rapid.IntRange(1, 4).Draw(t, "document"))) },
		"plan to completion": func(t *rapid.T) {
			m.startPlan(testDocument(rapid.IntRange(1, 4).Draw(t, "document")))
			m.complete(len(m.requests) - 1)
		},
		"drain": func(t *rapid.T) { m.startIntent(config.Intent{Drain: []string{"stockview-1"}}) },
		"confirm": func(t *rapid.T) {
			m.startConfirm(m.plans[randomIndex(t, len(m.plans))])
		},
		"confirm newest": func(t *rapid.T) {
			if len(m.plans) == 0 {
				t.Skip("none")
			}
			m.startConfirm(m.plans[len(m.plans)-1])
		},
		"read":              func(t *rapid.T) { m.startRead(rapid.IntRange(0, len(m.replicas)-1).Draw(t, "replica")) },
		"step":              func(t *rapid.T) { m.step(requestIndex(t), rapid.SampledFrom(faults).Draw(t, "fault")) },
		"run to completion": func(t *rapid.T) { m.complete(requestIndex(t)) },
		"step with faults to completion": func(t *rapid.T) {
			for i, n := requestIndex(t), len(m.requests); n == len(m.requests); {
				m.step(i, rapid.SampledFrom(faults).Draw(t, "fault"))
			}
		},
		"kill":       func(t *rapid.T) { m.kill(requestIndex(t)) },
		"late write": func(t *rapid.T) { m.store.ReleaseWrite(randomIndex(t, m.store.DelayedWrites())) },
		"gossip": func(t *rapid.T) {
			from, to := rapid.IntRange(0, 3).Draw(t, "from"), rapid.IntRange(0, 3).Draw(t, "to")
			m.offer(to, damaged(t, m.replicas[from].Head()))
		},
		"replace": func(t *rapid.T) {
			i := rapid.IntRange(0, 3).Draw(t, "replica")
			m.replicas[i], m.lastRevision[i] = config.Replica{}, 0
		},
		"advance": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 1, 1, 1, 61}).Draw(t, "minutes")) * time.Minute)
		},
	}
}

// damaged returns h unchanged, truncated or with another revision.
func damaged(t *rapid.T, h config.Head) config.Head {
	switch rapid.IntRange(0, 3).Draw(t, "damage") {
	case 1:
		h.Document = h.Document[:len(h.Document)/2]
	case 2:
		h.Revision += 10
	}
	return h
}

// An accepted configuration stays accepted and never reverts, with any faults
// of the store, the agents and the peers between any two store calls.
func TestAcceptedConfigurationNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStateMachine()
		defer func() {
			for len(m.requests) > 0 {
				m.kill(0)
			}
		}()
		t.Repeat(m.actions())
		m.converge(t)
	})
}
