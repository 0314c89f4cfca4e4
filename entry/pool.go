package entry

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/catkinrouter/catkinrouter/balance"
	"github.com/catkinrouter/catkinrouter/config"
)

// Pool holds the upstreams of one service as this entry sees them: the
// picking policy, the probes and the health of each.
type Pool struct {
	service   string
	upstreams []config.Upstream
	rng       *rand.Rand
}

// ProbeOrder asks for one probe of an upstream.
type ProbeOrder struct {
	Upstream string
	Address  string
}

// Site tells a Pool about this entry and its fleet.
type Site struct {
	// DataCentre is the place of this entry.
	DataCentre string
	// Entries is the number that the measuring budget and the connection
	// limit are divided by.
	Entries int
	// Index and EntryIDs place this entry among the live ones.
	EntryID  string
	EntryIDs []string
}

// NewPool returns a Pool for a service that was checked by package config.
func NewPool(svc config.Service, site Site, seed uint64) *Pool {
	return &Pool{service: svc.Name, upstreams: svc.Upstreams, rng: rand.New(rand.NewPCG(seed, 1))}
}

// Update takes a new configuration of the service, and keeps what is known
// about the upstreams that stay.
func (p *Pool) Update(now time.Duration, svc config.Service, site Site) {
	p.upstreams = svc.Upstreams
}

// Pick returns the ID and address of an upstream for q. It returns false
// where none may take new work.
func (p *Pool) Pick(now time.Duration, q balance.Query) (id, address string, ok bool) {
	free := make([]config.Upstream, 0, len(p.upstreams))
	for _, u := range p.upstreams {
		if !u.Leaving && !slices.Contains(q.Exclude, u.ID) {
			free = append(free, u)
		}
	}
	if len(free) == 0 {
		return "", "", false
	}
	u := free[p.rng.IntN(len(free))]
	return u.ID, u.Address, true
}

// Sent records that a request of class c goes to the upstream.
func (p *Pool) Sent(now time.Duration, id string, c balance.Class) {}

// Finished records how a request to the upstream ended.
func (p *Pool) Finished(now time.Duration, id string, d balance.Done) {}

// Probes returns the probes that are due and within the budget.
func (p *Pool) Probes(now time.Duration) []ProbeOrder { return nil }

// Probed records the answer to a probe; load is nil where it failed.
func (p *Pool) Probed(now time.Duration, id string, load *balance.Load, latency time.Duration) {}

// Leaving records that the upstream is leaving, by another entry's word.
func (p *Pool) Leaving(now time.Duration, id string) {}
