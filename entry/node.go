package entry

import (
	"time"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/balance"
	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/link"
)

// Options are a Node's fixed settings.
type Options struct {
	ID          string
	Address     string
	DataCentre  string
	Incarnation uint64
	Seed        uint64
}

// Node is the state of one entry.
type Node struct {
	opt      Options
	revision uint64
	pools    map[string]*Pool
	rules    map[string]config.Rules
	attempts map[uint64]sent
	last     uint64
}

type sent struct {
	call     Call
	upstream string
	at       time.Duration
}

// New returns a Node without a configuration.
func New(opt Options) *Node {
	return &Node{opt: opt, pools: map[string]*Pool{}, rules: map[string]config.Rules{}, attempts: map[uint64]sent{}}
}

// Configure puts a document in force. Lower and equal revisions are ignored.
func (n *Node) Configure(now time.Duration, revision uint64, doc *config.Document) {
	if revision <= n.revision {
		return
	}
	n.revision = revision
	site := Site{DataCentre: n.opt.DataCentre, Entries: doc.MaxEntries, EntryID: n.opt.ID}
	for i, svc := range doc.Services {
		n.rules[svc.Name] = svc.Rules.WithDefaults()
		if p := n.pools[svc.Name]; p != nil {
			p.Update(now, svc, site)
			continue
		}
		n.pools[svc.Name] = NewPool(svc, site, n.opt.Seed+uint64(i))
	}
}

// Members takes the live entries and the upstreams that others saw leaving.
func (n *Node) Members(now time.Duration, members []link.Member, leaving []string) {}

// Start begins a call. Steps are appended to out; the first may concern
// other calls.
func (n *Node) Start(now time.Duration, c Call, out []Step) []Step {
	p := n.pools[c.Service]
	switch {
	case n.revision == 0:
		return append(out, refuse(c.ID, attempt.ReasonNoConfiguration))
	case p == nil:
		return append(out, refuse(c.ID, attempt.ReasonUnknownService))
	}
	id, addr, ok := p.Pick(now, balance.Query{})
	if !ok {
		return append(out, refuse(c.ID, attempt.ReasonNoUpstream))
	}
	n.last++
	n.attempts[n.last] = sent{call: c, upstream: id, at: now}
	p.Sent(now, id, balance.Short)
	rules := n.rules[c.Service]
	timeout := rules.Timeout.D()
	if c.Timeout > 0 {
		timeout = c.Timeout
	}
	idempotent := rules.Route(c.Path).IsIdempotent(c.Method)
	return append(out, Step{
		Kind: StepSend, Call: c.ID, Attempt: n.last, Service: c.Service, Upstream: id, Address: addr,
		Fresh: !idempotent, Timeout: timeout,
	})
}

// Finished takes the end of an attempt.
func (n *Node) Finished(now time.Duration, id uint64, r Result, out []Step) []Step {
	a, ok := n.attempts[id]
	if !ok {
		return out
	}
	delete(n.attempts, id)
	n.pools[a.call.Service].Finished(now, a.upstream, balance.Done{
		Latency: now - a.at, Failed: r.Err != nil || r.Status >= 500, Shed: r.Shed, Leaving: r.Leaving, Load: r.Load,
	})
	s := Step{Kind: StepAnswer, Call: a.call.ID, Attempt: id, Outcome: attempt.Answered}
	switch {
	case r.Shed:
		s.Outcome, s.Reason = attempt.NotRun, attempt.ReasonShed
	case r.Err != nil && !r.Wrote:
		s.Outcome, s.Reason = attempt.NotRun, attempt.ReasonConnect
	case r.Err != nil:
		s.Outcome, s.Reason = attempt.Unknown, attempt.ReasonLost
	}
	return append(out, s)
}

// Cancel takes the caller's leaving before its answer.
func (n *Node) Cancel(now time.Duration, call uint64, out []Step) []Step { return out }

// Tick does what is due: it must be called every TickInterval or sooner.
func (n *Node) Tick(now time.Duration, out []Step) []Step {
	for _, p := range n.pools {
		for _, o := range p.Probes(now) {
			out = append(out, Step{Kind: StepProbe, Service: p.service, Upstream: o.Upstream, Address: o.Address})
		}
	}
	return out
}

// TickInterval is the longest time between two calls of Tick.
const TickInterval = 5 * time.Millisecond

// Probed takes the answer to a probe; load is nil where it failed.
func (n *Node) Probed(now time.Duration, service, upstream string, load *balance.Load, latency time.Duration) {
	if p := n.pools[service]; p != nil {
		p.Probed(now, upstream, load, latency)
	}
}

// Status reports the Node's state to its agent.
func (n *Node) Status(now time.Duration) link.Status {
	return link.Status{Incarnation: n.opt.Incarnation, Uptime: now, Revision: n.revision, Spare: 1, InFlight: len(n.attempts)}
}

func refuse(call uint64, why attempt.Reason) Step {
	return Step{Kind: StepAnswer, Call: call, Outcome: attempt.NotRun, Reason: why}
}
