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

// broken switches one fault of the system under test on, to show that the
// oracle sees it.
type broken int

const (
	sound broken = iota
	// hidesWrittenBytes has a proxy that calls lost replies unsent.
	hidesWrittenBytes
	// homeByMembership chooses the home from the entry's view of the fleet.
	homeByMembership
	// ignoresTryNumbers takes each try for a new one.
	ignoresTryNumbers
	// reusesConnections has a proxy that ignores Step.Fresh.
	reusesConnections
	// reusesIncarnations restarts an entry under its old incarnation.
	reusesIncarnations
	// mixesReplies has a proxy that answers with another attempt's reply.
	mixesReplies
)

var errCut = errors.New("connection cut")

// world is a small fleet with fake upstreams and a fake network. Messages wait
// until an action delivers, drops or repeats them, in any order.
type world struct {
	broken  broken
	now     time.Duration
	entries []*instance
	// past holds every incarnation that ever was.
	past     []*instance
	messages []*message
	ledger   *ledger
	docs     []*config.Document
	requests []*request
	tries    map[*request]int
	last     uint64
	// keys bounds each entry's record.
	keys int
	// retryBudget is that of every revision.
	retryBudget float64
}

// instance is one incarnation of an entry, with its fake proxy.
type instance struct {
	id, address string
	incarnation uint64
	node        *Node
	born        time.Duration
	// rate is the speed of the instance's clock.
	rate    float64
	paused  bool
	dead    bool
	view    []link.Member
	calls   map[uint64]*served
	open    map[uint64]*sendState
	replies map[uint64]string
}

// served is a call at an instance.
type served struct {
	request *request
	try     int
	// from is the forward that brought the call; nil for a caller.
	from *message
	over bool
}

// sendState is an attempt that a fake proxy carries out.
type sendState struct {
	call   *served
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
	// from and attempt are where the result goes; from is nil for callers.
	from    *instance
	attempt uint64
	result  Result
	body    string
	// copied messages are the transport's own repeats: no reply is read.
	copied bool
}

func newWorld(b broken, entries, keys int, retryBudget float64) *world {
	w := &world{broken: b, keys: keys, retryBudget: retryBudget, ledger: newLedger(), tries: map[*request]int{}}
	w.publish(true, true)
	for i := range entries {
		w.entries = append(w.entries, nil)
		w.boot(i, 1)
	}
	for _, e := range w.entries {
		w.gossip(e, w.past)
	}
	return w
}

// publish makes a new revision: other signing keys, and other rules.
func (w *world) publish(service, idempotent bool) {
	n := len(w.docs)
	doc := &config.Document{MaxEntries: 3, Lookup: config.Lookup{Lifetime: config.Duration(5 * time.Second)}}
	for i := n; i >= max(0, n-1); i-- {
		doc.PermitKeys = append(doc.PermitKeys, config.PermitKey{ID: fmt.Sprint("k", i), Secret: fmt.Append(nil, "secret", i)})
	}
	if service {
		doc.Services = []config.Service{shop(idempotent, w.retryBudget)}
	}
	w.docs = append(w.docs, doc)
}

