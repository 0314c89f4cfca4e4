package entry

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/link"
)

// bug is a fault that is injected into the system under test, to show that the
// oracle detects it.
type bug int

const (
	noBug bug = iota
	// hidesWrittenBytes: the proxy reports lost replies as requests that were
	// not sent.
	hidesWrittenBytes
	// homeByMembership: the home is chosen from the entry's view of the fleet
	// instead of the permit.
	homeByMembership
	// ignoresTryNumbers: each try is handled as a new one.
	ignoresTryNumbers
	// reusesConnections: the proxy ignores Step.NewConnection.
	reusesConnections
	// reusesIncarnations: an entry restarts with its old incarnation.
	reusesIncarnations
	// mixesReplies: the proxy answers with the reply of another attempt.
	mixesReplies
)

var errConnectionCut = errors.New("connection cut")

// simulation is a small fleet of entries with fake upstreams and a fake
// network. Messages wait until an action delivers, drops or duplicates them,
// in any order.
type simulation struct {
	bug     bug
	now     time.Duration
	entries []*instance
	// allInstances holds every incarnation that was started, dead ones
	// included.
	allInstances []*instance
	messages     []*message
	oracle       *oracle
	docs         []*config.Document
	requests     []*request
	tries        map[*request]int
	lastID       uint64
	// keys is the largest number of keys in each entry's record.
	keys int
	// retryBudget is set in every revision of the configuration.
	retryBudget float64
}

// instance is one incarnation of an entry, with its fake proxy.
type instance struct {
	id, address string
	incarnation uint64
	node        *Node
	startedAt   time.Duration
	// clockRate is the speed of the instance's clock relative to the
	// simulation's.
	clockRate    float64
	paused       bool
	dead         bool
	view         []link.Member
	calls        map[uint64]*receivedCall
	openAttempts map[uint64]*openAttempt
	replies      map[uint64]string
}

// receivedCall is a call that an instance received.
type receivedCall struct {
	request *request
	try     int
	// from is the message that brought the call; its from is the forwarding
	// instance, nil for a caller.
	from  *message
	ended bool
}

// openAttempt is an attempt that the fake proxy has started and that has not
// ended.
type openAttempt struct {
	call   *receivedCall
	record bool
}

type messageKind int

const (
	toEntry messageKind = iota
	toUpstream
	toAttempt
)

type message struct {
	kind    messageKind
	address string
	call    Call
	request *request
	try     int
	// from and attempt identify the attempt that gets the result; from is nil
	// for callers.
	from    *instance
	attempt uint64
	result  Result
	body    string
	// duplicate marks a message that the HTTP transport sent again by itself;
	// its reply is not read.
	duplicate bool
}

func newSimulation(b bug, entries, keys int, retryBudget float64) *simulation {
	sim := &simulation{bug: b, keys: keys, retryBudget: retryBudget, oracle: newOracle(), tries: map[*request]int{}}
	sim.publish(true, true)
	for i := range entries {
		sim.entries = append(sim.entries, nil)
		sim.startEntry(i, 1)
	}
	for _, e := range sim.entries {
		sim.gossip(e, sim.allInstances)
	}
	return sim
}

// publish adds a revision of the configuration, with or without the service.
// It has a new signing key, and keeps the previous one for verification.
func (sim *simulation) publish(service, idempotent bool) {
	n := len(sim.docs)
	doc := &config.Document{MaxEntries: 3, Lookup: config.Lookup{Lifetime: config.Duration(5 * time.Second)}}
	for i := n; i >= max(0, n-1); i-- {
		doc.PermitKeys = append(doc.PermitKeys, config.PermitKey{ID: fmt.Sprint("k", i), Secret: fmt.Append(nil, "secret", i)})
	}
	if service {
		doc.Services = []config.Service{shopService(idempotent, sim.retryBudget)}
	}
	sim.docs = append(sim.docs, doc)
}

func shopService(idempotent bool, retryBudget float64) config.Service {
	s := config.Service{Name: "shop", Rules: config.Rules{
		Timeout: config.Duration(time.Second), Queue: 2, RetryBudget: retryBudget, HedgeBudget: 1,
		Routes: []config.Route{{Prefix: "/buy", Idempotent: &idempotent}},
	}}
	for i := range 3 {
		id := fmt.Sprint("u", i)
		s.Upstreams = append(s.Upstreams, config.Upstream{ID: id, Address: id, Slots: 1, Connections: 90})
	}
	return s
}

