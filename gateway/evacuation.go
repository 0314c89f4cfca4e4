package gateway

import (
	"time"

	"github.com/catkinrouter/catkinrouter/discovery"
)

// reasonEvacuated is the reason of calls that are refused since all upstreams of their
// service are in evacuated data centres.
const reasonEvacuated = "data-centre-evacuated"

// evacuatedRetryAfter is when callers are told to come back to a service whose upstreams
// are all evacuated: when operators end an evacuation is not known.
const evacuatedRetryAfter = time.Second

// evacuated holds the data centres to whose upstreams nothing is sent.
type evacuated struct {
	dataCentres map[string]bool
	byService   map[string][]*discovery.Upstream
}

// newEvacuated groups the evacuated upstreams by service.
func newEvacuated(list []discovery.Evacuation) evacuated {
	e := evacuated{dataCentres: map[string]bool{}, byService: map[string][]*discovery.Upstream{}}
	for _, dc := range list {
		e.dataCentres[dc.DataCentre] = true
		for _, u := range dc.Upstreams {
			e.byService[u.Service] = append(e.byService[u.Service], u)
		}
	}
	return e
}

// evacuatedAddresses returns the addresses of evacuated upstreams that no usable one has.
func (s *snapshot) evacuatedAddresses() map[string]bool {
	out := map[string]bool{}
	for _, list := range s.evacuated.byService {
		for _, u := range list {
			out[u.Address] = true
		}
	}
	for _, list := range s.upstreams {
		for _, u := range list {
			delete(out, u.Address)
		}
	}
	return out
}

// isEvacuated reports whether u is in a data centre that is evacuated now.
func (g *Gateway) isEvacuated(u *discovery.Upstream) bool {
	snap := g.snapshot.Load()
	return snap != nil && snap.evacuated.dataCentres[u.DataCentre]
}

// unwanted reports whether nothing may be sent to u, not even a request that picked it before.
func (g *Gateway) unwanted(u *discovery.Upstream) bool {
	return g.isEvacuated(u) || g.evidence.unwanted(g.now(), u)
}

// allEvacuated reports whether the service of the call has upstreams, and all of them are
// in evacuated data centres.
func (c *call) allEvacuated() bool {
	snap := c.g.snapshot.Load()
	return len(snap.upstreams[c.service.Name]) == 0 && len(snap.evacuated.byService[c.service.Name]) > 0
}

// reasonUnlessEvacuated returns reason, or reasonEvacuated if that explains it.
func (c *call) reasonUnlessEvacuated(reason string) string {
	if c.allEvacuated() {
		return reasonEvacuated
	}
	return reason
}

// block closes the idle connections to the addresses, and makes put close further ones until
// block is called again.
func (p *pool) block(addresses map[string]bool) {
	p.mu.Lock()
	p.blocked = addresses
	p.mu.Unlock()
	for addr := range addresses {
		p.closeIdle(addr)
	}
}
