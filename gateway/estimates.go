package gateway

import (
	"sync"
	"time"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/pick"
)

// workQuantile is the quantile of the measured times that is used as the
// expected work; outliers hardly change the median.
const workQuantile = 0.5

// workKey identifies one kind of work: the requests of a route to one service.
// Another service of the same route may need another time.
type workKey struct{ route, service string }

// workEstimates tracks the work of each workKey, which is the time that a
// request takes at an upstream that is neither slow nor nearly full, and how
// the upstreams of each service behave when they are nearly full. It is safe
// for concurrent use.
type workEstimates struct {
	mu        sync.Mutex
	quantiles map[workKey]*attempt.Quantile
	initial   map[workKey]time.Duration
	fullness  map[string]*pick.Fullness
	paces     map[string]pick.Paces
}

func newWorkEstimates() *workEstimates {
	return &workEstimates{
		quantiles: map[workKey]*attempt.Quantile{}, initial: map[workKey]time.Duration{}, fullness: map[string]*pick.Fullness{},
		paces: map[string]pick.Paces{},
	}
}

// pacesOf returns the paces of a service's upstreams.
func (w *workEstimates) pacesOf(service string) pick.Paces {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.paces[service]
}

func (w *workEstimates) recordPace(service string, pace float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.paces[service]
	p.Add(pace)
	w.paces[service] = p
}

// fullnessOf returns the fullness of a service, without data if there were no
// reports.
func (w *workEstimates) fullnessOf(service string) pick.Fullness {
	w.mu.Lock()
	defer w.mu.Unlock()
	if f := w.fullness[service]; f != nil {
		return *f
	}
	return pick.Fullness{}
}

// updateFullness calls change with the fullness of a service.
func (w *workEstimates) updateFullness(service string, change func(*pick.Fullness)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.fullness[service]
	if f == nil {
		f = new(pick.Fullness)
		w.fullness[service] = f
	}
	change(f)
}

// init sets the expected work of a key that has not been measured yet from the
// route's target latency, 0 for none.
func (w *workEstimates) init(key workKey, target time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.quantiles[key] == nil {
		w.quantiles[key] = &attempt.Quantile{}
		w.initial[key] = pick.InitialWork(target)
	}
}

func (w *workEstimates) recordWork(key workKey, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if q := w.quantiles[key]; q != nil {
		q.Add(d, workQuantile)
	}
}

// measured reports whether workOf returns a measured time.
func (w *workEstimates) measured(key workKey) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	q := w.quantiles[key]
	if q == nil {
		return false
	}
	_, ok := q.Value()
	return ok
}

func (w *workEstimates) workOf(key workKey) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if q := w.quantiles[key]; q != nil {
		if d, ok := q.Value(); ok {
			return d
		}
		return w.initial[key]
	}
	return pick.DefaultWork
}
