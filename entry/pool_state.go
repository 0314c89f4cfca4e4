package entry

import (
	"time"

	"github.com/catkinrouter/catkinrouter/balance"
	"github.com/catkinrouter/catkinrouter/link"
)

// maintain updates health, and the weights that depend on it, once per
// maintainInterval.
func (p *Pool) maintain(now time.Duration) {
	if now-p.maintainedAt < maintainInterval {
		return
	}
	p.maintainedAt = now
	p.health.Tick(now)
	if p.health.InSlowStart() {
		p.updateWeights(now)
		return
	}
	p.refreshWeights(now)
}

// refreshWeights updates the weights if the health of an upstream has changed, or while
// upstreams pause.
func (p *Pool) refreshWeights(now time.Duration) {
	if p.pausing || p.health.Version() != p.healthVersion {
		p.updateWeights(now)
	}
}

// updateWeights sets each upstream's weight from its health. Upstreams outside
// of the entry's subset are used only if none inside it may take work.
func (p *Pool) updateWeights(now time.Duration) {
	p.healthVersion = p.health.Version()
	if p.setWeights(now, true) == 0 {
		p.setWeights(now, false)
	}
}

// setWeights sets the weights and returns how many are above 0. With subsetOnly,
// upstreams outside of the subset get 0.
func (p *Pool) setWeights(now time.Duration, subsetOnly bool) (ready int) {
	p.pausing = false
	for i := range p.upstreams {
		w := 0.0
		switch {
		case !p.admits(now, i):
			p.pausing = true
		case p.inSubset[i] || !subsetOnly:
			w = p.health.Weight(now, i)
		}
		p.table.SetWeight(i, w)
		if w > 0 {
			ready++
		}
	}
	return ready
}

// setConnectionLimits sets the connection limit of each upstream, and selects
// the entry's subset of upstreams.
func (p *Pool) setConnectionLimits() {
	p.inSubset = p.inSubset[:0]
	for i, u := range p.upstreams {
		n, in := p.view.fleet().ConnectionLimit(u.ID, u.Connections)
		if u.Connections == 0 {
			n, in = balance.NoLimit, true
		}
		p.table.SetLimit(i, n)
		p.inSubset = append(p.inSubset, in)
	}
}

// ConnLimit returns the largest number of connections that this entry may hold
// to the upstream, idle ones included: balance.NoLimit if the configuration
// sets no limit, 0 if the upstream is unknown.
func (p *Pool) ConnLimit(id string) int {
	if i, ok := p.find(id); ok {
		return p.table.Limit(i)
	}
	return 0
}

// ReportedLeaving appends the IDs of the upstreams that reported to this entry
// directly that they are leaving. Other entries learn of them from this one.
func (p *Pool) ReportedLeaving(out []string) []string {
	for i, u := range p.upstreams {
		if p.health.ReportedLeaving(i) {
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

// Shares appends each data centre's share of this entry's recent work on the
// service.
func (p *Pool) Shares(out []link.Share) []link.Share {
	for _, s := range p.table.AppendShares(nil) {
		out = append(out, link.Share{Service: p.service, DataCentre: s.DataCentre, Work: s.Work, Capacity: s.Capacity})
	}
	return out
}

// InFlight returns the number of this entry's requests of class c that are in
// flight to the upstream.
func (p *Pool) InFlight(id string, c balance.Class) int {
	if i, ok := p.find(id); ok {
		return p.table.InFlightOf(i, c)
	}
	return 0
}
