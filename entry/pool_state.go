package entry

import (
	"time"

	"github.com/catkinrouter/catkinrouter/balance"
	"github.com/catkinrouter/catkinrouter/link"
)

// upkeep does what is due now and then.
func (p *Pool) upkeep(now time.Duration) {
	if now-p.ticked < upkeepInterval {
		return
	}
	p.ticked = now
	p.health.Tick(now)
	if p.health.Warming() {
		p.weigh(now)
		return
	}
	p.follow(now)
}

// follow brings the weights up to a change of health.
func (p *Pool) follow(now time.Duration) {
	if p.health.Version() != p.seen {
		p.weigh(now)
	}
}

// weigh gives each upstream the weight that its health allows. Those outside
// of the entry's subset are used only where none inside may take work.
func (p *Pool) weigh(now time.Duration) {
	p.seen = p.health.Version()
	if p.weighSubset(now, true) == 0 {
		p.weighSubset(now, false)
	}
}

func (p *Pool) weighSubset(now time.Duration, only bool) (ready int) {
	for i := range p.upstreams {
		w := 0.0
		if p.inSubset[i] || !only {
			w = p.health.Weight(now, i)
		}
		p.table.SetWeight(i, w)
		if w > 0 {
			ready++
		}
	}
	return ready
}

// limitConnections bounds the connections to each upstream, and chooses the
// entry's subset of upstreams.
func (p *Pool) limitConnections() {
	p.inSubset = p.inSubset[:0]
	for i, u := range p.upstreams {
		n, in := p.site.fleet().ConnectionLimit(u.ID, u.Connections)
		if u.Connections == 0 {
			n, in = balance.NoLimit, true
		}
		p.table.SetLimit(i, n)
		p.inSubset = append(p.inSubset, in)
	}
}

// ConnLimit returns the largest number of connections that this entry may
// hold to the upstream, idle ones included: balance.NoLimit where the
// configuration sets no bound, 0 where the upstream is not known.
func (p *Pool) ConnLimit(id string) int {
	if i, ok := p.find(id); ok {
		return p.table.Limit(i)
	}
	return 0
}

// SaidLeaving appends the IDs of the upstreams that told this entry itself
// that they leave, for the other entries.
func (p *Pool) SaidLeaving(out []string) []string {
	for i, u := range p.upstreams {
		if p.health.SaidLeaving(i) {
			out = append(out, u.ID)
		}
	}
	return out
}

// States appends the state of each upstream.
func (p *Pool) States(out []link.UpstreamState) []link.UpstreamState {
	for i, u := range p.upstreams {
		out = append(out, link.UpstreamState{
			Service: p.service, ID: u.ID, State: p.health.State(i).String(), InFlight: p.table.InFlight(i),
		})
	}
	return out
}

// Shares appends each data centre's share of this entry's recent work.
func (p *Pool) Shares(out []link.Share) []link.Share {
	for _, s := range p.table.AppendShares(nil) {
		out = append(out, link.Share{Service: p.service, DataCentre: s.DataCentre, Work: s.Work, Capacity: s.Capacity})
	}
	return out
}

// InFlight returns the entry's own requests of a class in flight to the
// upstream.
func (p *Pool) InFlight(id string, c balance.Class) int {
	if i, ok := p.find(id); ok {
		return p.table.InFlightOf(i, c)
	}
	return 0
}