// startEntry replaces entry i by a new incarnation with the newest
// configuration.
func (sim *simulation) startEntry(i int, clockRate float64) {
	sim.lastID++
	id := fmt.Sprint("e", i)
	e := &instance{
		id: id, address: id, incarnation: sim.lastID, startedAt: sim.now, clockRate: clockRate,
		calls: map[uint64]*receivedCall{}, openAttempts: map[uint64]*openAttempt{}, replies: map[uint64]string{},
	}
	if old := sim.entries[i]; old != nil {
		old.dead = true
		if sim.bug == reusesIncarnations {
			e.incarnation = old.incarnation
		}
	}
	e.node = New(Options{
		ID: id, Address: id, Incarnation: e.incarnation, Seed: sim.lastID,
		RecordLimits: attempt.RecordLimits{Keys: sim.keys, ReplyBytes: 60, Waiters: 2},
	})
	e.node.Configure(0, uint64(len(sim.docs)), sim.docs[len(sim.docs)-1])
	sim.entries[i] = e
	sim.allInstances = append(sim.allInstances, e)
}

func (e *instance) uptime(now time.Duration) time.Duration {
	return time.Duration(float64(now-e.startedAt) * e.clockRate)
}

func (e *instance) member(now time.Duration) link.Member {
	return link.Member{ID: e.id, Address: e.address, Incarnation: e.incarnation, Uptime: e.uptime(now)}
}

// gossip gives an entry a view of the fleet that has at most one incarnation
// of each entry.
func (sim *simulation) gossip(e *instance, seen []*instance) {
	var view []link.Member
	for _, other := range seen {
		view = slices.DeleteFunc(view, func(m link.Member) bool { return m.ID == other.id })
		view = append(view, other.member(sim.now))
	}
	e.view = view
	e.node.SetMembers(e.uptime(sim.now), view, nil)
}

// entryAt returns the entry that listens on the address.
func (sim *simulation) entryAt(address string) *instance {
	i := slices.IndexFunc(sim.entries, func(e *instance) bool { return e.address == address })
	return sim.entries[i]
}

// start hands a call to an entry. The time that it passes was read from the
// clock clockLag earlier.
func (sim *simulation) start(t *rapid.T, e *instance, m *message, clockLag time.Duration) {
	sim.lastID++
	c := m.call
	c.ID = sim.lastID
	switch sim.bug {
	case homeByMembership:
		c.Key = sim.rehome(e, c.Key)
	case ignoresTryNumbers:
		c.Try = int(sim.lastID)
	}
	e.calls[c.ID] = &receivedCall{request: m.request, try: m.try, from: m}
	sim.executeSteps(t, e, e.node.Start(max(0, e.uptime(sim.now)-clockLag), c, nil))
}

// rehome rewrites the key's permit to name a member of the entry's view,
// selected by the length of the key's name.
func (sim *simulation) rehome(e *instance, key string) string {
	p, err := e.node.signer.ParseKey(key)
	if err != nil || len(e.view) == 0 {
		return key
	}
	_, name, _ := attempt.SplitKey(key)
	m := e.view[len(name)%len(e.view)]
	p.Home, p.Address, p.Incarnation = m.ID, m.Address, m.Incarnation
	return e.node.signer.Sign(p) + "/" + name
}

// executeSteps is the fake proxy: it carries out the steps of an entry.
func (sim *simulation) executeSteps(t *rapid.T, e *instance, steps []Step) {
	for _, s := range steps {
		switch s.Kind {
		case StepSend:
			sim.send(t, e, s)
		case StepForward:
			c := e.calls[s.Call]
			e.openAttempts[s.Attempt] = &openAttempt{call: c}
			call := c.from.call
			call.Forwarded = true
			sim.push(&message{kind: toEntry, address: s.Address, call: call, request: c.request, try: c.try, from: e, attempt: s.Attempt})
		case StepCancel:
			delete(e.openAttempts, s.Attempt)
		case StepAnswer:
			sim.answer(t, e, s)
		}
	}
}

