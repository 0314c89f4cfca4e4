package gateway

import (
	"sync"
	"time"

	"github.com/catkinrouter/catkinrouter/discovery"
	"github.com/catkinrouter/catkinrouter/pick"
)

// evidence holds what this instance knows of the upstreams, by incarnation.
// It is safe for concurrent use.
type evidence struct {
	mu   sync.Mutex
	byID map[string]*row
}

// row is the evidence about one incarnation.
type row struct {
	incarnation discovery.Upstream
	ev          pick.Evidence
}

func newEvidence() *evidence { return &evidence{byID: map[string]*row{}} }

// with calls do with the evidence about u.
func (e *evidence) with(u *discovery.Upstream, do func(*pick.Evidence)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.byID[u.ID]
	if r == nil || !r.incarnation.SameIncarnation(u) {
		r = &row{incarnation: *u}
		e.byID[u.ID] = r
	}
	do(&r.ev)
}

// prospect returns what is known of u before it is asked.
func (e *evidence) prospect(now time.Duration, u *discovery.Upstream) (p pick.Prospect) {
	e.with(u, func(ev *pick.Evidence) { p.FailureRate, p.Crowded = ev.FailureRate(now), ev.Crowded(now) })
	return p
}

func (e *evidence) record(now time.Duration, u *discovery.Upstream, failed bool, weight float64) {
	e.with(u, func(ev *pick.Evidence) { ev.Record(now, failed, weight) })
}

// keep drops the evidence about upstreams that are gone.
func (e *evidence) keep(live map[string][]*discovery.Upstream) {
	ids := map[string]bool{}
	for _, l := range live {
		for _, u := range l {
			ids[u.ID] = true
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
