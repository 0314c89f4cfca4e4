package soak

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/catkinrouter/catkinrouter/standin"
)

// evacuateBound is how long after the evacuation of a data centre was written requests may
// still reach its upstreams.
const evacuateBound = 5 * time.Second

// evacuation is the evacuation of one data centre in a run.
type evacuation struct {
	dataCentres []string // of the upstreams; the instances are in the first
	dataCentre  string
	begin       int // the step before which it begins

	mu     sync.Mutex
	active bool      // while the operator wants it
	since  time.Time // when the store last accepted it; zero while it may be without it
}

// newEvacuation returns the evacuation of a seed, which is on in half of the seeds, except for
// those that failed without. Otherwise there is one data centre, and no evacuation.
func newEvacuation(seed uint64) *evacuation {
	rng := rand.New(rand.NewPCG(seed, 1004))
	e := &evacuation{dataCentres: []string{"z"}, begin: -1}
	if rng.IntN(2) == 0 && !slices.Contains(regressionSeeds, seed) {
		e.dataCentres = []string{"z", "y"}
		e.dataCentre = e.dataCentres[rng.IntN(2)]
		e.begin = rng.IntN(4)
	}
	return e
}

// start begins the evacuation if the given step is its time.
func (e *evacuation) start(s *soak, step int) {
	if step == e.begin {
		s.t.Logf("evacuate %s", e.dataCentre)
		e.write(s.kv, true)
	}
}

// end ends the evacuation once the store has held it for longer than the bound.
func (e *evacuation) end(kv *standin.KV) {
	e.mu.Lock()
	since := e.since
	e.mu.Unlock()
	time.Sleep(time.Until(since.Add(evacuateBound + 2*time.Second))) // not at all if there is none
	e.write(kv, false)
}

// write writes to the store what the operator wants from now on.
func (e *evacuation) write(kv *standin.KV, active bool) {
	e.mu.Lock()
	e.active = active
	e.mu.Unlock()
	e.rewrite(kv)
}

// rewrite writes again what the operator wants.
func (e *evacuation) rewrite(kv *standin.KV) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.since = time.Time{}
	if e.active {
		kv.Put("op/evacuate/"+e.dataCentre, []byte("1"))
		e.since = time.Now()
	} else if e.dataCentre != "" {
		kv.Delete("op/evacuate/" + e.dataCentre)
	}
}

// restore restores the store from an older copy, which may be without the key.
func (e *evacuation) restore(kv *standin.KV, b standin.Backup) {
	e.mu.Lock()
	defer e.mu.Unlock()
	kv.Restore(b)
	e.since = time.Time{}
}

// checkEvacuated checks that a request that came to an upstream was allowed to. One that a
// fault may have held on its way since before the bound is.
func (u *upstream) checkEvacuated(id string, arrived time.Time) {
	e := u.evacuation
	e.mu.Lock()
	since := e.since
	e.mu.Unlock()
	if since.IsZero() || u.dataCentre != e.dataCentre {
		return
	}
	end := since.Add(evacuateBound + addedDelay)
	if arrived.After(end) && !u.proxy.withheldSince(end) {
		u.ledger.addViolation("request %s came to upstream %s %v after the evacuation of %s", id, u.id, arrived.Sub(since), u.dataCentre)
	}
}
