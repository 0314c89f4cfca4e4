package gateway

import (
	"sync"
	"time"

	"github.com/catkinrouter/catkinrouter/discovery"
	"github.com/catkinrouter/catkinrouter/notice"
	"github.com/catkinrouter/catkinrouter/pick"
	"github.com/catkinrouter/catkinrouter/quota"
)

// evidenceTable holds this instance's evidence about the upstreams, by
// incarnation. It is safe for concurrent use.
type evidenceTable struct {
	mu   sync.Mutex
	byID map[string]*evidenceEntry
	// fleet divides the upstreams' rate limits.
	fleet quota.FleetView
	// cold divides the limits of cold upstreams.
	cold coldLimits
}

// evidenceEntry is the evidence about one incarnation of an upstream.
type evidenceEntry struct {
	incarnation discovery.Upstream
	evidence    pick.Evidence
	bucket      quota.Bucket
	notices     notice.State
	cold        coldState
}

func newEvidenceTable() *evidenceTable { return &evidenceTable{byID: map[string]*evidenceEntry{}} }

// update calls fn with the evidence about u. A new incarnation starts without
// evidence.
func (e *evidenceTable) update(u *discovery.Upstream, fn func(*pick.Evidence)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fn(&e.entry(u).evidence)
}

// entry returns the entry of u, one that is not kept if a later incarnation is known. The
// caller holds the lock.
func (e *evidenceTable) entry(u *discovery.Upstream) *evidenceEntry {
	known := e.byID[u.ID]
	if known != nil && known.incarnation.SameIncarnation(u) {
		return known
	}
	entry := &evidenceEntry{incarnation: *u}
	if known == nil || known.incarnation.StartUnixMilli <= u.StartUnixMilli {
		e.byID[u.ID] = entry
	}
	return entry
}

// prospect returns the evidence about u before it is probed, and whether it admits a
// request.
func (e *evidenceTable) prospect(now time.Duration, u *discovery.Upstream) (pick.Prospect, upstreamAdmission) {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry := e.entry(u)
	p := pick.Prospect{FailureRate: entry.evidence.FailureRate(now), InBackoff: entry.evidence.InBackoff(now)}
	return p, upstreamAdmission{
		rate: entry.bucket.Check(now, e.fleet.Division(now), u.ID), notice: entry.notices.Check(now), cold: entry.checkCold(now, &e.cold, u),
	}
}

func (e *evidenceTable) recordOutcome(now time.Duration, u *discovery.Upstream, failed bool, weight float64) {
	e.update(u, func(ev *pick.Evidence) { ev.Record(now, failed, weight) })
}

// retain drops the evidence about upstreams that are in neither list: what evacuated ones
// said of themselves and their failures count once they are used again.
func (e *evidenceTable) retain(usable, evacuated map[string][]*discovery.Upstream) {
	ids := map[string]bool{}
	for _, byService := range []map[string][]*discovery.Upstream{usable, evacuated} {
		for _, l := range byService {
			for _, u := range l {
				ids[u.ID] = true
			}
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for id := range e.byID {
		if !ids[id] {
			delete(e.byID, id)
		}
	}
}
