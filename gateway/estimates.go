package gateway

import (
	"sync"
	"time"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/pick"
	"github.com/catkinrouter/catkinrouter/route"
)

// workQuantile is the quantile of the measured times that is used as the
// expected work; outliers hardly change the median.
const workQuantile = 0.5

// targetWorkDivisor: a route's target divided by it is the expected work until
// the route has been measured.
const targetWorkDivisor = 3

// workEstimates tracks the work of each route, which is the time that a
// request takes at an upstream that is neither slow nor nearly full, and how
// the upstreams of each service behave when they are nearly full. It is safe
// for concurrent use.
type workEstimates struct {
	mu        sync.Mutex
	quantiles map[string]*attempt.Quantile
	initial   map[string]time.Duration
	fullness  map[string]*pick.Fullness
	paces     map[string]pick.Paces
}

func newWorkEstimates() *workEstimates {
	return &workEstimates{
		quantiles: map[string]*attempt.Quantile{}, initial: map[string]time.Duration{}, fullness: map[string]*pick.Fullness{},
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

// initRoute sets the expected work of a route that has not been measured yet.
func (w *workEstimates) initRoute(r *route.Route) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.quantiles[r.Name] == nil {
		w.quantiles[r.Name] = &attempt.Quantile{}
		w.initial[r.Name] = pick.DefaultWork
		if r.TargetLatency > 0 {
			w.initial[r.Name] = r.TargetLatency / targetWorkDivisor
		}
	}
}

func (w *workEstimates) recordWork(name string, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if q := w.quantiles[name]; q != nil {
		q.Add(d, workQuantile)
	}
}

func (w *workEstimates) workOf(name string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if q := w.quantiles[name]; q != nil {
		if d, ok := q.Value(); ok {
			return d
		}
		return w.initial[name]
	}
	return pick.DefaultWork
}