func shop(idempotent bool, retryBudget float64) config.Service {
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

// boot replaces entry i by a new incarnation, which knows no configuration.
func (w *world) boot(i int, rate float64) {
	w.last++
	id := fmt.Sprint("e", i)
	e := &instance{
		id: id, address: id, incarnation: w.last, born: w.now, rate: rate,
		calls: map[uint64]*served{}, open: map[uint64]*sendState{}, replies: map[uint64]string{},
	}
	if old := w.entries[i]; old != nil {
		old.dead = true
		if w.broken == reusesIncarnations {
			e.incarnation = old.incarnation
		}
	}
	e.node = New(Options{
		ID: id, Address: id, Incarnation: e.incarnation, Seed: w.last,
		Record: attempt.RecordLimits{Keys: w.keys, ReplyBytes: 60, Waiters: 2},
	})
	e.node.Configure(0, uint64(len(w.docs)), w.docs[len(w.docs)-1])
	w.entries[i] = e
	w.past = append(w.past, e)
}

func (e *instance) uptime(now time.Duration) time.Duration {
	return time.Duration(float64(now-e.born) * e.rate)
}

func (e *instance) member(now time.Duration) link.Member {
	return link.Member{ID: e.id, Address: e.address, Incarnation: e.incarnation, Uptime: e.uptime(now)}
}

// gossip gives an entry a view of the fleet: at most one incarnation of each.
func (w *world) gossip(e *instance, seen []*instance) {
	var view []link.Member
	for _, other := range seen {
		view = slices.DeleteFunc(view, func(m link.Member) bool { return m.ID == other.id })
		view = append(view, other.member(w.now))
	}
	e.view = view
	e.node.Members(e.uptime(w.now), view, nil)
}

// at returns the entry that listens on the address.
func (w *world) at(address string) *instance {
	i := slices.IndexFunc(w.entries, func(e *instance) bool { return e.address == address })
	return w.entries[i]
}

// start hands a call to an entry, whose clock was read lag before.
func (w *world) start(t *rapid.T, e *instance, m *message, lag time.Duration) {
	w.last++
	c := m.call
	c.ID = w.last
	switch w.broken {
	case homeByMembership:
		c.Key = w.rehome(e, c.Key)
	case ignoresTryNumbers:
		c.Try = int(w.last)
	}
	e.calls[c.ID] = &served{request: m.request, try: m.try, from: m}
	w.perform(t, e, e.node.Start(max(0, e.uptime(w.now)-lag), c, nil))
}

// rehome rewrites the key's permit for the member that the entry's view gives
// the key's name to.
func (w *world) rehome(e *instance, key string) string {
	p, err := e.node.signer.ParseKey(key)
	if err != nil || len(e.view) == 0 {
		return key
	}
	_, name, _ := attempt.SplitKey(key)
	m := e.view[len(name)%len(e.view)]
	p.Home, p.Address, p.Incarnation = m.ID, m.Address, m.Incarnation
	return e.node.signer.Sign(p) + "/" + name
}

// perform is the fake proxy.
func (w *world) perform(t *rapid.T, e *instance, steps []Step) {
	for _, s := range steps {
		switch s.Kind {
		case StepSend:
			w.send(t, e, s)
		case StepForward:
			c := e.calls[s.Call]
			e.open[s.Attempt] = &sendState{call: c}
			call := c.from.call
			call.Forwarded = true
			w.push(&message{kind: toEntry, address: s.Address, call: call, request: c.request, try: c.try, from: e, attempt: s.Attempt})
		case StepCancel:
			delete(e.open, s.Attempt)
		case StepAnswer:
			w.answer(t, e, s)
		}
	}
}

func (w *world) push(m *message) { w.messages = append(w.messages, m) }

func (w *world) send(t *rapid.T, e *instance, s Step) {
	if s.Timeout <= 0 {
		t.Fatalf("an attempt without time")
	}
	c := e.calls[s.Call]
	e.open[s.Attempt] = &sendState{call: c, record: s.Record}
	m := &message{kind: toUpstream, request: c.request, try: c.try, from: e, attempt: s.Attempt}
	w.push(m)
	if (!s.Fresh || w.broken == reusesConnections) && c.request.kind != idempotentCall {
		// The connection may be closed by its far end while it is written
		// to; libraries then send again by themselves.
		again := *m
		again.copied = true
		w.push(&again)
	}
}

func (w *world) answer(t *rapid.T, e *instance, s Step) {
	c := e.calls[s.Call]
	if c.over {
		t.Fatalf("a call was answered twice or after it was cancelled")
	}
	c.over = true
	body := e.replies[s.Attempt]
	if w.broken == mixesReplies {
		body = e.replies[s.Attempt-1]
	}
	if s.Reply != nil {
		body = string(s.Reply.Body)
	}
	if from := c.from.from; from != nil {
		w.push(&message{kind: toAttempt, from: from, attempt: c.from.attempt, body: body, result: Result{
			Wrote: true, Outcome: s.Outcome, Reason: s.Reason, RetryAfter: s.RetryAfter,
		}})
		return
	}
	w.ledger.told(t, c.request, c.try, s, body)
}

// deliver hands a message to where it goes; it returns false where that place
// is paused.
func (w *world) deliver(t *rapid.T, m *message, how upstreamMood, lag time.Duration) bool {
	switch m.kind {
	case toEntry:
		e := w.at(m.address)
		if e.paused {
			return false
		}
		w.start(t, e, m, lag)
	case toUpstream:
		w.reply(t, m, how)
	case toAttempt:
		if m.from.paused && !m.from.dead {
			return false
		}
		w.finish(t, m.from, m.attempt, m.result, m.body)
	}
	return true
}

// upstreamMood is what an upstream does with a request.
type upstreamMood int

const (
	works upstreamMood = iota
	fails
	sheds
)

func (w *world) reply(t *rapid.T, m *message, how upstreamMood) {
	out := &message{kind: toAttempt, from: m.from, attempt: m.attempt, body: m.request.body()}
	out.result = Result{Wrote: true, Status: 200}
	switch how {
	case sheds:
		out.result = Result{Wrote: true, Status: 503, Shed: true}
	case fails:
		out.result.Status = 500
		fallthrough
	case works:
		w.ledger.run(t, m.request, m.try)
	}
	if !m.copied {
		w.push(out)
	}
}

// finish reports the end of an attempt, if its entry still waits for it.
func (w *world) finish(t *rapid.T, e *instance, id uint64, r Result, body string) {
	s := e.open[id]
	if e.dead || s == nil {
		return
	}
	delete(e.open, id)
	if w.broken == hidesWrittenBytes && r.Err != nil {
		r.Wrote = false
	}
	if r.Err == nil {
		e.replies[id] = body
		if s.record && len(body) <= attempt.MaxReply {
			r.Reply = &attempt.Reply{Status: r.Status, Body: []byte(body)}
		}
	}
	w.perform(t, e, e.node.Finished(e.uptime(w.now), id, r, nil))
}

// tick moves time on everywhere.
func (w *world) tick(t *rapid.T, d time.Duration) {
	w.now += d
	for _, e := range w.entries {
		if !e.paused {
			w.perform(t, e, e.node.Tick(e.uptime(w.now), nil))
		}
	}
}