func (sim *simulation) push(m *message) { sim.messages = append(sim.messages, m) }

func (sim *simulation) send(t *rapid.T, e *instance, s Step) {
	if s.Timeout <= 0 {
		t.Fatalf("an attempt was sent with no time left")
	}
	c := e.calls[s.Call]
	e.openAttempts[s.Attempt] = &openAttempt{call: c, record: s.KeepReply}
	m := &message{kind: toUpstream, request: c.request, try: c.try, from: e, attempt: s.Attempt}
	sim.push(m)
	if (!s.NewConnection || sim.bug == reusesConnections) && c.request.kind != idempotentCall {
		// An upstream may close a reused connection while the request is being
		// written; HTTP libraries then send the request again by themselves.
		dup := *m
		dup.duplicate = true
		sim.push(&dup)
	}
}

func (sim *simulation) answer(t *rapid.T, e *instance, s Step) {
	c := e.calls[s.Call]
	if c.ended {
		t.Fatalf("a call was answered twice or after it was cancelled")
	}
	c.ended = true
	body := e.replies[s.Attempt]
	if sim.bug == mixesReplies {
		body = e.replies[s.Attempt-1]
	}
	if s.Reply != nil {
		body = string(s.Reply.Body)
	}
	if from := c.from.from; from != nil {
		sim.push(&message{kind: toAttempt, from: from, attempt: c.from.attempt, body: body, result: Result{
			MayHaveSent: true, Outcome: s.Outcome, Reason: s.Reason, RetryAfter: s.RetryAfter,
		}})
		return
	}
	sim.oracle.recordAnswer(t, c.request, c.try, s, body)
}

// deliver delivers a message to its destination. It returns false if that
// instance is paused.
func (sim *simulation) deliver(t *rapid.T, m *message, behaviour upstreamBehaviour, clockLag time.Duration) bool {
	switch m.kind {
	case toEntry:
		e := sim.entryAt(m.address)
		if e.paused {
			return false
		}
		sim.start(t, e, m, clockLag)
	case toUpstream:
		sim.reply(t, m, behaviour)
	case toAttempt:
		if m.from.paused && !m.from.dead {
			return false
		}
		sim.finish(t, m.from, m.attempt, m.result, m.body)
	}
	return true
}

// upstreamBehaviour is what an upstream does with a request: it runs it and
// answers 200 or 500, or it sheds it.
type upstreamBehaviour int

const (
	succeeds upstreamBehaviour = iota
	fails
	sheds
)

func (sim *simulation) reply(t *rapid.T, m *message, behaviour upstreamBehaviour) {
	out := &message{kind: toAttempt, from: m.from, attempt: m.attempt, body: m.request.body()}
	out.result = Result{MayHaveSent: true, Status: 200}
	switch behaviour {
	case sheds:
		out.result = Result{MayHaveSent: true, Status: 503, Shed: true}
	case fails:
		out.result.Status = 500
		fallthrough
	case succeeds:
		sim.oracle.recordRun(t, m.request, m.try)
	}
	if !m.duplicate {
		sim.push(out)
	}
}

// finish reports the end of an attempt to its entry, unless that is dead or
// the attempt has ended.
func (sim *simulation) finish(t *rapid.T, e *instance, id uint64, r Result, body string) {
	s := e.openAttempts[id]
	if e.dead || s == nil {
		return
	}
	delete(e.openAttempts, id)
	if sim.bug == hidesWrittenBytes && r.Err != nil {
		r.MayHaveSent = false
	}
	if r.Err == nil {
		e.replies[id] = body
		if s.record && len(body) <= attempt.MaxReplyBytes {
			r.Reply = &attempt.Reply{Status: r.Status, Body: []byte(body)}
		}
	}
	sim.executeSteps(t, e, e.node.Finished(e.uptime(sim.now), id, r, nil))
}

// advance advances the time and calls Tick at every entry that is not paused.
func (sim *simulation) advance(t *rapid.T, d time.Duration) {
	sim.now += d
	for _, e := range sim.entries {
		if !e.paused {
			sim.executeSteps(t, e, e.node.Tick(e.uptime(sim.now), nil))
		}
	}
}
